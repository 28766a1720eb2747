// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Decision holds the settings of placement and routing.
type Decision struct {
	AgingStep          Duration `json:"aging_step"`
	CustomerShare      float64  `json:"tenant_share"`
	CustomerBatchShare float64  `json:"tenant_batch_share"`
	FastHalfLife       Duration `json:"fast_half_life"`
	SlowHalfLife       Duration `json:"slow_half_life"`
	GatherShare        float64  `json:"gather_share"`
	GatherLimit        Duration `json:"gather_limit"`
	ReserveShare       float64  `json:"reserve_share"`
	PreloadGain        float64  `json:"preload_gain"`
	GiveUpFailures     int      `json:"give_up_failures"`
	LoadTimeout        Duration `json:"load_timeout"`
	BoundedLoad        float64  `json:"bounded_load"`
}

func defaultDecision() Decision {
	return Decision{
		AgingStep: Duration(30 * time.Second), CustomerShare: 0.5, CustomerBatchShare: 0.85, FastHalfLife: Duration(2 * time.Minute),
		SlowHalfLife: Duration(40 * time.Minute), GatherShare: 0.5, GatherLimit: Duration(10 * time.Minute), ReserveShare: 0.1,
		PreloadGain: 3, GiveUpFailures: 5, LoadTimeout: Duration(30 * time.Second), BoundedLoad: 1.25,
	}
}

func (c Decision) check(d *document) {
	between(d, "decision.tenant_share", c.CustomerShare, 0.01, 1)
	between(d, "decision.tenant_batch_share", c.CustomerBatchShare, 0.01, 1)
	between(d, "decision.gather_share", c.GatherShare, 0, 1)
	between(d, "decision.reserve_share", c.ReserveShare, 0, 0.9)
	between(d, "decision.preload_gain", c.PreloadGain, 1, 100)
	between(d, "decision.give_up_failures", c.GiveUpFailures, 1, 100)
	between(d, "decision.bounded_load", c.BoundedLoad, 1, 10)
	checkDurations(d, "decision", map[string]Duration{
		"aging_step": c.AgingStep, "fast_half_life": c.FastHalfLife, "slow_half_life": c.SlowHalfLife,
		"gather_limit": c.GatherLimit, "load_timeout": c.LoadTimeout,
	})
}
