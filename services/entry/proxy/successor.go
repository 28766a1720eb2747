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

// successorSearch sends a request that may run more than once to another endpoint as well while its own is silent. The present exchange
// is given up only once the other endpoint's answer has begun: until then it may still go on, and an endpoint that refuses, fails or is
// silent costs the caller nothing. One search is under way at a time. A nil successorSearch is one that never begins.
type successorSearch struct {
	present *exchange
	// giveUp ends the present exchange for its successor.
	giveUp func()

	mutex sync.Mutex
	// timer begins a search; nil before the first silence is counted.
	timer *time.Timer
	// at is where a successor goes on.
	at position
	// withdraw ends the search that is under way, and done is closed at its end; nil for none.
	withdraw context.CancelFunc
	done     chan struct{}
	// sending says that an endpoint was sent the request; over that no search is to begin any more.
	sending, over bool
	// found is the exchange whose answer has begun; nil for none. failed are the attempts that did not take the request.
	found  *exchange
	failed []AttemptRecord
}

// newSuccessorSearch makes a search that begins after a silence; nil where the request may not run more than once.
func newSuccessorSearch(e *exchange) *successorSearch {
	if !e.run.request.Route.Retryable() {
		return nil
	}
	s := &successorSearch{present: e, giveUp: e.ender(attempt.BySuccessor)}
	s.resume()
	return s
}

// pause withdraws the search, since the endpoint has sent something; false if a successor has begun to answer before: nothing more may
// be passed on of the present exchange then.
func (s *successorSearch) pause() bool {
	if s == nil {
		return true
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stop()
	return s.found == nil
}

// resume has the next silence count from now, where the caller has its answer up to the present position.
func (s *successorSearch) resume() {
	if s == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.at = s.present.run.position()
	s.arm()
}

// arm starts the timer if another endpoint may be sent the request; the caller holds the mutex.
func (s *successorSearch) arm() {
	after, ok := attempt.SearchAfter(s.present.run.service.options.Now(), s.situation())
	switch {
	case !ok || s.over:
	case s.timer == nil:
		s.timer = time.AfterFunc(after, s.search)
	default:
		s.timer.Reset(after)
	}
}

// situation gives that of the request, with the endpoints that this search sent it to; the caller holds the mutex.
func (s *successorSearch) situation() attempt.Situation {
	situation := s.present.run.situationAt(s.at)
	situation.Sent += len(s.failed)
	return situation
}

// stop ends the search that is under way, and lets none begin for now; the caller holds the mutex.
func (s *successorSearch) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
	if s.withdraw != nil {
		s.withdraw()
	}
}

// end ends the search for good and waits until nothing of it is under way. wait says that the present exchange failed: an endpoint that
// was sent the request gets some time to begin then.
func (s *successorSearch) end(wait bool) {
	if s == nil {
		return
	}
	done := s.close(wait)
	if done == nil {
		return
	}
	timer := time.AfterFunc(attempt.RetryWait(s.present.run.request.Route), s.stopNow)
	defer timer.Stop()
	<-done
}

// close lets no search begin any more, and gives what is closed when the one under way has ended; nil for none.
func (s *successorSearch) close(wait bool) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.over = true
	if !wait || !s.sending {
		s.stop()
	}
	return s.done
}

// stopNow ends the search that is under way.
func (s *successorSearch) stopNow() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stop()
}

// begin begins a search, unless none is wanted any more.
func (s *successorSearch) begin() (ctx context.Context, at position, begun bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.over || s.found != nil || s.withdraw != nil {
		return nil, position{}, false
	}
	ctx, s.withdraw = context.WithCancel(s.present.run.context)
	s.done = make(chan struct{})
	return ctx, s.at, true
}

// search asks for another endpoint and for the retry, in this order: an endpoint's place can be given back, a retry that was granted
// cannot. It then sends the request there.
func (s *successorSearch) search() {
	ctx, at, ok := s.begin()
	if !ok {
		return
	}
	defer s.finish(ctx)
	run := s.present.run
	placed, err := run.placeToResume(ctx, s.tried(), "")
	if err != nil {
		return
	}
	if !s.grant(ctx) {
		run.service.control.Finish(placed.request, placed.assignment, directory.Neutral, false)
		return
	}
	s.send(ctx, run.newExchange(placed, at))
}

// finish notes the end of a search, and has the next one begin after a further silence if none was found and this was not withdrawn.
func (s *successorSearch) finish(ctx context.Context) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	withdrawn := ctx.Err() != nil
	s.withdraw()
	s.withdraw, s.sending = nil, false
	close(s.done)
	s.done = nil
	if s.found == nil && !withdrawn {
		s.arm()
	}
}

// tried gives the endpoints that were sent the request.
func (s *successorSearch) tried() []deployment.EndpointID {
	tried := append(slices.Clone(s.present.run.tried), s.present.assignment.Endpoint.ID)
	for _, one := range s.failed {
		tried = append(tried, one.Endpoint)
	}
	return tried
}

// grant asks for the retry, unless the search was withdrawn.
func (s *successorSearch) grant(ctx context.Context) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if ctx.Err() != nil || !s.present.run.service.control.TakeRetry(s.present.run.request.Service) {
		return false
	}
	s.sending = true
	return true
}

// send sends the request to the other endpoint and gives the present exchange up once its answer has begun.
func (s *successorSearch) send(ctx context.Context, next *exchange) {
	verdict, begun := s.open(ctx, next)
	if begun && s.settle(ctx, next) {
		return
	}
	if begun {
		verdict = attempt.Verdict{Result: attempt.Uncertain}
		next.discard()
	}
	if ctx.Err() != nil {
		// It was ended here, or by the caller.
		verdict.Outcome = directory.Neutral
	}
	record := next.close(verdict)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failed = append(s.failed, record)
}

// open waits for the head of an answer that is worth more than the present exchange; the end of the search ends it.
func (s *successorSearch) open(ctx context.Context, next *exchange) (verdict attempt.Verdict, begun bool) {
	release := context.AfterFunc(ctx, next.ender(attempt.ByFormer))
	defer release()
	verdict, begun = next.open()
	if !begun || !attempt.IsServerError(next.status) {
		return verdict, begun
	}
	next.discard()
	return attempt.JudgeWhole(next.status), false
}

// settle gives the present exchange up, unless the search was withdrawn.
func (s *successorSearch) settle(ctx context.Context, next *exchange) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if ctx.Err() != nil {
		return false
	}
	s.found = next
	s.giveUp()
	return true
}
