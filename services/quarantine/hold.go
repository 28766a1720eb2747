// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"time"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

// holds are for how long a request is held back after its last crash, by how many crashes beyond crashCount speak against it. After each,
// one sending finds out whether a newer endpoint bears it: soon where the evidence is least, seldom where several such trials have failed.
var holds = []time.Duration{5 * time.Minute, time.Hour, 24 * time.Hour}

const (
	// rivalHold is for how long a request is held back that one sending can tell from others with the same crashes, and how much longer each
	// of these than the one before: a sound one is not kept from its endpoints for long, and no two of them share an endpoint meanwhile.
	rivalHold = 2 * time.Second
	// rivalCrashes is how many crashes beyond crashCount such trials may cost.
	rivalCrashes = 2
	// trialTime is how long the end of a trial is waited for before another one is made.
	trialTime = 10 * time.Second
	// trialPause is when others come back that came during a trial, which seldom takes longer.
	trialPause = time.Second
)

// Hold is why and for how long a request is held back.
type Hold struct {
	// Left is the time until it is sent again.
	Left time.Duration
	// Endpoints are those that ended while they had it.
	Endpoints []string
}

// span is for how long a request is held back after its last crash.
func (t *Table) span(request fingerprint.Fingerprint, evidence []string) time.Duration {
	beyond := len(evidence) - crashCount
	before, found := t.rivals(request, evidence)
	if found && beyond < rivalCrashes {
		return time.Duration(1+before) * rivalHold
	}
	return holds[min(beyond, len(holds)-1)]
}

// Held reports whether a request is held back.
func (t *Table) Held(now time.Time, request fingerprint.Fingerprint) (Hold, bool) {
	evidence := t.evidence(now, request)
	if evidence == nil {
		return Hold{}, false
	}
	left := t.suspects[request].last().Add(t.span(request, evidence)).Sub(now)
	return Hold{Left: left, Endpoints: evidence}, left > 0
}

// Admit decides whether a request that has come is held back. After a hold it lets one through at a time, which the next crash or the whole
// answer judges.
func (t *Table) Admit(now time.Time, request fingerprint.Fingerprint) (Hold, bool) {
	hold, held := t.Held(now, request)
	if held || hold.Endpoints == nil {
		return hold, held
	}
	known := t.suspects[request]
	if left := known.triedAt.Add(trialTime).Sub(now); !known.triedAt.IsZero() && left > 0 {
		return Hold{Left: min(left, trialPause), Endpoints: hold.Endpoints}, true
	}
	known.triedAt = now
	// The other instances make none meanwhile.
	t.tell(Crash{Request: request}, now)
	return Hold{}, false
}

// Holding gives the requests that are held back.
func (t *Table) Holding(now time.Time) map[fingerprint.Fingerprint]Hold {
	holding := make(map[fingerprint.Fingerprint]Hold)
	for request := range t.suspects {
		if hold, held := t.Held(now, request); held {
			holding[request] = hold
		}
	}
	return holding
}

// Release lets a request go that is held back, as after a whole answer; false where it is not known.
func (t *Table) Release(now time.Time, request fingerprint.Fingerprint) bool {
	if t.suspects[request] == nil {
		return false
	}
	t.Answered(now, request)
	return true
}
