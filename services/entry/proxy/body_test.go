// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestABodyWithoutLengthOverTheLimitIsRefused fails as listed in KNOWN-RED.txt: the limit is compared with the stated
// length alone. Below the size that is held, a body in chunks goes on whole; above it, it is cut at the limit, and the
// endpoint takes it for the whole one.
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
