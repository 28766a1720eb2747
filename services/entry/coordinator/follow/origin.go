// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow

import "time"

// Source is the source from which this instance received operators' keys. Log lines contain it.
type Source string

// The sources of operators' keys.
const (
	// FromRead means that the store answered a read of all keys.
	FromRead Source = "reading"
	// FromWatch means that the store answered a watch.
	FromWatch Source = "watch"
	// FromPlanner means that a view of the planner contained keys that its member lacked.
	FromPlanner Source = "planner"
	// FromMember means that a member reported keys that the planner had requested.
	FromMember Source = "member"
	// FromSeed means that a seed answered an instance that starts while the store does not answer.
	FromSeed Source = "seed"
)

// Origin describes how operators' keys were received, and since when they may have been in the store.
type Origin struct {
	Source Source
	// CompleteAt is the last time at which this instance provably had all operators' keys; zero if unknown. Keys that are new to
	// the instance were acknowledged after that.
	CompleteAt time.Time
	// Since is the latest known time before which none of the new keys was acknowledged: CompleteAt, or a later time; zero if unknown.
	// The limit of former versions starts at it.
	Since time.Time
	// UpTo is the store revision up to which no change is missing once these keys are stored.
	UpTo int64
}

// NotBefore returns the origin of keys that, by other evidence than this instance's own, were acknowledged after a time.
func (o Origin) NotBefore(moment time.Time) Origin {
	if moment.After(o.Since) {
		o.Since = moment
	}
	return o
}

// TimeSinceProof returns the time since this instance last provably had all operators' keys, which is an upper bound of the age of keys
// that are new to it. It returns false if there was no such proof.
func (o Origin) TimeSinceProof(now time.Time) (time.Duration, bool) {
	if o.CompleteAt.IsZero() {
		return 0, false
	}
	return now.Sub(o.CompleteAt), true
}

// Completeness tracks when this instance last provably had all operators' keys. Only answers of the store are proof, since a peer
// may lack keys as well. The zero value has no proof. It is not safe for concurrent use.
type Completeness struct {
	provenAt time.Time
	// emptySentAt is when the last watch was sent if its answer was empty, and previousEmptySentAt when the one before it was sent if both
	// answers were empty.
	emptySentAt, previousEmptySentAt time.Time
	// answeredAt is when the store began its last answer, unless a call has failed since: changes in the answer to the next watch
	// happened after it. Unlike provenAt, it relies on empty answers to watches.
	answeredAt time.Time
}

const (
	// immediateAnswer is the time within which a watch counts as answered at once, so that the changes in the answer may have happened
	// before the watch arrived. A longer time tolerates slower links to the store; a shorter one assumes a lower age of changes
	// that are received soon after a watch was sent.
	immediateAnswer = time.Second
	// maxAnswerDelay is how long after its wait a watch may be answered and still count as held back by the store. A longer time
	// tolerates slower links from the store; a shorter one detects answers that were delayed in transmission.
	maxAnswerDelay = 250 * time.Millisecond
	// minReadRate is the minimum rate, in bytes of values per second, at which an instance reads from the store. A link of 10 Mbit/s,
	// the slowest of the users' instances, carries that many bytes in base64.
	minReadRate = 900_000
)

// ReadTime returns the maximum transmission time of an answer of the store with values of the given size in bytes.
func ReadTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / minReadRate
}

// Origin returns the origin of keys that are received now, up to a revision, by this instance's own proof alone.
func (c *Completeness) Origin(source Source, upTo int64) Origin {
	return Origin{Source: source, CompleteAt: c.provenAt, Since: c.provenAt, UpTo: upTo}
}

// OriginOf returns the origin of the changes in the answer to a watch, up to a revision. If the store held the answer back until a
// change, the change is as old as the transmission of the answer took. Changes in an answer at once may be as old as the previous
// answer or, if a call has failed since, as the last proof.
func (c *Completeness) OriginOf(answer WatchAnswer, upTo int64) Origin {
	origin := c.Origin(FromWatch, upTo)
	if answer.heldBack() {
		return origin.NotBefore(answer.startedAt())
	}
	return origin.NotBefore(c.answeredAt)
}

// RecordRead records that the store answered a read of all keys. The answer contains all changes that were acknowledged before the read
// was sent.
func (c *Completeness) RecordRead(sent time.Time) {
	c.raiseProof(sent)
	c.answeredAt = sent
}

// RecordFailure records that a call was not answered, so that the age of the changes in the next answer is unknown.
func (c *Completeness) RecordFailure() {
	c.answeredAt = time.Time{}
}

// WatchAnswer is the answer of the store to a watch that was allowed to wait there for Wait. All times are by the clock of this
// instance.
type WatchAnswer struct {
	Sent     time.Time
	Received time.Time
	Wait     time.Duration
	// Empty means that the answer contains no change.
	Empty bool
	// Bytes is the size of the values in the answer.
	Bytes int
}

// startedAt returns when the store began its answer, assuming the slowest link that is allowed for an instance. An empty answer
// begins at the end of the wait, however late it is received.
func (a WatchAnswer) startedAt() time.Time {
	startedAt := a.Received.Add(-ReadTime(a.Bytes))
	if end := a.Sent.Add(a.Wait); a.Empty && end.Before(startedAt) {
		return end
	}
	return startedAt
}

// heldBack reports whether the store held the answer back until a change. An answer that is received more than maxAnswerDelay after
// its wait was delayed in transmission instead.
func (a WatchAnswer) heldBack() bool {
	waited := a.startedAt().Sub(a.Sent)
	return !a.Empty && waited > immediateAnswer && waited <= a.Wait+maxAnswerDelay
}

// RecordWatch records an answer to a watch. An empty answer is no proof by itself, nor are the next two: a store that loses its history
// may omit changes from three short watches in a row, and includes them in the answer to the next one.
func (c *Completeness) RecordWatch(answer WatchAnswer) {
	if answer.Empty {
		c.raiseProof(c.previousEmptySentAt)
		c.previousEmptySentAt, c.emptySentAt = c.emptySentAt, answer.Sent
		c.answeredAt = answer.startedAt()
		return
	}
	c.answeredAt = answer.Sent
	if answer.heldBack() {
		c.answeredAt = answer.startedAt()
	}
	c.emptySentAt, c.previousEmptySentAt = time.Time{}, time.Time{}
	c.raiseProof(c.answeredAt)
}

func (c *Completeness) raiseProof(provenAt time.Time) {
	if provenAt.After(c.provenAt) {
		c.provenAt = provenAt
	}
}
