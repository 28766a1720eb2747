// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

const (
	// initialInFlightTime is the assumed time in flight until a request of the service has ended on this instance.
	initialInFlightTime = time.Second
	// inFlightTimeWeight is the weight of the newest request in the mean. A higher value follows a change of the load sooner, a lower one
	// is less affected by single long requests.
	inFlightTimeWeight = 0.05
)

// MeanInFlightTime returns the mean time in flight of a service's requests that ended on this instance.
func (d *Directory) MeanInFlightTime(service string) time.Duration {
	mean, ok := d.inFlightTimes[service]
	if !ok {
		return initialInFlightTime
	}
	return mean
}

// RecordInFlightTime records how long a request of a service was in flight that ended with an outcome. A request that the endpoint did not take
// does not count: its short time would make the others seem to end sooner.
func (d *Directory) RecordInFlightTime(service string, duration time.Duration, outcome Outcome) {
	if outcome == Refused || outcome == Unreachable {
		return
	}
	known, ok := d.inFlightTimes[service]
	if !ok {
		d.inFlightTimes[service] = duration
		return
	}
	d.inFlightTimes[service] = known + time.Duration(inFlightTimeWeight*float64(duration-known))
}
