// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// hedge sends a request that may run more than once to another endpoint as well while its current endpoint is silent (request
// hedging). The primary exchange is given up only when the other endpoint has started to respond: until then the primary may still
// continue, and another endpoint that refuses, fails or is silent does no harm. At most one search for another endpoint is active at
// a time. A nil *hedge never starts a search.
type hedge struct {
	primary *exchange
	// cancelPrimary ends the primary exchange in favor of another one.
	cancelPrimary func()

	mutex sync.Mutex
	// timer starts a search; nil before the first silence is timed.
	timer *time.Timer
	// resumePosition is the position in the response at which a successor continues.
	resumePosition position
	// cancelSearch cancels the active search, and searchDone is closed when it has ended; both are nil if no search is active.
	cancelSearch context.CancelFunc
	searchDone   chan struct{}
	// sending is set while the request is being sent to another endpoint.
	sending bool
	// silence decides whether a search may begin.
	silence silence
	// winner is the exchange at another endpoint whose response has started; nil for none. failed are the attempts that did not lead
	// to a response.
	winner *exchange
	failed []AttemptRecord
}

// newHedge returns a hedge that starts a search after a silence of the endpoint, or nil if the request may not run more than once.
func newHedge(e *exchange) *hedge {
	if !e.inflight.request.Route.Retryable() {
		return nil
	}
	h := &hedge{primary: e, cancelPrimary: e.cancelFunc(attempt.EndedBySuccessor)}
	h.resume()
	return h
}

// pause cancels the search because the endpoint has sent data. It returns false if a successor has already started to respond: no
// more data of the primary exchange may be forwarded then.
func (h *hedge) pause() bool {
	if h == nil {
		return true
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.silence.end()
	h.stopLocked()
	return h.winner == nil
}

// resume restarts the silence timer, and records the caller's current position as the point at which a successor continues.
func (h *hedge) resume() {
	if h == nil {
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.resumePosition = h.primary.inflight.position()
	h.silence.begin()
	h.armLocked()
}

// armLocked starts the timer if the request may be sent to another endpoint. The caller must hold the mutex.
func (h *hedge) armLocked() {
	after, ok := attempt.HedgeDelay(h.primary.inflight.service.options.Now(), h.situation())
	switch {
	case !ok || !h.silence.maySearch():
	case h.timer == nil:
		h.timer = time.AfterFunc(after, h.search)
	default:
		h.timer.Reset(after)
	}
}

// situation returns the situation of the request, including the endpoints that this hedge sent it to. The caller must hold the
// mutex.
func (h *hedge) situation() attempt.Situation {
	situation := h.primary.inflight.situationAt(h.resumePosition)
	situation.Sent += len(h.failed)
	return situation
}

// stopLocked stops the timer and cancels the active search. The caller must hold the mutex.
func (h *hedge) stopLocked() {
	if h.timer != nil {
		h.timer.Stop()
	}
	if h.cancelSearch != nil {
		h.cancelSearch()
	}
}

// closeAndWait prevents further searches and waits until the active one has ended. If wait is set, the primary exchange failed: an
// endpoint that was already sent the request then gets some time to respond.
func (h *hedge) closeAndWait(wait bool) {
	if h == nil {
		return
	}
	done := h.close(wait)
	if done == nil {
		return
	}
	timer := time.AfterFunc(attempt.RetryTimeout(h.primary.inflight.request.Route), h.stop)
	defer timer.Stop()
	<-done
}

// close prevents further searches, and returns the channel that is closed when the active search has ended; nil if none is active.
func (h *hedge) close(wait bool) <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.silence.close()
	if !wait || !h.sending {
		h.stopLocked()
	}
	return h.searchDone
}

// stop stops the timer and cancels the active search.
func (h *hedge) stop() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.stopLocked()
}

