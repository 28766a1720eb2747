// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership

import "time"

// unscaledInstances is the number of instances in a hall, including this instance, up to which the configured times apply unchanged. In
// larger halls, the times grow in proportion to the number of instances, so that the traffic of each instance does not: the bytes sent are
// constant above 10 instances (docs/capacity-shelfledged.md). The cost is slower detection: in a hall of 40 instances, a lost instance is
// detected after 4.8 s.
const unscaledInstances = 10

// pauseDivisor determines when the time between two sweeps counts as a pause of this instance: when it exceeds LostAfter divided by this
// number. A higher number also detects shorter pauses; with a lower number, members are marked as lost sooner after an undetected pause.
const pauseDivisor = 2

// scaleWithHall returns d scaled for a hall with the given number of instances, including this instance.
func scaleWithHall(d time.Duration, instances int) time.Duration {
	return d * time.Duration(max(unscaledInstances, instances)) / unscaledInstances
}

// localPause returns the time since the last sweep if it is so long that this instance must have been paused, and
// otherwise zero. For the first sweep, last is zero and localPause returns zero.
func (o Options) localPause(now, last time.Time) time.Duration {
	pause := now.Sub(last)
	if last.IsZero() || pause <= o.LostAfter/pauseDivisor {
		return 0
	}
	return pause
}

// isLost reports whether a live member counts as lost after the given time without heartbeats, in a hall with the given number
// of instances.
func (o Options) isLost(silence time.Duration, instances int) bool {
	return silence > scaleWithHall(o.LostAfter, instances)
}

// due reports whether a heartbeat must be sent to a member now. This is always the case if none was sent yet, that is, if sent
// is zero.
func (o Options) due(now, sent time.Time, alive bool, instances int) bool {
	interval := o.ProbeInterval
	if alive {
		interval = o.HeartbeatInterval
	}
	return sent.IsZero() || now.Sub(sent) >= scaleWithHall(interval, instances)
}
