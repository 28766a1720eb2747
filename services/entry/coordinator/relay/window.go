// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
)

const (
	// WindowBytes is how many bytes of keys may be under way to members that have not reported them, 1 MiB: more reaches
	// many members sooner, less takes less of the planner's memory and link. What is larger goes to one member at a time. Not
	// measured.
	WindowBytes = 1 << 20
	// Again is after how long keys that a member has not reported are sent to it anew, and another member is asked: longer than
	// 1 MiB takes on the slowest link with a report after it. Not measured.
	Again = 2 * time.Second
	// readRate is what an instance reads from the store at the least, in bytes of a value a second: a link of 10 Mbit/s, the
	// slowest of the users' instances, carries so much of it in base64. Not measured.
	readRate = 900_000
)

// PatienceFor is how long an instance may lack newer keys of a size, in bytes, before they are passed on to it: by then it has
// read them itself, if the store answers it.
func PatienceFor(bytes int) time.Duration {
	return member.RelayAfter + time.Duration(bytes)*time.Second/readRate
}

// Window bounds the keys that are under way to members. The zero value has sent none; it is not safe for concurrent use.
type Window struct {
	sent map[string]sending
}

// sending is what was sent to one member last.
type sending struct {
	revision int64
	bytes    int
	at       time.Time
}

// Send tells whether keys up to a revision are sent to an instance now, and counts them as under way if they are. While a member
// has not reported what was sent to it, it is sent nothing more, so that changes in quick succession do not pile up.
func (w *Window) Send(now time.Time, instance string, revision int64, bytes int) bool {
	if last, ok := w.sent[instance]; ok && now.Sub(last.at) < Again {
		return false
	}
	if others := w.underWay(now, instance); others > 0 && others+bytes > WindowBytes {
		return false
	}
	if w.sent == nil {
		w.sent = make(map[string]sending)
	}
	w.sent[instance] = sending{revision: revision, bytes: bytes, at: now}
	return true
}

// underWay sums what is under way to other instances than one; what was sent too long ago counts as lost.
func (w *Window) underWay(now time.Time, except string) int {
	sum := 0
	for instance, one := range w.sent {
		if instance != except && now.Sub(one.at) < Again {
			sum += one.bytes
		}
	}
	return sum
}

// Reported notes up to which revision an instance says that it knows the keys.
func (w *Window) Reported(instance string, revision int64) {
	if last, ok := w.sent[instance]; ok && revision >= last.revision {
		delete(w.sent, instance)
	}
}

// Unlinked notes that the link to an instance has ended, with what was under way on it.
func (w *Window) Unlinked(instance string) {
	delete(w.sent, instance)
}
