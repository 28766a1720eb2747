// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// FormerOwner is one run of an instance that owned a pool and may still grant tickets.
type FormerOwner = lease.FormerOwner

func newLease(o Options) *lease.Lease {
	t := o.Timing
	return lease.New(lease.Options{
		TTL: t.LeaseTTL, Margin: t.LeaseMargin, Renew: t.LeaseRenew, Retry: t.TakeoverRetry, NeverLapses: o.Defects.OrderAfterLapse,
	})
}

// tickLease requests the ownership of pools that need it and are not owned yet, and renews the lease.
func (n *Node) tickLease(now time.Time) {
	for _, ps := range n.poolList {
		if ps.isPlacer && len(ps.unfenced()) > 0 && n.lease.AcquireDue(now, ps.pool.Name) {
			n.emit(AcquireOwner{Pool: ps.pool.Name, Term: ps.term})
		}
	}
	if n.lease.RenewDue(now) {
		n.emit(RenewLease{})
	}
}

// OwnerResult is the key-value service's answer to AcquireOwner.
type OwnerResult struct {
	Pool string
	// Term is the term of the request. The key of an earlier term may have been released since.
	Term uint64
	OK   bool
	// Lease is the number of the lease under which the pool's key was written. It starts at 1 with each process and
	// increases by 1 with each new lease.
	Lease uint64
	// SentAt is the time, by this node's clock, at which the request for that lease was sent.
	SentAt time.Time
	// FormerOwners are the former owners for which no later owner has established that they ended.
	FormerOwners []FormerOwner
}

// HandleOwnerResult processes the answer to a request for ownership.
func (n *Node) HandleOwnerResult(now time.Time, r OwnerResult) []Effect {
	ps := n.pools[r.Pool]
	if ps == nil || !r.OK || r.Lease < n.lease.Number() {
		return nil
	}
	if n.lease.SwitchTo(r.Lease) {
		n.stopOrders(now)
	}
	if !ps.isPlacer {
		n.emit(ReleaseOwner{Pool: r.Pool})
		return n.takeEffects()
	}
	if r.Term != ps.term {
		return n.takeEffects()
	}
	if n.lease.AddPool(r.Pool) {
		n.freezeFormerGrants(now, ps, r)
	}
	n.extendOrders(r.SentAt)
	n.bidAndGrantPermits(now)
	return n.takeEffects()
}

// freezeFormerGrants freezes the pool's unfenced endpoints while former owners may still grant tickets for them. A former owner
// that handed the pool over itself is left out.
func (n *Node) freezeFormerGrants(now time.Time, ps *poolState, r OwnerResult) {
	ps.succession = lease.NewSuccession(r.FormerOwners, ps.handedOverBy)
	if n.options.Defects.SkipFreeze {
		ps.succession = ps.succession.Unfrozen()
	}
	// A handover counts only for the first ownership after it: another instance may own the pool in between.
	ps.handedOverBy = FormerOwner{}
	for _, e := range ps.unfenced() {
		if ps.succession.Frozen() {
			n.applyPlacerEffects(now, ps, ps.placer.Freeze(now, e.Name, now.Add(lease.Forever), "a former owner may have granted what still starts"))
			continue
		}
		n.applyPlacerEffects(now, ps, ps.placer.Thaw(now, e.Name, "the pool was never another's, or was handed over"))
	}
	if len(r.FormerOwners) > 0 && !ps.succession.Frozen() {
		n.emit(SettleOwner{Pool: ps.pool.Name})
	}
}

// LeaseResult is the key-value service's answer to RenewLease.
type LeaseResult struct {
	OK bool
	// Expired is true if the lease has expired at the service.
	Expired bool
	// Lease is the number of the lease, as in OwnerResult.
	Lease  uint64
	SentAt time.Time
}

// HandleLeaseResult processes the answer to a lease renewal.
func (n *Node) HandleLeaseResult(now time.Time, r LeaseResult) []Effect {
	switch {
	case r.Expired:
		if n.lease.Lapse(r.Lease) {
			n.stopOrders(now)
		}
	case r.OK && r.Lease == n.lease.Number():
		n.extendOrders(r.SentAt)
	}
	return n.takeEffects()
}

// stopOrders stops orders to the unfenced endpoints of all pools after the lease has lapsed under which the pools' keys
// were written: other instances may own the pools by now. Tickets for resident adapters are still granted.
func (n *Node) stopOrders(now time.Time) {
	n.recordEvent(now, fleet.Event{Kind: fleet.EventFreeze, Cause: "the lease lapsed; no orders to endpoints without fences"})
	for _, ps := range n.poolList {
		if !ps.isPlacer {
			continue
		}
		for _, e := range ps.unfenced() {
			ps.placer.AllowOrders(e.Name, time.Time{})
		}
	}
}

// extendOrders extends the time until which the placers may send orders, after a renewal that was sent at the given time.
func (n *Node) extendOrders(sent time.Time) {
	until := n.lease.Extend(sent)
	for _, ps := range n.poolList {
		if !ps.isPlacer || !n.lease.Owns(ps.pool.Name) {
			continue
		}
		for _, e := range ps.unfenced() {
			ps.placer.AllowOrders(e.Name, until)
		}
	}
}

// checkFormerOwners checks whether the former owners of a pool have ended.
func (n *Node) checkFormerOwners(now time.Time, ps *poolState) {
	if !n.lease.Owns(ps.pool.Name) {
		return
	}
	ps.succession.CheckEnded(now, func(f FormerOwner) bool { return f.Ended(now, n.evidence(ps, f)) })
}

func (n *Node) evidence(ps *poolState, f FormerOwner) lease.Evidence {
	e := lease.Evidence{Self: f.ID == n.options.Self.ID, GoneSince: n.platformList.GoneSince(f.ID)}
	if m := n.members.Member(f.ID); m != nil && m.Alive {
		e.Alive, e.Boot, e.Holds = true, m.Boot, heldTerm(m, ps.pool.Name) != 0
	}
	return e
}

// thaw lifts the freeze on an endpoint whose inspection is recent enough to show every request that former owners granted.
func (n *Node) thaw(now time.Time, ps *poolState, in placement.Inspection) {
	if !in.Up || !ps.succession.CoversGrants(in.StartedAt, n.options.Timing.GrantAge+n.options.Placement.StartWithin) {
		return
	}
	n.applyPlacerEffects(now, ps, ps.placer.Thaw(now, in.Endpoint, "the former placers have ended and their last grants are too old to start"))
	if ps.succession.SettleOnce() {
		n.emit(SettleOwner{Pool: ps.pool.Name})
	}
}
