// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"time"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

// holdDurations are how long a request is quarantined after its last crash, by the number of events from one on. After each hold, one trial
// shows whether a newer endpoint can run the request: soon where endpoints may have ended together for another reason, seldom where several
// trials have failed.
var holdDurations = []time.Duration{time.Second, 10 * time.Second, 5 * time.Minute, time.Hour, 24 * time.Hour}

// partHoldDurations are how long a part of prompts is quarantined after its last crash, by the number of crashes from crashThreshold on. The
// first trials come soon, since a harmless part may have been in flight at three endpoints that ended under others. Then they are seldom:
// each trial of a part that crashes endpoints costs one more.
var partHoldDurations = []time.Duration{2 * time.Second, 10 * time.Second, 5 * time.Minute, time.Hour, 24 * time.Hour}

const (
	// ambiguousHold is how long a request is quarantined while other requests have the same crashes, so that a trial must show which of them
	// is the cause. Each of them is held that much longer than the one before, so that no two are tried at the same endpoint at once. A
	// harmless request is not quarantined for long.
	ambiguousHold = 2 * time.Second
	// maxAmbiguousCrashes is how many events beyond crashThreshold such trials may cause.
	maxAmbiguousCrashes = 2
)

// Hold describes why and how long a request is quarantined.
type Hold struct {
	// Remaining is the time until the request may be sent again, or until the decision if Pending is set; zero if that is not known.
	Remaining time.Duration
	// Pending reports that the request is not quarantined: whether it may be sent is decided soon.
	Pending bool
	// Trial reports that the request may be sent as a trial. It must then not be passed to Admit again.
	Trial bool
	// Endpoints are the endpoints that ended while they had the request in flight.
	Endpoints []string
}

// holdDuration returns how long a request is quarantined after its last crash.
func (t *Table) holdDuration(request fingerprint.Fingerprint, evidence []record) time.Duration {
	if t.ofParts {
		return partHoldDurations[min(len(evidence)-crashThreshold, len(partHoldDurations)-1)]
	}
	events := countEvents(evidence)
	before, found := t.ambiguousCauses(request, evidence)
	if found && events < crashThreshold+maxAmbiguousCrashes {
		return time.Duration(1+before) * ambiguousHold
	}
	return holdDurations[min(events, len(holdDurations))-1]
}

// Held reports whether a request is quarantined.
func (t *Table) Held(now time.Time, request fingerprint.Fingerprint) (Hold, bool) {
	evidence := t.evidence(now, request)
	if evidence == nil {
		return Hold{}, false
	}
	remaining := t.suspects[request].lastCrash().Add(t.holdDuration(request, evidence)).Sub(now)
	return Hold{Remaining: remaining, Endpoints: endpointsOf(evidence)}, remaining > 0
}

// endpointsOf returns the endpoints of crashes.
func endpointsOf(crashes []record) []string {
	endpoints := make([]string, 0, len(crashes))
	for _, r := range crashes {
		endpoints = append(endpoints, r.endpoint)
	}
	return endpoints
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
