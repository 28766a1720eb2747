// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import "time"

// maxProvenRecords is how many records of proven requests are returned, each of some 60 bytes where they are kept. A higher value remembers
// more requests after the loss of all instances, a lower one writes less.
const maxProvenRecords = 256

// SettleTime is how long after the last change Proven may still change by the passing of time: twice reportDelay.
const SettleTime = 200 * time.Millisecond

// Changes returns a number that changes with each change of the records.
func (t *Table) Changes() uint64 {
	return t.changes
}

// Proven returns the crashes, since the last complete response, of the requests against which there are enough of them, those of the most
// suspected requests first. These records are worth keeping where the loss of all instances does not lose them.
func (t *Table) Proven(now time.Time) []Crash {
	var proven []Crash
	for _, request := range t.bySuspicion() {
		if t.evidence(now, request) == nil {
			continue
		}
		open := t.suspects[request].openRecords()
		if len(proven)+len(open) > maxProvenRecords {
			break
		}
		for _, r := range open {
			proven = append(proven, r.crash(now, request))
		}
	}
	return proven
}
