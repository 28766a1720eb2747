// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// waitWindow is how long an observed wait is used to predict the next one. A higher value gives predictions for more endpoints but includes
// queues that have emptied, a lower one gives fewer predictions.
const waitWindow = 3 * time.Second

// maxObservedWaits is how many waits are kept per endpoint. A higher value tracks more exactly how long the longest wait applies, a lower
// one takes less memory.
const maxObservedWaits = 32

// queueWaits tracks the waits of this instance's own requests in an endpoint's own queue, where a request waits until it runs.
type queueWaits struct {
	// queued are the requests that are not known to run, oldest first; at most those in flight.
	queued []queuedRequest
	// unread is the sum of their prompt lengths, in tokens.
	unread int
	// observed are the waits within waitWindow, oldest first, without those superseded by a later one; at most maxObservedWaits.
	observed []observedWait
}

// queuedRequest is a request that was assigned to an endpoint and is not known to run.
type queuedRequest struct {
	assigned time.Time
	// promptTokens is the length of its prompt in tokens; tokensToRead is that of all prompts known to be read before its first event, its own
	// included.
	promptTokens, tokensToRead int
}

// observedWait is how long one request waited until it ran, or the least that it waited if it never ran.
type observedWait struct {
	observedAt time.Time
	wait       time.Duration
	// ran is false for a wait that ended without a run; such a wait only gives a lower bound for others.
	ran bool
	// priority is the priority of its route, the most urgent first (lowest number): endpoints run urgent requests before others.
	priority int
}

// supersedes reports whether an older wait adds no information beside this one: the older wait was not longer, and the newer one proves at
// least as much about less urgent requests.
func (w observedWait) supersedes(older observedWait) bool {
	if older.wait > w.wait {
		return false
	}
	return !older.ran || (w.ran && older.priority <= w.priority)
}

// add adds a request that was assigned, given the length of its prompt and that of the other instances' unread prompts, in tokens.
func (q *queueWaits) add(now time.Time, promptTokens, others int) {
	q.unread += promptTokens
	q.queued = append(q.queued, queuedRequest{assigned: now, promptTokens: promptTokens, tokensToRead: q.unread + others})
}

// remove removes the request that was assigned at a time with a prompt of a given length, and returns false if no such request is queued,
// since it is known to run. Of several requests that match, the first is removed.
func (q *queueWaits) remove(assigned time.Time, promptTokens int) (queuedRequest, bool) {
	index := slices.IndexFunc(q.queued, func(candidate queuedRequest) bool {
		return candidate.promptTokens == promptTokens && candidate.assigned.Equal(assigned)
	})
	if index < 0 {
		return queuedRequest{}, false
	}
	dequeued := q.queued[index]
	q.queued = slices.Delete(q.queued, index, index+1)
	q.unread -= promptTokens
	return dequeued, true
}

// record adds an observed wait.
func (q *queueWaits) record(newest observedWait) {
	q.observed = slices.DeleteFunc(q.observed, func(older observedWait) bool {
		return newest.observedAt.Sub(older.observedAt) > waitWindow || newest.supersedes(older)
	})
	q.observed = append(q.observed, newest)
	if len(q.observed) > maxObservedWaits {
		// The two oldest are merged into the later one with the longer wait, so that merging never shortens the expected wait.
		q.observed[1].wait = max(q.observed[0].wait, q.observed[1].wait)
		q.observed = slices.Delete(q.observed, 0, 1)
	}
}

// expected returns how long a request of a priority is expected to wait: the longest of the recent waits and of those still waiting. known
// reports whether that rests on enough observations: a request that is no more urgent ran recently.
func (q *queueWaits) expected(now time.Time, priority int) (wait time.Duration, known bool) {
	if len(q.queued) > 0 {
		wait = now.Sub(q.queued[0].assigned)
	}
	for _, seen := range q.observed {
		if now.Sub(seen.observedAt) > waitWindow {
			continue
		}
		wait = max(wait, seen.wait)
		known = known || (seen.ran && seen.priority >= priority)
	}
	return wait, known
}

// ExpectedWait returns how long a request of a priority is expected to wait in the endpoint's own queue, and whether that is known. No
// requests in flight means no wait, provided that the other instances' counts are known. With requests in flight only recently observed
// waits count, since a free slot does not show that the endpoint has memory for another request.
func (s *EndpointStatus) ExpectedWait(now time.Time, priority int, othersKnown bool) (wait time.Duration, known bool) {
	if othersKnown && s.Load() == 0 {
		return 0, true
	}
	return s.wait.expected(now, priority)
}

// MarkRunning records that a request that was assigned to an endpoint at a time is running.
func (d *Directory) MarkRunning(now time.Time, id deployment.EndpointID, assigned time.Time, request *deployment.Request) {
	status, ok := d.endpoints[id]
	if !ok {
		return
	}
	dequeued, ok := status.wait.remove(assigned, request.PromptTokens)
	if !ok {
		return
	}
	status.wait.record(observedWait{observedAt: now, wait: now.Sub(assigned), ran: true, priority: request.Route.Priority})
	status.Speed.Record(dequeued.tokensToRead, now.Sub(assigned))
}

// LeaveQueue records the end of a request that was assigned to an endpoint at a time. A request that never ran counts as an observed wait
// without a run.
func (d *Directory) LeaveQueue(now time.Time, id deployment.EndpointID, assigned time.Time, request *deployment.Request) {
	status, ok := d.endpoints[id]
	if !ok {
		return
	}
	if _, ok := status.wait.remove(assigned, request.PromptTokens); ok {
		status.wait.record(observedWait{observedAt: now, wait: now.Sub(assigned)})
	}
}
