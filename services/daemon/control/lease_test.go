// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/tests/standin"
)

const (
	leaseOfX = "/test/lease/h1/x"
	leaseOfY = "/test/lease/h1/y"
)

// unfencedEndpoints returns the endpoints of two pools, one each, that check no fences.
func unfencedEndpoints() []fleet.Endpoint {
	return []fleet.Endpoint{
		{Name: "e1", Hall: "h1", Kind: fleet.KindEngine, Bases: []string{"x"}, Slots: 1, MaxBatch: 4},
		{Name: "e2", Hall: "h1", Kind: fleet.KindEngine, Bases: []string{"y"}, Slots: 1, MaxBatch: 4},
	}
}

// The lease under which the service owned pool x lapses, and the service gets a new lease to own pool y. The new lease must
// not permit orders in pool x until the key of pool x has been written under it.
func TestNewLeasePermitsNoOrdersInPoolsOfLapsedLease(t *testing.T) {
	store := standin.NewKV()
	var renewals atomic.Int64
	handler := store.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		if r.URL.Path == "/v3/lease/keepalive" {
			renewals.Add(1)
		}
	}))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	client := kv.New(kv.Options{Addresses: []netip.AddrPort{address}, ReadsPerSecond: 1000, WritesPerSecond: 1000})
	ctx := context.Background()
	others, err := client.Grant(ctx, time.Minute)
	require.NoError(t, err)
	_, err = client.Txn(ctx, kv.TxnRequest{Success: []kv.Op{{Put: &kv.PutRequest{Key: []byte(leaseOfY), Value: []byte("{}"), Lease: others}}}})
	require.NoError(t, err)

	w := newHarnessWithEndpoints(t, unfencedEndpoints(), client)
	owned := func(key string) bool {
		pair, found, err := client.Get(ctx, key)
		return err == nil && found && pair.Lease != others
	}
	w.advance(takeoverDelay)
	// One renewal is part of the failed attempt to acquire pool y, the other one is due by itself; the next is due in 3 s.
	require.Eventually(t, func() bool { return owned(leaseOfX) && renewals.Load() == 2 }, timeout, time.Millisecond)
	first, _, err := client.Get(ctx, leaseOfX)
	require.NoError(t, err)
	require.NoError(t, client.Revoke(ctx, first.Lease))
	require.NoError(t, client.Revoke(ctx, others))
	w.advance(time.Second)
	require.Eventually(t, func() bool { return owned(leaseOfY) }, timeout, time.Millisecond)

	w.Submit(fleet.Request{ID: "q", Base: "x", Adapter: a})
	for {
		select {
		case c := <-w.calls:
			if c.name == "load" {
				require.True(t, owned(leaseOfX), "order in pool x without the pool's key")
				return
			}
		case <-time.After(timeout):
			require.Fail(t, "no load order")
		}
	}
}
