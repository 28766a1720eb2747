// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/modules/ring"
	"github.com/shelfledge/shelfledge/services/placement"
)

// heldPermit is a permit in use and the instance that gave it.
type heldPermit struct {
	from fleet.Instance
	id   uint64
}

// budgetHolder finds the instance that shares out the weight store's rate among
// the halls in sight: the speaker of the hall that the rate's name hashes to.
func (n *Node) budgetHolder() (fleet.Instance, bool) {
	hall := ring.Best("load-budget", n.visibleHalls())
	if hall == n.options.Self.Hall {
		return n.speaker()
	}
	r := n.remotes[hall]
	if r == nil {
		return fleet.Instance{}, false
	}
	return r.Speaker()
}

// visibleHalls names the halls that are not cut off from this one, itself included.
func (n *Node) visibleHalls() []string {
	halls := []string{n.options.Self.Hall}
	for name, r := range n.remotes {
		if !r.Cut() {
			halls = append(halls, name)
		}
	}
	slices.Sort(halls)
	return halls
}

// tickBudget makes the bids of the held pools and, at the holder, grants permits.
func (n *Node) tickBudget(now time.Time) {
	limits := n.options.Budget
	if b := n.config.catalog.Budget; b.LoadsPerSecond > 0 && b.AtFullSpeed > 0 {
		limits.LoadsPerSecond, limits.AtFullSpeed = b.LoadsPerSecond, b.AtFullSpeed
	}
	n.ledger.SetLimits(now, limits.Part(len(n.visibleHalls()), len(n.remotes)+1))
	n.spend(now)
}

// spend bids for the pools whose turn has come and grants what the rate allows.
func (n *Node) spend(now time.Time) {
	holder, ok := n.budgetHolder()
	if !ok {
		return
	}
	self := holder.ID == n.options.Self.ID
	for _, ps := range n.order {
		if !ps.mine || now.Sub(ps.bidAt) < n.options.Timing.Bid {
			continue
		}
		n.bid(now, ps, holder, self)
	}
	if self {
		n.grantPermits(now)
	}
}

func (n *Node) bid(now time.Time, ps *poolState, holder fleet.Instance, self bool) {
	if n.recovering(now, ps) {
		return
	}
	b, wants := ps.placer.Bid(now)
	if !wants && !ps.bidding {
		return
	}
	ps.bidAt = now
	ps.bidding = wants
	if !wants {
		b.Value = 0
	}
	if self {
		n.ledger.Bid(now, ps.pool.Name, b.Value, b.Preload)
		return
	}
	if now.Sub(ps.bidSent) < remoteBidEvery && b.Value <= ps.bidValue*bidRise && wants {
		return
	}
	ps.bidSent, ps.bidValue = now, b.Value
	n.send(holder, fleet.Envelope{Bid: &fleet.Bid{Pool: ps.pool.Name, Value: b.Value, Preload: b.Preload}})
}

const (
	remoteBidEvery = 250 * time.Millisecond
	bidRise        = 1.5
)

// recovering spreads the first loads after a takeover over the recovery delay.
func (n *Node) recovering(now time.Time, ps *poolState) bool {
	delay := n.options.Timing.RecoveryDelay
	if delay <= 0 {
		return false
	}
	part := float64(ring.Score(ps.pool.Name, n.options.Self.ID)%1000) / 1000
	return ps.takeover.Age(now) < time.Duration(float64(delay)*part)
}

func (n *Node) bidFrom(now time.Time, e fleet.Envelope) {
	n.ledger.Bid(now, e.Bid.Pool, e.Bid.Value, e.Bid.Preload)
}

func (n *Node) grantPermits(now time.Time) {
	for {
		permit, ok := n.ledger.Next(now)
		if !ok {
			return
		}
		ps := n.pools[permit.Pool]
		if ps == nil {
			n.ledger.Done(now, permit.ID, false)
			continue
		}
		if ps.mine {
			n.usePermit(now, ps, heldPermit{from: n.options.Self, id: permit.ID})
			continue
		}
		to, found := n.placerOf(ps)
		if !found {
			n.ledger.Done(now, permit.ID, false)
			continue
		}
		n.send(to, fleet.Envelope{Permit: &fleet.Permit{Pool: permit.Pool, ID: permit.ID, Within: permitWithin}})
	}
}

const permitWithin = 2 * time.Second

func (n *Node) permitted(now time.Time, e fleet.Envelope) {
	from, ok := n.instanceOf(e.From)
	if !ok {
		return
	}
	held := heldPermit{from: from, id: e.Permit.ID}
	ps := n.pools[e.Permit.Pool]
	if ps == nil || !ps.mine {
		n.permitDone(now, e.Permit.Pool, held, false)
		return
	}
	n.usePermit(now, ps, held)
}

// usePermit starts the load that is most valuable at this moment.
func (n *Node) usePermit(now time.Time, ps *poolState, held heldPermit) {
	effects, used := ps.placer.UsePermit(now)
	for _, effect := range effects {
		if l, ok := effect.(placement.Load); ok {
			ps.permits[l.Adapter] = held
		}
	}
	n.run(now, ps, effects)
	ps.bidAt = time.Time{}
	ps.bidValue = 0
	if !used {
		n.permitDone(now, ps.pool.Name, held, false)
	}
}

func (n *Node) permitDone(now time.Time, pool string, held heldPermit, used bool) {
	if held.from.ID == n.options.Self.ID {
		n.ledger.Done(now, held.id, used)
		return
	}
	n.send(held.from, fleet.Envelope{PermitDone: &fleet.PermitDone{Pool: pool, ID: held.id, Used: used}})
}

// instanceOf finds an instance by its identifier among peers, remote speakers and listed ones.
func (n *Node) instanceOf(id string) (fleet.Instance, bool) {
	if m := n.members.Member(id); m != nil {
		return m.Instance, true
	}
	if p := n.entries[id]; p != nil {
		return p.instance, true
	}
	for _, r := range n.remotes {
		if i, ok := r.Instance(id); ok {
			return i, true
		}
	}
	i, ok := n.known[id]
	return i, ok
}
