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

// retryPollInterval is the interval at which the fleet's budget is asked again to grant the retry of an interrupted stream. A
// longer interval asks less often; a shorter one resumes sooner.
const retryPollInterval = 100 * time.Millisecond

// placement is an endpoint that accepted a request, with the request as it was passed to the coordinator.
type placement struct {
	assignment coordinator.Assignment
	request    *deployment.Request
}

// acquireEndpoint acquires an endpoint to which the request was not sent yet.
func (r *inflight) acquireEndpoint(ctx context.Context) (placement, error) {
	request := r.request
	if r.expected != "" {
		bound := *r.request
		r.position().bind(&bound)
		request = &bound
	}
	assignment, err := r.service.control.Acquire(ctx, request, r.tried)
	return placement{assignment: assignment, request: request}, err
}

// acquireToResume acquires an endpoint that continues a request from a position: any endpoint not in tried, or only the given one if it is
// not empty, as far as the position allows it. The request is passed to the coordinator as one that has just arrived, because its wait
// starts now.
func (r *inflight) acquireToResume(ctx context.Context, from position, tried []deployment.EndpointID, only deployment.EndpointID) (placement, error) {
	resumed := *r.request
	resumed.Arrived, resumed.OnlyEndpoint = r.service.options.Now(), only
	from.bind(&resumed)
	assignment, err := r.service.control.Acquire(ctx, &resumed, tried)
	return placement{assignment: assignment, request: &resumed}, err
}

// nextExchange returns the next attempt: the successor that started to respond while the former endpoint was silent, or a new
// exchange with an endpoint that is acquired now.
func (r *inflight) nextExchange() (*exchange, error) {
	if r.successor != nil {
		next := r.successor
		r.successor = nil
		return next, nil
	}
	placed, err := r.nextPlacement()
	if err != nil {
		return nil, err
	}
	r.expectSoftware(placed.assignment.Endpoint.Software)
	return r.newExchange(placed, r.position()), nil
}

// nextPlacement acquires the endpoint for the next attempt.
func (r *inflight) nextPlacement() (placement, error) {
	if r.response.status == 0 {
		return r.acquireEndpoint(r.context)
	}
	situation := r.situation()
	if attempt.CanResumeInPlace(situation) {
		found, err := r.acquireElsewhereOrInPlace(attempt.CanResumeElsewhere(situation))
		if err == nil || !attempt.CanResumeElsewhere(situation) {
			return found, err
		}
	}
	return r.acquireToResume(r.context, r.position(), r.tried, "")
}

// acquireElsewhereOrInPlace acquires an endpoint that can continue a stream soon: another endpoint if elsewhere is set, otherwise or
// failing that the endpoint that served the stream.
func (r *inflight) acquireElsewhereOrInPlace(elsewhere bool) (placement, error) {
	if elsewhere {
		found, err := r.acquireWithTimeout(r.tried, "")
		if err == nil {
			return found, nil
		}
	}
	if err := r.wait(attempt.ResumeBackoff(r.situation())); err != nil {
		return placement{}, err
	}
	return r.acquireWithTimeout(r.tried, r.lastServed)
}

// wait waits for a time span; it returns an error if the request ends before.
func (r *inflight) wait(span time.Duration) error {
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

// acquireWithTimeout is acquireToResume with the time-out for which other endpoints are preferred to the one that served the stream.
func (r *inflight) acquireWithTimeout(tried []deployment.EndpointID, only deployment.EndpointID) (placement, error) {
	ctx, cancel := context.WithTimeout(r.context, attempt.OtherEndpointsTimeout())
	defer cancel()
	return r.acquireToResume(ctx, r.position(), tried, only)
}

// acquireRetry asks the fleet's budget for a retry. For an interrupted stream it keeps asking for as long as the caller is expected
// to wait, because there is no other way to continue the stream.
func (r *inflight) acquireRetry() bool {
	until := r.service.options.Now().Add(attempt.RetryTimeout(r.request.Route))
	for !r.service.control.TakeRetry(r.request.Service) {
		if r.response.status == 0 || !r.service.options.Now().Before(until) {
			return false
		}
		select {
		case <-time.After(retryPollInterval):
		case <-r.context.Done():
			return false
		}
	}
	return true
}

// adoptSuccessor takes over the results of a hedge: the exchange that replaces the former one, if there is one, and the attempts that
// did not get the request served.
func (r *inflight) adoptSuccessor(hedging *hedge) {
	if hedging == nil {
		return
	}
	for _, failed := range hedging.failed {
		if failed.Result == attempt.NotSent {
			r.unreachedCount++
		} else {
			r.sentCount++
		}
		if !attempt.ProvesNotRun(failed.Result) {
			r.mayHaveRun = true
		}
		r.tried = append(r.tried, failed.Endpoint)
		r.records = append(r.records, failed)
	}
	r.successor = hedging.winner
	if r.successor != nil {
		r.sentCount++
	}
}

// discardSuccessor ends the exchange with a successor that is not needed because the former endpoint completed the response.
func (r *inflight) discardSuccessor() {
	if r.successor != nil {
		r.successor.cancelFunc(attempt.EndedByFormerEndpoint)()
		r.successor.discard()
		r.records = append(r.records, r.successor.close(attempt.Verdict{Result: attempt.Uncertain, Outcome: directory.Neutral}))
		r.successor = nil
	}
}
