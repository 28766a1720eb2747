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

// list is the list of endpoint e1 in its first life, begun at the given time.
func list(began int, resident ...fleet.AdapterRef) placement.Inspection {
	return placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", Began: at(began), Up: true, Resident: resident}
}

// loading makes a placer of one slot whose load of adapter a was ordered at 2.
func loading(t *testing.T) *placement.Placer {
	t.Helper()
	p := newPlacer(endpoint(1))
	p.Submit(at(1), request("q1", "a"))
	load(t, p, at(2))
	return p
}

func grants(effects []placement.Effect) int {
	return len(only[placement.Grant](effects))
}

func TestEndOfALoadUnderDelayAndRepetition(t *testing.T) {
	p := loading(t)
	require.Empty(t, p.Loaded(at(3), "e1", "e1-0", ref("a"), placement.LoadDone, ""), "of an earlier life of the endpoint")
	require.Empty(t, p.Loaded(at(3), "e1", "e1-1", ref("b"), placement.LoadDone, ""), "of an adapter that was not ordered")
	require.Empty(t, p.Loaded(at(3), "e9", "e1-1", ref("a"), placement.LoadDone, ""), "of an endpoint of another pool")
	require.Equal(t, 1, grants(p.Loaded(at(4), "e1", "e1-1", ref("a"), placement.LoadDone, "")))
	require.Empty(t, p.Loaded(at(5), "e1", "e1-1", ref("a"), placement.LoadDone, ""), "repeated")
	require.Empty(t, p.Loaded(at(5), "e1", "e1-1", ref("a"), placement.LoadFailed, ""), "a late failure takes nothing back")
}

func TestLoadWithoutAnAnswerIsSettledByTheEndpointsList(t *testing.T) {
	for _, row := range []struct {
		name    string
		list    placement.Inspection
		granted int
		loads   bool
	}{
		{"it was loaded", list(10, ref("a")), 1, false},
		{"it was not", list(10), 0, true},
	} {
		p := loading(t)
		effects := p.Loaded(at(5), "e1", "e1-1", ref("a"), placement.LoadUnknown, "")
		require.Len(t, only[placement.Inspect](effects), 1, row.name)
		require.Len(t, only[placement.Retake](effects), 1, "under a new fence the endpoint refuses the order if it is only late")
		_, used := p.UsePermit(at(6))
		require.False(t, used, "nothing is ordered before the list is known")
		require.Zero(t, grants(p.Inspected(at(9), list(8, row.list.Resident...))), "the old fence counts until the endpoint is taken")
		require.Equal(t, row.granted, grants(p.Adopt(at(11), row.list, 2, at(11))), row.name)
		_, used = p.UsePermit(at(12))
		require.Equal(t, row.loads, used, row.name)
	}
}

func TestListThatBeganBeforeAnOrderDoesNotUndoIt(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.Submit(at(10), request("q1", "a"))
	load(t, p, at(11))
	p.Loaded(at(12), "e1", "e1-1", ref("a"), placement.LoadDone, "")
	p.Inspected(at(13), list(9))
	require.Len(t, p.Slots(at(14)), 1)
	p.Inspected(at(15), list(13))
	require.Empty(t, p.Slots(at(16)), "a younger list does")
}

func TestALateUnloadFindsItsAdapterUnusedWhereNoFenceIsChecked(t *testing.T) {
	const margin = 3000
	e := endpoint(1)
	e.ChecksFence = false
	o := placement.DefaultOptions()
	o.OrderMargin = margin * time.Millisecond
	p := placement.NewPlacer("h1/base", "i1", []fleet.Endpoint{e}, o)
	p.AllowOrders("e1", begin.Add(time.Hour))
	p.Adopt(begin, list(0, ref("a")), 0, begin)
	p.Submit(at(1), request("q1", "b"))
	require.Equal(t, ref("a"), load(t, p, at(2)).Evict)
	effects := p.Loaded(at(5), "e1", "e1-1", ref("b"), placement.LoadUnknown, "test")
	require.Empty(t, only[placement.Retake](effects))
	p.Submit(at(6), request("q2", "a"))
	require.Zero(t, grants(p.Inspected(at(8), list(7, ref("a")))), "the unload may still arrive")
	_, used := p.UsePermit(at(9))
	require.False(t, used, "its slot is taken, and it is not evicted twice")
	require.Zero(t, grants(p.Inspected(at(4+margin), list(3+margin, ref("a")))))
	require.Zero(t, grants(p.Inspected(at(6+margin), list(4+margin, ref("a")))), "the unload may have arrived after this list was read")
	require.Equal(t, 1, grants(p.Inspected(at(7+margin), list(6+margin, ref("a")))))
}

