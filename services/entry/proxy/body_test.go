// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// TestABodyWithoutLengthOverTheLimitIsRefused: a body in chunks is bounded like one whose length is stated.
func TestABodyWithoutLengthOverTheLimitIsRefused(t *testing.T) {
	_, server := newSite(t, whole(200, mark, "yes"))
	// A reader of no known type leaves the length out.
	body := struct{ io.Reader }{strings.NewReader(strings.Repeat("x", 101))}
	request, err := http.NewRequest(http.MethodPost, server.URL+"/unsafe", body)
	require.NoError(t, err)
	request.Host = "h"
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
}

// chunked gives a body of so many bytes; a reader of no known type leaves the length out.
func chunked(size int) io.Reader {
	return struct{ io.Reader }{strings.NewReader(strings.Repeat("x", size))}
}

// TestABodyWithoutLengthIsNeverPassedOnCut sends bodies in chunks that are larger than what is held: the endpoint takes none
// for whole that is over its bound, and is not blamed for it.
func TestABodyWithoutLengthIsNeverPassedOnCut(t *testing.T) {
	const limit = 300 << 10
	for size, status := range map[int]int{limit - 1: 200, limit: 200, limit + 1: 413, 2 * limit: 413} {
		s, server := newSite(t)
		s.configuration.Limits.MaxBodyBytes = limit
		taken := make(chan int, 1)
		endpoint := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			taken <- len(body)
			writer.Header().Set("Mark", "1")
		}))
		s.endpoints = []deployment.Endpoint{{ID: "e", Address: netip.MustParseAddrPort(endpoint.Listener.Addr().String())}}
		request, err := http.NewRequest(http.MethodPost, server.URL+"/safe", chunked(size))
		require.NoError(t, err)
		request.Host = "h"
		response, err := server.Client().Do(request)
		require.NoError(t, err, "%d bytes", size)
		content, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		observation := <-s.observed
		endpoint.Close()
		assert.Equal(t, status, response.StatusCode, "%d bytes", size)
		if status == http.StatusOK {
			assert.Equal(t, size, <-taken)
			continue
		}
		assert.Equal(t, "body too large\n", string(content))
		assert.Equal(t, "body too large", observation.Reason)
		assert.Empty(t, taken, "%d bytes: the endpoint took a cut body for the whole", size)
		assert.Equal(t, []directory.Outcome{directory.Neutral}, s.outcomes)
	}
}
