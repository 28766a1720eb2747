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
	// WindowBytes is the maximum number of bytes of larger answers in transit to all askers, 1 MiB; further answers wait. The entry
	// program's planner uses the same limit (services/entry/coordinator/relay). A higher limit reaches many askers sooner; a lower one
	// uses less memory and less of the link. An answer larger than the limit is sent only while no other answer is in transit.
	WindowBytes = 1048576
	// minLinkRate is the assumed minimum rate of an instance's link in bytes per second: 10 Mbit/s, the slowest of the users' instances. A
	// higher rate repeats answers that are still in transit; a lower one repeats lost answers later.
	minLinkRate = 1_250_000
	// A queued asker is told when to ask again: after a fraction of the transfer time of its answer, firstWaitParts/waitParts for the first in
	// the queue and one part more for each position behind it, repeating after waitPositions positions. By then other peers may have the
	// configuration, and the waiting askers should not all ask the same peer. A shorter time sends more requests, and repeats more answers
	// to askers that wait in two queues; a longer one delays requests to peers that have received the configuration meanwhile.
	firstWaitParts = 1
	waitParts      = 4
	waitPositions  = 8
)

// transferTimeout returns the time after which an answer of the given size has either arrived or is considered lost.
func transferTimeout(bytes int) time.Duration {
	return requestInterval + time.Duration(bytes)*time.Second/minLinkRate
}

// Asker is one run of an instance that requests the configuration after a revision.
type Asker struct {
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

// queuedAsker is an asker that waits for its answer.
type queuedAsker struct {
	Asker
	size int
	// coming is the number of bytes that the asker is told to wait for. The asker keeps its position until the time until, without
	// asking again. That is a little longer than it waits and no more, since it may then ask another peer.
	coming int
	until  time.Time
}

// AnswerQueue tracks the large answers in transit and the queue of askers, so that no answer is sent twice and few are in transit at a
// time. Askers are served in the order of their first requests. The zero value is an empty queue.
type AnswerQueue struct {
	inTransit map[string]answerInTransit
	queue     []queuedAsker
}

// Enqueue queues an asker whose answer has the given size in bytes, unless that answer is in transit already.
func (a *AnswerQueue) Enqueue(now time.Time, asker Asker, size int) {
	a.expire(now)
	if sent, ok := a.inTransit[asker.ID]; ok && sent.boot == asker.Boot && asker.After < sent.head {
		return
	}
	delete(a.inTransit, asker.ID)
	at := a.position(asker.ID)
	if at < 0 {
		at = len(a.queue)
		a.queue = append(a.queue, queuedAsker{})
	}
	coming := size * (firstWaitParts + at%waitPositions) / waitParts
	a.queue[at] = queuedAsker{Asker: asker, size: size, coming: coming, until: now.Add(transferTimeout(coming) + requestInterval)}
}

// Next removes and returns the first asker of the queue, if an answer may be sent now.
func (a *AnswerQueue) Next(now time.Time) (Asker, bool) {
	a.expire(now)
	if len(a.queue) == 0 || (len(a.inTransit) > 0 && a.bytesInTransit()+a.queue[0].size > WindowBytes) {
		return Asker{}, false
	}
	first := a.queue[0]
	a.queue = a.queue[1:]
	return first.Asker, true
}

// RecordSent records that an answer up to the revision head, of the given size in bytes, is sent to an asker.
func (a *AnswerQueue) RecordSent(now time.Time, asker Asker, head int64, size int) {
	if a.inTransit == nil {
		a.inTransit = make(map[string]answerInTransit)
	}
	a.inTransit[asker.ID] = answerInTransit{boot: asker.Boot, head: head, size: size, until: now.Add(transferTimeout(a.bytesInTransit() + size))}
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

// Coming returns the number of bytes to wait for until an asker has its answer or should ask again. Zero means that no answer to
// the asker is in transit or queued.
func (a *AnswerQueue) Coming(now time.Time, id string) int {
	if sent, ok := a.inTransit[id]; ok {
		left := max(0, sent.until.Sub(now)-requestInterval)
		return max(1, int(left*minLinkRate/time.Second))
	}
	if at := a.position(id); at >= 0 {
		return a.queue[at].coming
	}
	return 0
}

func (a *AnswerQueue) position(id string) int {
	return slices.IndexFunc(a.queue, func(w queuedAsker) bool { return w.ID == id })
}

// bytesInTransit returns the total size of the answers in transit.
func (a *AnswerQueue) bytesInTransit() int {
	sum := 0
	for _, sent := range a.inTransit {
		sum += sent.size
	}
	return sum
}

// expire removes the answers considered lost and the askers that did not ask again in time.
func (a *AnswerQueue) expire(now time.Time) {
	for id, sent := range a.inTransit {
		if !now.Before(sent.until) {
			delete(a.inTransit, id)
		}
	}
	a.queue = slices.DeleteFunc(a.queue, func(w queuedAsker) bool { return !now.Before(w.until) })
}
