// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import "time"

// Source is how operators' keys came to this instance; log lines carry it.
type Source string

// The sources of operators' keys.
const (
	// FromReading: the store's answer to a reading of all keys.
	FromReading Source = "reading"
	// FromWatch: the store's answer to a watch.
	FromWatch Source = "watch"
	// FromPlanner: a view of the planner, which passes on what its member lacks.
	FromPlanner Source = "planner"
	// FromMember: a report to the planner, from a member that it asked for keys.
	FromMember Source = "member"
	// FromSeed: the answer of a seed to an instance that starts while the store does not answer.
	FromSeed Source = "seed"
)

// Origin is how operators' keys came, and since when they may have been in the store.
type Origin struct {
	Source Source
	// CompleteAt is the last moment at which this instance surely had all operators' keys; zero where none is known. What is
	// new to it was acknowledged after that.
	CompleteAt time.Time
}

// Silence gives for how long this instance has had no proof that it had all operators' keys: what is new to it now was
// acknowledged no longer ago. It is false where there never was a proof.
func (o Origin) Silence(now time.Time) (time.Duration, bool) {
	if o.CompleteAt.IsZero() {
		return 0, false
	}
	return now.Sub(o.CompleteAt), true
}

// Completeness knows when this instance last surely had all operators' keys, by the store's own answers alone: a peer may lack
// keys as well. The zero value knows of no proof. It is not safe for concurrent use.
type Completeness struct {
	at time.Time
}

// At gives the last moment at which this instance surely had all operators' keys; zero where none is known.
func (c *Completeness) At() time.Time {
	return c.at
}

// Read notes that the store answered a reading of all keys: what was acknowledged before it was sent is in the answer.
func (c *Completeness) Read(sent time.Time) {
	c.note(sent)
}

// WatchAnswer is the store's answer to a watch that might wait there for Wait; all times are of the own clock.
type WatchAnswer struct {
	Sent     time.Time
	Received time.Time
	Wait     time.Duration
	// Empty says that it names no change.
	Empty bool
}

// Watched notes an answer to a watch. It counts from its sending, since the answer may have been long on its way; only one that
// names no change after its whole wait was surely made no sooner than at the end of it. A store that loses its history may
// leave changes out of a watch's answer: that no answer tells.
func (c *Completeness) Watched(answer WatchAnswer) {
	if answer.Empty && answer.Received.Sub(answer.Sent) >= answer.Wait {
		c.note(answer.Sent.Add(answer.Wait))
		return
	}
	c.note(answer.Sent)
}

func (c *Completeness) note(at time.Time) {
	if at.After(c.at) {
		c.at = at
	}
}
