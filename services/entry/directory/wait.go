// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// waitMemory is how long a wait that was seen at an endpoint tells of the next one there. Longer knows more endpoints' waits and goes by
// queues that are gone, shorter knows fewer.
const waitMemory = 3 * time.Second

// mostSeen is how many waits are kept of an endpoint. More tell how long the longest counts more exactly, fewer take less memory.
const mostSeen = 32

// queueWait is what this instance's own requests tell of an endpoint's own queue, in which a request waits until it runs.
type queueWait struct {
	// queued are the requests that are not known to run, the oldest first; at most those in flight.
	queued []queuedRequest
	// unread is the sum of their prompts, in tokens.
	unread int
	// seen are the waits of the last waitMemory, the oldest first, without those that a later one outweighs; mostSeen at most.
	seen []seenWait
}

// queuedRequest is a request that was assigned to an endpoint and is not known to run.
type queuedRequest struct {
	assigned time.Time
	// prompt is its length in tokens; ahead is that of all prompts known to be read before its first event, its own included.
	prompt, ahead int
}

// seenWait is how long one request waited until it ran, or at least waited without running.
type seenWait struct {
	at   time.Time
	wait time.Duration
	// ran is false for a wait that ended without a run: it tells only that others may wait as long.
	ran bool
	// priority is the rank of its route, the lowest first: endpoints let urgent requests go before others.
	priority int
}

// outweighs reports whether an older wait tells nothing more beside this one: it was not longer, and shows no less of patient
// requests.
func (w seenWait) outweighs(older seenWait) bool {
	if older.wait > w.wait {
		return false
	}
	return !older.ran || (w.ran && older.priority <= w.priority)
}

// enter notes a request that was assigned, with the length of its prompt and of the other instances' prompts that wait there, in tokens.
func (q *queueWait) enter(now time.Time, prompt, others int) {
	q.unread += prompt
	q.queued = append(q.queued, queuedRequest{assigned: now, prompt: prompt, ahead: q.unread + others})
}

// leave takes a request out that was assigned at a time, with the length of its prompt; false if it was known to run. Of several
// that are alike in both the first is taken.
func (q *queueWait) leave(assigned time.Time, prompt int) (queuedRequest, bool) {
	place := slices.IndexFunc(q.queued, func(one queuedRequest) bool {
		return one.prompt == prompt && one.assigned.Equal(assigned)
	})
	if place < 0 {
		return queuedRequest{}, false
	}
	left := q.queued[place]
	q.queued = slices.Delete(q.queued, place, place+1)
	q.unread -= prompt
	return left, true
}

// note takes in one wait.
func (q *queueWait) note(one seenWait) {
	q.seen = slices.DeleteFunc(q.seen, func(older seenWait) bool {
		return one.at.Sub(older.at) > waitMemory || one.outweighs(older)
	})
	q.seen = append(q.seen, one)
	if len(q.seen) > mostSeen {
		// The longer of the two oldest counts as long as the later one: what is merged never makes the wait shorter.
		q.seen[1].wait = max(q.seen[0].wait, q.seen[1].wait)
		q.seen = slices.Delete(q.seen, 0, 1)
	}
}

// expected gives how long a request of a priority will wait by what was seen, and whether enough was seen to know it: a request
// that is no more urgent has run lately. It is the longest wait of late and of those that still wait.
func (q *queueWait) expected(now time.Time, priority int) (wait time.Duration, known bool) {
	if len(q.queued) > 0 {
		wait = now.Sub(q.queued[0].assigned)
	}
	for _, one := range q.seen {
		if now.Sub(one.at) > waitMemory {
			continue
		}
		wait = max(wait, one.wait)
		known = known || (one.ran && one.priority >= priority)
	}
	return wait, known
}

// ExpectedWait gives how long a request of a priority is expected to wait in the endpoint's own queue, and whether that is
// known. Nothing in flight means no wait, as far as the others' counts are known; beside requests in flight, only waits that
// this instance saw of late tell, since slots that are free say nothing of the endpoint's memory.
func (s *EndpointStatus) ExpectedWait(now time.Time, priority int, othersKnown bool) (wait time.Duration, known bool) {
	if othersKnown && s.Load() == 0 {
		return 0, true
	}
	return s.wait.expected(now, priority)
}

// Running notes that a request runs that was assigned to an endpoint at a time.
func (d *Directory) Running(now time.Time, id deployment.EndpointID, assigned time.Time, request *deployment.Request) {
	status, ok := d.endpoints[id]
	if !ok {
		return
	}
	left, ok := status.wait.leave(assigned, request.Prompt)
	if !ok {
		return
	}
	status.wait.note(seenWait{at: now, wait: now.Sub(assigned), ran: true, priority: request.Route.Priority})
	status.Speed.Record(left.ahead, now.Sub(assigned))
}

// Leave notes the end of a request that was assigned to an endpoint at a time; one that never ran has waited at least so long.
func (d *Directory) Leave(now time.Time, id deployment.EndpointID, assigned time.Time, request *deployment.Request) {
	status, ok := d.endpoints[id]
	if !ok {
		return
	}
	if _, ok := status.wait.leave(assigned, request.Prompt); ok {
		status.wait.note(seenWait{at: now, wait: now.Sub(assigned)})
	}
}
