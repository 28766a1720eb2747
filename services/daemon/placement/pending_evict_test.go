// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// TestAdapterIsNotReloadedWhileItsEvictionIsPending guards against loading adapter a again while an order that evicts it is
// still pending. If that order arrived after the load, a would be unloaded while granted requests use it.
func TestAdapterIsNotReloadedWhileItsEvictionIsPending(t *testing.T) {
	p := newPlacer(endpoint(2))
	p.HandleInspection(at(2), inspection(1, ref("a"), ref("b")))
	p.Submit(at(3), request("q1", "c"))
	first := orderLoad(t, p, at(4))
	require.Equal(t, ref("a"), first.Evict)
	p.Submit(at(5), request("q2", "a"))
	_, used := p.UsePermit(at(6))
	require.False(t, used, "the order that evicts a may still arrive")
	_, found := p.BestBid(at(300))
	require.False(t, found)
	require.Equal(t, 1, countGrants(p.HandleLoadResult(at(301), "e1", "e1-1", ref("c"), placement.LoadDone, "")))
	require.Equal(t, ref("a"), orderLoad(t, p, at(302)).Adapter, "the order that evicts a has ended")
}

// TestAdapterWithPendingEvictionIsLoadedOnAnotherEndpoint uses a second endpoint with a free slot.
func TestAdapterWithPendingEvictionIsLoadedOnAnotherEndpoint(t *testing.T) {
	second := endpoint(1)
	second.Name = "e2"
	p := newPlacer(endpoint(1), second)
	p.HandleInspection(at(2), inspection(1, ref("a")))
	p.HandleInspection(at(2), placement.Inspection{Endpoint: "e2", Incarnation: "e2-1", StartedAt: at(1), Up: false})
	p.Submit(at(3), request("q1", "c"))
	require.Equal(t, ref("a"), orderLoad(t, p, at(4)).Evict)
	p.HandleInspection(at(6), placement.Inspection{Endpoint: "e2", Incarnation: "e2-1", StartedAt: at(5), Up: true})
	p.Submit(at(7), request("q2", "a"))
	require.Equal(t, "e2", orderLoad(t, p, at(8)).Endpoint)
}