func TestAnAdapterIsNotLoadedWhereItsUnloadIsUnderWay(t *testing.T) {
	p := newPlacer(endpoint(2))
	p.Inspected(at(2), list(1, ref("a"), ref("b")))
	p.Submit(at(3), request("q1", "c"))
	order := load(t, p, at(4))
	require.Equal(t, ref("a"), order.Evict)
	p.Submit(at(5), request("q2", "a"))
	_, used := p.UsePermit(at(6))
	require.False(t, used, "the unload may end after the load, which then finds the adapter there")
	p.Loaded(at(7), "e1", "e1-1", ref("c"), placement.LoadDone, "")
	require.Equal(t, ref("a"), load(t, p, at(8)).Adapter)
}

func TestLostOrderIsGivenUpAfterTheLoadTimeout(t *testing.T) {
	const ordered, timeout = 2, 30_000
	for _, row := range []struct {
		now   int
		slots int
	}{{ordered + timeout - 1, 1}, {ordered + timeout, 0}} {
		p := loading(t)
		p.Inspected(at(row.now), list(row.now))
		require.Len(t, p.Slots(at(row.now)), row.slots, "%d ms after the order", row.now-ordered)
	}
}

func TestWaitersAreRefusedWhenLoadsKeepFailing(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.Submit(at(1), request("q1", "a"))
	now := at(2)
	for failure := 1; failure <= 5; failure++ {
		load(t, p, now)
		effects := p.Loaded(now, "e1", "e1-1", ref("a"), placement.LoadFailed, "no such file")
		if failure < 5 {
			require.Empty(t, refusal(effects), "failure %d", failure)
			_, used := p.UsePermit(now)
			require.False(t, used, "the next try waits")
		} else {
			require.Equal(t, fleet.ReasonLoadFailing, refusal(effects))
		}
		now = now.Add(2 * time.Minute)
		p.Inspected(now, placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", Began: now, Up: true})
	}
	require.Empty(t, refusal(p.Submit(now, request("q2", "a"))), "after the wait it is tried again")
}

func TestFrozenEndpointUnloadsNothingUntilItsTime(t *testing.T) {
	for _, row := range []struct {
		now  int
		used bool
	}{{99, false}, {100, true}} {
		p := newPlacer(endpoint(1))
		p.Inspected(at(2), list(1, ref("a")))
		require.NotEmpty(t, p.Freeze(at(3), "e1", at(100), "test"))
		require.Empty(t, p.Freeze(at(3), "e1", at(50), "test"), "a shorter freeze changes nothing")
		p.Submit(at(4), request("q1", "b"))
		_, used := p.UsePermit(at(row.now))
		require.Equal(t, row.used, used, "at %d", row.now)
	}
}

func TestThawLiftsAFreezeOnce(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.Inspected(at(2), list(1, ref("a")))
	p.Freeze(at(3), "e1", at(100), "test")
	p.Submit(at(4), request("q1", "b"))
	require.NotEmpty(t, p.Thaw(at(5), "e1", "test"))
	require.Empty(t, p.Thaw(at(6), "e1", "test"))
	require.Equal(t, ref("a"), load(t, p, at(6)).Evict)
}

func TestRightToOrderEndsAtItsTime(t *testing.T) {
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
		for _, order := range only[placement.Load](effects) {
			require.Equal(t, at(100), order.NotAfter, "the order is not sent later, either")
		}
	}
}
