// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tunnel_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/tunnel"
	"github.com/shelfledge/shelfledge/tests/endless"
)

const (
	// maxAnswerBytes is how many bytes of the answer to a request for a tunnel are read, and maxRequestBytes of the request.
	maxAnswerBytes  = 4 << 10
	maxRequestBytes = 2 << 20
)

// TestOpenGivesUpAnswerWithoutEnd guards against an instance that takes another's memory by the answer to a request for a tunnel.
func TestOpenGivesUpAnswerWithoutEnd(t *testing.T) {
	for name, answer := range endless.Heads() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := endless.Start(t, answer)
			conn, err := net.Dial("tcp4", server.Address.String())
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), endless.CallTime)
			defer cancel()
			started := time.Now()
			err = tunnel.Open(ctx, conn, tunnel.Target{Endpoint: "i-1", Address: server.Address})
			require.Error(t, err)
			assert.False(t, tunnel.IsVerdict(err), "it shows nothing about the endpoint: %v", err)
			assert.Less(t, time.Since(started), endless.JudgedWithin)
			require.NoError(t, conn.Close())
			server.RequireGivenUp(t, maxAnswerBytes)
		})
	}
}

// TestRequestForTunnelWithoutEndIsGivenUp guards against an instance that takes another's memory, or keeps its connections, by such a request.
func TestRequestForTunnelWithoutEndIsGivenUp(t *testing.T) {
	const begin = "CONNECT 127.0.0.1:1 HTTP/1.1\r\n"
	for name, request := range map[string]endless.Answer{
		"request line":     {Begin: "CONNECT ", Repeated: strings.Repeat("a", 16<<10)},
		"header line":      {Begin: begin + "X: ", Repeated: strings.Repeat("a", 16<<10)},
		"header lines":     {Begin: begin, Repeated: strings.Repeat("X: 1\r\n", 2<<10)},
		"slow header line": {Begin: begin + "X: ", Repeated: "a", Pause: 10 * time.Millisecond},
		"slow body":        {Begin: "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n", Repeated: "a", Pause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp4", newFixture(t, nil).address)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(endless.CallTime)))
			started := time.Now()
			sent := endless.Send(conn, request)
			assert.Less(t, time.Since(started), endless.JudgedWithin)
			assert.Less(t, sent, maxRequestBytes+endless.SystemBytes)
		})
	}
}

// TestOpenTunnelStaysWhileNothingIsSent guards against a bound of time that ends tunnels whose endpoint works for long before it answers.
func TestOpenTunnelStaysWhileNothingIsSent(t *testing.T) {
	t.Parallel()
	// silence is longer than a request for a tunnel may take.
	const silence = 3 * time.Second
	caller, endpoint := newFixture(t, nil).openPair()
	time.Sleep(silence)
	for _, pair := range [][2]net.Conn{{caller, endpoint}, {endpoint, caller}} {
		_, err := pair[0].Write([]byte("a"))
		require.NoError(t, err)
		_, err = io.ReadFull(pair[1], make([]byte, 1))
		require.NoError(t, err)
	}
}
