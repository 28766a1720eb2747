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

// Status is the state that an endpoint reports of itself.
type Status struct {
	// Incarnation changes with each start of the endpoint.
	Incarnation string
	// Fence is the fence in force, Holder the name of its holder.
	Fence  uint64
	Holder string
	// Resident lists the loaded adapters.
	Resident []fleet.AdapterRef
	// Running lists the adapters of running and queued requests.
	Running []fleet.AdapterRef
	// Leaving is set while the endpoint is about to stop.
	Leaving bool
}

// Order is a command to an endpoint, protected by a fencing token.
type Order struct {
	Endpoint    fleet.Endpoint
	Incarnation string
	Fence       uint64
	Holder      string
	Adapter     fleet.AdapterRef
	Source      string
	// StartBefore is the time before which the first byte must be written, or the order is not sent; zero if there is no limit.
	StartBefore time.Time
}

// Call is a caller's request as it is sent to an endpoint.
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
	// StartBefore is the time before which the first byte must be written, or the request is not sent; zero if there is no limit.
	StartBefore time.Time
}

// StartBefore returns a time limit of the clock now as a limit for Order and Call, which counts by the system's clock.
func StartBefore(limit time.Time, now func() time.Time) time.Time {
	if limit.IsZero() {
		return time.Time{}
	}
	// The system's clock is read first, so that a pause of the process in between makes the result earlier.
	system := time.Now()
	return system.Add(limit.Sub(now()))
}

// Dialect implements the protocol of one kind of endpoint.
type Dialect struct {
	Name string
	// Status reads the loaded adapters and the running requests of an endpoint.
	Status func(ctx context.Context, e fleet.Endpoint) (Status, error)
	// ClaimFence makes the endpoint refuse all fences below that of the order.
	ClaimFence func(ctx context.Context, o Order) error
	// Load loads an adapter into a slot; Unload removes it.
	Load   func(ctx context.Context, o Order) error
	Unload func(ctx context.Context, o Order) error
	// Start sends a request and returns the response with its body unread.
	Start func(ctx context.Context, c Call) (*http.Response, error)
	// Cancel cancels a running or queued request.
	Cancel func(ctx context.Context, e fleet.Endpoint, requestID string) error
}

// ErrNotRun reports an order or request that certainly had no effect.
type ErrNotRun struct {
	Operation string
	Reason    string
	// Status is the HTTP status of the response, or zero if there was no response.
	Status int
	// RetryAfter is the value of the Retry-After header of the response, or zero.
	RetryAfter time.Duration
}

// Error returns the operation and the reason.
func (e ErrNotRun) Error() string {
	return fmt.Sprintf("%s was not run: %s", e.Operation, e.Reason)
}

// IsErrNotRun reports whether err is an ErrNotRun.
func IsErrNotRun(err error) bool {
	var e ErrNotRun
	return errors.As(err, &e)
}

// ErrFenced reports an order that the endpoint refused because of its fence or incarnation.
type ErrFenced struct {
	Operation string
	// Fence is the fence in force at the endpoint.
	Fence uint64
}

// Error returns the operation and the fence in force.
func (e ErrFenced) Error() string {
	return fmt.Sprintf("%s was refused: fence %d is in force at the endpoint, or the endpoint has restarted", e.Operation, e.Fence)
}

// IsErrFenced reports whether err is an ErrFenced.
func IsErrFenced(err error) bool {
	var e ErrFenced
	return errors.As(err, &e)
}

// ErrOutcomeUnknown reports an order or request that may or may not have taken effect.
type ErrOutcomeUnknown struct {
	Operation string
	Reason    string
}

// Error returns the operation and the reason.
func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("%s may or may not have been run: %s", e.Operation, e.Reason)
}

// NextFence returns a fence that is higher than seen, the highest fence seen so far. No other holder can choose the same fence, since the
// low bits identify the holder.
func NextFence(seen uint64, holder uint16) uint64 {
	return (seen>>holderBits+1)<<holderBits | uint64(holder)
}

// holderBits is the number of low bits of a fence that identify its holder. Peers and stored fences depend on it.
const holderBits = 16
