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

// unfencedPlacer makes a placer whose one endpoint checks no fences, holds a and has one slot.
func unfencedPlacer() *placement.Placer {
	e := endpoint(1)
	e.ChecksFence = false
	p := newPlacer(e)
	p.AllowOrders("e1", begin.Add(time.Hour))
	p.Inspected(at(2), ofLife("e1-1", 1))
	return p
}

// ofLife is the list of a life of the endpoint that began to be read at the given time and shows a as resident.
func ofLife(incarnation string, began int, running ...fleet.AdapterRef) placement.Inspection {
	return placement.Inspection{
		Endpoint: "e1", Incarnation: incarnation, Began: at(began), Up: true, Resident: []fleet.AdapterRef{ref("a")}, Running: running,
	}
}

func TestAnUnloadOrderedBeforeARestartWasSeenEndsBeforeItsAdapterIsGranted(t *testing.T) {
	p := unfencedPlacer()
	p.Submit(at(3), request("q1", "b"))
	ordered := load(t, p, at(4))
	require.Equal(t, ref("a"), ordered.Evict)
	p.Inspected(at(6), ofLife("e1-2", 3))
	require.Empty(t, only[placement.Grant](p.Submit(at(7), request("q2", "a"))), "the unload of a is still on its way")
	require.Empty(t, only[placement.Grant](p.Inspected(at(9), ofLife("e1-2", 8))), "and so it is by a list of after the restart")
	ended := p.Loaded(at(10), "e1", ordered.Incarnation, ordered.Adapter, placement.LoadFailed, "test")
	require.Len(t, only[placement.Inspect](ended), 1, "what the order has done is seen by a new list")
	require.Empty(t, only[placement.Grant](p.Inspected(at(12), ofLife("e1-2", 9))), "this list was read before the order ended")
	require.Len(t, only[placement.Grant](p.Inspected(at(14), ofLife("e1-2", 11))), 1)
}

func TestAnOrderOfBeforeARestartWithoutAnEndHoldsTheEndpointForItsTimeOut(t *testing.T) {
	p := unfencedPlacer()
	p.Submit(at(3), request("q1", "b"))
	load(t, p, at(4))
	p.Inspected(at(6), ofLife("e1-2", 5))
	p.Submit(at(7), request("q2", "a"))
	limit := int(placement.DefaultOptions().LoadTimeout / time.Millisecond)
	require.Empty(t, only[placement.Grant](p.Inspected(at(3+limit), ofLife("e1-2", 2+limit))))
	require.Empty(t, only[placement.Grant](p.Inspected(at(6+limit), ofLife("e1-2", 3+limit))), "the order may have come after this list was read")
	require.Len(t, only[placement.Grant](p.Inspected(at(7+limit), ofLife("e1-2", 6+limit))), 1)
}

func TestATicketOfBeforeARestartWasSeenKeepsItsAdapterWhereNoFenceIsChecked(t *testing.T) {
	p := unfencedPlacer()
	granted := only[placement.Grant](p.Submit(at(3), request("q1", "a")))
	require.Len(t, granted, 1)
	p.Inspected(at(6), ofLife("e1-2", 5))
	p.Submit(at(7), request("q2", "b"))
	_, used := p.UsePermit(at(8))
	require.False(t, used, "the request of the first ticket may start in the new life, which does not check the incarnation")
	p.Return(at(9), granted[0].Ticket.ID)
	require.Equal(t, ref("a"), load(t, p, at(10)).Evict)
}

func TestATicketOfBeforeARestartCountsNoMoreWhereFencesAreChecked(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.Inspected(at(2), ofLife("e1-1", 1))
	require.Len(t, only[placement.Grant](p.Submit(at(3), request("q1", "a"))), 1)
	p.Inspected(at(6), ofLife("e1-2", 5))
	p.Adopt(at(8), ofLife("e1-2", 7), 2, at(8))
	p.Submit(at(9), request("q2", "b"))
	require.Equal(t, ref("a"), load(t, p, at(10)).Evict, "the endpoint refuses the ticket's incarnation")
}
