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

// TestChunkedBodyOverLimitIsRefused sends a body without Content-Length: it is limited like a body whose length is declared.
func TestChunkedBodyOverLimitIsRefused(t *testing.T) {
	_, server := newTestProxy(t, fixedResponse(200, endpointMarkHeader, "yes"))
	// The client does not know the length of this reader type, and sends the body without Content-Length.
	body := struct{ io.Reader }{strings.NewReader(strings.Repeat("x", 101))}
	request, err := http.NewRequest(http.MethodPost, server.URL+"/unsafe", body)
	require.NoError(t, err)
	request.Host = "h"
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
}

// unknownLengthBody returns a body of size bytes that is sent without Content-Length, because the client does not know the length of
// the reader type.
func unknownLengthBody(size int) io.Reader {
	return struct{ io.Reader }{strings.NewReader(strings.Repeat("x", size))}
}

// TestChunkedBodyOverLimitIsNotForwardedAsComplete sends chunked bodies that are larger than the buffer. An endpoint must not take a
// body that was cut off at the limit for a complete one, and the aborted request must not count against the endpoint.
func TestChunkedBodyOverLimitIsNotForwardedAsComplete(t *testing.T) {
	const limit = 300 << 10
	for size, status := range map[int]int{limit - 1: 200, limit: 200, limit + 1: 413, 2 * limit: 413} {
		p, server := newTestProxy(t)
		p.configuration.Limits.MaxBodyBytes = limit
		receivedBodies := make(chan int, 1)
		endpoint := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			body, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			receivedBodies <- len(body)
			writer.Header().Set("Mark", "1")
		}))
		p.endpoints = []deployment.Endpoint{{ID: "e", Address: netip.MustParseAddrPort(endpoint.Listener.Addr().String())}}
		request, err := http.NewRequest(http.MethodPost, server.URL+"/safe", unknownLengthBody(size))
		require.NoError(t, err)
		request.Host = "h"
		response, err := server.Client().Do(request)
		require.NoError(t, err, "%d bytes", size)
		content, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		observation := <-p.observations
		endpoint.Close()
		assert.Equal(t, status, response.StatusCode, "%d bytes", size)
		if status == http.StatusOK {
			assert.Equal(t, size, <-receivedBodies)
			continue
		}
		assert.Equal(t, "body too large\n", string(content))
		assert.Equal(t, "body too large", observation.Reason)
		assert.Empty(t, receivedBodies, "%d bytes: the endpoint received a truncated body as complete", size)
		assert.Equal(t, []directory.Outcome{directory.Neutral}, p.outcomes)
	}
}
