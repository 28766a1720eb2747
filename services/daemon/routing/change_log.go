// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// recentSpan is how far back a partial summary reaches, so that a few lost ones do no harm: longer survives more losses without a whole
// summary, shorter makes each message smaller.
const recentSpan = 3 * time.Second

// summaryChange tells when an adapter came to a pool or left it.
type summaryChange struct {
	name string
	seq  uint64
	at   time.Time
}

// recentLog remembers which adapters came or went in the last seconds.
type recentLog struct {
	changes []summaryChange
	// floor is the number up to which the log is known to be complete backwards.
	floor uint64
}

// reset starts anew after a whole summary of the given number.
func (l *recentLog) reset(seq uint64) {
	l.changes = nil
	l.floor = seq
}

func (l *recentLog) add(now time.Time, name string, seq uint64) {
	l.changes = append(l.changes, summaryChange{name: name, seq: seq, at: now})
}

func (l *recentLog) forget(now time.Time) {
	old := 0
	for old < len(l.changes) && now.Sub(l.changes[old].at) > recentSpan {
		l.floor = max(l.floor, l.changes[old].seq)
		old++
	}
	l.changes = l.changes[old:]
}

// fill puts the recent changes into a partial summary.
func (l *recentLog) fill(now time.Time, present map[string]bool, out *fleet.PoolSummary) {
	l.forget(now)
	out.Base = l.floor
	seen := make(map[string]bool, len(l.changes))
	for _, c := range l.changes {
		if seen[c.name] {
			continue
		}
		seen[c.name] = true
		if present[c.name] {
			out.Added = append(out.Added, c.name)
			continue
		}
		out.Removed = append(out.Removed, c.name)
	}
	slices.Sort(out.Added)
	slices.Sort(out.Removed)
}
