// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Options are the settings of a placer's decisions.
type Options struct {
	Classes []fleet.Class
	// AgingStep is the wait that raises a request by one priority level.
	AgingStep time.Duration
	// CustomerShare bounds one customer's part of a class's queue, from 0 to 1; the setting's
	// name is tenant_share.
	CustomerShare float64
	// FastHalfLife and SlowHalfLife are the half-lives of the two popularity estimates.
	FastHalfLife time.Duration
	SlowHalfLife time.Duration
	// SlowWeight scales the slow estimate against the fast one.
	SlowWeight float64
	// GatherShare is the part of a batch that patient work waits to fill.
	GatherShare float64
	// GatherLimit is the longest that patient work is held back.
	GatherLimit time.Duration
	// ReserveShare is the part of a batch kept from patient work.
	ReserveShare float64
	// CustomerBatchShare bounds one customer's part of a batch, from 0 to 1; the setting's name
	// is tenant_batch_share.
	CustomerBatchShare float64
	// PreloadGain is how much more valuable a preload must be than what it evicts.
	PreloadGain float64
	// BackoffBase and BackoffMax bound the wait after failed loads of one adapter.
	BackoffBase time.Duration
	BackoffMax  time.Duration
	// GiveUpFailures is the number of failed loads after which waiters are refused.
	GiveUpFailures int
	// SecondCopyWait is the queue wait that justifies another copy.
	SecondCopyWait time.Duration
	// StartWithin bounds the time between a grant and the request's start.
	StartWithin time.Duration
	// TicketLife bounds how long a lost entry's ticket keeps an adapter in use; an entry that has
	// not named its ticket for so long counts as lost.
	TicketLife time.Duration
	// LoadTimeout is when a load without an answer makes its slot unknown.
	LoadTimeout time.Duration
	// OrderMargin bounds how late an order may arrive after its failure was told, where no fence refuses it.
	OrderMargin time.Duration
	// EvictInUse is a seeded fault, for the proof that the tests find it.
	EvictInUse bool
	// PlainQueue skips the fair order inside a class, for comparison only.
	PlainQueue bool
}

// The settings where the settings file is silent. The rows named are those of
// docs/design/0003; a pair of figures is the weighted stall in ms on dakar and plovdiv.
// Where no figure is named, the value was chosen with the first version and not measured.
const (
	// defaultAgingStep: longer keeps the classes' order, shorter lets long waits overtake it. Not measured.
	defaultAgingStep = 30 * time.Second
	// defaultCustomerShare: higher lets one customer fill more of a class's queue, lower
	// refuses a burst of one customer sooner. Not measured.
	defaultCustomerShare = 0.5
	// defaultFastHalfLife: longer reacts later to a rise, shorter forgets in a pause. Measured: 30 s
	// 2551 and 1039, 1 min 2303 and 1022, 2 min 2130 and 987, 5 min 2435 and 977.
	defaultFastHalfLife = 2 * time.Minute
	// defaultSlowHalfLife: longer remembers the day, shorter the hour. Measured: 20 min 2179 and 995,
	// 40 min 2130 and 987, 2 h 2126 and 994.
	defaultSlowHalfLife = 40 * time.Minute
	// defaultSlowWeight: higher trusts the past over the present. Measured: 1 2130 and 987, 2 2208 and
	// 990, 4 2448 and 958.
	defaultSlowWeight = 1
	// defaultGatherShare: higher makes fuller batches of patient work, and interactive work
	// waits more for its adapters. Measured, batch efficiency and weighted stall on plovdiv: 0.25 0.140
	// and 986, 0.5 0.143 and 985, 1 0.147 and 996, 2 0.151 and 1119.
	defaultGatherShare = 0.5
	// defaultGatherLimit: longer fills batches better, shorter starts patient work sooner. It
	// rarely counts, since patient work waits for a fifth of its caller's time at most. Not measured.
	defaultGatherLimit = 10 * time.Minute
	// defaultReserveShare: higher leaves places idle, lower makes interactive work wait
	// behind patient work. Not measured.
	defaultReserveShare = 0.1
	// defaultCustomerBatchShare: higher lets a flood hold places for the whole length of its
	// requests, lower leaves places idle. Measured on flood, p99 wait of the quiet customers and
	// answers to the flooding one: 0.75 0.9 s and 12392, 0.85 0.9 s and 13473, 0.95 0.9 s
	// (p95 0.8 s instead of 0) and 15516, none 30.5 s and 16038.
	defaultCustomerBatchShare = 0.85
	// defaultPreloadGain: higher preloads less. Measured: gain 1.1 2142 and 986, 1.5 2130 and 987, 3
	// 2122 and 986, no preloads 2110 and 1012.
	defaultPreloadGain = 3
	// defaultBackoffBase, defaultBackoffMax: longer spends less of the weight store on loads
	// that fail, shorter brings an adapter back sooner. Not measured.
	defaultBackoffBase = 2 * time.Second
	defaultBackoffMax  = time.Minute
	// defaultGiveUpFailures: higher lets requests wait longer for an adapter that cannot be
	// loaded, lower refuses them for a passing fault. Not measured.
	defaultGiveUpFailures = 5
	// defaultSecondCopyWait: longer queues more at the first copy, shorter spends slots on
	// copies of what is briefly in demand. Not measured.
	defaultSecondCopyWait = 500 * time.Millisecond
	// defaultStartWithin: longer lets a pause pass between a grant and its start, shorter
	// lets a successor unload sooner (assumption A3 of docs/design/0002). Not measured.
	defaultStartWithin = 2 * time.Second
	// defaultTicketLife: longer protects a request of a lost entry that still runs, shorter
	// frees its slot where the endpoint does not show that it has ended. Not measured.
	defaultTicketLife = 10 * time.Minute
	// defaultLoadTimeout: longer waits for a slow load, shorter asks the endpoint sooner. Not measured.
	defaultLoadTimeout = 30 * time.Second
	// defaultMaxQueuedTokens bounds a class's queue that sets no bound: higher lets requests
	// wait longer, lower refuses them sooner. Not measured.
	defaultMaxQueuedTokens = 400_000
	// defaultLoadTime is the expected time of a load on an endpoint that names none. Not measured.
	defaultLoadTime = time.Second
)

// DefaultOptions gives the settings in use where the settings file is silent.
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
		TicketLife:         defaultTicketLife,
		LoadTimeout:        defaultLoadTimeout,
	}
}

// classOf finds a class's settings; an unknown class counts as weight one, priority one.
func classOf(classes map[string]fleet.Class, name string) fleet.Class {
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
