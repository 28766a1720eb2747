// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Decision holds the settings of placement and routing.
type Decision struct {
	// AgingStep is the waiting time after which the priority of a request rises by one level.
	AgingStep Duration `json:"aging_step"`
	// CustomerShare is the fraction of a class's queue, and CustomerBatchShare that of a batch, that one customer may fill, from 0.01 to 1.
	CustomerShare      float64 `json:"tenant_share"`
	CustomerBatchShare float64 `json:"tenant_batch_share"`
	// FastHalfLife and SlowHalfLife are the half-lives of the two popularity estimates.
	FastHalfLife Duration `json:"fast_half_life"`
	SlowHalfLife Duration `json:"slow_half_life"`
	// GatherShare is the fraction of a batch that requests of patient classes must fill before they start, from 0 to 1, and GatherLimit the
	// maximum time that they wait for that.
	GatherShare float64  `json:"gather_share"`
	GatherLimit Duration `json:"gather_limit"`
	// ReserveShare is the fraction of a batch that requests of patient classes may not use, from 0 to 0.9.
	ReserveShare float64 `json:"reserve_share"`
	// PreloadGain is the factor by which the value of a preload must exceed that of the evicted adapter, from 1 to 100.
	PreloadGain float64 `json:"preload_gain"`
	// GiveUpFailures is the number of failed loads after which the requests that wait for the adapter are refused, from 1 to 100.
	GiveUpFailures int `json:"give_up_failures"`
	// LoadTimeout bounds the load of an adapter.
	LoadTimeout Duration `json:"load_timeout"`
	// BoundedLoad is the multiple of the mean load that a pool may have before adapters that are not loaded are assigned to other pools, from 1
	// to 10.
	BoundedLoad float64 `json:"bounded_load"`
}

// defaultDecision returns the defaults. The constants of services/daemon/placement and services/daemon/routing have equal values and
// document the trade-offs; a test of services/daemon/process compares them.
//
//nolint:mnd // The fields name the numbers.
func defaultDecision() Decision {
	return Decision{
		AgingStep:          Duration(30 * time.Second),
		CustomerShare:      0.5,
		CustomerBatchShare: 0.85,
		FastHalfLife:       Duration(2 * time.Minute),
		SlowHalfLife:       Duration(40 * time.Minute),
		GatherShare:        0.5,
		GatherLimit:        Duration(10 * time.Minute),
		ReserveShare:       0.1,
		PreloadGain:        3,
		GiveUpFailures:     5,
		LoadTimeout:        Duration(30 * time.Second),
		BoundedLoad:        1.25,
	}
}

// check reports values outside of the range in which decisions are meaningful.
//
//nolint:mnd // The names of the settings explain the bounds.
func (c Decision) check(d *document) {
	checkRange(d, "decision.tenant_share", c.CustomerShare, 0.01, 1)
	checkRange(d, "decision.tenant_batch_share", c.CustomerBatchShare, 0.01, 1)
	checkRange(d, "decision.gather_share", c.GatherShare, 0, 1)
	checkRange(d, "decision.reserve_share", c.ReserveShare, 0, 0.9)
	checkRange(d, "decision.preload_gain", c.PreloadGain, 1, 100)
	checkRange(d, "decision.give_up_failures", c.GiveUpFailures, 1, 100)
	checkRange(d, "decision.bounded_load", c.BoundedLoad, 1, 10)
	checkDurations(d, "decision", map[string]Duration{
		"aging_step": c.AgingStep, "fast_half_life": c.FastHalfLife, "slow_half_life": c.SlowHalfLife,
		"gather_limit": c.GatherLimit, "load_timeout": c.LoadTimeout,
	})
}
