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

var begin = time.Unix(1000, 0)

func at(ms int) time.Time {
	return begin.Add(time.Duration(ms) * time.Millisecond)
}

func ref(name string) fleet.AdapterRef {
	return fleet.AdapterRef{Name: name, Version: 1}
}

func endpoint(slots int) fleet.Endpoint {
	return fleet.Endpoint{
		Name: "e1", Hall: "h1", Kind: fleet.KindEngine, Bases: []string{"base"}, Slots: slots, MaxBatch: 4,
		Step: 20 * time.Millisecond, Load: 300 * time.Millisecond, ChecksFence: true,
	}
}

func request(id, adapter string) fleet.Request {
	return fleet.Request{ID: id, Caller: "caller", Class: "c", Base: "base", Adapter: ref(adapter), PromptTokens: 10, OutputTokens: 10, Entry: "i1"}
}

// newPlacer returns a placer whose endpoints are up and hold no adapters.
func newPlacer(endpoints ...fleet.Endpoint) *placement.Placer {
	o := placement.DefaultOptions()
	o.Classes = []fleet.Class{{Name: "c", Priority: 5, StallWeight: 1}, {Name: "patient", Priority: 1, StallWeight: 0.1, Patient: true}}
	p := placement.NewPlacer("h1/base", "i1", endpoints, o)
	for _, e := range endpoints {
		p.TakeOverEndpoint(begin, placement.Inspection{Endpoint: e.Name, Incarnation: e.Name + "-1", StartedAt: begin, Up: true}, 1, begin)
	}
	return p
}

func effectsOfType[T placement.Effect](effects []placement.Effect) []T {
	var out []T
	for _, e := range effects {
		if x, ok := e.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// orderLoad uses a permit and returns the load that the placer orders.
func orderLoad(t *testing.T, p *placement.Placer, now time.Time) placement.Load {
	t.Helper()
	effects, used := p.UsePermit(now)
	require.True(t, used)
	orders := effectsOfType[placement.Load](effects)
	require.Len(t, orders, 1)
	return orders[0]
}

func TestTicketRestoredBeforeItsSlotIsReported(t *testing.T) {
	p := newPlacer(endpoint(1))
	held := fleet.Ticket{ID: "t1", RequestID: "q1", Endpoint: "e1", Incarnation: "e1-1", Adapter: ref("a"), Entry: "i2"}
	p.RestoreTicket(at(1), held, request("q1", "a"))
	p.HandleInspection(at(2), placement.Inspection{
		Endpoint: "e1", Incarnation: "e1-1", StartedAt: at(1), Up: true, Resident: []fleet.AdapterRef{ref("a")}, Running: []fleet.AdapterRef{ref("a")},
	})
	p.Submit(at(3), request("q2", "b"))
	_, used := p.UsePermit(at(4))
	require.False(t, used, "the adapter of the only slot is in use by a ticket and must not be evicted")
	p.ReturnTicket(at(5), "t1")
	require.Equal(t, ref("a"), orderLoad(t, p, at(6)).Evict)
}

func TestOwnTicketDoesNotHideRequestOfPreviousPlacer(t *testing.T) {
	p := newPlacer(endpoint(1))
	listed := func(began int, running ...fleet.AdapterRef) placement.Inspection {
		return placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", StartedAt: at(began), Up: true, Resident: []fleet.AdapterRef{ref("a")}, Running: running}
	}
	p.TakeOverEndpoint(at(2), listed(1, ref("a")), 2, at(2))
	granted := effectsOfType[placement.Grant](p.Submit(at(3), request("q1", "a")))
	require.Len(t, granted, 1)
	p.HandleInspection(at(5), listed(4, ref("a")))
	p.ReturnTicket(at(6), granted[0].Ticket.ID)
	p.Submit(at(7), request("q2", "b"))
	_, used := p.UsePermit(at(8))
	require.False(t, used, "a request granted by the previous placer may still use the adapter")
	p.HandleInspection(at(10), listed(9))
	require.Equal(t, ref("a"), orderLoad(t, p, at(11)).Evict)
}

func TestOlderInspectionIsIgnored(t *testing.T) {
	p := newPlacer(endpoint(1))
	newer := placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", StartedAt: at(5), Up: true, Resident: []fleet.AdapterRef{ref("a")}, Running: []fleet.AdapterRef{ref("a")}}
	p.HandleInspection(at(6), newer)
	p.HandleInspection(at(7), placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", StartedAt: at(3), Up: true, Resident: []fleet.AdapterRef{ref("a")}})
	p.Submit(at(8), request("q1", "b"))
	_, used := p.UsePermit(at(9))
	require.False(t, used, "the older inspection lacks the running request that the newer one reports")
}

func TestRestartedEndpointIsNotUsedBeforeItIsTakenOverAgain(t *testing.T) {
	p := newPlacer(endpoint(2))
	effects := p.HandleInspection(at(2), placement.Inspection{Endpoint: "e1", Incarnation: "e1-2", StartedAt: at(1), Up: true})
	require.Len(t, effectsOfType[placement.RepeatTakeover](effects), 1)
	p.Submit(at(3), request("q1", "a"))
	_, used := p.UsePermit(at(4))
	require.False(t, used, "the restarted endpoint has lost the fence")
	p.TakeOverEndpoint(at(6), placement.Inspection{Endpoint: "e1", Incarnation: "e1-2", StartedAt: at(5), Up: true}, 2, at(6))
	p.Submit(at(7), request("q2", "a"))
	require.Equal(t, "e1-2", orderLoad(t, p, at(8)).Incarnation)
}

func TestUnfencedEndpointIsNotGrantedBeforeLeaseIsHeld(t *testing.T) {
	e := endpoint(1)
	e.ChecksFence = false
	p := newPlacer(e)
	p.AllowOrders("e1", time.Time{})
	p.HandleInspection(at(2), placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", StartedAt: at(1), Up: true, Resident: []fleet.AdapterRef{ref("a")}})
	require.Empty(t, effectsOfType[placement.Grant](p.Submit(at(3), request("q1", "a"))), "the lease holder may unload the adapter at any time")
	p.AllowOrders("e1", at(5))
	require.Len(t, effectsOfType[placement.Grant](p.Submit(at(4), request("q2", "a"))), 1)
	require.Len(t, effectsOfType[placement.Grant](p.Submit(at(50), request("q3", "a"))), 1, "resident adapters are granted after the lease has expired")
	p.Submit(at(51), request("q4", "b"))
	_, used := p.UsePermit(at(52))
	require.False(t, used, "no load is ordered after the lease has expired")
}

func TestRepeatedGrantRestartsItsAge(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.HandleInspection(at(2), placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", StartedAt: at(1), Up: true, Resident: []fleet.AdapterRef{ref("a")}})
	first := effectsOfType[placement.Grant](p.Submit(at(3), request("q1", "a")))
	again := effectsOfType[placement.Grant](p.Submit(at(20000), request("q1", "a")))
	require.Equal(t, first[0].Ticket.ID, again[0].Ticket.ID)
	p.ReconcileTickets(at(20010), "i1", nil, 10*time.Second)
	p.Submit(at(20020), request("q2", "b"))
	_, used := p.UsePermit(at(20030))
	require.False(t, used, "the entry may have received the repeated grant")
}
