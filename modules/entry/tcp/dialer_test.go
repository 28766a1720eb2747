// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tcp_test

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/shelfledge/shelfledge/modules/entry/tcp"
)

// TestClosedConnectionIsReset: an order that was held up by a broken link and closed after its timeout must not arrive when the link
// recovers.
func TestClosedConnectionIsReset(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := tcp.Dialer{Timeout: time.Second}.DialContext(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	require.NoError(t, conn.Close())
	_ = accepted.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = accepted.Read(make([]byte, 1))
	assert.True(t, errors.Is(err, syscall.ECONNRESET), "got %v", err)
}

// TestUnacknowledgedBytesAreBounded reads the limit back from the socket, since a broken link cannot be simulated on loopback.
func TestUnacknowledgedBytesAreBounded(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := tcp.Dialer{UserTimeout: 1200 * time.Millisecond}.DialContext(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var timeout int
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		timeout, err = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	assert.Equal(t, 1200, timeout)
}
