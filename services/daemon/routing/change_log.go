// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// changeRetention is how long a change is included in partial summaries, so that a few of them may be lost. A longer time tolerates more
// losses without a full summary, a shorter one makes each message smaller.
const changeRetention = 3 * time.Second

// adapterChange records when an adapter was added to a pool or removed from it.
type adapterChange struct {
	name string
	seq  uint64
	at   time.Time
}

// changeLog records the adapters that were added or removed within changeRetention.
type changeLog struct {
	changes []adapterChange
	// completeSince is the sequence number after which the log contains every change.
	completeSince uint64
}

// reset clears the log after a full summary with the given sequence number.
func (l *changeLog) reset(seq uint64) {
	l.changes = nil
	l.completeSince = seq
}

func (l *changeLog) add(now time.Time, name string, seq uint64) {
	l.changes = append(l.changes, adapterChange{name: name, seq: seq, at: now})
}

func (l *changeLog) prune(now time.Time) {
	old := 0
	for old < len(l.changes) && now.Sub(l.changes[old].at) > changeRetention {
		l.completeSince = max(l.completeSince, l.changes[old].seq)
		old++
	}
	l.changes = l.changes[old:]
}

// addTo adds the recent changes to a partial summary.
func (l *changeLog) addTo(now time.Time, adapters map[string]bool, out *fleet.PoolSummary) {
	l.prune(now)
	out.Base = l.completeSince
	seen := make(map[string]bool, len(l.changes))
	for _, c := range l.changes {
		if seen[c.name] {
			continue
		}
		seen[c.name] = true
		if adapters[c.name] {
			out.Added = append(out.Added, c.name)
			continue
		}
		out.Removed = append(out.Removed, c.name)
	}
	slices.Sort(out.Added)
	slices.Sort(out.Removed)
}
