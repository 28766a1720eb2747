// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forecast

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/lease"
)

const (
	// TakeoverTime is the usual time until another instance issues orders after the planner is lost. It covers the silence limit,
	// the order window and two order timeouts of a takeover.
	TakeoverTime = 2500 * time.Millisecond
	// HandoverTime is the usual time until orders are issued when there was no planner or the planner resigned. Without it,
	// requests just after a start would be refused at once.
	HandoverTime = 400 * time.Millisecond
	// StoreSilence is how long the store must have failed an instance that looks for a planner until no orders are expected soon:
	// without the store, no instance can become the planner. A longer time tolerates single failed reads, of which there is one
	// each 0.3 s; a shorter one refuses requests earlier that cannot be served.
	StoreSilence = 600 * time.Millisecond
	// Overdue is the expected remaining time of an adapter that should be resident already.
	Overdue = 50 * time.Millisecond
)

// Reason is the case of the rule that gave an expected time.
type Reason int

// The cases of the rule.
const (
	// UnderWay means that the planner announced the time at which the load of the adapter ends.
	UnderWay Reason = iota
	// Queued means that the planner has not started the load, and its backlog gives the time.
	Queued
	// QueuedBySoftware means that the planner is to load the adapter at the endpoints of one software. Its backlog is too late a
	// time: it loads these adapters before others.
	QueuedBySoftware
	// Late means that the announced time or the end of the backlog has passed.
	Late
	// FormerHolder means that this instance is the planner, but the former holder of the lease may still issue orders.
	FormerHolder
	// NewPlanner means that a planner has just started or resigned.
	NewPlanner
	// LostPlanner means that the planner is silent or can no longer prove that it holds the lease.
	LostPlanner
	// LostStore means that no instance can issue orders, and that the store does not answer this instance, so that no instance is
	// expected to become the planner.
	LostStore
)

// NoActivePlanner reports whether the planner is lost, or the store, without which no instance becomes the planner.
func (r Reason) NoActivePlanner() bool {
	return r == LostPlanner || r == LostStore
}

// MayComeSooner reports whether the adapter may be resident long before the expected time.
func (r Reason) MayComeSooner() bool {
	return r == QueuedBySoftware
}

// Planner is what an instance knows about the planner. Durations are measured by the clock of this instance.
type Planner struct {
	// HoldsLease means that this instance holds the planner's lease and is not releasing it.
	HoldsLease bool
	// MayOrder means that this instance may issue orders now, according to its own lease.
	MayOrder bool
	// FormerHolderTime is the remaining time for which the former holder may issue orders, according to this instance's lease.
	FormerHolderTime time.Duration
	// ReleasingLease means that this instance holds the lease but is releasing it, so that the views of other planners are not
	// considered.
	ReleasingLease bool
	// ViewAge is the time since the last view was received.
	ViewAge time.Duration
	// ConfirmedAge is the time from the last confirmation of the planner's lease to that view, according to the view.
	ConfirmedAge time.Duration
	// OrderWindow is how long after a confirmation orders may be issued, from the settings.
	OrderWindow time.Duration
	// ViewTerm is the term of the last view; zero before the first view.
	ViewTerm int64
	// ResignedTerm is the last term whose planner announced in a view that it issues no more orders.
	ResignedTerm int64
	// RecordTerm and RecordReleased are from the record as last read from the store or received from a peer.
	RecordTerm     int64
	RecordReleased bool
	// StoreSilent is how long the store has failed this instance: since the last confirmation for the holder of the lease, and
	// since the first failed read of the record for any other instance; 0 if the last read was answered.
	StoreSilent time.Duration
}

// Load is what the planner announced for an adapter.
type Load struct {
	// Announced means that the planner announced the time At at which the adapter will be resident.
	Announced bool
	At        time.Time
	// Backlog is the expected time from now until an adapter of the service that has not been requested yet could be resident.
	Backlog time.Duration
	// BySoftware means that only the endpoints of one software may run the request. A load that is announced may be at an endpoint of
	// another software, and does not count.
	BySoftware bool
}

// Expected is the time at which an adapter is expected to be resident, and the case of the rule that gave it.
type Expected struct {
	At     time.Time
	Reason Reason
}

// Expect returns when the adapter of a load is expected to be resident. If no planner can issue orders, it returns the time at
// which a planner usually issues orders again.
func Expect(now time.Time, planner Planner, load Load) Expected {
	if !planner.CanOrder() {
		timeUntilOrders, reason := planner.timeUntilOrders()
		return Expected{At: now.Add(timeUntilOrders), Reason: reason}
	}
	if load.BySoftware {
		return Expected{At: now.Add(load.Backlog), Reason: QueuedBySoftware}
	}
	expected := Expected{At: load.At, Reason: UnderWay}
	if !load.Announced {
		expected = Expected{At: now.Add(load.Backlog), Reason: Queued}
	}
	if expected.At.Before(now) {
		return Expected{At: now.Add(Overdue), Reason: Late}
	}
	return expected
}

// CanOrder reports whether the planner can issue orders now, as far as this instance knows.
func (p Planner) CanOrder() bool {
	if p.HoldsLease || p.ReleasingLease {
		return p.MayOrder && !p.ReleasingLease
	}
	return p.ViewAge < lease.TakeoverSilence && p.ViewAge+p.ConfirmedAge < p.OrderWindow
}

// timeUntilOrders returns the usual time until a planner issues orders again.
func (p Planner) timeUntilOrders() (time.Duration, Reason) {
	if p.StoreSilent >= StoreSilence {
		return TakeoverTime, LostStore
	}
	if p.HoldsLease {
		return p.FormerHolderTime + HandoverTime, FormerHolder
	}
	newTerm := p.ViewTerm == 0 || p.RecordTerm > p.ViewTerm
	if newTerm || p.ResignedTerm == p.ViewTerm || p.RecordReleased {
		return HandoverTime, NewPlanner
	}
	return TakeoverTime, LostPlanner
}
