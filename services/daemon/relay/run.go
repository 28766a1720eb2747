// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/modules/daemon/metric"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/daemon/control"
	"github.com/shelfledge/shelfledge/services/daemon/once"
)

// run is one job on its way, over all its attempts.
type run struct {
	service *Service
	job     Job
	out     *writer
	arrived time.Time
	ticket  fleet.Ticket
	granted bool
	queued  time.Duration
	stalled time.Duration
	claimed bool
	// mayHaveRun is true once an attempt had an unknown end; from then on the request
	// as a whole can never be called "not run", whatever becomes of later attempts.
	mayHaveRun bool
	// fingerprint is the request's, whenever it is sent again.
	fingerprint fingerprint.Fingerprint
}

const (
	// claimRetryAfter is what a caller is told to wait after a claim could not be made, about the time-out of one call to the key-value
	// service.
	claimRetryAfter = 2 * time.Second
	// endpointRetryAfter is what a caller is told to wait where the endpoint that refused named no time.
	endpointRetryAfter = time.Second
	// stoppingRetryAfter is what a caller is told to wait whose request did not run until this instance ended; the others are ready.
	stoppingRetryAfter = time.Second
	// minEvents is how many events a stream needs for a mean time between its tokens: two tokens and the closing event.
	minEvents = 3
)

// serve makes attempts until the request is answered, refused or unknown.
func (r *run) serve(ctx context.Context) error {
	r.service.budget.earn()
	if r.job.Request.Once {
		if err := r.claim(ctx); err != nil {
			return err
		}
	}
	err := r.attempts(ctx)
	if r.mayHaveRun && IsErrNotRun(err) {
		err = ErrUnknown{Detail: "an earlier attempt broke off, and then " + err.Error()}
	}
	if r.claimed && IsErrNotRun(err) {
		r.unclaim()
	}
	return err
}

func (r *run) claim(ctx context.Context) error {
	q := r.job.Request
	result := r.service.options.Claims.Claim(ctx, q.Caller, r.job.ClaimID)
	r.service.options.Metrics.Claims.WithLabelValues(string(result)).Inc()
	switch result {
	case once.Claimed:
		r.claimed = true
		return nil
	case once.AlreadyClaimed:
		return ErrUnknown{Claimed: true, Detail: "a request with this identifier was claimed before and is not run again"}
	}
	return ErrNotRun{Reason: fleet.ReasonClaimImpossib, RetryAfter: claimRetryAfter, Detail: "the claim that keeps it from running twice could not be made"}
}

const (
	// unclaimLimit bounds taking a claim back, a read and a write, after its request was not run; a claim that stays is safe.
	unclaimLimit = 5 * time.Second
	// lastUnclaimLimit is the same once all requests end: the caller is told only after that, and the process ends soon.
	lastUnclaimLimit = 200 * time.Millisecond
)

// unclaim lets the caller try again with the same identifier.
func (r *run) unclaim() {
	limit := unclaimLimit
	if r.service.ending.Err() != nil {
		limit = lastUnclaimLimit
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := r.service.options.Claims.Release(ctx, r.job.Request.Caller, r.job.ClaimID); err != nil {
		r.service.options.Metrics.Claims.WithLabelValues("release_failed").Inc()
	}
}

// attempts makes attempts until one succeeds or no other may follow.
func (r *run) attempts(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		r.job.Request.Attempt = attempt
		err := r.attempt(ctx)
		if err == nil {
			return nil
		}
		r.mayHaveRun = r.mayHaveRun || !IsErrNotRun(err) && !engine.IsErrNotRun(err)
		again, final := r.judge(ctx, attempt, err)
		if !again {
			return final
		}
		r.note(fleet.EventRetry, err.Error())
		r.service.options.Metrics.Retries.WithLabelValues(retryCause(err)).Inc()
		r.job.Request.Avoid = r.ticket.Endpoint
	}
}

func retryCause(err error) string {
	if engine.IsErrNotRun(err) {
		return "not_run"
	}
	return "broken"
}

// judge decides whether an attempt that failed may be retried, and what the caller is told if not.
func (r *run) judge(ctx context.Context, attempt int, err error) (bool, error) {
	if IsErrNotRun(err) || IsErrUnknown(err) {
		return false, err
	}
	var gone errCallerGone
	if errors.As(err, &gone) || ctx.Err() != nil {
		return false, ErrUnknown{Detail: err.Error()}
	}
	notRun := engine.IsErrNotRun(err)
	final := r.final(err, notRun)
	if !notRun && (r.job.Request.Once || r.job.SingleAttempt || r.out.started) {
		return false, final
	}
	if attempt+1 >= r.service.options.MaxAttempts || !r.service.budget.spend() {
		return false, final
	}
	return !r.job.Request.Expired(r.service.options.Now()), final
}

// final gives what the caller is told if an attempt that failed is the last.
func (r *run) final(err error, notRun bool) error {
	if !notRun {
		return ErrUnknown{Detail: err.Error()}
	}
	var e engine.ErrNotRun
	retryAfter := endpointRetryAfter
	if errors.As(err, &e) && e.RetryAfter > 0 {
		retryAfter = e.RetryAfter
	}
	return ErrNotRun{Reason: fleet.ReasonNoEndpoint, RetryAfter: retryAfter, Detail: err.Error()}
}

// attempt gets a ticket and uses it once.
func (r *run) attempt(ctx context.Context) error {
	if err := r.service.crashes.admit(r.service.options.Now(), r.fingerprint); err != nil {
		return err
	}
	answer, err := r.wait(ctx)
	if err != nil {
		return err
	}
	r.ticket = answer.Ticket
	r.granted = true
	r.queued += answer.Ticket.Queued
	r.stalled += answer.Ticket.Stalled
	if !r.service.options.Now().Before(answer.NotAfter) {
		r.service.options.Control.Finish(r.ticket.ID)
		return engine.ErrNotRun{Operation: "request", Reason: "the ticket came too late to be used"}
	}
	return r.use(ctx)
}

