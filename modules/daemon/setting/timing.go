// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Timing holds the intervals and limits of the joint action of instances.
type Timing struct {
	// Heartbeat is the time between two heartbeats to an instance of the hall, LostAfter the silence after which one counts as
	// lost, and Settle how long a new instance listens before it takes anything over.
	Heartbeat Duration `json:"heartbeat"`
	LostAfter Duration `json:"lost_after"`
	Settle    Duration `json:"settle"`
	// Digest is the time between two digests to another hall, HallSilence the silence after which one counts as cut off.
	Digest      Duration `json:"digest"`
	HallSilence Duration `json:"hall_silence"`
	// Inspect is the time between two looks at an endpoint's own list.
	Inspect Duration `json:"inspect"`
	// GrantAge is the greatest age of a grant that is used, and StartWithin the longest from a ticket to the request's first byte.
	GrantAge    Duration `json:"grant_age"`
	StartWithin Duration `json:"start_within"`
	// LeaseTTL, LeaseMargin and LeaseRenew govern orders to endpoints that check no fences
	// (docs/design/0002-ownership-and-tickets.md).
	LeaseTTL    Duration `json:"lease_ttl"`
	LeaseMargin Duration `json:"lease_margin"`
	LeaseRenew  Duration `json:"lease_renew"`
	// RecoveryDelay spreads the bids for loads after a restart of many endpoints; zero, the default, for none.
	RecoveryDelay Duration `json:"recovery_delay"`
}

// defaultTiming is the table of defaults. The constants of services/daemon/membership, services/daemon/node and
// services/daemon/placement have equal values and say what each trades; a test of services/daemon/process holds them equal.
//
//nolint:mnd // The fields name the numbers.
func defaultTiming() Timing {
	return Timing{
		Heartbeat:   Duration(250 * time.Millisecond),
		LostAfter:   Duration(1200 * time.Millisecond),
		Settle:      Duration(1500 * time.Millisecond),
		Digest:      Duration(250 * time.Millisecond),
		HallSilence: Duration(3 * time.Second),
		Inspect:     Duration(500 * time.Millisecond),
		GrantAge:    Duration(3 * time.Second),
		StartWithin: Duration(2 * time.Second),
		LeaseTTL:    Duration(10 * time.Second),
		LeaseMargin: Duration(3 * time.Second),
		LeaseRenew:  Duration(3 * time.Second),
	}
}

// beatsBeforeLost is how many heartbeats at least fit into the silence of a loss, so that two that are dropped lose nobody.
const beatsBeforeLost = 3

func (t Timing) check(d *document) {
	checkDurations(d, "timing", map[string]Duration{
		"heartbeat": t.Heartbeat, "lost_after": t.LostAfter, "settle": t.Settle, "digest": t.Digest, "hall_silence": t.HallSilence,
		"inspect": t.Inspect, "grant_age": t.GrantAge, "start_within": t.StartWithin, "lease_ttl": t.LeaseTTL,
		"lease_margin": t.LeaseMargin, "lease_renew": t.LeaseRenew,
	})
	if t.LostAfter < beatsBeforeLost*t.Heartbeat {
		d.add("timing.lost_after", "must be at least three heartbeats")
	}
	if t.LeaseMargin+t.LeaseRenew >= t.LeaseTTL {
		d.add("timing.lease_renew", "lease_margin and lease_renew together must be below lease_ttl")
	}
	if t.LeaseTTL.Duration()%time.Second != 0 {
		d.add("timing.lease_ttl", "must be whole seconds")
	}
}
