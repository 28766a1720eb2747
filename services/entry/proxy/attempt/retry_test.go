// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package attempt_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

var (
	now      = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	deadline = now.Add(10 * time.Second)

	safe      = &deployment.Route{Kind: deployment.Safe, MaxAttempts: 2, TargetLatency: 100 * time.Millisecond}
	unsafe    = &deployment.Route{Kind: deployment.Unsafe, MaxAttempts: 2, TargetLatency: 100 * time.Millisecond}
	stream    = &deployment.Route{Kind: deployment.Streaming, MaxAttempts: 2, TargetLatency: 800 * time.Millisecond, TargetPause: 250 * time.Millisecond}
	resumable = &deployment.Route{
		Kind: deployment.Streaming, MaxAttempts: 2, TargetLatency: 800 * time.Millisecond, TargetPause: 250 * time.Millisecond, Resumable: true,
	}
)

// after returns the situation after a request of a route was sent to the first endpoint, with changes.
func after(route *deployment.Route, changes ...func(*attempt.Situation)) attempt.Situation {
	s := attempt.Situation{Route: route, Deadline: deadline, Sent: 1, BodyBuffered: true}
	for _, change := range changes {
		change(&s)
	}
	return s
}

func mayHaveRun(s *attempt.Situation)      { s.MayHaveRun = true }
func headForwarded(s *attempt.Situation)   { s.HeadForwarded = true }
func eventForwarded(s *attempt.Situation)  { s.EventForwarded = true }
func contextEnded(s *attempt.Situation)    { s.ContextEnded = true }
func recalled(s *attempt.Situation)        { s.Recalled = true }
func bodyTooLarge(s *attempt.Situation)    { s.BodyTooLarge = true }
func bodyNotBuffered(s *attempt.Situation) { s.BodyBuffered = false }

func inPlace(count int) func(*attempt.Situation) {
	return func(s *attempt.Situation) { s.InPlace = count }
}

func silentFor(span time.Duration) func(*attempt.Situation) {
	return func(s *attempt.Situation) { s.Silent = span }
}

func refused(s *attempt.Situation) { s.Refused = true }

func ownLimit(s *attempt.Situation) { s.OwnLimit = true }

func servedGone(s *attempt.Situation) { s.ServedGone = true }

func onlyInPlace(s *attempt.Situation) { s.OnlyInPlace = true }

func processEnds(s *attempt.Situation) { s.ProcessEnds = true }

// callerLeft also ends the request's context.
func callerLeft(s *attempt.Situation) {
	s.CallerLeft = true
	s.ContextEnded = true
}

func sent(count int) func(*attempt.Situation) {
	return func(s *attempt.Situation) { s.Sent = count }
}

func unreached(count int) func(*attempt.Situation) {
	return func(s *attempt.Situation) { s.Unreached = count }
}

func withDeadline(end time.Time) func(*attempt.Situation) {
	return func(s *attempt.Situation) { s.Deadline = end }
}

