// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/shelfledge/shelfledge/modules/entry/tcp"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
)

// TestASilentExchangeIsProbed: no exchange is ended for the silence of its endpoint, so that the system has to tell a connection that has
// fallen silent for good. It asks after a second of silence, for a head as in a body, and not between exchanges. That it ends such a
// connection is not shown here: packets can't be dropped on loopback.
func TestASilentExchangeIsProbed(t *testing.T) {
	release := make(chan string)
	address := listenOnce(t, release)
	var opened *net.TCPConn
	client := upstream.NewClient(upstream.Options{
		MaxIdle: time.Minute, DialTimeout: time.Second, Now: time.Now,
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			conn, err := tcp.Dialer{Unacknowledged: usual}.DialContext(ctx, "tcp4", address.String())
			if err == nil {
				opened = conn.(*net.TCPConn)
			}
			return conn, err
		},
	})
	for pause, during := range map[time.Duration]probing{0: {false, usual}, silence: {true, 4500 * time.Millisecond}} {
		go func() {
			release <- "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
			time.Sleep(pause)
			release <- "ok"
		}()
		answer, err := client.Do(context.Background(), upstream.Call{Target: upstream.Target{Key: "e", Address: address}, Request: request("")})
		require.NoError(t, err)
		assert.Equal(t, probing{false, usual}, probed(t, opened), "before the silence")
		_, err = io.ReadAll(answer)
		require.NoError(t, err)
		assert.Equal(t, during, probed(t, opened), "after its body")
		answer.Close()
		assert.Equal(t, probing{false, usual}, probed(t, opened), "after the exchange")
	}
}

const (
	// usual bounds sent bytes without acknowledgement as the client itself does.
	usual = 1200 * time.Millisecond
	// silence is longer than the client bears without asking.
	silence = 1300 * time.Millisecond
)

// probing is whether a connection's system asks for its peer, and how long it bears bytes or questions without acknowledgement.
type probing struct {
	on    bool
	bears time.Duration
}

func probed(t *testing.T, conn *net.TCPConn) probing {
	t.Helper()
	raw, err := conn.SyscallConn()
	require.NoError(t, err)
	var on, bears int
	var onErr, bearsErr error
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		on, onErr = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		bears, bearsErr = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, onErr)
	require.NoError(t, bearsErr)
	return probing{on != 0, time.Duration(bears) * time.Millisecond}
}

// listenOnce serves one connection: whatever comes is answered by the texts that are released.
func listenOnce(t *testing.T, release <-chan string) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		for text := range release {
			if _, err := io.Copy(conn, strings.NewReader(text)); err != nil {
				return
			}
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().(*net.TCPAddr).AddrPort()
}
