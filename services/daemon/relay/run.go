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

// run is the state of one job over all its attempts.
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
	// mayHaveRun is true once an attempt ended with an unknown outcome. From then on the request
	// must not be reported as "not run", whatever the outcome of later attempts.
	mayHaveRun bool
	// fingerprint is the fingerprint of the request, which is the same for each attempt.
	fingerprint fingerprint.Fingerprint
}

const (
	// claimRetryAfter is the retry delay sent to the caller if a claim could not be made. It is about the timeout of one call to the
	// key-value service.
	claimRetryAfter = 2 * time.Second
	// endpointRetryAfter is the retry delay sent to the caller if an endpoint refused the request without a delay of its own.
	endpointRetryAfter = time.Second
	// stoppingRetryAfter is the retry delay sent to callers whose requests had not run when this instance stopped. Other instances are
	// ready to take them.
	stoppingRetryAfter = time.Second
	// minEvents is the minimum number of events of a stream from which the mean time between tokens is computed: two tokens and the
	// closing event.
	minEvents = 3
)

// serve makes attempts until the request is answered, refused or its outcome is unknown.
func (r *run) serve(ctx context.Context) error {
	r.service.retries.earn()
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
		r.releaseClaim()
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
	return ErrNotRun{Reason: fleet.ReasonClaimImpossible, RetryAfter: claimRetryAfter, Detail: "the claim that keeps it from running twice could not be made"}
}

const (
	// releaseClaimTimeout is the time limit for releasing a claim, a read and a write, after its request was not run. A claim that is not
	// released is safe: the request is then not repeated.
	releaseClaimTimeout = 5 * time.Second
	// stoppingReleaseClaimTimeout is the same limit while all requests are being ended. The caller is answered only after the release, and the
	// process ends soon.
	stoppingReleaseClaimTimeout = 200 * time.Millisecond
)

