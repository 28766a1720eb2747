// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/shelfledge/shelfledge/modules/entry/tcp"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
)

// TestSilentExchangeIsProbed checks that the kernel sends keep-alive probes after a second of silence, before the head of an answer as well
// as during the body, and not between exchanges. An exchange is never ended for silence alone, so only the probes detect a dead connection.
// The test does not show that they close it, since packets cannot be dropped on loopback.
func TestSilentExchangeIsProbed(t *testing.T) {
	pauses := make(chan time.Duration, 1)
	address := serveOneConnection(t, pauses)
	var opened *net.TCPConn
	client := upstream.NewClient(upstream.Options{
		MaxIdle: time.Minute, DialTimeout: time.Second, Now: time.Now,
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			conn, err := tcp.Dialer{UserTimeout: unacknowledgedTimeout}.DialContext(ctx, "tcp4", address.String())
			if err == nil {
				opened = conn.(*net.TCPConn)
			}
			return conn, err
		},
	})
	for pause, expected := range map[time.Duration]keepAliveState{0: {false, unacknowledgedTimeout}, silence: {true, 4500 * time.Millisecond}} {
		pauses <- pause
		answer, err := client.Do(t.Context(), upstream.Call{Target: upstream.Target{Key: "e", Address: address}, Request: request("")})
		require.NoError(t, err)
		assert.Equal(t, keepAliveState{false, unacknowledgedTimeout}, readKeepAliveState(t, opened), "before the silence")
		_, err = io.ReadAll(answer)
		require.NoError(t, err)
		assert.Equal(t, expected, readKeepAliveState(t, opened), "after its body")
		answer.Close()
		assert.Equal(t, keepAliveState{false, unacknowledgedTimeout}, readKeepAliveState(t, opened), "after the exchange")
	}
}

const (
	// unacknowledgedTimeout is the limit for unacknowledged bytes that the client itself sets.
	unacknowledgedTimeout = 1200 * time.Millisecond
	// silence is longer than the time without data after which the client enables the probes.
	silence = 1300 * time.Millisecond
)

// keepAliveState is whether keep-alive probes are enabled on a connection, and how long bytes or probes may stay unacknowledged.
type keepAliveState struct {
	enabled bool
	timeout time.Duration
}

func readKeepAliveState(t *testing.T, conn *net.TCPConn) keepAliveState {
	t.Helper()
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	var keepAlive, userTimeout int
	var keepAliveErr, userTimeoutErr error
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		keepAlive, keepAliveErr = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		userTimeout, userTimeoutErr = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, keepAliveErr)
	require.NoError(t, userTimeoutErr)
	return keepAliveState{keepAlive != 0, time.Duration(userTimeout) * time.Millisecond}
}

// serveOneConnection accepts one connection. It answers each request with a head and, after the next pause received from pauses, the body
// "ok". It reads the request first: a connection on which bytes arrive between two exchanges is not used again.
func serveOneConnection(t *testing.T, pauses <-chan time.Duration) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"); err != nil {
				return
			}
			time.Sleep(<-pauses)
			if _, err := io.WriteString(conn, "ok"); err != nil {
				return
			}
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}
