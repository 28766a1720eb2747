// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership

import "time"

// Options holds the intervals and timeouts of the membership protocol.
type Options struct {
	// HeartbeatInterval is the time between two heartbeats to the same live instance.
	HeartbeatInterval time.Duration
	// LostAfter is the time without heartbeats after which an instance is considered lost.
	LostAfter time.Duration
	// TakeoverDelay is how long a new instance receives heartbeats before it takes over any pool. The setting's name is settle.
	// services/daemon/node applies it.
	TakeoverDelay time.Duration
	// ProbeInterval is the time between two heartbeats to an instance that is not alive.
	ProbeInterval time.Duration
	// ForgetAfter is the time without heartbeats after which an instance that the platform does not list is forgotten.
	ForgetAfter time.Duration
}

const (
	// defaultHeartbeatInterval balances network traffic against the delay until a change is known to all instances. An instance in a
	// large hall sends 10.1 KB/s (docs/capacity-shelfledged.md).
	defaultHeartbeatInterval = 250 * time.Millisecond
	// defaultLostAfter balances early takeovers from failed instances against unnecessary takeovers from slow instances.
	defaultLostAfter = 1200 * time.Millisecond
	// defaultTakeoverDelay is longer than defaultLostAfter, so that a new instance has received a heartbeat of every live instance before it
	// takes over a pool.
	defaultTakeoverDelay = 1500 * time.Millisecond
	// defaultProbeInterval balances traffic to failed instances against the delay until a recovered instance is detected.
	defaultProbeInterval = time.Second
	// defaultForgetAfter balances the memory and probes spent on instances that are gone against keeping instances that were
	// disconnected for a long time.
	defaultForgetAfter = 10 * time.Minute
)

// DefaultOptions returns the options for use without a settings file. In the daemon, the settings replace HeartbeatInterval, LostAfter and
// TakeoverDelay; the defaults of these settings are equal to the values here.
func DefaultOptions() Options {
	return Options{
		HeartbeatInterval: defaultHeartbeatInterval, LostAfter: defaultLostAfter, TakeoverDelay: defaultTakeoverDelay,
		ProbeInterval: defaultProbeInterval, ForgetAfter: defaultForgetAfter,
	}
}
