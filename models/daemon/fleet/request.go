// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import "time"

// Class is a service class with its weight in decisions.
type Class struct {
	Name        string
	Priority    int
	StallWeight float64
	// Patient work may be held back to fill batches.
	Patient bool
	// MaxQueuedTokens bounds what waits in this class in one pool, in tokens.
	MaxQueuedTokens int
}

// Request is what a decision needs to know of one caller's call.
type Request struct {
	ID           string
	Caller       string
	Class        string
	Hall         string
	Base         string
	Adapter      AdapterRef
	PromptTokens int
	OutputTokens int
	Once         bool
	Arrived      time.Time
	Deadline     time.Time
	Prefix       uint64
	Priority     int
	// Entry is the instance that holds the caller's connection.
	Entry string
	// Attempt counts from zero; retries pass admission again.
	Attempt int
	// Avoid names an endpoint that just refused this request.
	Avoid string
}

// Tokens gives the request's work in tokens.
func (r Request) Tokens() int {
	return r.PromptTokens + r.OutputTokens
}

// Expired tells whether the caller has stopped waiting.
func (r Request) Expired(now time.Time) bool {
	return !r.Deadline.IsZero() && !now.Before(r.Deadline)
}

// Ticket is a placer's permission to run one request on one endpoint.
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
	// StartWithin bounds the time from the grant's arrival to the start of the request.
	StartWithin time.Duration
	Queued      time.Duration
	Stalled     time.Duration
}

// Outcome is how an attempt ended.
type Outcome string

// The three outcomes of an attempt.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not_run"
	OutcomeUnknown  Outcome = "unknown"
)

// Reason names why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonQueueFull     Reason = "queue_full"
	ReasonCustomerLimit Reason = "tenant_limit"
	ReasonDeadline      Reason = "deadline"
	ReasonExpired       Reason = "expired"
	ReasonNoEndpoint    Reason = "no_endpoint"
	ReasonLoadFailing   Reason = "load_failing"
	ReasonStopping      Reason = "stopping"
	ReasonCrashes       Reason = "crashes_endpoints"
	ReasonNoPlacer      Reason = "no_placer"
	ReasonCancelled     Reason = "cancelled"
	ReasonClaimed       Reason = "already_claimed"
	ReasonClaimImpossib Reason = "claim_impossible"
	ReasonRule          Reason = "rule"
)

// Refusal tells a caller that its request was not run and when to come back.
type Refusal struct {
	RequestID  string
	Reason     Reason
	RetryAfter time.Duration
}
