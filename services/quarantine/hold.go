// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"time"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

// holdDurations are how long a request is quarantined after its last crash, by the number of crashes beyond crashThreshold. After each hold,
// one trial shows whether a newer endpoint can run the request: soon where the evidence is weakest, seldom where several trials have
// failed.
var holdDurations = []time.Duration{5 * time.Minute, time.Hour, 24 * time.Hour}

const (
	// ambiguousHold is how long a request is quarantined while other requests have the same crashes, so that a trial must show which of them
	// is the cause. Each of them is held that much longer than the one before, so that no two are tried at the same endpoint at once. A
	// harmless request is not quarantined for long.
	ambiguousHold = 2 * time.Second
	// maxAmbiguousCrashes is how many crashes beyond crashThreshold such trials may cause.
	maxAmbiguousCrashes = 2
	// trialTimeout is how long the outcome of a trial is awaited before another trial is allowed.
	trialTimeout = 10 * time.Second
	// trialRetryAfter is when callers may retry a request that arrived during a trial, which seldom takes longer.
	trialRetryAfter = time.Second
)

// Hold describes why and how long a request is quarantined.
type Hold struct {
	// Remaining is the time until the request may be sent again.
	Remaining time.Duration
	// Endpoints are the endpoints that ended while they had the request in flight.
	Endpoints []string
}

// holdDuration returns how long a request is quarantined after its last crash.
func (t *Table) holdDuration(request fingerprint.Fingerprint, evidence []string) time.Duration {
	excess := len(evidence) - crashThreshold
	before, found := t.ambiguousCauses(request, evidence)
	if found && excess < maxAmbiguousCrashes {
		return time.Duration(1+before) * ambiguousHold
	}
	return holdDurations[min(excess, len(holdDurations)-1)]
}

// Held reports whether a request is quarantined.
func (t *Table) Held(now time.Time, request fingerprint.Fingerprint) (Hold, bool) {
	evidence := t.evidence(now, request)
	if evidence == nil {
		return Hold{}, false
	}
	remaining := t.suspects[request].lastCrash().Add(t.holdDuration(request, evidence)).Sub(now)
	return Hold{Remaining: remaining, Endpoints: evidence}, remaining > 0
}

// Admit decides whether an arriving request is quarantined. After a hold it admits one request at a time as a trial, whose outcome is the
// next crash or a complete response.
func (t *Table) Admit(now time.Time, request fingerprint.Fingerprint) (Hold, bool) {
	hold, held := t.Held(now, request)
	if held || hold.Endpoints == nil {
		return hold, held
	}
	known := t.suspects[request]
	if remaining := known.triedAt.Add(trialTimeout).Sub(now); !known.triedAt.IsZero() && remaining > 0 {
		return Hold{Remaining: min(remaining, trialRetryAfter), Endpoints: hold.Endpoints}, true
	}
	known.triedAt = now
	// Publishing the trial keeps the other instances from making one at the same time.
	t.publish(Crash{Request: request}, now)
	return Hold{}, false
}

// AllHeld returns all requests that are quarantined.
func (t *Table) AllHeld(now time.Time) map[fingerprint.Fingerprint]Hold {
	holding := make(map[fingerprint.Fingerprint]Hold)
	for request := range t.suspects {
		if hold, held := t.Held(now, request); held {
			holding[request] = hold
		}
	}
	return holding
}

// Release ends the hold of a request, as a complete response does. It returns false if no crash of the request is recorded.
func (t *Table) Release(now time.Time, request fingerprint.Fingerprint) bool {
	if t.suspects[request] == nil {
		return false
	}
	t.RecordAnswered(now, request)
	return true
}
