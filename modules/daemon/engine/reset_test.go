// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
)

// TestResetDuringRequestIsNotEndOfAnswer guards against answers without a length that look complete after a reset: the system reports a reset
// once, and the write of the request may get it before the read of the answer, which then returns io.EOF.
func TestResetDuringRequestIsNotEndOfAnswer(t *testing.T) {
	const rounds, sentBytes = 100, 100_000
	for name, test := range map[string]struct {
		end   func(conn *net.TCPConn)
		whole bool
	}{
		"reset":      {end: func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }},
		"proper end": {end: func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) }, whole: true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					request, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil {
						return
					}
					_, _ = io.CopyN(io.Discard, request.Body, sentBytes)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nan ans")
					_, _ = io.CopyN(io.Discard, request.Body, sentBytes)
					test.end(conn.(*net.TCPConn))
					_ = conn.Close()
				}
			}()
			call := engine.Call{
				Endpoint: fleet.Endpoint{Kind: fleet.KindPlain, Address: netip.MustParseAddrPort(listener.Addr().String())},
				Method:   http.MethodPost, Path: "/", Body: make([]byte, longBody),
			}
			ends := 0
			for range rounds {
				response, err := newDialect().Start(context.Background(), call)
				if err != nil {
					// The reset was seen before the head was read.
					require.False(t, test.whole, "%v", err)
					continue
				}
				if _, err = io.ReadAll(response.Body); err == nil {
					ends++
				}
				require.NoError(t, response.Body.Close())
			}
			if test.whole {
				assert.Equal(t, rounds, ends)
				return
			}
			assert.Zero(t, ends)
		})
	}
}