// releaseClaim releases the claim, so that the caller can retry with the same identifier.
func (r *run) releaseClaim() {
	limit := releaseClaimTimeout
	if r.service.stopping.Err() != nil {
		limit = stoppingReleaseClaimTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := r.service.options.Claims.Release(ctx, r.job.Request.Caller, r.job.ClaimID); err != nil {
		r.service.options.Metrics.Claims.WithLabelValues("release_failed").Inc()
	}
}

// attempts makes attempts until one succeeds or no further attempt is allowed.
func (r *run) attempts(ctx context.Context) error {
	for attempt := 0; ; attempt++ {
		r.job.Request.Attempt = attempt
		err := r.attempt(ctx)
		if err == nil {
			return nil
		}
		r.mayHaveRun = r.mayHaveRun || !IsErrNotRun(err) && !engine.IsErrNotRun(err)
		again, final := r.decideRetry(ctx, attempt, err)
		if !again {
			return final
		}
		r.recordEvent(fleet.EventRetry, err.Error())
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

// decideRetry returns whether a failed attempt may be retried, and the error for the caller if not.
func (r *run) decideRetry(ctx context.Context, attempt int, err error) (bool, error) {
	if IsErrNotRun(err) || IsErrUnknown(err) {
		return false, err
	}
	var gone errCallerGone
	if errors.As(err, &gone) || ctx.Err() != nil {
		return false, ErrUnknown{Detail: err.Error()}
	}
	notRun := engine.IsErrNotRun(err)
	finalError := r.finalError(err, notRun)
	if !notRun && (r.job.Request.Once || r.job.SingleAttempt || r.out.started) {
		return false, finalError
	}
	if attempt+1 >= r.service.options.MaxAttempts || !r.service.retries.spend() {
		return false, finalError
	}
	return !r.job.Request.Expired(r.service.options.Now()), finalError
}

// finalError returns the error for the caller if a failed attempt is the last one.
func (r *run) finalError(err error, notRun bool) error {
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

// attempt requests a ticket and uses it for one attempt.
func (r *run) attempt(ctx context.Context) error {
	if err := r.admit(ctx); err != nil {
		return err
	}
	defer r.service.crashRecords.recordEnded(r.fingerprint)
	answer, err := r.waitForTicket(ctx)
	if err != nil {
		return err
	}
	r.ticket = answer.Ticket
	r.granted = true
	r.queued += answer.Ticket.Queued
	r.stalled += answer.Ticket.Stalled
	if !r.service.options.Now().Before(answer.NotAfter) {
		r.service.options.Control.ReturnTicket(r.ticket.ID)
		return engine.ErrNotRun{Operation: "request", Reason: "the ticket came too late to be used"}
	}
	return r.runWithTicket(ctx, engine.StartBefore(answer.NotAfter, r.service.options.Now))
}

// waitForTicket requests a ticket and waits for the ticket, a refusal or the end of ctx.
func (r *run) waitForTicket(ctx context.Context) (control.Answer, error) {
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
		r.service.options.Control.Withdraw(r.job.Request.ID)
		return control.Answer{}, r.withdrawnError(answers)
	}
}

// withdrawnError returns a ticket that was granted while the request was being withdrawn, and returns the error for the caller.
func (r *run) withdrawnError(answers <-chan control.Answer) error {
	select {
	case a := <-answers:
		if a.Granted {
			r.service.options.Control.ReturnTicket(a.Ticket.ID)
		}
	default:
	}
	if r.service.stopping.Err() != nil {
		return ErrNotRun{Reason: fleet.ReasonStopping, RetryAfter: stoppingRetryAfter}
	}
	return ErrNotRun{Reason: fleet.ReasonCancelled}
}

// runWithTicket runs the request under its ticket, and resumes a broken stream if that is allowed. The first byte of the request must
// be written before startBefore, since the ticket may be granted to another request after that.
func (r *run) runWithTicket(ctx context.Context, startBefore time.Time) error {
	call := r.call()
	call.StartBefore = startBefore
	err := r.exchange(ctx, call)
	call.StartBefore = time.Time{}
	var broken errBroken
	for tries := 0; errors.As(err, &broken) && tries < maxResumes && r.resumable(ctx); tries++ {
		call.ResumeFrom = r.out.events
		r.recordEvent(fleet.EventResume, broken.reason)
		err = r.exchange(ctx, call)
	}
	r.recordOutcome(ctx, err)
	r.settleTicket(err)
	return err
}

// maxResumes is the maximum number of resumes of one stream. A higher limit saves streams from longer faults, at one further connection for
// each resume.
const maxResumes = 2

// resumable reports whether a broken stream may be resumed where it broke off. The endpoint
// runs the request once, independent of the number of connections.
func (r *run) resumable(ctx context.Context) bool {
	return ctx.Err() == nil && r.job.Stream && !r.job.Plain && r.out.events > 0 && r.service.retries.spend()
}

func (r *run) call() engine.Call {
	j, t := r.job, r.ticket
	return engine.Call{
		Endpoint: r.service.endpoints[t.Endpoint], Method: j.Method, Path: j.Path, Body: j.Body, Header: j.Header, RequestID: j.Request.ID,
		Attempt: j.Request.Attempt, Incarnation: t.Incarnation, Fence: t.Fence, Priority: j.Request.Priority,
	}
}

// settleTicket returns the ticket once the endpoint certainly no longer runs the request.
func (r *run) settleTicket(err error) {
	if err == nil || engine.IsErrNotRun(err) {
		r.service.options.Control.ReturnTicket(r.ticket.ID)
		r.recordEvent(fleet.EventFinished, "answered")
		return
	}
	r.service.inFlight.Add(1)
	go r.service.cancelUntilAnswered(r.ticket, r.job.Request.ID)
}

// cancelInterval is the interval between two cancel calls to an endpoint that does not answer. A shorter interval frees the ticket sooner at the
// cost of more calls.
const cancelInterval = 500 * time.Millisecond

// cancelUntilAnswered repeatedly cancels a request that may still run. It returns the request's ticket
// once the endpoint has answered, or after Options.CancelLife.
func (s *Service) cancelUntilAnswered(t fleet.Ticket, requestID string) {
	defer s.inFlight.Done()
	defer s.options.Control.ReturnTicket(t.ID)
	e := s.endpoints[t.Endpoint]
	until := s.options.Now().Add(s.options.CancelLife)
	for s.options.Now().Before(until) {
		if s.options.Dialect.Cancel(context.Background(), e, requestID) == nil {
			return
		}
		time.Sleep(cancelInterval)
	}
}

// recordEvent records an event of the request.
func (r *run) recordEvent(kind fleet.EventKind, cause string) {
	r.service.options.Control.RecordEvent(fleet.Event{
		At: r.service.options.Now(), Kind: kind, Cause: cause, Request: r.job.Request.ID, Adapter: r.job.Request.Adapter.String(),
		Endpoint: r.ticket.Endpoint, Pool: r.ticket.Pool, Fence: r.ticket.Fence,
	})
}

// observe records the request's outcome and timings in the metrics.
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

// statusOK reports whether an answer with this status is forwarded to the caller.
func statusOK(resp *http.Response) bool {
	return resp.StatusCode < http.StatusInternalServerError
}
