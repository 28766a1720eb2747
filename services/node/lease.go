// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/services/placement"
)

// leaseState is the node's one lease at the key-value service, and the pools owned under it.
type leaseState struct {
	validUntil time.Time
	renewAt    time.Time
	owned      map[string]bool
	askAt      map[string]time.Time
}

func (l *leaseState) forget(pool string) {
	delete(l.owned, pool)
	delete(l.askAt, pool)
}

// tickLease asks for what is not owned yet and renews the lease of what is.
func (n *Node) tickLease(now time.Time) {
	for _, ps := range n.order {
		if !ps.mine || len(ps.unfenced()) == 0 || n.lease.owned[ps.pool.Name] {
			continue
		}
		if now.Before(n.lease.askAt[ps.pool.Name]) {
			continue
		}
		n.lease.askAt[ps.pool.Name] = now.Add(n.options.Timing.TakeRetry)
		n.emit(AcquireOwner{Pool: ps.pool.Name})
	}
	if len(n.lease.owned) > 0 && !now.Before(n.lease.renewAt) {
		n.lease.renewAt = now.Add(n.options.Timing.LeaseRenew)
		n.emit(RenewLease{})
	}
}

// FormerOwner is one life of an instance that owned a pool and may still grant.
type FormerOwner struct {
	ID   string
	Boot uint64
}

// OwnerResult is the key-value service's answer to a request for a pool's ownership.
type OwnerResult struct {
	Pool string
	OK   bool
	// SentAt is when the request for the lease behind it was sent, by this node's clock.
	SentAt time.Time
	// Formers are the owners before this one that no owner has seen end.
	Formers []FormerOwner
}

// Owned takes the answer to a request for ownership.
func (n *Node) Owned(now time.Time, r OwnerResult) []Effect {
	ps := n.pools[r.Pool]
	if ps == nil || !r.OK {
		return nil
	}
	if !ps.mine {
		n.emit(ReleaseOwner{Pool: r.Pool})
		return n.take()
	}
	if !n.lease.owned[r.Pool] {
		n.lease.owned[r.Pool] = true
		n.follow(now, ps, r)
	}
	n.extend(r.SentAt)
	n.spend(now)
	return n.take()
}

// follow freezes what former owners may still have granted, save the one that handed
// the pool over itself.
func (n *Node) follow(now time.Time, ps *poolState, r OwnerResult) {
	var formers []FormerOwner
	for _, f := range r.Formers {
		if f != ps.handedBy && f.ID != "" {
			formers = append(formers, f)
		}
	}
	// A hand-over says nothing about who owns the pool after it.
	ps.handedBy = FormerOwner{}
	ps.former = formerHolders{waiting: formers, frozen: len(formers) > 0 && !n.options.Defects.SkipFreeze}
	for _, e := range ps.unfenced() {
		if ps.former.frozen {
			n.run(now, ps, ps.placer.Freeze(now, e.Name, now.Add(frozenForever), "a former owner may have granted what still starts"))
			continue
		}
		n.run(now, ps, ps.placer.Thaw(now, e.Name, "the pool was never another's, or was handed over"))
	}
	if len(r.Formers) > 0 && !ps.former.frozen {
		n.emit(SettleOwner{Pool: ps.pool.Name})
	}
}

// LeaseResult is the key-value service's answer to a renewal.
type LeaseResult struct {
	OK bool
	// Gone is true where the service no longer knows the lease.
	Gone   bool
	SentAt time.Time
}

// Renewed takes the answer to a renewal.
func (n *Node) Renewed(now time.Time, r LeaseResult) []Effect {
	if r.Gone {
		clear(n.lease.owned)
		clear(n.lease.askAt)
		n.note(now, fleet.Event{Kind: fleet.EventFreeze, Cause: "the lease lapsed; no orders to endpoints without fences"})
		return n.take()
	}
	if r.OK {
		n.extend(r.SentAt)
	}
	return n.take()
}

// extend moves the right to order on: by this node's own clock, from when the
// renewal was sent, a margin before the lease can lapse at the service.
func (n *Node) extend(sent time.Time) {
	until := sent.Add(n.options.Timing.LeaseTTL - n.options.Timing.LeaseMargin)
	if n.options.Defects.OrderAfterLapse {
		until = sent.Add(frozenForever)
	}
	if until.Before(n.lease.validUntil) {
		until = n.lease.validUntil
	}
	n.lease.validUntil = until
	for _, ps := range n.order {
		if !ps.mine || !n.lease.owned[ps.pool.Name] {
			continue
		}
		for _, e := range ps.unfenced() {
			ps.placer.AllowOrders(e.Name, until)
		}
	}
}

// thawDue looks for evidence that the former placers grant no more.
func (n *Node) thawDue(now time.Time, ps *poolState) {
	if !ps.former.frozen || !ps.former.ended.IsZero() || !n.lease.owned[ps.pool.Name] {
		return
	}
	for _, f := range ps.former.waiting {
		if !n.formerEnded(now, ps, f) {
			return
		}
	}
	ps.former.ended = now
}

// absentFor is how long the platform's list must have left an instance out before it
// counts as gone; it is longer than the list's lag.
const absentFor = 10 * time.Second

func (n *Node) formerEnded(now time.Time, ps *poolState, f FormerOwner) bool {
	if f.ID == n.options.Self.ID {
		return true
	}
	if m := n.members.Member(f.ID); m != nil && m.Alive {
		return m.Boot != f.Boot || heldTerm(m, ps.pool.Name) == 0
	}
	gone := n.gone[f.ID]
	return !gone.IsZero() && now.Sub(gone) >= absentFor
}

// thaw lifts the freeze on an endpoint whose list is younger than every grant of the former placer.
func (n *Node) thaw(now time.Time, ps *poolState, in placement.Inspection) {
	if !ps.former.frozen || ps.former.ended.IsZero() || !in.Up {
		return
	}
	safe := ps.former.ended.Add(n.options.Timing.GrantAge + n.options.Placement.StartWithin)
	if in.Began.Before(safe) {
		return
	}
	n.run(now, ps, ps.placer.Thaw(now, in.Endpoint, "the former placers have ended and their last grants are too old to start"))
	if !ps.former.settled {
		ps.former.settled = true
		n.emit(SettleOwner{Pool: ps.pool.Name})
	}
}
