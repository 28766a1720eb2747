// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import "time"

// Class is a service class. Its priority and weight influence placement and loading.
type Class struct {
	Name        string
	Priority    int
	StallWeight float64
	// Patient is true if requests of the class may be delayed to fill batches.
	Patient bool
	// MaxQueuedTokens limits the requests of the class that wait in one pool, in tokens.
	MaxQueuedTokens int
}

// Request contains the properties of a caller's request that decisions use.
type Request struct {
	ID           string
	Caller       string
	Class        string
	Hall         string
	Base         string
	Adapter      AdapterRef
	PromptTokens int
	OutputTokens int
	// Once is true if the request must not be executed twice.
	Once     bool
	Arrived  time.Time
	Deadline time.Time
	// Prefix is a hash of the beginning of the prompt, or zero if the prompt is too short.
	Prefix   uint64
	Priority int
	// Entry is the ID of the instance that has the caller's connection.
	Entry string
	// Attempt numbers the attempts from zero. Every retry passes admission again.
	Attempt int
	// Avoid is the name of the endpoint at which the previous attempt failed.
	Avoid string
}

// Tokens returns the sum of the prompt and output tokens.
func (r Request) Tokens() int {
	return r.PromptTokens + r.OutputTokens
}

// Expired reports whether the deadline has been reached. A request without a deadline never expires.
func (r Request) Expired(now time.Time) bool {
	return !r.Deadline.IsZero() && !now.Before(r.Deadline)
}

// Ticket is the permission of a placer to run one request on one endpoint.
type Ticket struct {
	ID          string
	RequestID   string
	Pool        string
	Endpoint    string
	Incarnation string
	Adapter     AdapterRef
	Fence       uint64
	Placer      string
	Entry       string
	// StartWithin limits the time from the arrival of the grant to the start of the request.
	StartWithin time.Duration
	// Queued is the time that the request waited for the ticket, and Stalled the part of this time that an adapter load caused.
	Queued  time.Duration
	Stalled time.Duration
}

// Outcome is the result of an attempt.
type Outcome string

// The outcomes of an attempt. OutcomeUnknown means that the request may have been executed.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not_run"
	OutcomeUnknown  Outcome = "unknown"
)

// Reason is the reason why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonQueueFull        Reason = "queue_full"
	ReasonCustomerLimit    Reason = "tenant_limit"
	ReasonDeadline         Reason = "deadline"
	ReasonExpired          Reason = "expired"
	ReasonNoEndpoint       Reason = "no_endpoint"
	ReasonLoadFailing      Reason = "load_failing"
	ReasonStopping         Reason = "stopping"
	ReasonCrashesEndpoints Reason = "crashes_endpoints"
	ReasonNoPlacer         Reason = "no_placer"
	ReasonCancelled        Reason = "cancelled"
	ReasonClaimed          Reason = "already_claimed"
	ReasonClaimImpossible  Reason = "claim_impossible"
	ReasonRule             Reason = "rule"
)

// Refusal reports to a caller that its request was not run, and when to retry.
type Refusal struct {
	RequestID  string
	Reason     Reason
	RetryAfter time.Duration
}
