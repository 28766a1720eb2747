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

func abort(reason attempt.Reason) attempt.Ending {
	return attempt.Ending{Closing: attempt.Abort, Reason: reason}
}

func refuse(status int, reason attempt.Reason, retryAfter time.Duration) attempt.Ending {
	return attempt.Ending{Closing: attempt.Refuse, Status: status, Reason: reason, RetryAfter: retryAfter}
}

const pause = 250 * time.Millisecond

func TestEnd(t *testing.T) {
	for name, test := range map[string]struct {
		last      attempt.Result
		situation attempt.Situation
		ending    attempt.Ending
	}{
		"the endpoint's own error": {
			attempt.ServerError, after(unsafe, mayHaveRun), attempt.Ending{Closing: attempt.PassError, Reason: attempt.EndpointError},
		},
		"the endpoint's own error, the caller gone": {
			attempt.ServerError, after(unsafe, mayHaveRun, callerLeft), attempt.Ending{Closing: attempt.PassError, Reason: attempt.EndpointError},
		},
		"the caller left before an answer":           {attempt.Uncertain, after(unsafe, mayHaveRun, callerLeft), abort(attempt.CallerLeft)},
		"the caller left in a stream":                {attempt.BrokenOff, after(stream, mayHaveRun, headPassed, callerLeft), abort(attempt.CallerLeft)},
		"a stream broke off":                         {attempt.BrokenOff, after(stream, mayHaveRun, headPassed), abort(attempt.StreamBrokeOff)},
		"a stream broke off at the deadline":         {attempt.BrokenOff, after(stream, mayHaveRun, headPassed, until(now)), abort(attempt.StreamBrokeOff)},
		"a resumed stream was refused":               {attempt.NotRun, after(resumable, mayHaveRun, headPassed, eventPassed), abort(attempt.StreamBrokeOff)},
		"not run":                                    {attempt.NotRun, after(unsafe), refuse(http.StatusServiceUnavailable, attempt.RefusedByEndpoint, pause)},
		"not run, and the deadline has passed":       {attempt.NotRun, after(unsafe, until(now), contextEnded), refuse(http.StatusServiceUnavailable, attempt.RefusedByEndpoint, pause)},
		"nothing sent":                               {attempt.NotSent, after(unsafe, unreached(3)), refuse(http.StatusServiceUnavailable, attempt.RefusedByEndpoint, pause)},
		"not run, but an attempt before it may have": {attempt.NotRun, after(unsafe, mayHaveRun), refuse(http.StatusBadGateway, attempt.NoAnswer, 0)},
		"taken back":                                 {attempt.TakenBack, after(stream, mayHaveRun, takenBack), refuse(http.StatusBadGateway, attempt.NotBegunInTime, 0)},
		"taken back, the caller gone":                {attempt.TakenBack, after(stream, mayHaveRun, takenBack, callerLeft), abort(attempt.CallerLeft)},
		"taken back at the deadline":                 {attempt.TakenBack, after(stream, mayHaveRun, takenBack, until(now)), refuse(http.StatusGatewayTimeout, attempt.TimedOut, 0)},
		"taken back while it went on":                {attempt.TakenBack, after(resumable, mayHaveRun, takenBack, headPassed, eventPassed), abort(attempt.StreamBrokeOff)},
		"taken back before anything was sent":        {attempt.NotSent, after(stream, takenBack), refuse(http.StatusServiceUnavailable, attempt.RefusedByEndpoint, pause)},
		"no answer just before the deadline":         {attempt.Uncertain, after(unsafe, mayHaveRun, until(now.Add(1))), refuse(http.StatusBadGateway, attempt.NoAnswer, 0)},
		"no answer at the deadline":                  {attempt.Uncertain, after(unsafe, mayHaveRun, until(now)), refuse(http.StatusGatewayTimeout, attempt.TimedOut, 0)},
		"no answer after the deadline":               {attempt.Uncertain, after(unsafe, mayHaveRun, until(now.Add(-1))), refuse(http.StatusGatewayTimeout, attempt.TimedOut, 0)},
		"no answer, the process ends":                {attempt.Uncertain, after(unsafe, mayHaveRun, contextEnded, processEnds), refuse(http.StatusBadGateway, attempt.ProcessEnded, 0)},
		"not run, the process ends":                  {attempt.NotRun, after(unsafe, contextEnded, processEnds), refuse(http.StatusServiceUnavailable, attempt.RefusedByEndpoint, pause)},
		"a stream is cut off by the process's end":   {attempt.BrokenOff, after(stream, mayHaveRun, headPassed, contextEnded, processEnds), abort(attempt.ProcessEnded)},
		"no answer, the context over":                {attempt.Uncertain, after(unsafe, mayHaveRun, contextEnded), refuse(http.StatusGatewayTimeout, attempt.TimedOut, 0)},
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
		"a stream that none could go on with":     {after(resumable, mayHaveRun, headPassed, eventPassed), saturated, abort(attempt.StreamNotResumed)},
		"the same, the caller gone":               {after(resumable, mayHaveRun, headPassed, callerLeft), nil, abort(attempt.StreamNotResumed)},
		"the caller left":                         {after(unsafe, callerLeft), nil, abort(attempt.CallerLeft)},
		"the caller left after a refusal":         {after(unsafe, callerLeft), saturated, abort(attempt.CallerLeft)},
		"a retry that none took":                  {after(safe, mayHaveRun), saturated, refuse(http.StatusBadGateway, attempt.NoEndpointForRetry, 0)},
		"a retry that none took in time":          {after(safe, mayHaveRun, contextEnded), nil, refuse(http.StatusBadGateway, attempt.NoEndpointForRetry, 0)},
		"refused":                                 {after(unsafe, sent(0)), saturated, refuse(http.StatusServiceUnavailable, "endpoints crowded", 1500*time.Millisecond)},
		"refused after an attempt did not run":    {after(unsafe), saturated, refuse(http.StatusServiceUnavailable, "endpoints crowded", 1500*time.Millisecond)},
		"the deadline came":                       {after(unsafe, sent(0), contextEnded), nil, refuse(http.StatusServiceUnavailable, attempt.NotSentInTime, pause)},
		"a stream that waits as the process ends": {after(resumable, mayHaveRun, headPassed, contextEnded, processEnds), nil, abort(attempt.ProcessEnded)},
		"a wait that the process's end ends":      {after(unsafe, sent(0), contextEnded, processEnds), nil, refuse(http.StatusServiceUnavailable, attempt.NotSentInTime, pause)},
		"the process stopped":                     {after(unsafe, sent(0)), nil, refuse(http.StatusServiceUnavailable, attempt.NotSentInTime, pause)},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.ending, attempt.EndWithoutEndpoint(test.situation, test.refusal))
		})
	}
}

