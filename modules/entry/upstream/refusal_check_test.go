// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/upstream"
)

// newCountingClient returns a client that counts its dials.
func newCountingClient(dials *atomic.Int64) *upstream.Client {
	dialer := net.Dialer{}
	return upstream.NewClient(upstream.Options{
		MaxIdle: time.Minute, DialTimeout: time.Second, Now: time.Now,
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			dials.Add(1)
			return dialer.DialContext(ctx, "tcp4", address.String())
		},
	})
}

func TestEndedEndpointRefusesConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	var dials atomic.Int64
	client := newCountingClient(&dials)
	assert.False(t, client.Refuses(t.Context(), upstream.Target{Key: "lives", Address: address}))
	require.NoError(t, listener.Close())
	assert.True(t, client.Refuses(t.Context(), upstream.Target{Key: "ended", Address: address}))
	dialed := dials.Load()
	assert.True(t, client.Refuses(t.Context(), upstream.Target{Key: "ended", Address: address}))
	assert.Equal(t, dialed, dials.Load(), "the refusal is returned again without a dial")
}

// TestEndingEndpointRefusesConnections guards against taking the end of a process for a reset connection. An exchange ends with its
// connection, the check then opens another connection, which the kernel still accepts, and only after that does the process close its
// listening socket. While an accepted connection counted as a sign of a running process, more than half of the ends were taken for resets:
// of 37 endpoints that exited on a request in one soak test, 21 had no endpoint_gone in the log line of that request, and all 21 refused
// other requests afterwards. Requests that crash endpoints were sent to four or more of them later than 3 s after they had ended three.
func TestEndingEndpointRefusesConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	dialer := net.Dialer{}
	client := upstream.NewClient(upstream.Options{
		MaxIdle: time.Minute, DialTimeout: time.Second, Now: time.Now,
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp4", address.String())
			// The kernel has accepted the first connection; now the process closes its socket.
			_ = listener.Close()
			return conn, err
		},
	})
	assert.True(t, client.Refuses(t.Context(), upstream.Target{Key: "k", Address: listener.Addr().(*net.TCPAddr).AddrPort()}))
}

// TestAcceptedConnectionIsNotRemembered: an endpoint that reset connections but kept running may end with the next request.
func TestAcceptedConnectionIsNotRemembered(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	now := time.Now()
	client := upstream.NewClient(upstream.Options{MaxIdle: time.Minute, DialTimeout: time.Second, Now: func() time.Time { return now }})
	target := upstream.Target{Key: "k", Address: listener.Addr().(*net.TCPAddr).AddrPort()}
	assert.False(t, client.Refuses(t.Context(), target))
	require.NoError(t, listener.Close())
	now = now.Add(300 * time.Millisecond)
	assert.True(t, client.Refuses(t.Context(), target))
}

func TestConcurrentChecksDialOnce(t *testing.T) {
	var dials atomic.Int64
	client := newCountingClient(&dials)
	var checks sync.WaitGroup
	for range 20 {
		checks.Go(func() {
			// Port 1 is never an ephemeral port, so that no other test listens there.
			assert.True(t, client.Refuses(t.Context(), upstream.Target{Key: "k", Address: netip.MustParseAddrPort("127.0.0.1:1")}))
		})
	}
	checks.Wait()
	assert.EqualValues(t, 1, dials.Load())
}

// TestCheckRespectsConnectionLimit: if all connections are in use, the check cannot show whether the endpoint has ended.
func TestCheckRespectsConnectionLimit(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var dials atomic.Int64
	client := newCountingClient(&dials)
	target := upstream.Target{Key: "k", Address: listener.Addr().(*net.TCPAddr).AddrPort(), MaxConnections: 1, MaxKept: 1}
	assert.False(t, client.Refuses(t.Context(), target))
	assert.EqualValues(t, 1, client.DialCount())
	client.CloseIdle(time.Now().Add(time.Second))
	assert.False(t, client.Refuses(t.Context(), target))
	assert.EqualValues(t, 1, client.DialCount(), "the first connection is idle and the limit allows no second one")
}
