// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gateway_test

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/routers/entry/gateway"
)

const (
	// bytePause is the pause between two bytes of a body that trickles, maxTrickle how long it goes on: three times as long as it may.
	bytePause  = 50 * time.Millisecond
	maxTrickle = 15 * time.Second
)

// trickles sends a request whose body trickles and reports whether the server closed the connection before the body ended.
func trickles(t *testing.T, address netip.AddrPort) bool {
	t.Helper()
	conn, err := net.Dial("tcp4", address.String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n"))
	require.NoError(t, err)
	for range maxTrickle / bytePause {
		if _, err := conn.Write([]byte("x")); err != nil {
			return true
		}
		time.Sleep(bytePause)
	}
	return false
}

// TestBodyThatTricklesAtInternalListenerIsGivenUp guards against requests that keep connections of the listeners for readiness and metrics for good.
func TestBodyThatTricklesAtInternalListenerIsGivenUp(t *testing.T) {
	o := options()
	o.Metrics, o.MetricsHandler = freeAddress(), http.NotFoundHandler()
	server := gateway.New(o)
	require.NoError(t, server.Start())
	t.Cleanup(server.Close)
	for name, address := range map[string]netip.AddrPort{"readiness": o.Ready, "metrics": o.Metrics} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.True(t, trickles(t, address))
		})
	}
}

// TestIdleConnectionToInternalListenerStays guards against a checker that meets a connection that was just closed, and takes the instance for lost.
func TestIdleConnectionToInternalListenerStays(t *testing.T) {
	const idle = 6 * time.Second
	o := options()
	server := gateway.New(o)
	require.NoError(t, server.Start())
	defer server.Close()
	conn, err := net.Dial("tcp4", o.Ready.String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	buffer := make([]byte, 1024)
	for i := range 2 {
		time.Sleep(time.Duration(i) * idle)
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		require.NoError(t, err)
		n, err := conn.Read(buffer)
		require.NoError(t, err)
		require.Contains(t, string(buffer[:n]), "200 OK")
	}
}
