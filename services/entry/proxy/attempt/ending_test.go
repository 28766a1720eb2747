// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/admission"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

func abortEnding(reason attempt.Reason) attempt.Ending {
	return attempt.Ending{Closing: attempt.Abort, Reason: reason}
}

func refuseEnding(status int, reason attempt.Reason, retryAfter time.Duration) attempt.Ending {
	return attempt.Ending{Closing: attempt.Refuse, Status: status, Reason: reason, RetryAfter: retryAfter}
}

const notRunRetryAfter = 250 * time.Millisecond

func TestEnd(t *testing.T) {
	for name, test := range map[string]struct {
		last      attempt.Result
		situation attempt.Situation
		ending    attempt.Ending
	}{
		"endpoint error": {
			attempt.ServerError, after(unsafe, mayHaveRun), attempt.Ending{Closing: attempt.ForwardError, Reason: attempt.EndpointError},
		},
		"endpoint error, caller disconnected": {
			attempt.ServerError, after(unsafe, mayHaveRun, callerLeft), attempt.Ending{Closing: attempt.ForwardError, Reason: attempt.EndpointError},
		},
		"caller disconnected before a response":        {attempt.Uncertain, after(unsafe, mayHaveRun, callerLeft), abortEnding(attempt.CallerLeft)},
		"caller disconnected during a stream":          {attempt.Interrupted, after(stream, mayHaveRun, headForwarded, callerLeft), abortEnding(attempt.CallerLeft)},
		"stream interrupted":                           {attempt.Interrupted, after(stream, mayHaveRun, headForwarded), abortEnding(attempt.StreamInterrupted)},
		"stream interrupted at the deadline":           {attempt.Interrupted, after(stream, mayHaveRun, headForwarded, withDeadline(now)), abortEnding(attempt.StreamInterrupted)},
		"resumed stream refused":                       {attempt.NotRun, after(resumable, mayHaveRun, headForwarded, eventForwarded), abortEnding(attempt.StreamInterrupted)},
		"not run":                                      {attempt.NotRun, after(unsafe), refuseEnding(http.StatusServiceUnavailable, attempt.RefusedByEndpoint, notRunRetryAfter)},
		"not run, deadline has passed":                 {attempt.NotRun, after(unsafe, withDeadline(now), contextEnded), refuseEnding(http.StatusServiceUnavailable, attempt.RefusedByEndpoint, notRunRetryAfter)},
		"nothing sent for a limit of the instance":     {attempt.NotSent, after(unsafe, unreached(3), ownLimit), refuseEnding(http.StatusServiceUnavailable, attempt.LimitOfInstance, notRunRetryAfter)},
		"nothing sent":                                 {attempt.NotSent, after(unsafe, unreached(3)), refuseEnding(http.StatusServiceUnavailable, attempt.RefusedByEndpoint, notRunRetryAfter)},
		"not run, but an earlier attempt may have run": {attempt.NotRun, after(unsafe, mayHaveRun), refuseEnding(http.StatusBadGateway, attempt.NoAnswer, 0)},
		"recalled":                             {attempt.Recalled, after(stream, mayHaveRun, recalled), refuseEnding(http.StatusBadGateway, attempt.NotStartedInTime, 0)},
		"recalled, caller disconnected":        {attempt.Recalled, after(stream, mayHaveRun, recalled, callerLeft), abortEnding(attempt.CallerLeft)},
		"recalled at the deadline":             {attempt.Recalled, after(stream, mayHaveRun, recalled, withDeadline(now)), refuseEnding(http.StatusGatewayTimeout, attempt.TimedOut, 0)},
		"recalled while being resumed":         {attempt.Recalled, after(resumable, mayHaveRun, recalled, headForwarded, eventForwarded), abortEnding(attempt.StreamInterrupted)},
		"recalled before anything was sent":    {attempt.NotSent, after(stream, recalled), refuseEnding(http.StatusServiceUnavailable, attempt.RefusedByEndpoint, notRunRetryAfter)},
		"no response just before the deadline": {attempt.Uncertain, after(unsafe, mayHaveRun, withDeadline(now.Add(1))), refuseEnding(http.StatusBadGateway, attempt.NoAnswer, 0)},
		"no response at the deadline":          {attempt.Uncertain, after(unsafe, mayHaveRun, withDeadline(now)), refuseEnding(http.StatusGatewayTimeout, attempt.TimedOut, 0)},
		"no response after the deadline":       {attempt.Uncertain, after(unsafe, mayHaveRun, withDeadline(now.Add(-1))), refuseEnding(http.StatusGatewayTimeout, attempt.TimedOut, 0)},
		"no response, shutdown":                {attempt.Uncertain, after(unsafe, mayHaveRun, contextEnded, processEnds), refuseEnding(http.StatusBadGateway, attempt.ProcessEnded, 0)},
		"not run, shutdown":                    {attempt.NotRun, after(unsafe, contextEnded, processEnds), refuseEnding(http.StatusServiceUnavailable, attempt.RefusedByEndpoint, notRunRetryAfter)},
		"stream aborted by shutdown":           {attempt.Interrupted, after(stream, mayHaveRun, headForwarded, contextEnded, processEnds), abortEnding(attempt.ProcessEnded)},
		"no response, context ended":           {attempt.Uncertain, after(unsafe, mayHaveRun, contextEnded), refuseEnding(http.StatusGatewayTimeout, attempt.TimedOut, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.ending, attempt.End(now, test.last, test.situation))
		})
	}
}

