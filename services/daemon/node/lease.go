// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// FormerOwner is one life of an instance that owned a pool and may still grant.
type FormerOwner = lease.FormerOwner

func newLease(o Options) *lease.Lease {
	t := o.Timing
	return lease.New(lease.Options{
		TTL: t.LeaseTTL, Margin: t.LeaseMargin, Renew: t.LeaseRenew, Retry: t.TakeRetry, NeverLapses: o.Defects.OrderAfterLapse,
	})
}

// tickLease asks for what is not owned yet and renews the lease of what is.
func (n *Node) tickLease(now time.Time) {
	for _, ps := range n.order {
		if ps.mine && len(ps.unfenced()) > 0 && n.lease.AskDue(now, ps.pool.Name) {
			n.emit(AcquireOwner{Pool: ps.pool.Name, Term: ps.term})
		}
	}
	if n.lease.RenewDue(now) {
		n.emit(RenewLease{})
	}
}

// OwnerResult is the key-value service's answer to a request for a pool's ownership.
type OwnerResult struct {
	Pool string
	// Term is that of the request. One of an earlier term may name a key that was given back since.
	Term uint64
	OK   bool
	// Lease numbers the lease under which the pool's key was written: the first of this life is 1, each later one more.
	Lease uint64
	// SentAt is when the request for the lease behind it was sent, by this node's clock.
	SentAt time.Time
	// Formers are the owners before this one that no owner has seen end.
	Formers []FormerOwner
}

// Owned takes the answer to a request for ownership.
func (n *Node) Owned(now time.Time, r OwnerResult) []Effect {
	ps := n.pools[r.Pool]
	if ps == nil || !r.OK || r.Lease < n.lease.Number() {
		return nil
	}
	if n.lease.Begin(r.Lease) {
		n.endOrders(now)
	}
	if !ps.mine {
		n.emit(ReleaseOwner{Pool: r.Pool})
		return n.take()
	}
	if r.Term != ps.term {
		return n.take()
	}
	if n.lease.Own(r.Pool) {
		n.succeed(now, ps, r)
	}
	n.extend(r.SentAt)
	n.spend(now)
	return n.take()
}

// succeed freezes what former owners may still have granted, save the one that handed
// the pool over itself.
func (n *Node) succeed(now time.Time, ps *poolState, r OwnerResult) {
	ps.former = lease.Follow(r.Formers, ps.handedBy)
	if n.options.Defects.SkipFreeze {
		ps.former = ps.former.Unfrozen()
	}
	// A hand-over says nothing about who owns the pool after it.
	ps.handedBy = FormerOwner{}
	for _, e := range ps.unfenced() {
		if ps.former.Frozen() {
			n.run(now, ps, ps.placer.Freeze(now, e.Name, now.Add(lease.Forever), "a former owner may have granted what still starts"))
			continue
		}
		n.run(now, ps, ps.placer.Thaw(now, e.Name, "the pool was never another's, or was handed over"))
	}
	if len(r.Formers) > 0 && !ps.former.Frozen() {
		n.emit(SettleOwner{Pool: ps.pool.Name})
	}
}

// LeaseResult is the key-value service's answer to a renewal.
type LeaseResult struct {
	OK bool
	// Gone is true where the service no longer knows the lease.
	Gone bool
	// Lease numbers the lease, as in OwnerResult.
	Lease  uint64
	SentAt time.Time
}

// Renewed takes the answer to a renewal.
func (n *Node) Renewed(now time.Time, r LeaseResult) []Effect {
	switch {
	case r.Gone:
		if n.lease.Lapse(r.Lease) {
			n.endOrders(now)
		}
	case r.OK && r.Lease == n.lease.Number():
		n.extend(r.SentAt)
	}
	return n.take()
}

// endOrders takes the right to order from all pools, after the lease under which their keys were written has lapsed: the
// keys may be others' by now. What is resident is granted on.
func (n *Node) endOrders(now time.Time) {
	n.note(now, fleet.Event{Kind: fleet.EventFreeze, Cause: "the lease lapsed; no orders to endpoints without fences"})
	for _, ps := range n.order {
		if !ps.mine {
			continue
		}
		for _, e := range ps.unfenced() {
			ps.placer.AllowOrders(e.Name, time.Time{})
		}
	}
}

// extend moves the placers' right to order on after a renewal that was sent at the given time.
func (n *Node) extend(sent time.Time) {
	until := n.lease.Extend(sent)
	for _, ps := range n.order {
		if !ps.mine || !n.lease.Owns(ps.pool.Name) {
			continue
		}
		for _, e := range ps.unfenced() {
			ps.placer.AllowOrders(e.Name, until)
		}
	}
}

// thawDue looks for evidence that the former owners grant no more.
func (n *Node) thawDue(now time.Time, ps *poolState) {
	if !n.lease.Owns(ps.pool.Name) {
		return
	}
	ps.former.Check(now, func(f FormerOwner) bool { return f.Ended(now, n.evidence(ps, f)) })
}

func (n *Node) evidence(ps *poolState, f FormerOwner) lease.Evidence {
	e := lease.Evidence{Self: f.ID == n.options.Self.ID, GoneSince: n.list.GoneSince(f.ID)}
	if m := n.members.Member(f.ID); m != nil && m.Alive {
		e.Alive, e.Boot, e.Holds = true, m.Boot, heldTerm(m, ps.pool.Name) != 0
	}
	return e
}

// thaw lifts the freeze on an endpoint whose list is younger than every grant of the former owners.
func (n *Node) thaw(now time.Time, ps *poolState, in placement.Inspection) {
	if !in.Up || !ps.former.Covers(in.StartedAt, n.options.Timing.GrantAge+n.options.Placement.StartWithin) {
		return
	}
	n.run(now, ps, ps.placer.Thaw(now, in.Endpoint, "the former placers have ended and their last grants are too old to start"))
	if ps.former.Settle() {
		n.emit(SettleOwner{Pool: ps.pool.Name})
	}
}
