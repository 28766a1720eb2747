// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// inspection returns an inspection of the first incarnation of endpoint e1 that began at the given time.
func inspection(began int, resident ...fleet.AdapterRef) placement.Inspection {
	return placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", StartedAt: at(began), Up: true, Resident: resident}
}

// placerWithPendingLoad returns a placer with one slot whose load of adapter a was ordered at 2 ms.
func placerWithPendingLoad(t *testing.T) *placement.Placer {
	t.Helper()
	p := newPlacer(endpoint(1))
	p.Submit(at(1), request("q1", "a"))
	orderLoad(t, p, at(2))
	return p
}

func countGrants(effects []placement.Effect) int {
	return len(effectsOfType[placement.Grant](effects))
}

func TestDelayedAndRepeatedLoadResultsAreIgnored(t *testing.T) {
	p := placerWithPendingLoad(t)
	require.Empty(t, p.HandleLoadResult(at(3), "e1", "e1-0", ref("a"), placement.LoadDone, ""), "result of an earlier incarnation")
	require.Empty(t, p.HandleLoadResult(at(3), "e1", "e1-1", ref("b"), placement.LoadDone, ""), "result for an adapter that was not ordered")
	require.Empty(t, p.HandleLoadResult(at(3), "e9", "e1-1", ref("a"), placement.LoadDone, ""), "result of an endpoint of another pool")
	require.Equal(t, 1, countGrants(p.HandleLoadResult(at(4), "e1", "e1-1", ref("a"), placement.LoadDone, "")))
	require.Empty(t, p.HandleLoadResult(at(5), "e1", "e1-1", ref("a"), placement.LoadDone, ""), "repeated result")
	require.Empty(t, p.HandleLoadResult(at(5), "e1", "e1-1", ref("a"), placement.LoadFailed, ""), "a late failure does not undo the load")
}

func TestUnansweredLoadIsResolvedByInspection(t *testing.T) {
	for _, row := range []struct {
		name       string
		inspection placement.Inspection
		granted    int
		loads      bool
	}{
		{"the adapter was loaded", inspection(10, ref("a")), 1, false},
		{"the adapter was not loaded", inspection(10), 0, true},
	} {
		p := placerWithPendingLoad(t)
		effects := p.HandleLoadResult(at(5), "e1", "e1-1", ref("a"), placement.LoadUnknown, "")
		require.Len(t, effectsOfType[placement.InspectEndpoint](effects), 1, row.name)
		require.Len(t, effectsOfType[placement.RepeatTakeover](effects), 1, "under a new fence the endpoint refuses the order if it arrives late")
		_, used := p.UsePermit(at(6))
		require.False(t, used, "no load is ordered before the inspection")
		require.Zero(t, countGrants(p.HandleInspection(at(9), inspection(8, row.inspection.Resident...))), "the old fence applies until the endpoint is taken over")
		require.Equal(t, row.granted, countGrants(p.TakeOverEndpoint(at(11), row.inspection, 2, at(11))), row.name)
		_, used = p.UsePermit(at(12))
		require.Equal(t, row.loads, used, row.name)
	}
}

func TestInspectionStartedBeforeLoadDoesNotRemoveIt(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.Submit(at(10), request("q1", "a"))
	orderLoad(t, p, at(11))
	p.HandleLoadResult(at(12), "e1", "e1-1", ref("a"), placement.LoadDone, "")
	p.HandleInspection(at(13), inspection(9))
	require.Len(t, p.Slots(at(14)), 1)
	p.HandleInspection(at(15), inspection(13))
	require.Empty(t, p.Slots(at(16)), "an inspection that began after the load removes the slot")
}

func TestAdapterWithUnansweredUnloadIsNotUsedWithoutFences(t *testing.T) {
	const margin = 3000
	e := endpoint(1)
	e.ChecksFence = false
	o := placement.DefaultOptions()
	o.OrderMargin = margin * time.Millisecond
	p := placement.NewPlacer("h1/base", "i1", []fleet.Endpoint{e}, o)
	p.AllowOrders("e1", begin.Add(time.Hour))
	p.TakeOverEndpoint(begin, inspection(0, ref("a")), 0, begin)
	p.Submit(at(1), request("q1", "b"))
	require.Equal(t, ref("a"), orderLoad(t, p, at(2)).Evict)
	effects := p.HandleLoadResult(at(5), "e1", "e1-1", ref("b"), placement.LoadUnknown, "test")
	require.Empty(t, effectsOfType[placement.RepeatTakeover](effects))
	p.Submit(at(6), request("q2", "a"))
	require.Zero(t, countGrants(p.HandleInspection(at(8), inspection(7, ref("a")))), "the unload may still arrive")
	_, used := p.UsePermit(at(9))
	require.False(t, used, "the slot is occupied, and its adapter is not evicted twice")
	require.Zero(t, countGrants(p.HandleInspection(at(4+margin), inspection(3+margin, ref("a")))))
	require.Zero(t, countGrants(p.HandleInspection(at(6+margin), inspection(4+margin, ref("a")))), "the unload may have arrived after this inspection")
	require.Equal(t, 1, countGrants(p.HandleInspection(at(7+margin), inspection(6+margin, ref("a")))))
}

