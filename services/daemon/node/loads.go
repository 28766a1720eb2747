// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/loads"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// ledgerHost returns the instance that divides the weight store's rate among the
// reachable halls: the speaker of the hall that loads.BudgetHall chooses by hashing.
func (n *Node) ledgerHost() (fleet.Instance, bool) {
	hall := loads.BudgetHall(n.visibleHalls())
	if hall == n.options.Self.Hall {
		return n.speaker()
	}
	r := n.remoteHalls[hall]
	if r == nil {
		return fleet.Instance{}, false
	}
	return r.Speaker()
}

// visibleHalls returns the names of the halls that are not cut off from this one, including this one.
func (n *Node) visibleHalls() []string {
	halls := []string{n.options.Self.Hall}
	for name, r := range n.remoteHalls {
		if !r.CutOff() {
			halls = append(halls, name)
		}
	}
	slices.Sort(halls)
	return halls
}

// tickBudget updates the ledger's limits, makes the bids of this node's pools and grants permits if the ledger is here.
func (n *Node) tickBudget(now time.Time) {
	limits := n.options.Budget
	if b := n.config.Catalog().Budget; b.LoadsPerSecond > 0 && b.AtFullSpeed > 0 {
		limits.LoadsPerSecond, limits.AtFullSpeed = b.LoadsPerSecond, b.AtFullSpeed
	}
	n.ledger.SetLimits(now, limits.Scale(len(n.visibleHalls()), len(n.remoteHalls)+1))
	n.bidAndGrantPermits(now)
}

// bidAndGrantPermits makes the bids that are due and, if the ledger is here, grants the permits that the rate allows.
func (n *Node) bidAndGrantPermits(now time.Time) {
	host, ok := n.ledgerHost()
	if !ok {
		return
	}
	self := host.ID == n.options.Self.ID
	for _, ps := range n.poolList {
		if ps.isPlacer && ps.bidder.BidDue(now) {
			n.makeBid(now, ps, host, self)
		}
	}
	if self {
		n.grantPermits(now)
	}
}

func (n *Node) makeBid(now time.Time, ps *poolState, host fleet.Instance, self bool) {
	if loads.Recovering(ps.takeover.Age(now), ps.pool.Name, n.options.Self.ID, n.options.Timing.RecoveryDelay) {
		return
	}
	b, wants := ps.placer.BestBid(now)
	if !ps.bidder.RecordBid(now, wants) {
		return
	}
	if !wants {
		b.Value = 0
	}
	if self {
		n.ledger.SetBid(now, ps.pool.Name, b.Value, b.Preload)
		return
	}
	if ps.bidder.SendDue(now, b.Value, wants) {
		n.send(host, fleet.Envelope{Bid: &fleet.Bid{Pool: ps.pool.Name, Value: b.Value, Preload: b.Preload}})
	}
}

func (n *Node) handleBid(now time.Time, e fleet.Envelope) {
	n.ledger.SetBid(now, e.Bid.Pool, e.Bid.Value, e.Bid.Preload)
}

func (n *Node) grantPermits(now time.Time) {
	for {
		permit, ok := n.ledger.Grant(now)
		if !ok {
			return
		}
		ps := n.pools[permit.Pool]
		if ps == nil {
			n.ledger.ReturnPermit(now, permit.ID, false)
			continue
		}
		if ps.isPlacer {
			n.usePermit(now, ps, loads.HeldPermit{From: n.options.Self, ID: permit.ID})
			continue
		}
		to, found := n.placerOf(ps)
		if !found {
			n.ledger.ReturnPermit(now, permit.ID, false)
			continue
		}
		n.send(to, fleet.Envelope{Permit: &fleet.Permit{Pool: permit.Pool, ID: permit.ID, Within: loads.PermitWithin}})
	}
}

func (n *Node) handlePermit(now time.Time, e fleet.Envelope) {
	from, ok := n.instanceOf(e.From)
	if !ok {
		return
	}
	held := loads.HeldPermit{From: from, ID: e.Permit.ID}
	ps := n.pools[e.Permit.Pool]
	if ps == nil || !ps.isPlacer {
		n.permitDone(now, e.Permit.Pool, held, false)
		return
	}
	n.usePermit(now, ps, held)
}

// usePermit starts the pool's most valuable load, and returns the permit if there is no load to start.
func (n *Node) usePermit(now time.Time, ps *poolState, held loads.HeldPermit) {
	effects, used := ps.placer.UsePermit(now)
	for _, effect := range effects {
		if l, ok := effect.(placement.Load); ok {
			ps.permitsInUse[l.Adapter] = held
		}
	}
	n.applyPlacerEffects(now, ps, effects)
	ps.bidder.ResetAfterPermit()
	if !used {
		n.permitDone(now, ps.pool.Name, held, false)
	}
}

func (n *Node) permitDone(now time.Time, pool string, held loads.HeldPermit, used bool) {
	if held.From.ID == n.options.Self.ID {
		n.ledger.ReturnPermit(now, held.ID, used)
		return
	}
	n.send(held.From, fleet.Envelope{PermitDone: &fleet.PermitDone{Pool: pool, ID: held.ID, Used: used}})
}

// instanceOf returns the instance with the identifier, from the members, the entries, the other halls or the platform's list.
func (n *Node) instanceOf(id string) (fleet.Instance, bool) {
	if m := n.members.Member(id); m != nil {
		return m.Instance, true
	}
	if p := n.entries[id]; p != nil {
		return p.instance, true
	}
	for _, r := range n.remoteHalls {
		if i, ok := r.Instance(id); ok {
			return i, true
		}
	}
	return n.platformList.Instance(id)
}
