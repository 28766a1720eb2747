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
	// TenantShare bounds one tenant's part of a class's queue, from 0 to 1.
	TenantShare float64
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
	// TenantBatchShare bounds one tenant's part of a batch, from 0 to 1.
	TenantBatchShare float64
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
	// TicketLife bounds how long a lost entry's ticket keeps an adapter in use.
	TicketLife time.Duration
	// LoadTimeout is when a load without an answer makes its slot unknown.
	LoadTimeout time.Duration
	// EvictInUse is a seeded fault, for the proof that the tests find it.
	EvictInUse bool
	// PlainQueue skips the fair order inside a class, for comparison only.
	PlainQueue bool
}

// DefaultOptions gives the settings in use where the settings file is silent.
func DefaultOptions() Options {
	return Options{
		AgingStep:        30 * time.Second,
		TenantShare:      0.5,
		FastHalfLife:     2 * time.Minute,
		SlowHalfLife:     40 * time.Minute,
		SlowWeight:       1,
		GatherShare:      0.5,
		GatherLimit:      10 * time.Minute,
		ReserveShare:     0.1,
		TenantBatchShare: 0.85,
		PreloadGain:      3,
		BackoffBase:      2 * time.Second,
		BackoffMax:       time.Minute,
		GiveUpFailures:   5,
		SecondCopyWait:   500 * time.Millisecond,
		StartWithin:      2 * time.Second,
		TicketLife:       10 * time.Minute,
		LoadTimeout:      30 * time.Second,
	}
}

const (
	defaultMaxQueuedTokens = 400_000
	defaultLoadTime        = time.Second
)

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
