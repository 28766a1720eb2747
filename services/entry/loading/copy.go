// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/work"
)

const (
	// deliveryLimit is how much later than its sending an unanswered order may be carried out; so long a place is kept for it, and an
	// endpoint is remembered whose entry is gone. Longer wastes places, shorter lets a late order overfill the endpoint.
	deliveryLimit = 13 * time.Second
	// descriptionLag is how long the description of an endpoint in the store may lag behind what it holds. Longer trusts the plan's own
	// orders for longer, shorter takes in sooner what the endpoint dropped by itself.
	descriptionLag = 3 * time.Second
	// formerAhead is how far the sequence that a former planner's last load names may be ahead of the endpoint's report: by an unload that
	// it counted and the endpoint did not. More keeps a place for longer after a takeover.
	formerAhead = 1
	// reportLag is how long an endpoint's own report may lag behind what it holds; some 100 ms were seen (docs/constants.md). Longer trusts
	// own orders for longer.
	reportLag = 500 * time.Millisecond
)

// copyState is how far a copy of an adapter has come on one endpoint.
type copyState int

const (
	// copyLoading: its load was ordered and has not ended.
	copyLoading copyState = iota
	// copyResident: the endpoint holds it, and requests may use it.
	copyResident
	// copyWithdrawn: it is announced as withdrawn, and its use may not have ended everywhere.
	copyWithdrawn
	// copyUnloading: it is confirmed as unused; its unload is to be ordered, or was ordered and has not ended.
	copyUnloading
	// copyDoubted: a description and the plan differ on it. It takes a place and gets no requests, until a report tells.
	copyDoubted
)

// copyPlan is one adapter on one endpoint.
type copyPlan struct {
	state   copyState
	version int64
	since   time.Time
	// settledSince is when an own load brought the copy; zero for one that was there before.
	settledSince time.Time
	// accepted is set once the endpoint has taken the order to unload, which waits for its runs.
	accepted bool
	// cold marks a load that comes from the weight store.
	cold bool
	// timed marks a load whose begin is known, since it was ordered in this plan.
	timed bool
	// pollAt is when to ask next whether a load has ended.
	pollAt time.Time
	// askedAt is when the endpoint was last asked whether the load has ended, loadingAt when it was last asked and said that it goes on;
	// zero until then.
	askedAt   time.Time
	loadingAt time.Time
	// inspected is when a load that takes too long was last looked into.
	inspected time.Time
	// withdrawal numbers the announcement of a withdrawal.
	withdrawal uint64
}

// endpointPlan is one endpoint.
type endpointPlan struct {
	endpoint deployment.Endpoint
	// formerBorn is the start of the incarnation before this one; zero if none was known.
	formerBorn time.Time
	// revision is the store's revision of the description last taken in.
	revision int64
	// count is what is known of the orders that it has taken.
	count  orderCount
	copies map[deployment.Adapter]*copyPlan
	// modelSince is when a base model was brought by an order.
	modelSince time.Time
	// modelsDoubted is set while the store's description lacks a base model that the plan knows of.
	modelsDoubted bool
	// held are adapters it held before: they load fast.
	held map[deployment.Adapter]time.Time
	// dropped are adapters that were unloaded by own orders, and when: a description that
	// still lists them is too old.
	dropped map[deployment.Adapter]time.Time
	// busy is set while an order to it is under way.
	busy bool
	// inspect asks for its report before the next order.
	inspect bool
	// refused is set when an order was refused, for its count or for another order under way, until the report is read.
	refused bool
	// unanswered are loads without an answer, which may still be carried out.
	unanswered []unansweredLoad
	// former is the last load of a former planner, which may still be carried out.
	former unansweredLoad
	// reportRead is set once the endpoint's own report was read.
	reportRead bool
	// silentUntil is until when orders are expected to stay unanswered.
	silentUntil time.Time
	// restUntil keeps orders away after one failed.
	restUntil time.Time
	// saturated endpoints have so many requests in flight that they get no more; nearly saturated ones get no copies that they
	// did not hold before. Both are verdicts of package balance.
	nearlySaturated, saturated bool
	// backlog is how long it will take to read the prompts that wait there, and speed how fast it reads.
	backlog time.Duration
	speed   work.Speed
	// suspect endpoints get no new copies.
	suspect bool
	// lapsedAt is when the entry was first seen to be gone by Sweep; zero until then.
	lapsedAt time.Time
	// abandoned are the versions of adapters whose orders to load were left unanswered since the endpoint last answered one.
	abandoned map[deployment.Adapter]int64
}

// unansweredLoad is a load without an answer. The endpoint takes it, up to deliveryLimit later, if it still has the
// sequence that the order named; until it has taken another order, a place must be kept for it.
type unansweredLoad struct {
	sequence int64
	until    time.Time
}

// addUnanswered keeps a place for an order at a sequence.
func (e *endpointPlan) addUnanswered(now time.Time, sequence int64) {
	e.unanswered = append(e.unanswered, unansweredLoad{sequence: sequence, until: now.Add(deliveryLimit)})
}

// pruneUnanswered forgets the orders without an answer that cannot be carried out any more.
func (e *endpointPlan) pruneUnanswered(now time.Time) {
	kept := e.unanswered[:0]
	for _, load := range e.unanswered {
		if load.sequence >= e.count.before && now.Before(load.until) {
			kept = append(kept, load)
		}
	}
	e.unanswered = kept
	if !now.Before(e.former.until) {
		e.former = unansweredLoad{}
	}
}

// taken is the number of places that are taken or must be kept, as of the last pruneUnanswered. A former planner's load at
// the plan's own count needs no place: the endpoint takes only one order at it.
func (e *endpointPlan) taken() int {
	taken := len(e.copies) + len(e.unanswered)
	if e.former.sequence > e.count.sequence {
		taken++
	}
	return taken
}

func newEndpointPlan(endpoint deployment.Endpoint) *endpointPlan {
	return &endpointPlan{
		endpoint: endpoint,
		copies:   make(map[deployment.Adapter]*copyPlan),
		held:     make(map[deployment.Adapter]time.Time),
		dropped:  make(map[deployment.Adapter]time.Time),
		// An endpoint that holds something has taken orders, so its sequence has to be read.
		inspect: len(endpoint.Adapters) > 0,
	}
}

// pending counts the loads under way.
func (e *endpointPlan) pending() int {
	count := 0
	for _, c := range e.copies {
		if c.state == copyLoading {
			count++
		}
	}
	return count
}

// unloading reports whether an unload was ordered that has not ended.
func (e *endpointPlan) unloading() bool {
	for _, c := range e.copies {
		if c.state == copyUnloading && c.accepted {
			return true
		}
	}
	return false
}