func TestAdapterIsNotLoadedWhileItsUnloadIsPending(t *testing.T) {
	p := newPlacer(endpoint(2))
	p.HandleInspection(at(2), inspection(1, ref("a"), ref("b")))
	p.Submit(at(3), request("q1", "c"))
	order := orderLoad(t, p, at(4))
	require.Equal(t, ref("a"), order.Evict)
	p.Submit(at(5), request("q2", "a"))
	_, used := p.UsePermit(at(6))
	require.False(t, used, "the load may find the adapter still loaded before the unload takes effect")
	p.HandleLoadResult(at(7), "e1", "e1-1", ref("c"), placement.LoadDone, "")
	require.Equal(t, ref("a"), orderLoad(t, p, at(8)).Adapter)
}

func TestSlotOfLostLoadIsFreedAfterLoadTimeout(t *testing.T) {
	const ordered, timeout = 2, 30_000
	for _, row := range []struct {
		now   int
		slots int
	}{{ordered + timeout - 1, 1}, {ordered + timeout, 0}} {
		p := placerWithPendingLoad(t)
		p.HandleInspection(at(row.now), inspection(row.now))
		require.Len(t, p.Slots(at(row.now)), row.slots, "%d ms after the order", row.now-ordered)
	}
}

func TestWaitersAreRefusedAfterRepeatedLoadFailures(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.Submit(at(1), request("q1", "a"))
	now := at(2)
	for failure := 1; failure <= 5; failure++ {
		orderLoad(t, p, now)
		effects := p.HandleLoadResult(now, "e1", "e1-1", ref("a"), placement.LoadFailed, "no such file")
		if failure < 5 {
			require.Empty(t, refusalReason(effects), "failure %d", failure)
			_, used := p.UsePermit(now)
			require.False(t, used, "the next load is delayed")
		} else {
			require.Equal(t, fleet.ReasonLoadFailing, refusalReason(effects))
		}
		now = now.Add(2 * time.Minute)
		p.HandleInspection(now, placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", StartedAt: now, Up: true})
	}
	require.Empty(t, refusalReason(p.Submit(now, request("q2", "a"))), "after the delay the load is tried again")
}

func TestFrozenEndpointDoesNotUnloadUntilFreezeEnds(t *testing.T) {
	for _, row := range []struct {
		now  int
		used bool
	}{{99, false}, {100, true}} {
		p := newPlacer(endpoint(1))
		p.HandleInspection(at(2), inspection(1, ref("a")))
		require.NotEmpty(t, p.Freeze(at(3), "e1", at(100), "test"))
		require.Empty(t, p.Freeze(at(3), "e1", at(50), "test"), "a shorter freeze changes nothing")
		p.Submit(at(4), request("q1", "b"))
		_, used := p.UsePermit(at(row.now))
		require.Equal(t, row.used, used, "at %d", row.now)
	}
}

func TestThawEndsFreezeOnce(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.HandleInspection(at(2), inspection(1, ref("a")))
	p.Freeze(at(3), "e1", at(100), "test")
	p.Submit(at(4), request("q1", "b"))
	require.NotEmpty(t, p.Thaw(at(5), "e1", "test"))
	require.Empty(t, p.Thaw(at(6), "e1", "test"))
	require.Equal(t, ref("a"), orderLoad(t, p, at(6)).Evict)
}

func TestNoOrdersAfterOrderDeadline(t *testing.T) {
	for _, row := range []struct {
		now  int
		used bool
	}{{99, true}, {100, false}} {
		e := endpoint(1)
		e.ChecksFence = false
		p := newPlacer(e)
		p.AllowOrders("e1", at(100))
		p.Submit(at(1), request("q1", "a"))
		effects, used := p.UsePermit(at(row.now))
		require.Equal(t, row.used, used, "at %d", row.now)
		for _, order := range effectsOfType[placement.Load](effects) {
			require.Equal(t, at(100), order.NotAfter, "the order must not be sent after the deadline")
		}
	}
}