// beginSearch marks a search as active; begun is false if none may start.
func (h *hedge) beginSearch() (ctx context.Context, resumePosition position, begun bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.winner != nil || !h.silence.beginSearch() {
		return nil, position{}, false
	}
	ctx, h.cancelSearch = context.WithCancel(h.primary.inflight.context)
	h.searchDone = make(chan struct{})
	return ctx, h.resumePosition, true
}

// search acquires another endpoint and then a retry, in this order: an endpoint can be released again, a granted retry cannot. It
// then sends the request to the endpoint.
func (h *hedge) search() {
	ctx, from, ok := h.beginSearch()
	if !ok {
		return
	}
	defer h.finishSearch(ctx)
	inflight := h.primary.inflight
	placed, err := inflight.acquireToResume(ctx, from, h.tried(), "")
	if err != nil {
		return
	}
	if !h.acquireRetry(ctx) {
		inflight.service.control.Finish(placed.request, placed.assignment, directory.Neutral, false)
		return
	}
	h.send(ctx, inflight.newExchange(placed, from))
}

// finishSearch marks the active search as ended. If the search found no successor and was not canceled, the timer for the next one is
// started. If the timer fired for a later silence meanwhile, the search for that one follows at once.
func (h *hedge) finishSearch(ctx context.Context) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	canceled := ctx.Err() != nil
	h.cancelSearch()
	h.cancelSearch, h.sending = nil, false
	close(h.searchDone)
	h.searchDone = nil
	due := h.silence.endSearch()
	switch {
	case h.winner != nil:
	case due:
		go h.search()
	case !canceled:
		h.armLocked()
	}
}

// tried returns the endpoints that were sent the request.
func (h *hedge) tried() []deployment.EndpointID {
	tried := append(slices.Clone(h.primary.inflight.tried), h.primary.assignment.Endpoint.ID)
	for _, record := range h.failed {
		tried = append(tried, record.Endpoint)
	}
	return tried
}

// acquireRetry asks the retry budget, unless the search was canceled.
func (h *hedge) acquireRetry(ctx context.Context) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if ctx.Err() != nil || !h.primary.inflight.service.control.TakeRetry(h.primary.inflight.request.Service) {
		return false
	}
	h.sending = true
	return true
}

// send sends the request to the other endpoint, and gives up the primary exchange when the response has started.
func (h *hedge) send(ctx context.Context, next *exchange) {
	verdict, begun := h.requestHead(ctx, next)
	if begun && h.takeOver(ctx, next) {
		return
	}
	if begun {
		verdict = attempt.Verdict{Result: attempt.Uncertain}
		next.discard()
	}
	if ctx.Err() != nil {
		// The search was canceled by this instance or by the caller.
		verdict.Outcome = directory.Neutral
	}
	record := next.close(verdict)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failed = append(h.failed, record)
}

// requestHead sends the request and waits for the head of a response that is better than continuing to wait for the primary exchange;
// the end of the search cancels it.
func (h *hedge) requestHead(ctx context.Context, next *exchange) (verdict attempt.Verdict, begun bool) {
	release := context.AfterFunc(ctx, next.cancelFunc(attempt.EndedByFormerEndpoint))
	defer release()
	verdict, begun = next.requestHead()
	switch {
	case !begun:
		return verdict, false
	case attempt.IsFailure(next.status):
		next.discard()
		return attempt.JudgeWhole(next.status), false
	case next.handling == attempt.ResumeStream && next.response.EndsAtHead():
		// Such an answer does not show whether the stream is over.
		next.discard()
		return attempt.Verdict{Result: attempt.Uncertain, Outcome: directory.Neutral}, false
	default:
		return verdict, true
	}
}

// takeOver gives up the primary exchange in favor of next, unless the search was canceled.
func (h *hedge) takeOver(ctx context.Context, next *exchange) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if ctx.Err() != nil || h.silence.ended {
		return false
	}
	h.winner = next
	h.cancelPrimary()
	return true
}
