// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// retryPause is the pause between two questions to the fleet's budget for the retry of a stream that broke off. Longer asks less often,
// shorter resumes sooner.
const retryPause = 100 * time.Millisecond

// placement is an endpoint that takes a request, with the request as the coordinator knows it.
type placement struct {
	assignment coordinator.Assignment
	request    *deployment.Request
}

// place asks for an endpoint that was not tried.
func (r *run) place(ctx context.Context) (placement, error) {
	assignment, err := r.service.control.Acquire(ctx, r.request, r.tried)
	return placement{assignment: assignment, request: r.request}, err
}

// placeToResume asks for an endpoint that goes on with a request: one that was not tried, or the only one that may. The request counts as
// one that has just arrived, since its wait begins now.
func (r *run) placeToResume(ctx context.Context, tried []deployment.EndpointID, only deployment.EndpointID) (placement, error) {
	resumed := *r.request
	resumed.Arrived, resumed.OnlyEndpoint = r.service.options.Now(), only
	assignment, err := r.service.control.Acquire(ctx, &resumed, tried)
	return placement{assignment: assignment, request: &resumed}, err
}

// nextExchange gives the next attempt: the one that has begun while the former endpoint was silent, or one at an endpoint that is asked
// for now.
func (r *run) nextExchange() (*exchange, error) {
	if r.successor != nil {
		next := r.successor
		r.successor = nil
		return next, nil
	}
	placed, err := r.nextPlace()
	if err != nil {
		return nil, err
	}
	return r.newExchange(placed, r.position()), nil
}

// nextPlace asks for the place for the next attempt.
func (r *run) nextPlace() (placement, error) {
	if r.answer.status == 0 {
		return r.place(r.context)
	}
	situation := r.situation()
	if attempt.ResumesInPlace(situation) {
		found, err := r.placeAnywhere(attempt.ResumesElsewhere(situation))
		if err == nil || !attempt.ResumesElsewhere(situation) {
			return found, err
		}
	}
	return r.placeToResume(r.context, r.tried, "")
}

// placeAnywhere asks for a place that a stream can have soon: elsewhere, where it may be, or at the endpoint that served it.
func (r *run) placeAnywhere(elsewhere bool) (placement, error) {
	if elsewhere {
		found, err := r.placeSoon(r.tried, "")
		if err == nil {
			return found, nil
		}
	}
	if err := r.pause(attempt.ResumePause(r.situation())); err != nil {
		return placement{}, err
	}
	return r.placeSoon(r.tried, r.served)
}

// pause waits; its error says that the request ended meanwhile.
func (r *run) pause(span time.Duration) error {
	if span <= 0 {
		return nil
	}
	select {
	case <-time.After(span):
		return nil
	case <-r.context.Done():
		return r.context.Err()
	}
}

// placeSoon asks for a place for no longer than other endpoints are asked before the one that served the stream.
func (r *run) placeSoon(tried []deployment.EndpointID, only deployment.EndpointID) (placement, error) {
	ctx, cancel := context.WithTimeout(r.context, attempt.ElsewhereTime())
	defer cancel()
	return r.placeToResume(ctx, tried, only)
}

// takeRetry asks the fleet's budget for a retry. A stream that broke off waits for it while its caller may still listen: nothing else
// could go on with it.
func (r *run) takeRetry() bool {
	until := r.service.options.Now().Add(attempt.RetryWait(r.request.Route))
	for !r.service.control.TakeRetry(r.request.Service) {
		if r.answer.status == 0 || !r.service.options.Now().Before(until) {
			return false
		}
		select {
		case <-time.After(retryPause):
		case <-r.context.Done():
			return false
		}
	}
	return true
}

// adopt takes over what a search came to: an exchange that goes on in place of the former one, and those that did not take the request.
func (r *run) adopt(search *successorSearch) {
	if search == nil {
		return
	}
	for _, failed := range search.failed {
		if failed.Result == attempt.NotSent {
			r.unreached++
		} else {
			r.sent++
		}
		if !attempt.ProvesNotRun(failed.Result) {
			r.mayHaveRun = true
		}
		r.tried = append(r.tried, failed.Endpoint)
		r.records = append(r.records, failed)
	}
	r.successor = search.found
	if r.successor != nil {
		r.sent++
	}
}

// dropSuccessor ends an exchange that began for a request which was answered all the same.
func (r *run) dropSuccessor() {
	if r.successor != nil {
		r.successor.ender(attempt.ByFormer)()
		r.successor.discard()
		r.records = append(r.records, r.successor.close(attempt.Verdict{Result: attempt.Uncertain, Outcome: directory.Neutral}))
		r.successor = nil
	}
}
