// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/work"
)

const (
	// deliveryLimit is the longest time after sending at which an unanswered order may still be carried out. A place
	// is reserved for the order for this time, and an endpoint without an entry in the store is remembered for as
	// long. A longer time wastes places; a shorter time lets a late order overfill the endpoint.
	deliveryLimit = 13 * time.Second
	// descriptionLag is how long the description of an endpoint in the store may lag behind its state. A longer time
	// trusts the results of this plan's orders for longer; a shorter time notices sooner what the endpoint dropped by
	// itself.
	descriptionLag = 3 * time.Second
	// maxFormerSequenceLead is the largest difference between the sequence named by a former planner's last load and
	// the sequence in the endpoint's report. It covers one unload that the former planner counted and the endpoint
	// did not. A larger value reserves a place for longer after a takeover.
	maxFormerSequenceLead = 1
	// reportLag is how long an endpoint's own report may lag behind its state; lags of about 100 ms were observed
	// (docs/constants.md). A longer time trusts the results of this plan's orders for longer.
	reportLag = 500 * time.Millisecond
)

// copyState is the state of an adapter's copy on one endpoint.
type copyState int

const (
	// copyLoading means that the load was ordered and has not ended.
	copyLoading copyState = iota
	// copyResident means that the endpoint holds the copy and requests may use it.
	copyResident
	// copyReplacing means that a load of another version was ordered while requests use the copy. The endpoint waits for
	// those that run, and answers those that have not begun as not run.
	copyReplacing
	// copyWithdrawn means that the withdrawal was announced and some instances may still use the copy.
	copyWithdrawn
	// copyUnloading means that the copy is confirmed as unused; its unload is yet to be ordered or has not ended.
	copyUnloading
	// copyUnconfirmed means that a description and the plan disagree about the copy. It occupies a place and receives
	// no requests until a report resolves the difference.
	copyUnconfirmed
)

// copyPlan is the planned state of one adapter on one endpoint.
type copyPlan struct {
	state   copyState
	version int64
	// replacedVersion is the version that the endpoint still holds in state copyReplacing, when version is the ordered one.
	replacedVersion int64
	// recalledVersion is the version from which an instance recalled a request; 0 if there is none. Some endpoints keep such
	// a request.
	recalledVersion int64
	since           time.Time
	// loadedAt is when a load ordered by this plan finished; zero for a copy that existed before.
	loadedAt time.Time
	// unloadAccepted is set once the endpoint has accepted the unload order, which waits for the requests that use
	// the copy.
	unloadAccepted bool
	// cold marks a load from the weight store.
	cold bool
	// startKnown marks a load that this plan ordered, so its start time is known.
	startKnown bool
	// pollAt is the time of the next poll for the end of the load.
	pollAt time.Time
	// lastPollAt is when the load was last polled. lastSeenLoadingAt is when the last poll was sent that the endpoint
	// answered with "still loading". Both are zero until then.
	lastPollAt        time.Time
	lastSeenLoadingAt time.Time
	// lastInspectedAt is when a report was last requested because the load took too long.
	lastInspectedAt time.Time
	// withdrawalNumber identifies the announcement of the copy's withdrawal.
	withdrawalNumber uint64
}

// endpointPlan is the planned state of one endpoint.
type endpointPlan struct {
	endpoint deployment.Endpoint
	// previousBorn is the start time of the endpoint's previous incarnation; zero if unknown.
	previousBorn time.Time
	// revision is the store revision of the last description that was applied.
	revision int64
	// tracker holds the number of orders that the endpoint is known to have accepted.
	tracker sequenceTracker
	copies  map[deployment.Adapter]*copyPlan
	// modelLoadedAt is when the last base model was found to be loaded.
	modelLoadedAt time.Time
	// modelsUnconfirmed is set while the description in the store lacks a base model that is in the plan.
	modelsUnconfirmed bool
	// previouslyHeld holds the adapters that the endpoint can load fast, with the time at which it last held each of them.
	previouslyHeld map[deployment.Adapter]time.Time
	// unloaded records when orders of this plan unloaded an adapter. A description that still lists the adapter is
	// outdated.
	unloaded map[deployment.Adapter]time.Time
	// orderInFlight is set while an order to the endpoint is in flight.
	orderInFlight bool
	// needsInspection requests the endpoint's report before the next order.
	needsInspection bool
	// orderRefused is set from the refusal of an order, because of its sequence or of another order in progress,
	// until the next report is read.
	orderRefused bool
	// unansweredLoads are loads without a reply that may still be carried out.
	unansweredLoads []unansweredLoad
	// formerLoad is the last load of a former planner, which may still be carried out.
	formerLoad unansweredLoad
	// reportRead is set once a report of the endpoint was read.
	reportRead bool
	// unresponsiveUntil is the time until which orders are expected to stay unanswered.
	unresponsiveUntil time.Time
	// pausedUntil is the time before which no order is sent, after one failed.
	pausedUntil time.Time
	// saturated endpoints have so many requests in flight that they receive no more. Nearly saturated endpoints
	// receive only copies that they held before. Package balance computes both flags.
	nearlySaturated, saturated bool
	// full endpoints have so many requests in flight that they receive none of those either that only their software may
	// run, nor copies for these.
	full bool
	// backlog is the time the endpoint needs to read the prompts queued there; speed is how fast it reads prompts.
	backlog time.Duration
	speed   work.Speed
	// suspect endpoints receive no new copies.
	suspect bool
	// unregisteredAt is when Sweep first found the endpoint's entry missing from the store; zero before that.
	unregisteredAt time.Time
	// unansweredVersions holds the adapter versions whose load orders were left unanswered since the endpoint last
	// replied to a load order.
	unansweredVersions map[deployment.Adapter]int64
}

