// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/upstream"
)

func TestFraming(t *testing.T) {
	for name, test := range map[string]struct {
		method, answer string
		want           upstream.Framing
	}{
		"length":          {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", upstream.ByLength},
		"chunks":          {http.MethodGet, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", upstream.ByChunks},
		"close":           {http.MethodGet, "HTTP/1.1 200 OK\r\n\r\nx", upstream.ByClose},
		"close, HTTP 1.0": {http.MethodGet, "HTTP/1.0 200 OK\r\n\r\nx", upstream.ByClose},
		"empty":           {http.MethodGet, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", upstream.NoBody},
		"status 204":      {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", upstream.NoBody},
		"method HEAD":     {http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", upstream.NoBody},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEndpoint(t, func(int64) string { return test.answer })
			outgoing := request("")
			outgoing.Method = test.method
			answer, err := newClient().Do(context.Background(), upstream.Call{Target: e.target(), Request: outgoing})
			require.NoError(t, err)
			defer answer.Close()
			assert.Equal(t, test.want, answer.Framing())
			assert.False(t, answer.Peer().IsValid())
		})
	}
}
