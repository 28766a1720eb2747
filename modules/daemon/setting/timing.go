// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import "time"

// Timing holds the intervals and timeouts for the cooperation of instances.
type Timing struct {
	// Heartbeat is the interval of heartbeats to another instance of the hall, LostAfter the time without heartbeats after which an instance
	// counts as lost, and Settle the time for which a new instance only listens before it takes over any pool.
	Heartbeat Duration `json:"heartbeat"`
	LostAfter Duration `json:"lost_after"`
	Settle    Duration `json:"settle"`
	// Digest is the interval of digests to another hall, HallSilence the time without messages after which a hall counts as unreachable.
	Digest      Duration `json:"digest"`
	HallSilence Duration `json:"hall_silence"`
	// Inspect is the interval at which the status of an endpoint is read.
	Inspect Duration `json:"inspect"`
	// GrantAge is the maximum age at which a grant is used, StartWithin the maximum time from a ticket to the first byte of its request.
	GrantAge    Duration `json:"grant_age"`
	StartWithin Duration `json:"start_within"`
	// LeaseTTL, LeaseMargin and LeaseRenew apply to orders to endpoints that check no fences (docs/design/0002-ownership-and-tickets.md).
	LeaseTTL    Duration `json:"lease_ttl"`
	LeaseMargin Duration `json:"lease_margin"`
	LeaseRenew  Duration `json:"lease_renew"`
	// RecoveryDelay is the time over which the requests for loads are spread after a restart of many endpoints. The default, zero, means no
	// delay.
	RecoveryDelay Duration `json:"recovery_delay"`
}

// defaultTiming returns the defaults. The constants of services/daemon/membership, services/daemon/node and services/daemon/placement have
// equal values and document the trade-offs; a test of services/daemon/process compares them.
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

// minHeartbeatsUntilLost is the minimum number of heartbeats within LostAfter, so that two dropped heartbeats do not make an instance count
// as lost.
const minHeartbeatsUntilLost = 3

func (t Timing) check(d *document) {
	checkDurations(d, "timing", map[string]Duration{
		"heartbeat": t.Heartbeat, "lost_after": t.LostAfter, "settle": t.Settle, "digest": t.Digest, "hall_silence": t.HallSilence,
		"inspect": t.Inspect, "grant_age": t.GrantAge, "start_within": t.StartWithin, "lease_ttl": t.LeaseTTL,
		"lease_margin": t.LeaseMargin, "lease_renew": t.LeaseRenew,
	})
	if t.LostAfter < minHeartbeatsUntilLost*t.Heartbeat {
		d.addProblem("timing.lost_after", "must be at least three heartbeats")
	}
	if t.LeaseMargin+t.LeaseRenew >= t.LeaseTTL {
		d.addProblem("timing.lease_renew", "lease_margin and lease_renew together must be below lease_ttl")
	}
	if t.LeaseTTL.Duration()%time.Second != 0 {
		d.addProblem("timing.lease_ttl", "must be whole seconds")
	}
}
