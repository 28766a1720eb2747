// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package refusal_test

import (
	"context"
	"net"
	"testing"
	"time"

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

// look looks at an address, with how many connections it opened and has not given back.
func look(t *testing.T, address net.Addr) (open int, refused bool) {
	t.Helper()
	var dialer net.Dialer
	kept, refused := refusal.Look(t.Context(), func(ctx context.Context) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, "tcp4", address.String())
		if err == nil {
			open++
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
	open, refused := look(t, listen(t).Addr())
	assert.False(t, refused)
	assert.Equal(t, 1, open, "it is left to the caller")
}

func TestNothingListens(t *testing.T) {
	listener := listen(t)
	require.NoError(t, listener.Close())
	open, refused := look(t, listener.Addr())
	assert.True(t, refused)
	assert.Zero(t, open)
}

// TestAProcessThatIsJustEnding: the system takes connections for it until it has closed the listening socket.
func TestAProcessThatIsJustEnding(t *testing.T) {
	for _, rest := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 15 * time.Millisecond} {
		listener := listen(t)
		time.AfterFunc(rest, func() { _ = listener.Close() })
		open, refused := look(t, listener.Addr())
		assert.True(t, refused, "it listens for another %s", rest)
		assert.Zero(t, open)
	}
}

// TestAProcessThatClosesAllConnections listens on, and is not taken to have ended.
func TestAProcessThatClosesAllConnections(t *testing.T) {
	listener := listen(t)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	open, refused := look(t, listener.Addr())
	assert.False(t, refused)
	assert.Zero(t, open)
}