func TestNextStep(t *testing.T) {
	noAttempts := &deployment.Route{Kind: deployment.Safe}
	for name, test := range map[string]struct {
		result    attempt.Result
		situation attempt.Situation
		step      attempt.Step
	}{
		"response":                                                    {attempt.Finished, after(safe), attempt.Done},
		"response at the deadline":                                    {attempt.Finished, after(safe, withDeadline(now), contextEnded), attempt.Done},
		"nothing sent, one endpoint":                                  {attempt.NotSent, after(unsafe, sent(0), unreached(1)), attempt.TryNext},
		"nothing sent, two endpoints":                                 {attempt.NotSent, after(unsafe, sent(0), unreached(2)), attempt.TryNext},
		"nothing sent, three endpoints":                               {attempt.NotSent, after(unsafe, sent(0), unreached(3)), attempt.GiveUp},
		"nothing sent, four endpoints":                                {attempt.NotSent, after(unsafe, sent(0), unreached(4)), attempt.GiveUp},
		"nothing sent, context ended":                                 {attempt.NotSent, after(unsafe, sent(0), unreached(1), contextEnded), attempt.GiveUp},
		"nothing sent, caller disconnected":                           {attempt.NotSent, after(unsafe, sent(0), unreached(1), callerLeft), attempt.GiveUp},
		"nothing sent, deadline has passed but context has not ended": {attempt.NotSent, after(unsafe, sent(0), unreached(1), withDeadline(now)), attempt.TryNext},
		"nothing sent, all attempts already used":                     {attempt.NotSent, after(unsafe, sent(2), unreached(1)), attempt.TryNext},
		"nothing sent of a large body":                                {attempt.NotSent, after(unsafe, sent(0), unreached(1), bodyNotBuffered), attempt.TryNext},

		"not run":                                                        {attempt.NotRun, after(unsafe), attempt.RetryWithinBudget},
		"not run, no attempt left":                                       {attempt.NotRun, after(unsafe, sent(2)), attempt.GiveUp},
		"not run, more attempts than allowed":                            {attempt.NotRun, after(unsafe, sent(3)), attempt.GiveUp},
		"not run, a route without attempts":                              {attempt.NotRun, after(noAttempts), attempt.GiveUp},
		"not run, body not buffered":                                     {attempt.NotRun, after(unsafe, bodyNotBuffered), attempt.GiveUp},
		"not run, just before the deadline":                              {attempt.NotRun, after(unsafe, withDeadline(now.Add(1))), attempt.RetryWithinBudget},
		"not run, at the deadline":                                       {attempt.NotRun, after(unsafe, withDeadline(now)), attempt.GiveUp},
		"not run, after the deadline":                                    {attempt.NotRun, after(unsafe, withDeadline(now.Add(-1))), attempt.GiveUp},
		"not run, caller disconnected":                                   {attempt.NotRun, after(unsafe, callerLeft), attempt.GiveUp},
		"not run, but an earlier attempt may have run":                   {attempt.NotRun, after(unsafe, mayHaveRun), attempt.GiveUp},
		"not run, but an earlier attempt of a safe request may have run": {attempt.NotRun, after(safe, mayHaveRun), attempt.RetryWithinBudget},

		"uncertain, safe":                                         {attempt.Uncertain, after(safe, mayHaveRun), attempt.RetryWithinBudget},
		"uncertain, unsafe":                                       {attempt.Uncertain, after(unsafe, mayHaveRun), attempt.GiveUp},
		"uncertain, a stream":                                     {attempt.Uncertain, after(stream, mayHaveRun), attempt.GiveUp},
		"uncertain, a resumable stream":                           {attempt.Uncertain, after(resumable, mayHaveRun), attempt.RetryWithinBudget},
		"recalled, a stream":                                      {attempt.Recalled, after(stream, mayHaveRun, recalled), attempt.GiveUp},
		"recalled, a resumable stream":                            {attempt.Recalled, after(resumable, mayHaveRun, recalled), attempt.RetryWithinBudget},
		"recalled, the last attempt":                              {attempt.Recalled, after(resumable, mayHaveRun, recalled, sent(2)), attempt.GiveUp},
		"recalled, deadline has passed":                           {attempt.Recalled, after(resumable, mayHaveRun, recalled, withDeadline(now)), attempt.GiveUp},
		"server error, safe":                                      {attempt.ServerError, after(safe, mayHaveRun), attempt.RetryWithinBudget},
		"server error, unsafe":                                    {attempt.ServerError, after(unsafe, mayHaveRun), attempt.GiveUp},
		"interrupted, safe":                                       {attempt.Interrupted, after(safe, mayHaveRun, headForwarded), attempt.GiveUp},
		"interrupted, a stream":                                   {attempt.Interrupted, after(stream, mayHaveRun, headForwarded, eventForwarded), attempt.GiveUp},
		"interrupted, a resumable stream":                         {attempt.Interrupted, after(resumable, mayHaveRun, headForwarded, eventForwarded), attempt.RetryWithinBudget},
		"interrupted before the first event":                      {attempt.Interrupted, after(resumable, mayHaveRun, headForwarded), attempt.GiveUp},
		"interrupted, no other endpoint left":                     {attempt.Interrupted, after(resumable, mayHaveRun, headForwarded, eventForwarded, sent(2)), attempt.RetryWithinBudget},
		"interrupted four times in place":                         {attempt.Interrupted, after(resumable, mayHaveRun, headForwarded, eventForwarded, sent(2), inPlace(4)), attempt.RetryWithinBudget},
		"interrupted, the endpoint has gone":                      {attempt.Interrupted, after(resumable, mayHaveRun, headForwarded, eventForwarded, servedGone), attempt.RetryWithinBudget},
		"interrupted, the endpoint has gone and no other is left": {attempt.Interrupted, after(resumable, mayHaveRun, headForwarded, eventForwarded, servedGone, sent(2)), attempt.GiveUp},
		"interrupted five times in place":                         {attempt.Interrupted, after(resumable, mayHaveRun, headForwarded, eventForwarded, sent(2), inPlace(5)), attempt.GiveUp},
		"refused once in place":                                   {attempt.NotRun, after(resumable, mayHaveRun, headForwarded, eventForwarded, sent(2), inPlace(1), refused), attempt.RetryWithinBudget},
		"refused twice in place":                                  {attempt.NotRun, after(resumable, mayHaveRun, headForwarded, eventForwarded, sent(2), inPlace(2), refused), attempt.GiveUp},
		"interrupted because the caller disconnected":             {attempt.Interrupted, after(resumable, mayHaveRun, headForwarded, eventForwarded, callerLeft), attempt.GiveUp},
		"interrupted, body not buffered":                          {attempt.Interrupted, after(resumable, mayHaveRun, headForwarded, eventForwarded, bodyNotBuffered), attempt.GiveUp},
		"interrupted, deadline has passed":                        {attempt.Interrupted, after(resumable, mayHaveRun, headForwarded, eventForwarded, withDeadline(now)), attempt.GiveUp},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.step, attempt.NextStep(now, test.result, test.situation))
		})
	}
}

func TestProvesNotRun(t *testing.T) {
	for result, proves := range map[attempt.Result]bool{
		attempt.NotSent: true, attempt.NotRun: true, attempt.Uncertain: false, attempt.Recalled: false, attempt.ServerError: false, attempt.Interrupted: false,
		attempt.Finished: false, "": false,
	} {
		assert.Equal(t, proves, attempt.ProvesNotRun(result), "%q", result)
	}
}
