// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/proxy"
)

// TestNextRequestDoesNotBreakAnswerUntilClose guards against whole answers without a length or chunks that end with a reset because the caller
// has already sent its next request.
func TestNextRequestDoesNotBreakAnswerUntilClose(t *testing.T) {
	large := strings.Repeat("x", 1<<20)
	for name, test := range map[string]struct{ path, script, body string }{
		"stream":       {"/stream", untilClose(firstEvent, pauseMark, secondEvent), firstEvent + secondEvent},
		"large answer": {"/safe", untilClose(pauseMark, large), large},
	} {
		t.Run(name, func(t *testing.T) {
			p, server := newTestProxy(t, test.script)
			p.observations = make(chan proxy.Observation, 2)
			conn, err := net.Dial("tcp4", server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(dialTimeout)))
			request := "GET " + test.path + " HTTP/1.1\r\nHost: h\r\n\r\n"
			_, err = io.WriteString(conn, request)
			require.NoError(t, err)
			time.Sleep(scriptPause / 2)
			_, err = io.WriteString(conn, request)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			content, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Equal(t, len(test.body), len(content))
		})
	}
}
