// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue

// compactionRatio is the ratio of entries to waiters of a lane above which removed entries are dropped. A higher ratio copies lanes less
// often, a lower one keeps fewer removed entries in memory.
const compactionRatio = 2

// lane holds the waiters of one customer and class for one adapter, in order of arrival.
type lane struct {
	// waiters starts with a waiter that is not removed; later entries may be removed.
	waiters []*Waiter
	waiting int
}

func (l *lane) add(w *Waiter) {
	l.waiters = append(l.waiters, w)
	l.waiting++
}

// head returns the first waiter. The lane must not be empty.
func (l *lane) head() *Waiter {
	return l.waiters[0]
}

// remove updates the lane after one of its waiters was marked as removed, and returns the number of remaining waiters.
func (l *lane) remove() int {
	l.waiting--
	if l.waiting == 0 {
		return 0
	}
	for l.waiters[0].removed {
		l.waiters[0] = nil
		l.waiters = l.waiters[1:]
	}
	if len(l.waiters) > compactionRatio*l.waiting {
		l.compact()
	}
	return l.waiting
}

// compact drops removed entries. It allocates a new slice, since the current one may be in use by an iteration.
func (l *lane) compact() {
	kept := make([]*Waiter, 0, l.waiting)
	for _, w := range l.waiters {
		if !w.removed {
			kept = append(kept, w)
		}
	}
	l.waiters = kept
}