func TestEndWithoutEndpoint(t *testing.T) {
	saturated := &admission.Decision{Reason: admission.Saturated, RetryAfter: 1500 * time.Millisecond}
	for name, test := range map[string]struct {
		situation attempt.Situation
		refusal   *admission.Decision
		ending    attempt.Ending
	}{
		"stream not resumed":                          {after(resumable, mayHaveRun, headForwarded, eventForwarded), saturated, abortEnding(attempt.StreamNotResumed)},
		"stream not resumed, caller disconnected":     {after(resumable, mayHaveRun, headForwarded, callerLeft), nil, abortEnding(attempt.StreamNotResumed)},
		"caller disconnected":                         {after(unsafe, callerLeft), nil, abortEnding(attempt.CallerLeft)},
		"caller disconnected after a refusal":         {after(unsafe, callerLeft), saturated, abortEnding(attempt.CallerLeft)},
		"retry not accepted":                          {after(safe, mayHaveRun), saturated, refuseEnding(http.StatusBadGateway, attempt.NoEndpointForRetry, 0)},
		"retry not accepted in time":                  {after(safe, mayHaveRun, contextEnded), nil, refuseEnding(http.StatusBadGateway, attempt.NoEndpointForRetry, 0)},
		"refused":                                     {after(unsafe, sent(0)), saturated, refuseEnding(http.StatusServiceUnavailable, "endpoints crowded", 1500*time.Millisecond)},
		"refused after an attempt that did not run":   {after(unsafe), saturated, refuseEnding(http.StatusServiceUnavailable, "endpoints crowded", 1500*time.Millisecond)},
		"deadline has passed":                         {after(unsafe, sent(0), contextEnded), nil, refuseEnding(http.StatusServiceUnavailable, attempt.NotSentInTime, notRunRetryAfter)},
		"shutdown while a stream waits to be resumed": {after(resumable, mayHaveRun, headForwarded, contextEnded, processEnds), nil, abortEnding(attempt.ProcessEnded)},
		"shutdown while a request waits":              {after(unsafe, sent(0), contextEnded, processEnds), nil, refuseEnding(http.StatusServiceUnavailable, attempt.NotSentInTime, notRunRetryAfter)},
		"no endpoint, no refusal":                     {after(unsafe, sent(0)), nil, refuseEnding(http.StatusServiceUnavailable, attempt.NotSentInTime, notRunRetryAfter)},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.ending, attempt.EndWithoutEndpoint(test.situation, test.refusal))
		})
	}
}

func TestRefusalsBeforeEndpointIsChosen(t *testing.T) {
	for _, test := range []struct{ actual, expected attempt.Ending }{
		{attempt.NoConfiguration, refuseEnding(http.StatusServiceUnavailable, "no configuration yet", 500*time.Millisecond)},
		{attempt.Stopping, refuseEnding(http.StatusServiceUnavailable, "stopping", 100*time.Millisecond)},
		{attempt.NoRoute, refuseEnding(http.StatusNotFound, "no such route", 0)},
		{attempt.HeaderTooLarge, refuseEnding(http.StatusRequestHeaderFieldsTooLarge, "header too large", 0)},
		{attempt.ProgramFault, refuseEnding(http.StatusInternalServerError, "fault of the program", 0)},
		{attempt.EndBodyFailure(attempt.BodyFailure{TooLarge: true}), attempt.BodyTooLarge},
		{attempt.EndBodyFailure(attempt.BodyFailure{TimedOut: true, CallerLeft: true}), refuseEnding(http.StatusRequestTimeout, "body too slow", 0)},
		{attempt.EndBodyFailure(attempt.BodyFailure{CallerLeft: true}), abortEnding(attempt.CallerLeft)},
		{attempt.EndBodyFailure(attempt.BodyFailure{}), refuseEnding(http.StatusBadRequest, "body cannot be read", 0)},
		{attempt.BodyTooLarge, refuseEnding(http.StatusRequestEntityTooLarge, "body too large", 0)},
	} {
		assert.Equal(t, test.expected, test.actual)
	}
}