// wait asks for a ticket and waits for it, the refusal, or the caller's end.
func (r *run) wait(ctx context.Context) (control.Answer, error) {
	r.service.options.Metrics.WaitingRequests.Inc()
	defer r.service.options.Metrics.WaitingRequests.Dec()
	answers := r.service.options.Control.Submit(r.job.Request)
	select {
	case a := <-answers:
		if !a.Granted {
			return a, ErrNotRun{Reason: a.Refusal.Reason, RetryAfter: a.Refusal.RetryAfter}
		}
		return a, nil
	case <-ctx.Done():
		r.service.options.Control.Abandon(r.job.Request.ID)
		return control.Answer{}, r.abandoned(answers)
	}
}

// abandoned gives back a ticket that came just as the caller went.
func (r *run) abandoned(answers <-chan control.Answer) error {
	select {
	case a := <-answers:
		if a.Granted {
			r.service.options.Control.Finish(a.Ticket.ID)
		}
	default:
	}
	if r.service.ending.Err() != nil {
		return ErrNotRun{Reason: fleet.ReasonStopping, RetryAfter: stoppingRetryAfter}
	}
	return ErrNotRun{Reason: fleet.ReasonCancelled}
}

// use runs the request under its ticket, and resumes a stream that breaks if it can.
func (r *run) use(ctx context.Context) error {
	call := r.call()
	err := r.exchange(ctx, call)
	var broken errBroken
	for tries := 0; errors.As(err, &broken) && tries < maxResumes && r.resumable(ctx); tries++ {
		call.ResumeFrom = r.out.events
		r.note(fleet.EventResume, broken.reason)
		err = r.exchange(ctx, call)
	}
	r.noteEnd(ctx, err)
	r.settle(err)
	return err
}

// maxResumes bounds the resumes of one stream; more save streams over longer faults, each for a further connection.
const maxResumes = 2

// resumable tells whether a broken stream may be asked for from where it broke off;
// the endpoint runs the request once, whatever the number of connections.
func (r *run) resumable(ctx context.Context) bool {
	return ctx.Err() == nil && r.job.Stream && !r.job.Plain && r.out.events > 0 && r.service.budget.spend()
}

func (r *run) call() engine.Call {
	j, t := r.job, r.ticket
	return engine.Call{
		Endpoint: r.service.endpoints[t.Endpoint], Method: j.Method, Path: j.Path, Body: j.Body, Header: j.Header, RequestID: j.Request.ID,
		Attempt: j.Request.Attempt, Incarnation: t.Incarnation, Fence: t.Fence, Priority: j.Request.Priority,
	}
}

// settle gives the ticket back once the endpoint surely no longer runs the request.
func (r *run) settle(err error) {
	if err == nil || engine.IsErrNotRun(err) {
		r.service.options.Control.Finish(r.ticket.ID)
		r.note(fleet.EventFinished, "answered")
		return
	}
	r.service.running.Add(1)
	go r.service.cancelUntilGone(r.ticket, r.job.Request.ID)
}

// cancelEvery trades cancels of an endpoint that does not answer for how soon its ticket is free.
const cancelEvery = 500 * time.Millisecond

// cancelUntilGone cancels a request that may still run, and gives its ticket back
// only when the endpoint has answered, or after the longest life of a request.
func (s *Service) cancelUntilGone(t fleet.Ticket, requestID string) {
	defer s.running.Done()
	defer s.options.Control.Finish(t.ID)
	e := s.endpoints[t.Endpoint]
	until := s.options.Now().Add(s.options.CancelLife)
	for s.options.Now().Before(until) {
		if s.options.Dialect.Cancel(context.Background(), e, requestID) == nil {
			return
		}
		time.Sleep(cancelEvery)
	}
}

// note enters an event of the request into the journal.
func (r *run) note(kind fleet.EventKind, cause string) {
	r.service.options.Control.Note(fleet.Event{
		At: r.service.options.Now(), Kind: kind, Cause: cause, Request: r.job.Request.ID, Adapter: r.job.Request.Adapter.String(),
		Endpoint: r.ticket.Endpoint, Pool: r.ticket.Pool, Fence: r.ticket.Fence,
	})
}

// observe adds the request's end to the metrics.
func (r *run) observe(err error) {
	now := r.service.options.Now()
	o := metric.Observation{
		Class: r.job.Request.Class, Caller: r.job.Request.Caller, Outcome: string(fleet.OutcomeAnswered), RequestDuration: now.Sub(r.arrived), Ran: r.granted,
		LoadStall: r.stalled, QueueWait: max(0, r.queued-r.stalled),
	}
	var notRun ErrNotRun
	switch {
	case errors.As(err, &notRun):
		o.Outcome, o.Reason = string(fleet.OutcomeNotRun), string(notRun.Reason)
	case err != nil:
		o.Outcome = string(fleet.OutcomeUnknown)
	}
	if r.out.started {
		o.FirstToken = r.out.first.Sub(r.arrived)
	}
	if r.out.events >= minEvents {
		o.TokenInterval = r.out.last.Sub(r.out.first) / time.Duration(r.out.events-1)
	}
	r.service.options.Metrics.Observe(o)
}

// statusOK tells whether an answer is to be passed on as an answer.
func statusOK(resp *http.Response) bool {
	return resp.StatusCode < http.StatusInternalServerError
}
