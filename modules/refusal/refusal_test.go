// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package refusal_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/refusal"
)

// newListener returns a listener whose connections the operating system accepts into the backlog; the test does not call Accept.
func newListener(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// probe probes an address and returns the number of connections that were opened and not discarded. accepted is called after each
// successful connection with the count so far.
func probe(t *testing.T, address net.Addr, accepted func(number int)) (open int, refused bool) {
	t.Helper()
	var dialer net.Dialer
	number := 0
	kept, refused := refusal.Probe(t.Context(), func(ctx context.Context) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp4", address.String())
		if err == nil {
			open++
			number++
			accepted(number)
		}
		return conn, err
	}, func(conn net.Conn) {
		open--
		assert.NoError(t, conn.Close())
	})
	if kept != nil {
		assert.NoError(t, kept.Close())
	}
	return open, refused
}

func TestConnectionToRunningProcessIsReturned(t *testing.T) {
	open, refused := probe(t, newListener(t).Addr(), func(int) {})
	assert.False(t, refused)
	assert.Equal(t, 1, open, "the open connection is returned to the caller")
}

func TestRefusedConnectionIsReported(t *testing.T) {
	listener := newListener(t)
	require.NoError(t, listener.Close())
	open, refused := probe(t, listener.Addr(), func(int) {})
	assert.True(t, refused)
	assert.Zero(t, open)
}

// TestEndingProcessIsReportedAsRefused covers a process that is ending: the operating system accepts connections for it until the
// listening socket is closed.
func TestEndingProcessIsReportedAsRefused(t *testing.T) {
	for _, last := range []int{1, 2, 3} {
		listener := newListener(t)
		var ending sync.WaitGroup
		if last > 1 {
			// The process closes its accepted connections before the listening socket.
			ending.Go(func() { closeAcceptedConns(listener) })
		}
		open, refused := probe(t, listener.Addr(), func(number int) {
			if number == last {
				assert.NoError(t, listener.Close())
			}
		})
		assert.True(t, refused, "the listener closed after %d connections", last)
		assert.Zero(t, open)
		ending.Wait()
	}
}

// closeAcceptedConns closes each connection that the listener accepts, until the listener is closed.
func closeAcceptedConns(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// TestListeningProcessThatClosesConnectionsIsNotRefused checks that a process that closes every connection, but still listens, is not
// reported as ended.
func TestListeningProcessThatClosesConnectionsIsNotRefused(t *testing.T) {
	listener := newListener(t)
	go closeAcceptedConns(listener)
	open, refused := probe(t, listener.Addr(), func(int) {})
	assert.False(t, refused)
	assert.Zero(t, open)
}
