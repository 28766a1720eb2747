// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// maxConnectionsOfHost is how many connections peers of one host may open, maxLargest how many of the largest messages may be under way.
	maxConnectionsOfHost = 256
	maxLargest           = 4
	largestMessage       = 8 << 20
	// closedWithin is how soon a connection is closed that is not accepted: long before a silent one is.
	closedWithin = 500 * time.Millisecond
)

// connectRaw connects a peer whose bytes the test writes itself.
func (f *fixture) connectRaw(t *testing.T) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	f.network.incoming <- near
	t.Cleanup(func() { _ = far.Close() })
	return far
}

// isClosed reports whether the other end closes a connection within closedWithin.
func isClosed(t *testing.T, conn net.Conn) bool {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(closedWithin)); err != nil {
		// A pipe whose other end is closed accepts no deadline.
		require.ErrorIs(t, err, io.ErrClosedPipe)
		return true
	}
	_, err := io.Copy(io.Discard, conn)
	return err == nil
}

// TestConnectionsOfPeersAreBounded guards against a peer that takes memory without end by opening connections.
func TestConnectionsOfPeersAreBounded(t *testing.T) {
	f := newFixture()
	f.start(t)
	for range maxConnectionsOfHost {
		f.connectRaw(t)
	}
	assert.True(t, isClosed(t, f.connectRaw(t)))
}

// TestLargeMessagesOfPeersAreBounded guards against peers whose messages of 8 MiB do not end.
func TestLargeMessagesOfPeersAreBounded(t *testing.T) {
	f := newFixture()
	f.start(t)
	begin := func() net.Conn {
		conn := f.connectRaw(t)
		_, err := conn.Write(binary.BigEndian.AppendUint32(nil, largestMessage))
		require.NoError(t, err)
		return conn
	}
	for range maxLargest {
		assert.False(t, isClosed(t, begin()))
	}
	assert.True(t, isClosed(t, begin()))
}
