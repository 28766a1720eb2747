// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/services/placement"
)

var begin = time.Unix(1000, 0)

func at(ms int) time.Time {
	return begin.Add(time.Duration(ms) * time.Millisecond)
}

func ref(name string) fleet.AdapterRef {
	return fleet.AdapterRef{Name: name, Version: 1}
}

func endpoint(name string, slots, batch int) fleet.Endpoint {
	return fleet.Endpoint{
		Name: name, Hall: "h1", Kind: fleet.KindEngine, Bases: []string{"base"}, Slots: slots, MaxBatch: batch,
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
	p := newPlacer(endpoint("e1", 1, 4))
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
