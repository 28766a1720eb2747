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

// unfencedPlacer returns a placer with one endpoint that does not check fences and has one slot, which holds adapter a.
func unfencedPlacer() *placement.Placer {
	e := endpoint(1)
	e.ChecksFence = false
	p := newPlacer(e)
	p.AllowOrders("e1", begin.Add(time.Hour))
	p.HandleInspection(at(2), inspectionWithA("e1-1", 1))
	return p
}

// inspectionWithA returns an inspection of the given incarnation that began at the given time and reports adapter a as resident.
func inspectionWithA(incarnation string, began int, running ...fleet.AdapterRef) placement.Inspection {
	return placement.Inspection{
		Endpoint: "e1", Incarnation: incarnation, StartedAt: at(began), Up: true, Resident: []fleet.AdapterRef{ref("a")}, Running: running,
	}
}

func TestAdapterIsNotGrantedUntilUnloadFromBeforeRestartEnds(t *testing.T) {
	p := unfencedPlacer()
	p.Submit(at(3), request("q1", "b"))
	ordered := orderLoad(t, p, at(4))
	require.Equal(t, ref("a"), ordered.Evict)
	p.HandleInspection(at(6), inspectionWithA("e1-2", 3))
	require.Empty(t, effectsOfType[placement.Grant](p.Submit(at(7), request("q2", "a"))), "the unload of a may still arrive")
	require.Empty(t, effectsOfType[placement.Grant](p.HandleInspection(at(9), inspectionWithA("e1-2", 8))), "the unload of a may still arrive after an inspection that began after the restart")
	ended := p.HandleLoadResult(at(10), "e1", ordered.Incarnation, ordered.Adapter, placement.LoadFailed, "test")
	require.Len(t, effectsOfType[placement.InspectEndpoint](ended), 1, "a new inspection shows the effect of the order")
	require.Empty(t, effectsOfType[placement.Grant](p.HandleInspection(at(12), inspectionWithA("e1-2", 9))), "this inspection began before the order ended")
	require.Len(t, effectsOfType[placement.Grant](p.HandleInspection(at(14), inspectionWithA("e1-2", 11))), 1)
}

func TestUnansweredOrderFromBeforeRestartBlocksEndpointUntilTimeout(t *testing.T) {
	p := unfencedPlacer()
	p.Submit(at(3), request("q1", "b"))
	orderLoad(t, p, at(4))
	p.HandleInspection(at(6), inspectionWithA("e1-2", 5))
	p.Submit(at(7), request("q2", "a"))
	limit := int(placement.DefaultOptions().LoadTimeout / time.Millisecond)
	require.Empty(t, effectsOfType[placement.Grant](p.HandleInspection(at(3+limit), inspectionWithA("e1-2", 2+limit))))
	require.Empty(t, effectsOfType[placement.Grant](p.HandleInspection(at(6+limit), inspectionWithA("e1-2", 3+limit))), "the order may have arrived after this inspection began")
	require.Len(t, effectsOfType[placement.Grant](p.HandleInspection(at(7+limit), inspectionWithA("e1-2", 6+limit))), 1)
}

func TestTicketFromBeforeRestartKeepsAdapterInUseWithoutFences(t *testing.T) {
	p := unfencedPlacer()
	granted := effectsOfType[placement.Grant](p.Submit(at(3), request("q1", "a")))
	require.Len(t, granted, 1)
	p.HandleInspection(at(6), inspectionWithA("e1-2", 5))
	p.Submit(at(7), request("q2", "b"))
	_, used := p.UsePermit(at(8))
	require.False(t, used, "the request of the first ticket may start after the restart, since the endpoint does not check the incarnation")
	p.ReturnTicket(at(9), granted[0].Ticket.ID)
	require.Equal(t, ref("a"), orderLoad(t, p, at(10)).Evict)
}

func TestTicketFromBeforeRestartIsDroppedWithFences(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.HandleInspection(at(2), inspectionWithA("e1-1", 1))
	require.Len(t, effectsOfType[placement.Grant](p.Submit(at(3), request("q1", "a"))), 1)
	p.HandleInspection(at(6), inspectionWithA("e1-2", 5))
	p.TakeOverEndpoint(at(8), inspectionWithA("e1-2", 7), 2, at(8))
	p.Submit(at(9), request("q2", "b"))
	require.Equal(t, ref("a"), orderLoad(t, p, at(10)).Evict, "the endpoint refuses the ticket's incarnation")
}
