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

// Timing holds the intervals and limits of the joint action of instances.
type Timing struct {
	Heartbeat     Duration `json:"heartbeat"`
	LostAfter     Duration `json:"lost_after"`
	Settle        Duration `json:"settle"`
	Digest        Duration `json:"digest"`
	HallSilence   Duration `json:"hall_silence"`
	Inspect       Duration `json:"inspect"`
	GrantAge      Duration `json:"grant_age"`
	StartWithin   Duration `json:"start_within"`
	LeaseTTL      Duration `json:"lease_ttl"`
	LeaseMargin   Duration `json:"lease_margin"`
	LeaseRenew    Duration `json:"lease_renew"`
	RecoveryDelay Duration `json:"recovery_delay"`
}

func defaultTiming() Timing {
	return Timing{
		Heartbeat: Duration(250 * time.Millisecond), LostAfter: Duration(1200 * time.Millisecond), Settle: Duration(1500 * time.Millisecond),
		Digest: Duration(250 * time.Millisecond), HallSilence: Duration(3 * time.Second), Inspect: Duration(500 * time.Millisecond),
		GrantAge: Duration(3 * time.Second), StartWithin: Duration(2 * time.Second), LeaseTTL: Duration(10 * time.Second),
		LeaseMargin: Duration(3 * time.Second), LeaseRenew: Duration(3 * time.Second),
	}
}

func (t Timing) check(d *document) {
	checkDurations(d, "timing", map[string]Duration{
		"heartbeat": t.Heartbeat, "lost_after": t.LostAfter, "settle": t.Settle, "digest": t.Digest, "hall_silence": t.HallSilence,
		"inspect": t.Inspect, "grant_age": t.GrantAge, "start_within": t.StartWithin, "lease_ttl": t.LeaseTTL,
		"lease_margin": t.LeaseMargin, "lease_renew": t.LeaseRenew,
	})
	if t.LostAfter < 3*t.Heartbeat {
		d.add("timing.lost_after", "must be at least three heartbeats")
	}
	if t.LeaseMargin+t.LeaseRenew >= t.LeaseTTL {
		d.add("timing.lease_renew", "lease_margin and lease_renew together must be below lease_ttl")
	}
	if t.LeaseTTL.Duration()%time.Second != 0 {
		d.add("timing.lease_ttl", "must be whole seconds")
	}
}
