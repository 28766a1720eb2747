// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import (
	"errors"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/store"
)

const (
	// LongWatch is how long a watch may wait in the store while the planner watches too and sends the changes that this instance
	// lacks. A longer wait needs fewer calls, but detects later that the store is unreachable.
	LongWatch = 20 * time.Second
	// ShortWatch is how long a watch may wait otherwise. In a store that drops its history, a waiting watch may miss changes for a
	// second without being ended, and two such watches in a row must take well below the time within which a change has to be in
	// force.
	ShortWatch = 550 * time.Millisecond
	// NoWait is the wait of a watch that only asks for past changes: the minimum that can be requested.
	NoWait = time.Millisecond
	// WatchSlack is how long after its wait a watch must have been answered.
	WatchSlack = time.Second
	// maxWatchRetries is the number of failed watches in a row that are repeated before all keys are read again.
	maxWatchRetries = 1
)

// Reader is the source from which an instance receives the keys of the endpoints.
type Reader int

// The sources of the endpoints' keys.
const (
	// ReadByPlanner means that the planner sends them.
	ReadByPlanner Reader = iota
	// ReadByPolling means that the planner is silent or its read is too old, so that this instance polls the store.
	ReadByPolling
	// ReadByWatching means that this instance is the planner and watches the store.
	ReadByWatching
)

// Situation is the state that determines which instance reads the store for an instance.
type Situation struct {
	// Planning means that this instance is the planner.
	Planning bool
	// PlannerFresh means that the views of another instance are reliable.
	PlannerFresh bool
	// EndpointsKnown means that all endpoints have been received or read once.
	EndpointsKnown bool
	// ViewReceivedRecently means that a view of another instance was received within MaxPlannerSilence.
	ViewReceivedRecently bool
	// WatchedNearby means that another instance of the hall watches the operators' keys, so that this one need not.
	WatchedNearby bool
	// KeysLag is how long this instance has lacked keys that the planner has.
	KeysLag time.Duration
}

// maxKeysLag is how long an instance that does not watch the operators' keys may lack some before it reads them itself. A longer
// time leaves more to the planner; a shorter one brings a change into force earlier if the planner's link is too slow for it.
const maxKeysLag = 600 * time.Millisecond

// MaxPlannerSilence is how long the planner may be silent before instances that do not watch the operators' keys start to. A longer time
// avoids a call of each instance during a change of planners; a shorter one brings a change into force earlier when the planner is
// lost. Together with the read, it stays within the 3 s in which a change must be in force in a fleet of 60 instances or more.
const MaxPlannerSilence = 2 * time.Second

// DelegatesKeys reports whether this instance does not watch the operators' keys, but receives them from the planner, while other instances
// of its hall watch. A change then causes store calls of a few instances instead of all. A planner that the store does not answer
// receives the keys from the watching instances as well.
func (s Situation) DelegatesKeys() bool {
	return !s.Planning && s.ViewReceivedRecently && s.WatchedNearby && s.KeysLag < maxKeysLag
}

// ReliesOnPlanner reports whether another instance watches the store for this one.
func (s Situation) ReliesOnPlanner() bool {
	return !s.Planning && s.PlannerFresh
}

// Endpoints returns the source from which this instance receives the keys of the endpoints.
func (s Situation) Endpoints() Reader {
	switch {
	case s.Planning:
		return ReadByWatching
	case s.EndpointsKnown && s.PlannerFresh:
		return ReadByPlanner
	default:
		return ReadByPolling
	}
}

// ConfigurationWait returns how long a watch of the operators' keys waits in the store.
func (s Situation) ConfigurationWait() time.Duration {
	if s.ReliesOnPlanner() {
		return LongWatch
	}
	return ShortWatch
}

// Step is the action after a watch.
type Step int

// The actions after a watch.
const (
	// Apply means that the watch was answered: its events are applied, and the next watch continues after them.
	Apply Step = iota
	// RetryWatch means that the watch failed and is repeated after a pause.
	RetryWatch
	// ReadAll means that all keys have to be read again, since changes may have been missed.
	ReadAll
)

// Watch counts the consecutive failures of one watch. The zero value has none.
type Watch struct {
	failures int
}

// RecordResult records the result of a watch and returns the next action.
func (w *Watch) RecordResult(err error) Step {
	switch {
	case errors.Is(err, store.ErrCompacted):
		return ReadAll
	case err != nil:
		w.failures++
		if w.failures > maxWatchRetries {
			return ReadAll
		}
		return RetryWatch
	default:
		w.failures = 0
		return Apply
	}
}
