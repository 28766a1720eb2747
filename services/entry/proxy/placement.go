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
// shorter resumes sooner. Not measured.
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

// placeToResume asks for an endpoint that goes on with a stream: one that was not tried, or the only one that may. The stream counts as
// one that has just arrived, since its wait begins now.
func (r *run) placeToResume(ctx context.Context, tried []deployment.EndpointID, only deployment.EndpointID) (placement, error) {
	resumed := *r.request
	resumed.Arrived, resumed.Only = r.service.options.Now(), only
	assignment, err := r.service.control.Acquire(ctx, &resumed, tried)
	return placement{assignment: assignment, request: &resumed}, err
}

// nextPlace gives the place for the next attempt: the one that was found while a stream was silent, or one that is asked for now.
func (r *run) nextPlace() (placement, error) {
	if r.successor != nil {
		found := *r.successor
		r.successor = nil
		return found, nil
	}
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
	return r.placeSoon(r.tried, r.served)
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
	if r.successor != nil {
		return true
	}
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

// dropSuccessor gives a place back that is not used.
func (r *run) dropSuccessor() {
	if r.successor != nil {
		r.service.control.Finish(r.successor.request, r.successor.assignment, directory.Neutral, false)
		r.successor = nil
	}
}
