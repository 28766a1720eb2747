// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/bytebudget"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/modules/daemon/metric"
	"github.com/shelfledge/shelfledge/services/daemon/control"
	"github.com/shelfledge/shelfledge/services/daemon/once"
)

// Control contains the functions of the control service that the relay uses.
type Control struct {
	Submit       func(r fleet.Request) <-chan control.Answer
	Withdraw     func(requestID string)
	ReturnTicket func(ticketID string)
	RecordEvent  func(e fleet.Event)
}

// Claims contains the functions by which the relay claims requests that must not run twice.
type Claims struct {
	Claim   func(ctx context.Context, caller, requestID string) once.Result
	Release func(ctx context.Context, caller, requestID string) error
}

// Options are the settings of the relay.
type Options struct {
	Control   Control
	Claims    Claims
	Dialect   engine.Dialect
	Endpoints []fleet.Endpoint
	Metrics   *metric.Metrics
	// MaxAttempts is the maximum number of attempts of one request. RetryShare is the share of all requests that may be retried.
	MaxAttempts    int
	RetryShare     float64
	SlowReader     time.Duration
	EndpointSilent time.Duration
	// CancelLife is the time for which cancel calls are repeated for a request that may still run.
	CancelLife time.Duration
	Now        func() time.Time
	// RefusesConnections reports whether an endpoint's address refuses connections, since no process listens on it. If the function is nil, no
	// address counts as refusing.
	RefusesConnections func(ctx context.Context, address netip.AddrPort) bool
	// Timer returns the time at which a timer must fire for a time of Now. If Timer is nil, timers use the clock of Now.
	Timer func(at time.Time) time.Time
}

// Service relays requests. It is safe for concurrent use.
type Service struct {
	options   Options
	endpoints map[string]fleet.Endpoint
	retries   *retryBudget
	// answerBudget is the byte budget for whole answers.
	answerBudget *bytebudget.Budget
	crashRecords *crashRecords
	inFlight     sync.WaitGroup
	// stopping is cancelled by EndRequests, which cancels each request.
	stopping context.Context
	stop     context.CancelFunc
}

// New creates a relay.
func New(o Options) *Service {
	if o.RefusesConnections == nil {
		o.RefusesConnections = func(context.Context, netip.AddrPort) bool { return false }
	}
	if o.Timer == nil {
		o.Timer = func(at time.Time) time.Time { return at }
	}
	s := &Service{options: o, endpoints: make(map[string]fleet.Endpoint), retries: newRetryBudget(o.RetryShare), answerBudget: bytebudget.New(answerBudgetBytes), crashRecords: newCrashRecords()}
	s.stopping, s.stop = context.WithCancel(context.Background())
	for _, e := range o.Endpoints {
		s.endpoints[e.Name] = e
	}
	return s
}

// EndRequests cancels all current and future requests, so that their callers are answered before the process ends. Requests that wait for an endpoint
// are reported as not run, the others as unknown.
func (s *Service) EndRequests() {
	s.stop()
}

// Wait waits until all requests and all cancel calls have ended.
func (s *Service) Wait() {
	s.inFlight.Wait()
}

// Job is one caller's request.
type Job struct {
	Request fleet.Request
	// ClaimID is the caller's own identifier of a request that must not be repeated.
	ClaimID string
	Method  string
	Path    string
	Body    []byte
	Header  http.Header
	Stream  bool
	// SingleAttempt forbids a retry after an unknown outcome even without a claim, for calls whose repeats cannot be recognized.
	SingleAttempt bool
	// Plain is true for services that are not model engines.
	Plain bool
	// CanEndByClose is true if the caller can be told the end of an answer by the end of its connection, as in HTTP/1. It is then told so where
	// the endpoint tells it no other way.
	CanEndByClose bool
	// Headers is called once, before the first byte of the answer, to set the answer's headers.
	Headers func(h http.Header, t fleet.Ticket)
}

// Serve runs a job and writes its answer to w. If it returns an error, the caller of Serve must send
// the error to the client, unless a part of the answer has been written to w already.
func (s *Service) Serve(ctx context.Context, w http.ResponseWriter, j Job) error {
	s.inFlight.Add(1)
	s.options.Metrics.RunningRequests.Inc()
	defer func() {
		s.options.Metrics.RunningRequests.Dec()
		s.inFlight.Done()
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.stopping, cancel)
	defer stop()
	run := &run{service: s, job: j, out: newWriter(ctx, w, s.options), arrived: s.options.Now(), fingerprint: j.fingerprint()}
	err := run.serve(ctx)
	run.observe(err)
	return err
}

// retryBudget limits retries to a share of all requests, so that a fault that affects
// many requests does not multiply the load.
type retryBudget struct {
	mutex  sync.Mutex
	share  float64
	tokens float64
}

const (
	// initialRetries is the number of retries that a new instance may make at once; maxSavedRetries is the maximum number of retries that
	// accumulate while none are used. More retries cover a larger fault; fewer add less load during it.
	initialRetries  = 10.0
	maxSavedRetries = 100.0
)

func newRetryBudget(share float64) *retryBudget {
	return &retryBudget{share: share, tokens: initialRetries}
}

func (b *retryBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+b.share)
}

func (b *retryBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
