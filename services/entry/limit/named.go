// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limit

import "time"

const (
	// leastRate is the least number of requests a second that a limit is taken for: without a request, nobody would hear that a limit of
	// nothing is over. Higher hears of it sooner, lower spares the endpoint.
	leastRate = 0.2
	// toldMargin is by how much a later word must be younger that another instance tells, since words wait on their way. Longer bears
	// slower links, shorter believes sooner that a limit is over.
	toldMargin = time.Second
)

// Change is what a word of an endpoint changed.
type Change int

// The changes of a limit.
const (
	// Unchanged: the limit is as before.
	Unchanged Change = iota
	// Set: the endpoint names a limit, or another one than before.
	Set
	// Lifted: the endpoint names no limit any more.
	Lifted
)

// Named is the limit that an endpoint names. An answer tells what held at some moment between the sending of its request and its arrival,
// and answers overtake each other: what is looser counts only where it is surely later. The zero value is no limit.
type Named struct {
	perSecond float64
	// namedAt is when a limit was last heard of; zero where none holds.
	namedAt time.Time
	// freeAt is when the request was sent whose answer was the last one to name none; zero for none.
	freeAt time.Time
}

// Binds reports whether a limit holds.
func (n *Named) Binds() bool {
	return !n.namedAt.IsZero()
}

// PerSecond is the limit as named, in requests a second.
func (n *Named) PerSecond() float64 {
	return n.perSecond
}

// NamedAt is when the limit was last heard of, on the own clock.
func (n *Named) NamedAt() time.Time {
	return n.namedAt
}

// Rate is how many requests a second may be sent.
func (n *Named) Rate() float64 {
	return max(n.perSecond, leastRate)
}

// Hear takes in the answer to a request that this instance sent; limit is nil where it names none.
func (n *Named) Hear(now, sent time.Time, limit *float64) Change {
	if limit == nil {
		return n.lift(sent, n.namedAt)
	}
	if n.Binds() && sent.Before(n.namedAt) {
		return n.set(now, min(*limit, n.perSecond))
	}
	return n.set(now, *limit)
}

// Tell takes in a limit that another instance heard of at a time.
func (n *Named) Tell(perSecond float64, namedAt time.Time) Change {
	if !namedAt.After(n.namedAt) || !namedAt.After(n.freeAt) {
		return Unchanged
	}
	return n.set(namedAt, perSecond)
}

// TellFree takes in that another instance got an answer without a limit to a request that it sent at a time.
func (n *Named) TellFree(sent time.Time) Change {
	return n.lift(sent, n.namedAt.Add(toldMargin))
}

func (n *Named) set(at time.Time, perSecond float64) Change {
	changed := !n.Binds() || perSecond != n.perSecond
	n.perSecond, n.namedAt = perSecond, at
	if changed {
		return Set
	}
	return Unchanged
}

// lift ends the limit if the request was sent after a moment.
func (n *Named) lift(sent, after time.Time) Change {
	if !n.Binds() || !sent.After(after) {
		return Unchanged
	}
	*n = Named{freeAt: sent}
	return Lifted
}
