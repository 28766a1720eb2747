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

// newPlacer makes a placer whose endpoints are up and empty.
func newPlacer(endpoints ...fleet.Endpoint) *placement.Placer {
	o := placement.DefaultOptions()
	o.Classes = []fleet.Class{{Name: "c", Priority: 5, StallWeight: 1}, {Name: "patient", Priority: 1, StallWeight: 0.1, Patient: true}}
	p := placement.NewPlacer("h1/base", "i1", endpoints, o)
	for _, e := range endpoints {
		p.Adopt(begin, placement.Inspection{Endpoint: e.Name, Incarnation: e.Name + "-1", Began: begin, Up: true}, 1, begin)
	}
	return p
}

func only[T placement.Effect](effects []placement.Effect) []T {
	var out []T
	for _, e := range effects {
		if x, ok := e.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// load spends a permit and ends the load at once.
func load(t *testing.T, p *placement.Placer, now time.Time) placement.Load {
	t.Helper()
	effects, used := p.UsePermit(now)
	require.True(t, used)
	orders := only[placement.Load](effects)
	require.Len(t, orders, 1)
	return orders[0]
}

func TestTicketDeclaredBeforeItsSlotIsKnown(t *testing.T) {
	p := newPlacer(endpoint(1))
	held := fleet.Ticket{ID: "t1", RequestID: "q1", Endpoint: "e1", Incarnation: "e1-1", Adapter: ref("a"), Entry: "i2"}
	p.Redeclare(at(1), held, request("q1", "a"))
	p.Inspected(at(2), placement.Inspection{
		Endpoint: "e1", Incarnation: "e1-1", Began: at(1), Up: true, Resident: []fleet.AdapterRef{ref("a")}, Running: []fleet.AdapterRef{ref("a")},
	})
	p.Submit(at(3), request("q2", "b"))
	_, used := p.UsePermit(at(4))
	require.False(t, used, "the only slot is in use by a ticket and must not be evicted")
	p.Return(at(5), "t1")
	require.Equal(t, ref("a"), load(t, p, at(6)).Evict)
}

func TestOwnTicketDoesNotHideAFormerPlacersRequest(t *testing.T) {
	p := newPlacer(endpoint(1))
	listed := func(began int, running ...fleet.AdapterRef) placement.Inspection {
		return placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", Began: at(began), Up: true, Resident: []fleet.AdapterRef{ref("a")}, Running: running}
	}
	p.Adopt(at(2), listed(1, ref("a")), 2, at(2))
	granted := only[placement.Grant](p.Submit(at(3), request("q1", "a")))
	require.Len(t, granted, 1)
	p.Inspected(at(5), listed(4, ref("a")))
	p.Return(at(6), granted[0].Ticket.ID)
	p.Submit(at(7), request("q2", "b"))
	_, used := p.UsePermit(at(8))
	require.False(t, used, "a request of the former placer may still run on the adapter")
	p.Inspected(at(10), listed(9))
	require.Equal(t, ref("a"), load(t, p, at(11)).Evict)
}

func TestOlderListIsNotTakenIn(t *testing.T) {
	p := newPlacer(endpoint(1))
	young := placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", Began: at(5), Up: true, Resident: []fleet.AdapterRef{ref("a")}, Running: []fleet.AdapterRef{ref("a")}}
	p.Inspected(at(6), young)
	p.Inspected(at(7), placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", Began: at(3), Up: true, Resident: []fleet.AdapterRef{ref("a")}})
	p.Submit(at(8), request("q1", "b"))
	_, used := p.UsePermit(at(9))
	require.False(t, used, "the older list does not show the request that the younger one does")
}

func TestRestartedEndpointIsTakenAgainBeforeUse(t *testing.T) {
	p := newPlacer(endpoint(2))
	effects := p.Inspected(at(2), placement.Inspection{Endpoint: "e1", Incarnation: "e1-2", Began: at(1), Up: true})
	require.Len(t, only[placement.Retake](effects), 1)
	p.Submit(at(3), request("q1", "a"))
	_, used := p.UsePermit(at(4))
	require.False(t, used, "the restarted endpoint has forgotten the fence")
	p.Adopt(at(6), placement.Inspection{Endpoint: "e1", Incarnation: "e1-2", Began: at(5), Up: true}, 2, at(6))
	p.Submit(at(7), request("q2", "a"))
	require.Equal(t, "e1-2", load(t, p, at(8)).Incarnation)
}

func TestNoGrantWithoutFencesBeforeTheLeaseWasHeld(t *testing.T) {
	e := endpoint(1)
	e.ChecksFence = false
	p := newPlacer(e)
	p.AllowOrders("e1", time.Time{})
	p.Inspected(at(2), placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", Began: at(1), Up: true, Resident: []fleet.AdapterRef{ref("a")}})
	require.Empty(t, only[placement.Grant](p.Submit(at(3), request("q1", "a"))), "the owner may unload the adapter at any time")
	p.AllowOrders("e1", at(5))
	require.Len(t, only[placement.Grant](p.Submit(at(4), request("q2", "a"))), 1)
	require.Len(t, only[placement.Grant](p.Submit(at(50), request("q3", "a"))), 1, "after the lapse what is resident is served on")
	p.Submit(at(51), request("q4", "b"))
	_, used := p.UsePermit(at(52))
	require.False(t, used, "no orders after the lapse")
}

func TestRepeatedGrantIsYoungAgain(t *testing.T) {
	p := newPlacer(endpoint(1))
	p.Inspected(at(2), placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", Began: at(1), Up: true, Resident: []fleet.AdapterRef{ref("a")}})
	first := only[placement.Grant](p.Submit(at(3), request("q1", "a")))
	again := only[placement.Grant](p.Submit(at(20000), request("q1", "a")))
	require.Equal(t, first[0].Ticket.ID, again[0].Ticket.ID)
	p.Reconfirm(at(20010), "i1", nil, 10*time.Second)
	p.Submit(at(20020), request("q2", "b"))
	_, used := p.UsePermit(at(20030))
	require.False(t, used, "the entry may have the repeated grant by now")
}
