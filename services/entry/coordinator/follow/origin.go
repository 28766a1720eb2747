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
	// versionsProvenAt is the last time at which this instance provably had all keys that name versions, by reads of these alone.
	versionsProvenAt time.Time
	// empty are the last watches whose answers were empty, since an answer with changes or a failure, oldest first.
	empty []WatchAnswer
}

const (
	// immediateAnswer is the time within which a watch counts as answered at once, so that the changes in the answer may have happened
	// before the watch arrived. A longer time tolerates slower links to the store; a shorter one assumes a lower age of changes
	// that are received soon after a watch was sent.
	immediateAnswer = time.Second
	// deafTime is how long after the loss of its history a store may omit changes from new watches, and say so by nothing. A longer time
	// is safer; a shorter one assumes a lower age of changes.
	deafTime = time.Second
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
	return Origin{Source: source, CompleteAt: c.provenAt, Since: c.provenAt, UpTo: upTo}.NotBefore(c.versionsProvenAt)
}

// OriginOf returns the origin of the changes in the answer to a watch, up to a revision. If the store held the answer back until a
// change, the change is as old as the transmission of the answer took. Changes in an answer at once may be as old as the last proof,
// since the empty answers before may have omitted them.
func (c *Completeness) OriginOf(answer WatchAnswer, upTo int64) Origin {
	origin := c.Origin(FromWatch, upTo)
	if answer.heldBack() {
		return origin.NotBefore(answer.startedAt())
	}
	return origin
}

// RecordRead records that the store answered a read of all keys. The answer contains all changes that were acknowledged before the read
// was sent.
func (c *Completeness) RecordRead(sent time.Time) {
	c.raiseProof(sent)
}

// RecordVersionsRead records that the store answered a read of all keys that name versions. It proves nothing about other keys.
func (c *Completeness) RecordVersionsRead(sent time.Time) {
	if sent.After(c.versionsProvenAt) {
		c.versionsProvenAt = sent
	}
}

// RecordFailure records that a call was not answered, so that the empty answers before it prove nothing about those after it.
func (c *Completeness) RecordFailure() {
	c.empty = nil
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

// RecordWatch records an answer to a watch. An empty answer is no proof by itself: a store that loses its history may omit changes from
// the watches that wait then, and from those that are sent within deafTime. Either it omitted none from this watch, or it lost its history
// later than deafTime before the watch was sent, so that it omitted none from watches that were answered before that time.
func (c *Completeness) RecordWatch(answer WatchAnswer) {
	if !answer.Empty {
		c.empty = nil
		c.raiseProof(answer.Sent)
		if answer.heldBack() {
			c.raiseProof(answer.startedAt())
		}
		return
	}
	reliableUntil := answer.Sent.Add(-deafTime)
	for len(c.empty) > 0 && !c.empty[0].Received.After(reliableUntil) {
		c.raiseProof(c.empty[0].Sent)
		c.empty = c.empty[1:]
	}
	c.empty = append(c.empty, answer)
}

func (c *Completeness) raiseProof(provenAt time.Time) {
	if provenAt.After(c.provenAt) {
		c.provenAt = provenAt
	}
}
