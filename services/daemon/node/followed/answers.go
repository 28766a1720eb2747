// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package followed

import (
	"slices"
	"time"
)

const (
	// MaxImmediateAnswer is the maximum size in bytes of an answer that is sent at once on each request: about ten records of 300 B
	// (docs/capacity-shelfledged.md), which take 3 ms on a 10 Mbit/s link, so that a repeated answer costs little. A higher limit repeats
	// more bytes; a lower one delays more answers.
	MaxImmediateAnswer = 4096
	// WindowBytes is the maximum number of bytes of larger answers in transit to all requesters, 1 MiB; further answers wait. The entry
	// program's planner uses the same limit (services/entry/coordinator/relay). A higher limit reaches many requesters sooner; a lower one
	// uses less memory and less of the link. An answer larger than the limit is sent only while no other answer is in transit.
	WindowBytes = 1048576
	// minLinkRate is the assumed minimum rate of an instance's link in bytes per second: 10 Mbit/s, the slowest of the users' instances. A
	// higher rate repeats answers that are still in transit; a lower one repeats lost answers later.
	minLinkRate = 1_250_000
	// A queued requester repeats its request after a fraction of the transfer time of its answer: firstWaitParts/waitParts for the first in
	// the queue and one part more for each position behind it, repeating after waitPositions positions. By then other peers may have the
	// configuration, and the requesters should not all repeat their requests to the same peer. A shorter time sends more requests, and
	// repeats more answers to requesters that wait in two queues; a longer one delays requests to peers that have received the configuration
	// meanwhile.
	firstWaitParts = 1
	waitParts      = 4
	waitPositions  = 8
)

// transferTimeout returns the time after which an answer of the given size has either arrived or is considered lost.
func transferTimeout(bytes int) time.Duration {
	return requestInterval + time.Duration(bytes)*time.Second/minLinkRate
}

// Requester is one run of an instance that requests the configuration after a revision.
type Requester struct {
	ID    string
	Boot  uint64
	After int64
}

// answerInTransit is a large answer in transit.
type answerInTransit struct {
	boot uint64
	head int64
	size int
	// until is the time from which the answer is considered lost.
	until time.Time
}

// queuedRequester is a requester that waits for its answer.
type queuedRequester struct {
	Requester
	size int
	// bytesToWaitFor is the number of bytes that is announced to the requester. The requester repeats its request after their
	// transfer time. It keeps its position without a repeated request until a little later (until) and no longer, since it may have sent
	// the repeated request to another peer.
	bytesToWaitFor int
	until          time.Time
}

// AnswerQueue tracks the large answers in transit and the queue of requesters, so that no answer is sent twice and few are in transit at a
// time. Requesters are served in the order of their first requests. The zero value is an empty queue.
type AnswerQueue struct {
	inTransit map[string]answerInTransit
	queue     []queuedRequester
}

// Enqueue queues a requester whose answer has the given size in bytes, unless that answer is in transit already.
func (a *AnswerQueue) Enqueue(now time.Time, requester Requester, size int) {
	a.expire(now)
	if sent, ok := a.inTransit[requester.ID]; ok && sent.boot == requester.Boot && requester.After < sent.head {
		return
	}
	delete(a.inTransit, requester.ID)
	at := a.position(requester.ID)
	if at < 0 {
		at = len(a.queue)
		a.queue = append(a.queue, queuedRequester{})
	}
	waitBytes := size * (firstWaitParts + at%waitPositions) / waitParts
	a.queue[at] = queuedRequester{Requester: requester, size: size, bytesToWaitFor: waitBytes, until: now.Add(transferTimeout(waitBytes) + requestInterval)}
}

// Next removes and returns the first requester of the queue, if an answer may be sent now.
func (a *AnswerQueue) Next(now time.Time) (Requester, bool) {
	a.expire(now)
	if len(a.queue) == 0 || (len(a.inTransit) > 0 && a.bytesInTransit()+a.queue[0].size > WindowBytes) {
		return Requester{}, false
	}
	first := a.queue[0]
	a.queue = a.queue[1:]
	return first.Requester, true
}

// RecordSent records that an answer up to the revision head, of the given size in bytes, is sent to a requester.
func (a *AnswerQueue) RecordSent(now time.Time, requester Requester, head int64, size int) {
	if a.inTransit == nil {
		a.inTransit = make(map[string]answerInTransit)
	}
	a.inTransit[requester.ID] = answerInTransit{boot: requester.Boot, head: head, size: size, until: now.Add(transferTimeout(a.bytesInTransit() + size))}
}

// RevisionReached records that an instance has a revision in force, so that answers up to that revision are no longer in transit to it
// and its outdated request leaves the queue.
func (a *AnswerQueue) RevisionReached(id string, revision int64) {
	if sent, ok := a.inTransit[id]; ok && revision >= sent.head {
		delete(a.inTransit, id)
	}
	if at := a.position(id); at >= 0 && revision > a.queue[at].After {
		a.queue = slices.Delete(a.queue, at, at+1)
	}
}

// BytesToWaitFor returns the number of bytes to wait for until a requester has its answer or should repeat its request. Zero means that no answer to
// the requester is in transit or queued.
func (a *AnswerQueue) BytesToWaitFor(now time.Time, id string) int {
	if sent, ok := a.inTransit[id]; ok {
		left := max(0, sent.until.Sub(now)-requestInterval)
		return max(1, int(left*minLinkRate/time.Second))
	}
	if at := a.position(id); at >= 0 {
		return a.queue[at].bytesToWaitFor
	}
	return 0
}

func (a *AnswerQueue) position(id string) int {
	return slices.IndexFunc(a.queue, func(w queuedRequester) bool { return w.ID == id })
}

// bytesInTransit returns the total size of the answers in transit.
func (a *AnswerQueue) bytesInTransit() int {
	sum := 0
	for _, sent := range a.inTransit {
		sum += sent.size
	}
	return sum
}

// expire removes the answers considered lost and the requesters that did not repeat their requests in time.
func (a *AnswerQueue) expire(now time.Time) {
	for id, sent := range a.inTransit {
		if !now.Before(sent.until) {
			delete(a.inTransit, id)
		}
	}
	a.queue = slices.DeleteFunc(a.queue, func(w queuedRequester) bool { return !now.Before(w.until) })
}
