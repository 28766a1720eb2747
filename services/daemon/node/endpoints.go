// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// tickPools runs the placers of this node's pools and requests the endpoint inspections that are due.
func (n *Node) tickPools(now time.Time) {
	for _, ps := range n.poolList {
		if !ps.isPlacer {
			continue
		}
		n.applyPlacerEffects(now, ps, ps.placer.Tick(now))
		n.sendDueInspections(now, ps)
		n.checkFormerOwners(now, ps)
	}
}

func (n *Node) sendDueInspections(now time.Time, ps *poolState) {
	for _, e := range ps.takeover.InspectionsDue(now) {
		n.emit(InspectEndpoint{Pool: ps.pool.Name, Term: ps.term, Endpoint: e})
	}
}

// HandleInspection processes an endpoint's inspection, which corrects the placer's state and may lift a freeze.
func (n *Node) HandleInspection(now time.Time, pool string, term uint64, in placement.Inspection) []Effect {
	ps := n.pools[pool]
	if ps == nil || !ps.isPlacer || ps.term != term {
		return nil
	}
	ps.takeover.MarkInspected(now, in.Endpoint)
	n.applyPlacerEffects(now, ps, ps.placer.HandleInspection(now, in))
	n.thaw(now, ps, in)
	n.bidAndGrantPermits(now)
	return n.takeEffects()
}

// LoadResult is the result of an ordered load.
type LoadResult struct {
	Pool        string
	Term        uint64
	Endpoint    string
	Incarnation string
	Adapter     fleet.AdapterRef
	Outcome     placement.LoadOutcome
	Cause       string
	// FenceLost is true if the endpoint holds another instance's fence by now.
	FenceLost bool
}

// HandleLoadResult processes the result of an ordered load.
func (n *Node) HandleLoadResult(now time.Time, r LoadResult) []Effect {
	ps := n.pools[r.Pool]
	if ps == nil || !ps.isPlacer || ps.term != r.Term {
		return nil
	}
	if held, ok := ps.permitsInUse[r.Adapter]; ok {
		delete(ps.permitsInUse, r.Adapter)
		n.permitDone(now, r.Pool, held, true)
	}
	if r.FenceLost {
		n.recordEvent(now, fleet.Event{Kind: fleet.EventOrderRefused, Pool: r.Pool, Endpoint: r.Endpoint, Adapter: r.Adapter.String(), Cause: r.Cause})
		n.handleFenceLoss(now, ps, r.Endpoint)
	}
	n.applyPlacerEffects(now, ps, ps.placer.HandleLoadResult(now, r.Endpoint, r.Incarnation, r.Adapter, r.Outcome, r.Cause))
	n.bidAndGrantPermits(now)
	return n.takeEffects()
}

// handleFenceLoss stops the use of an endpoint that holds another instance's fence.
func (n *Node) handleFenceLoss(now time.Time, ps *poolState, endpoint string) {
	ps.takeover.RecordFenceLoss(now, endpoint)
	ps.placer.MarkFenceLost(endpoint)
}
