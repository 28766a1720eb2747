// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Options configures a Placer.
type Options struct {
	Classes []fleet.Class
	// AgingStep is the wait that raises a request by one priority level.
	AgingStep time.Duration
	// CustomerShare limits the share of a class's queue that one customer may use, from 0 to 1;
	// the setting's name is tenant_share.
	CustomerShare float64
	// FastHalfLife and SlowHalfLife are the half-lives of the two popularity estimates.
	FastHalfLife time.Duration
	SlowHalfLife time.Duration
	// SlowWeight multiplies the slow estimate before it is compared with the fast one.
	SlowWeight float64
	// GatherShare is the share of a batch for which patient requests must be waiting before they start.
	GatherShare float64
	// GatherLimit is the longest time for which patient requests are held back.
	GatherLimit time.Duration
	// ReserveShare is the share of a batch that is reserved for interactive requests.
	ReserveShare float64
	// CustomerBatchShare limits the share of a batch that one customer may use, from 0 to 1; the
	// setting's name is tenant_batch_share.
	CustomerBatchShare float64
	// PreloadGain is the factor by which the value of a preload must exceed that of the evicted adapter.
	PreloadGain float64
	// BackoffBase and BackoffMax limit the delay after failed loads of one adapter.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// GiveUpFailures is the number of failed loads after which waiting requests are refused.
	GiveUpFailures int
	// SecondCopyWait is the queueing delay that justifies loading another copy of an adapter.
	SecondCopyWait time.Duration
	// StartWithin limits the time between a grant and the start of the request.
	StartWithin time.Duration
	// TicketTTL limits how long the ticket of a lost entry keeps an adapter in use. An entry that
	// has not confirmed its ticket for this long is treated as lost.
	TicketTTL time.Duration
	// LoadTimeout is the time after which the state of a slot is taken from the endpoint's
	// report because its load was not answered.
	LoadTimeout time.Duration
	// OrderMargin limits how long after its reported failure an order may still reach an endpoint that does not check fences.
	OrderMargin time.Duration
	// EvictInUse is an injected fault: adapters in use may be evicted. It is set only to check that the tests detect it.
	EvictInUse bool
	// DisableFairQueue disables fair queuing within a class. It is used for comparison only.
	DisableFairQueue bool
}

// Default settings; see docs/design/0003.
const (
	// defaultAgingStep: a longer step keeps the order of the priorities, a shorter one lets requests that wait long overtake higher priorities.
	defaultAgingStep = 30 * time.Second
	// defaultCustomerShare: a higher share lets one customer fill more of a class's queue, a lower one refuses a burst of one customer sooner.
	defaultCustomerShare = 0.5
	// defaultFastHalfLife: a longer half-life reacts later to rising demand, a shorter one decays more during a pause.
	defaultFastHalfLife = 2 * time.Minute
	// defaultSlowHalfLife: a longer half-life reflects the demand of the day, a shorter one that of the hour.
	defaultSlowHalfLife = 40 * time.Minute
	// defaultSlowWeight: a higher weight favors past demand over current demand.
	defaultSlowWeight = 1
	// defaultGatherShare: a higher share makes fuller batches of patient requests, but interactive requests wait longer for their adapters.
	defaultGatherShare = 0.5
	// defaultGatherLimit: a longer limit fills batches better, a shorter one starts patient requests sooner. It rarely applies, because a
	// patient request is held back for at most a fifth of the time until its deadline.
	defaultGatherLimit = 10 * time.Minute
	// defaultReserveShare: a higher share leaves places idle, a lower one makes interactive requests wait behind patient ones.
	defaultReserveShare = 0.1
	// defaultCustomerBatchShare: a higher share lets a burst of one customer hold places until its requests end, a lower one leaves places idle.
	defaultCustomerBatchShare = 0.85
	// defaultPreloadGain: a higher factor makes preloads rarer.
	defaultPreloadGain = 3
	// defaultBackoffBase, defaultBackoffMax: longer delays spend less of the weight store's rate on loads that fail, shorter ones retry an
	// adapter sooner.
	defaultBackoffBase = 2 * time.Second
	defaultBackoffMax  = time.Minute
	// defaultGiveUpFailures: a higher number lets requests wait longer for an adapter that cannot be loaded, a lower one refuses them because of
	// a transient fault.
	defaultGiveUpFailures = 5
	// defaultSecondCopyWait: a longer wait queues more requests at the first copy, a shorter one uses slots for copies of adapters that are in
	// demand only briefly.
	defaultSecondCopyWait = 500 * time.Millisecond
	// defaultStartWithin: a longer time tolerates a longer pause of the entry between the grant and the start of the request, a shorter one
	// lets the next placer unload sooner (assumption A3 of docs/design/0002).
	defaultStartWithin = 2 * time.Second
	// defaultTicketTTL: a longer time protects a running request of a lost entry, a shorter one frees its slot sooner if the endpoint does not
	// report the end of the request.
	defaultTicketTTL = 10 * time.Minute
	// defaultLoadTimeout: a longer timeout tolerates slow loads, a shorter one relies on the endpoint's report sooner.
	defaultLoadTimeout = 30 * time.Second
	// defaultMaxQueuedTokens limits the queue of a class without a limit of its own: a higher limit lets requests wait longer, a lower one
	// refuses them sooner.
	defaultMaxQueuedTokens = 400_000
	// defaultLoadTime is the expected duration of a load on an endpoint that does not specify one.
	defaultLoadTime = time.Second
)

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		AgingStep:          defaultAgingStep,
		CustomerShare:      defaultCustomerShare,
		FastHalfLife:       defaultFastHalfLife,
		SlowHalfLife:       defaultSlowHalfLife,
		SlowWeight:         defaultSlowWeight,
		GatherShare:        defaultGatherShare,
		GatherLimit:        defaultGatherLimit,
		ReserveShare:       defaultReserveShare,
		CustomerBatchShare: defaultCustomerBatchShare,
		PreloadGain:        defaultPreloadGain,
		BackoffBase:        defaultBackoffBase,
		BackoffMax:         defaultBackoffMax,
		GiveUpFailures:     defaultGiveUpFailures,
		SecondCopyWait:     defaultSecondCopyWait,
		StartWithin:        defaultStartWithin,
		TicketTTL:          defaultTicketTTL,
		LoadTimeout:        defaultLoadTimeout,
	}
}

// classByName returns the settings of a class. An unknown class has priority 1 and stall weight 1.
func classByName(classes map[string]fleet.Class, name string) fleet.Class {
	if c, ok := classes[name]; ok {
		return c
	}
	return fleet.Class{Name: name, Priority: 1, StallWeight: 1, MaxQueuedTokens: defaultMaxQueuedTokens}
}

func indexClasses(list []fleet.Class) map[string]fleet.Class {
	classes := make(map[string]fleet.Class, len(list))
	for _, c := range list {
		if c.MaxQueuedTokens <= 0 {
			c.MaxQueuedTokens = defaultMaxQueuedTokens
		}
		classes[c.Name] = c
	}
	return classes
}
