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

// successorSearch looks for another endpoint while a stream that can be resumed is silent. The present exchange is given up only once
// another endpoint has a place for the stream and the fleet's budget has granted the retry: until then it may still go on, and a
// search that finds nothing costs its caller nothing.
type successorSearch struct {
	run *run
	// tried are the endpoints that were sent the stream, the present one included.
	tried []deployment.EndpointID
	// giveUp ends the present exchange.
	giveUp func()
	// after is the silence after which the search begins, and after which it begins again.
	after time.Duration
	timer *time.Timer

	mutex sync.Mutex
	// cancel ends a search that is under way; nil for none.
	cancel context.CancelFunc
	// over is set once the search is not to begin any more; found is what it came to.
	over  bool
	found *placement
}

// newSuccessorSearch makes a search that has not begun; nil where the stream cannot be resumed elsewhere.
func newSuccessorSearch(e *exchange) *successorSearch {
	after, resumes := attempt.SearchAfter(e.run.situation())
	if !resumes {
		return nil
	}
	s := &successorSearch{run: e.run, giveUp: e.ender(attempt.BySuccessor), after: after}
	s.tried = append(slices.Clone(e.run.tried), e.assignment.Endpoint.ID)
	// It begins after the first event: nothing can go on before.
	s.timer = time.AfterFunc(after, s.search)
	s.timer.Stop()
	return s
}

// heard notes that the stream goes on: a search that is under way ends, and the next silence counts from now. resumes says that the
// stream could go on elsewhere after what was heard.
func (s *successorSearch) heard(resumes bool) {
	if s == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.over || s.found != nil {
		return
	}
	s.withdraw()
	if resumes {
		s.timer.Reset(s.after)
	}
}

// withdraw ends a search that is under way; the caller holds the mutex.
func (s *successorSearch) withdraw() {
	if s.cancel != nil {
		s.cancel()
		s.cancel = nil
	}
}

// end ends the search for good and gives what it found; nil for nothing.
func (s *successorSearch) end() *placement {
	if s == nil {
		return nil
	}
	s.timer.Stop()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.over = true
	s.withdraw()
	return s.found
}

// begin begins a search, unless none is wanted any more.
func (s *successorSearch) begin() (context.Context, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.over || s.found != nil {
		return nil, false
	}
	ctx, cancel := context.WithCancel(s.run.context)
	s.withdraw()
	s.cancel = cancel
	return ctx, true
}

// search asks for another endpoint and for the retry, in this order: an endpoint's place can be given back, a retry that was granted
// cannot.
func (s *successorSearch) search() {
	ctx, ok := s.begin()
	if !ok {
		return
	}
	found, err := s.run.placeToResume(ctx, s.tried, "")
	if err == nil && s.settle(ctx, found) {
		return
	}
	if err == nil {
		s.run.service.control.Finish(found.request, found.assignment, directory.Neutral, false)
	}
	if ctx.Err() == nil {
		s.timer.Reset(s.after)
	}
}

// settle gives the present exchange up for what was found, if the stream is still silent and the budget grants the retry.
func (s *successorSearch) settle(ctx context.Context, found placement) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.over || ctx.Err() != nil || !s.run.service.control.TakeRetry(s.run.request.Service) {
		return false
	}
	s.found = &found
	s.giveUp()
	return true
}
