// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package bounded_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/bounded"
)

const (
	listenerTimeout = 10 * time.Second
	// noticeInterval is the least time between two notices of refused connections.
	noticeInterval = time.Second
)

// dialFrom connects from a loopback address.
func dialFrom(t *testing.T, from string, to net.Addr) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.DialContext(context.Background(), "tcp4", to.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestListenerRefusesConnectionsBeyondItsBounds guards against one host that takes the places of all others.
func TestListenerRefusesConnectionsBeyondItsBounds(t *testing.T) {
	t.Parallel()
	const first, second, third = "127.0.0.1", "127.0.0.2", "127.0.0.3"
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	refused := make(chan netip.Addr, 1)
	listener := bounded.NewListener(tcp, bounded.ListenerOptions{
		MaxOpen: 3, MaxOpenFrom: 2, Now: time.Now,
		OnRefuse: func(from netip.Addr, _ int) { refused <- from },
	})
	accepted := make(chan net.Conn)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	accept := func(from string) net.Conn {
		dialFrom(t, from, tcp.Addr())
		select {
		case conn := <-accepted:
			t.Cleanup(func() { _ = conn.Close() })
			return conn
		case <-time.After(listenerTimeout):
			require.Fail(t, "not accepted", from)
			return nil
		}
	}
	refuse := func(from string) {
		time.Sleep(noticeInterval)
		dialFrom(t, from, tcp.Addr())
		select {
		case host := <-refused:
			assert.Equal(t, from, host.String())
		case <-accepted:
			require.Fail(t, "accepted", from)
		case <-time.After(listenerTimeout):
			require.Fail(t, "neither accepted nor refused", from)
		}
	}
	accept(first)
	ending := accept(first)
	refuse(first)
	accept(second)
	refuse(third)
	require.NoError(t, ending.Close())
	assert.Error(t, ending.Close(), "a second time")
	accept(third)
	refuse(first)
}
