// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tcpstate_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/tcpstate"
)

const testTimeout = 10 * time.Second

// connPair returns the two ends of a connection.
func connPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialed.Close(); _ = accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

func TestIsClosed(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(near, far *net.TCPConn) error
		want bool
	}{
		"open":                {func(*net.TCPConn, *net.TCPConn) error { return nil }, false},
		"half closed by peer": {func(_, far *net.TCPConn) error { return far.CloseWrite() }, false},
		"closed by peer":      {func(_, far *net.TCPConn) error { return far.Close() }, false},
		"reset by peer": {func(_, far *net.TCPConn) error {
			if err := far.SetLinger(0); err != nil {
				return err
			}
			return far.Close()
		}, true},
		"closed on this side": {func(near, _ *net.TCPConn) error { return near.Close() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := connPair(t)
			require.NoError(t, test.end(near, far))
			assert.Eventually(t, func() bool { return tcpstate.IsClosed(near) == test.want }, testTimeout, time.Millisecond)
		})
	}
	piped, _ := net.Pipe()
	assert.False(t, tcpstate.IsClosed(piped))
}

// TestProperEndIsNotClosed reads the end first, since the state may change with the arrival of the end only.
func TestProperEndIsNotClosed(t *testing.T) {
	near, far := connPair(t)
	require.NoError(t, far.Close())
	_, err := near.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	assert.False(t, tcpstate.IsClosed(near))
}
