// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Status is an endpoint's own account of itself.
type Status struct {
	Incarnation string
	Fence       uint64
	Holder      string
	Resident    []fleet.AdapterRef
	// Running lists the adapters of running and queued requests.
	Running []fleet.AdapterRef
	Leaving bool
}

// Order is a fenced order to an endpoint.
type Order struct {
	Endpoint    fleet.Endpoint
	Incarnation string
	Fence       uint64
	Holder      string
	Adapter     fleet.AdapterRef
	Source      string
}

// Call is one caller's request as it is passed to an endpoint.
type Call struct {
	Endpoint    fleet.Endpoint
	Method      string
	Path        string
	Body        []byte
	Header      http.Header
	RequestID   string
	Attempt     int
	Incarnation string
	Fence       uint64
	Priority    int
	// ResumeFrom is the number of events that the caller already has.
	ResumeFrom int
}

// Dialect is how one kind of endpoint is spoken to.
type Dialect struct {
	Name string
	// Status reads the endpoint's list and running requests.
	Status func(ctx context.Context, e fleet.Endpoint) (Status, error)
	// Take makes the endpoint refuse every fence below the given one.
	Take func(ctx context.Context, o Order) error
	// Load and Unload change a slot.
	Load   func(ctx context.Context, o Order) error
	Unload func(ctx context.Context, o Order) error
	// Start sends a request and gives the answer with its body unread.
	Start func(ctx context.Context, c Call) (*http.Response, error)
	// Cancel ends a request that is running or queued.
	Cancel func(ctx context.Context, e fleet.Endpoint, requestID string) error
}

// ErrNotRun reports an order or request that surely had no effect.
type ErrNotRun struct {
	What   string
	Reason string
	// Status is the endpoint's answer, or zero where there was none.
	Status int
	// RetryAfter is the endpoint's own wish, or zero.
	RetryAfter time.Duration
}

// Error tells what was not run, and why.
func (e ErrNotRun) Error() string {
	return fmt.Sprintf("%s was not run: %s", e.What, e.Reason)
}

// IsErrNotRun tells whether an error is an ErrNotRun.
func IsErrNotRun(err error) bool {
	var e ErrNotRun
	return errors.As(err, &e)
}

// ErrFenced reports an order that the endpoint refused for its fence or incarnation.
type ErrFenced struct {
	What  string
	Fence uint64
}

// Error tells which order was refused.
func (e ErrFenced) Error() string {
	return fmt.Sprintf("%s was refused: the endpoint obeys fence %d or has restarted", e.What, e.Fence)
}

// IsErrFenced tells whether an error is an ErrFenced.
func IsErrFenced(err error) bool {
	var e ErrFenced
	return errors.As(err, &e)
}

// ErrUnknown reports an order or request that may have had its effect.
type ErrUnknown struct {
	What   string
	Reason string
}

// Error tells what has an unknown end, and why.
func (e ErrUnknown) Error() string {
	return fmt.Sprintf("%s may or may not have been run: %s", e.What, e.Reason)
}

// NextFence gives a fence above every one seen that no other holder can choose:
// the low bits are the holder's own.
func NextFence(seen uint64, holder uint16) uint64 {
	return (seen>>holderBits+1)<<holderBits | uint64(holder)
}

// holderBits is how many low bits of a fence name its holder; peers and stored fences go by it.
const holderBits = 16
