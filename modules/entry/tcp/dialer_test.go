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

// TestAClosedConnectionIsReset is about an order that a cut link held up: closed by its
// time-out, it must not arrive when the link heals.
func TestAClosedConnectionIsReset(t *testing.T) {
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

// TestSentBytesWithoutAcknowledgementAreBounded reads the bound back from the connection; a cut link cannot
// be made on loopback.
func TestSentBytesWithoutAcknowledgementAreBounded(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := tcp.Dialer{Unacknowledged: 1200 * time.Millisecond}.DialContext(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	var span int
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		span, err = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	assert.Equal(t, 1200, span)
}