func TestRefusalsBeforeAnEndpointIsAsked(t *testing.T) {
	for _, test := range []struct{ actual, expected attempt.Ending }{
		{attempt.NoConfiguration, refuse(http.StatusServiceUnavailable, "no configuration yet", 500*time.Millisecond)},
		{attempt.Stopping, refuse(http.StatusServiceUnavailable, "stopping", 100*time.Millisecond)},
		{attempt.NoRoute, refuse(http.StatusNotFound, "no such route", 0)},
		{attempt.HeaderTooLarge, refuse(http.StatusRequestHeaderFieldsTooLarge, "header too large", 0)},
		{attempt.ProgramFault, refuse(http.StatusInternalServerError, "fault of the program", 0)},
		{attempt.EndUnread(attempt.Unread{TooLarge: true}), attempt.BodyTooLarge},
		{attempt.EndUnread(attempt.Unread{TimedOut: true, CallerLeft: true}), refuse(http.StatusRequestTimeout, "body too slow", 0)},
		{attempt.EndUnread(attempt.Unread{CallerLeft: true}), abort(attempt.CallerLeft)},
		{attempt.EndUnread(attempt.Unread{}), refuse(http.StatusBadRequest, "body cannot be read", 0)},
		{attempt.BodyTooLarge, refuse(http.StatusRequestEntityTooLarge, "body too large", 0)},
	} {
		assert.Equal(t, test.expected, test.actual)
	}
}
