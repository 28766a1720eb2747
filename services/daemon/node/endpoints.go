// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// tickPools lets the placers work and looks at the endpoints in turn.
func (n *Node) tickPools(now time.Time) {
	for _, ps := range n.order {
		if !ps.mine {
			continue
		}
		n.run(now, ps, ps.placer.Tick(now))
		n.inspectDue(now, ps)
		n.thawDue(now, ps)
	}
}

func (n *Node) inspectDue(now time.Time, ps *poolState) {
	for _, e := range ps.takeover.InspectionsDue(now) {
		n.emit(Inspect{Pool: ps.pool.Name, Term: ps.term, Endpoint: e})
	}
}

// Inspected takes an endpoint's own list, which corrects what the placer knows and may lift a freeze.
func (n *Node) Inspected(now time.Time, pool string, term uint64, in placement.Inspection) []Effect {
	ps := n.pools[pool]
	if ps == nil || !ps.mine || ps.term != term {
		return nil
	}
	ps.takeover.Inspect(now, in.Endpoint)
	n.run(now, ps, ps.placer.Inspected(now, in))
	n.thaw(now, ps, in)
	n.spend(now)
	return n.take()
}

// LoadResult is the end of an ordered load.
type LoadResult struct {
	Pool        string
	Term        uint64
	Endpoint    string
	Incarnation string
	Adapter     fleet.AdapterRef
	Result      placement.LoadResult
	Cause       string
	// FenceLost is true where the endpoint obeys another fence by now.
	FenceLost bool
}

// Loaded takes the end of an ordered load.
func (n *Node) Loaded(now time.Time, r LoadResult) []Effect {
	ps := n.pools[r.Pool]
	if ps == nil || !ps.mine || ps.term != r.Term {
		return nil
	}
	if held, ok := ps.permits[r.Adapter]; ok {
		delete(ps.permits, r.Adapter)
		n.permitDone(now, r.Pool, held, true)
	}
	if r.FenceLost {
		n.note(now, fleet.Event{Kind: fleet.EventOrderRefused, Pool: r.Pool, Endpoint: r.Endpoint, Adapter: r.Adapter.String(), Cause: r.Cause})
		n.loseFence(now, ps, r.Endpoint)
	}
	n.run(now, ps, ps.placer.Loaded(now, r.Endpoint, r.Incarnation, r.Adapter, r.Result, r.Cause))
	n.spend(now)
	return n.take()
}

// loseFence stops the use of an endpoint that obeys another instance.
func (n *Node) loseFence(now time.Time, ps *poolState, endpoint string) {
	ps.takeover.LoseFence(now, endpoint)
	ps.placer.LoseFence(endpoint)
}