// unansweredLoad is a load order without a reply. The endpoint may accept it up to deliveryLimit later if its
// sequence still equals the one in the order. A place must be reserved until the endpoint has accepted another order.
type unansweredLoad struct {
	sequence int64
	until    time.Time
}

// addUnansweredLoad reserves a place for a load order sent with the given sequence.
func (e *endpointPlan) addUnansweredLoad(now time.Time, sequence int64) {
	e.unansweredLoads = append(e.unansweredLoads, unansweredLoad{sequence: sequence, until: now.Add(deliveryLimit)})
}

// pruneUnansweredLoads removes the unanswered orders that can no longer be carried out.
func (e *endpointPlan) pruneUnansweredLoads(now time.Time) {
	kept := e.unansweredLoads[:0]
	for _, load := range e.unansweredLoads {
		if load.sequence >= e.tracker.beforeUnloads && now.Before(load.until) {
			kept = append(kept, load)
		}
	}
	e.unansweredLoads = kept
	if !now.Before(e.formerLoad.until) {
		e.formerLoad = unansweredLoad{}
	}
}

// occupiedPlaces returns the number of places that are occupied or reserved, as of the last pruneUnansweredLoads. A
// replacement counts in addition to the copy that it replaces. A former planner's load at the plan's own sequence needs
// no place, because the endpoint accepts only one order at each sequence.
func (e *endpointPlan) occupiedPlaces() int {
	occupiedPlaces := len(e.copies) + e.countCopies(copyReplacing) + len(e.unansweredLoads)
	if e.formerLoad.sequence > e.tracker.sequence {
		occupiedPlaces++
	}
	return occupiedPlaces
}

func newEndpointPlan(endpoint deployment.Endpoint) *endpointPlan {
	return &endpointPlan{
		endpoint:       endpoint,
		copies:         make(map[deployment.Adapter]*copyPlan),
		previouslyHeld: make(map[deployment.Adapter]time.Time),
		unloaded:       make(map[deployment.Adapter]time.Time),
		// An endpoint that holds adapters has accepted orders, so its sequence must be read.
		needsInspection: len(endpoint.Adapters) > 0,
	}
}

// updateHeld records the copies that the endpoint still holds, and removes the adapters that it has not held for
// deployment.HeldRetention.
func (e *endpointPlan) updateHeld(now time.Time) {
	for adapter, at := range e.previouslyHeld {
		if c, ok := e.copies[adapter]; ok && c.state != copyLoading {
			e.previouslyHeld[adapter] = now
			continue
		}
		if now.Sub(at) > deployment.HeldRetention {
			delete(e.previouslyHeld, adapter)
		}
	}
}

// pendingLoads returns the number of loads in progress.
func (e *endpointPlan) pendingLoads() int {
	return e.countCopies(copyLoading)
}

// countCopies returns the number of copies in a state.
func (e *endpointPlan) countCopies(state copyState) int {
	count := 0
	for _, c := range e.copies {
		if c.state == state {
			count++
		}
	}
	return count
}

// refusesUnloads reports whether an unload or a replacement waits for the requests that use its copy. Until it ends, the
// endpoint refuses others. It may also refuse loads, which the planner orders all the same.
func (e *endpointPlan) refusesUnloads() bool {
	return e.hasPendingUnload() || e.countCopies(copyReplacing) > 0
}

// hasPendingUnload reports whether the endpoint has accepted an unload that has not ended.
func (e *endpointPlan) hasPendingUnload() bool {
	for _, c := range e.copies {
		if c.state == copyUnloading && c.unloadAccepted {
			return true
		}
	}
	return false
}
