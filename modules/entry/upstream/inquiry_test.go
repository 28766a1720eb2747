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

// counting gives a client that counts its dials.
func counting(dials *atomic.Int64) *upstream.Client {
	dialer := net.Dialer{}
	return upstream.NewClient(upstream.Options{
		MaxIdle: time.Minute, DialTimeout: time.Second, Now: time.Now,
		Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			dials.Add(1)
			return dialer.DialContext(ctx, "tcp4", address.String())
		},
	})
}

func TestAnEndpointThatEndedRefuses(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	var dials atomic.Int64
	client := counting(&dials)
	assert.False(t, client.Refuses(t.Context(), upstream.Target{Key: "lives", Address: address}))
	require.NoError(t, listener.Close())
	assert.True(t, client.Refuses(t.Context(), upstream.Target{Key: "ended", Address: address}))
	assert.False(t, client.Refuses(t.Context(), upstream.Target{Key: "lives", Address: address}), "the last look is given again")
}

func TestExchangesThatEndTogetherLookOnce(t *testing.T) {
	var dials atomic.Int64
	client := counting(&dials)
	var asking sync.WaitGroup
	for range 20 {
		asking.Go(func() {
			// No system hands out port 1, so that no other test listens there.
			assert.True(t, client.Refuses(t.Context(), upstream.Target{Key: "k", Address: netip.MustParseAddrPort("127.0.0.1:1")}))
		})
	}
	asking.Wait()
	assert.EqualValues(t, 1, dials.Load())
}

// TestALookOpensNoMoreConnectionsThanAllowed: where all are in use, it is not known whether the endpoint has ended.
func TestALookOpensNoMoreConnectionsThanAllowed(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var dials atomic.Int64
	client := counting(&dials)
	target := upstream.Target{Key: "k", Address: listener.Addr().(*net.TCPAddr).AddrPort(), MaxConnections: 1}
	assert.False(t, client.Refuses(t.Context(), target))
	assert.EqualValues(t, 1, client.Dialed())
	client.CloseIdle(time.Now().Add(time.Second))
	assert.False(t, client.Refuses(t.Context(), target))
	assert.EqualValues(t, 1, client.Dialed(), "the first one rests and may not be joined by another")
}
