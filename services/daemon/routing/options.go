// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import "time"

// Options configures the choice between pools.
type Options struct {
	// MaxSummaryAge is the maximum age of a summary from another hall.
	MaxSummaryAge time.Duration
	// BoundedLoad is the load relative to the mean above which a pool gets no requests for cold adapters.
	BoundedLoad float64
}

const (
	// defaultMaxSummaryAge: a longer age sends requests based on outdated summaries, a shorter one sends none to a hall whose summaries are delayed.
	// Twenty digests fit into this time at their default interval.
	defaultMaxSummaryAge = 5 * time.Second
	// defaultBoundedLoad: a higher bound keeps adapters in one hall, a lower one balances the load more evenly.
	defaultBoundedLoad = 1.25
)

// DefaultOptions returns the settings that apply without a settings file. In the daemon, the setting bounded_load, which has
// the same default, replaces BoundedLoad.
func DefaultOptions() Options {
	return Options{MaxSummaryAge: defaultMaxSummaryAge, BoundedLoad: defaultBoundedLoad}
}
