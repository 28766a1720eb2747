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

// Control is what the relay needs of the control service.
type Control struct {
	Submit  func(r fleet.Request) <-chan control.Answer
	Abandon func(requestID string)
	Finish  func(ticketID string)
	Note    func(e fleet.Event)
}

// Claims is what the relay needs of the claimer.
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
	// MaxAttempts bounds the attempts of one request, RetryShare the part of all requests that may be retried.
	MaxAttempts    int
	RetryShare     float64
	SlowReader     time.Duration
	EndpointSilent time.Duration
	// CancelLife is how long a request that may still run is cancelled again and again.
	CancelLife time.Duration
	Now        func() time.Time
	// Refuses looks whether nothing listens any more at an endpoint's address; nil never does.
	Refuses func(ctx context.Context, address netip.AddrPort) bool
	// Timer gives the moment at which a timer must fire for a time of Now; nil where timers go by it.
	Timer func(at time.Time) time.Time
}

// Service relays requests; it is safe for concurrent use.
type Service struct {
	options   Options
	endpoints map[string]fleet.Endpoint
	budget    *retryBudget
	// answers is the room for whole answers.
	answers *bytebudget.Budget
	crashes *crashes
	running sync.WaitGroup
	// ending ends with End, and with it each request.
	ending context.Context
	end    context.CancelFunc
}

// New makes a relay.
func New(o Options) *Service {
	if o.Refuses == nil {
		o.Refuses = func(context.Context, netip.AddrPort) bool { return false }
	}
	if o.Timer == nil {
		o.Timer = func(at time.Time) time.Time { return at }
	}
	s := &Service{options: o, endpoints: make(map[string]fleet.Endpoint), budget: newRetryBudget(o.RetryShare), answers: bytebudget.New(answerBytes), crashes: newCrashes()}
	s.ending, s.end = context.WithCancel(context.Background())
	for _, e := range o.Endpoints {
		s.endpoints[e.Name] = e
	}
	return s
}

// End ends all requests, now and from now on, so that their callers are told before the process is gone: those that wait for an endpoint have
// not run, and the others may have.
func (s *Service) End() {
	s.end()
}

// Wait returns when every request and every late cancel has ended.
func (s *Service) Wait() {
	s.running.Wait()
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
	// SingleAttempt forbids repeats without a claim, for calls that cannot be told apart.
	SingleAttempt bool
	// Plain is true for services that are no model engines.
	Plain bool
	// Headers is called once, before the first byte, to set what the caller is to be told.
	Headers func(h http.Header, t fleet.Ticket)
}

// Serve runs a job and writes its answer; an error means that nothing was written,
// unless w shows otherwise, and is to be told to the caller.
func (s *Service) Serve(ctx context.Context, w http.ResponseWriter, j Job) error {
	s.running.Add(1)
	s.options.Metrics.RunningRequests.Inc()
	defer func() {
		s.options.Metrics.RunningRequests.Dec()
		s.running.Done()
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.ending, cancel)
	defer stop()
	run := &run{service: s, job: j, out: newWriter(w, s.options), arrived: s.options.Now(), fingerprint: j.fingerprint()}
	err := run.serve(ctx)
	run.observe(err)
	return err
}

// retryBudget lets a part of all requests be retried, so that a fault that hits
// many does not multiply the load.
type retryBudget struct {
	mutex  sync.Mutex
	share  float64
	tokens float64
}

const (
	// budgetStart and budgetMost are the retries that a new instance may make at once, and that a quiet time saves up at most: more bridge
	// a larger fault, fewer add less load to it.
	budgetStart = 10.0
	budgetMost  = 100.0
)

func newRetryBudget(share float64) *retryBudget {
	return &retryBudget{share: share, tokens: budgetStart}
}

func (b *retryBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(budgetMost, b.tokens+b.share)
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
