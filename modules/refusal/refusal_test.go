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

// listen gives a listener that the system serves by itself: nothing accepts its connections.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// look looks at an address, with how many connections it opened and has not given back; taken is called with the number of each that the
// system has taken.
func look(t *testing.T, address net.Addr, taken func(number int)) (open int, refused bool) {
	t.Helper()
	var dialer net.Dialer
	number := 0
	kept, refused := refusal.Look(t.Context(), func(ctx context.Context) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp4", address.String())
		if err == nil {
			open++
			number++
			taken(number)
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

func TestAProcessThatGoesOnKeepsTheConnection(t *testing.T) {
	open, refused := look(t, listen(t).Addr(), func(int) {})
	assert.False(t, refused)
	assert.Equal(t, 1, open, "it is left to the caller")
}

func TestNothingListens(t *testing.T) {
	listener := listen(t)
	require.NoError(t, listener.Close())
	open, refused := look(t, listener.Addr(), func(int) {})
	assert.True(t, refused)
	assert.Zero(t, open)
}

// TestAProcessThatIsJustEnding: the system takes connections for it until it has closed the listening socket.
func TestAProcessThatIsJustEnding(t *testing.T) {
	for _, last := range []int{1, 2, 3} {
		listener := listen(t)
		var ending sync.WaitGroup
		if last > 1 {
			// It closes the connections that it has before the socket.
			ending.Go(func() { closeAll(listener) })
		}
		open, refused := look(t, listener.Addr(), func(number int) {
			if number == last {
				assert.NoError(t, listener.Close())
			}
		})
		assert.True(t, refused, "it has taken %d connections", last)
		assert.Zero(t, open)
		ending.Wait()
	}
}

// closeAll closes all connections that a listener takes until it is closed.
func closeAll(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

// TestAProcessThatClosesAllConnections listens on, and is not taken to have ended.
func TestAProcessThatClosesAllConnections(t *testing.T) {
	listener := listen(t)
	go closeAll(listener)
	open, refused := look(t, listener.Addr(), func(int) {})
	assert.False(t, refused)
	assert.Zero(t, open)
}
