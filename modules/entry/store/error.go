// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package store

import (
	"errors"
	"fmt"
)

// Errors without details.
var (
	// ErrNotFound is returned for a key that does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrLeaseExpired is returned for a lease that has expired or is unknown.
	ErrLeaseExpired = errors.New("store: lease expired or unknown")
	// ErrCompacted is returned for a watch whose start revision is no longer in the store's history.
	ErrCompacted = errors.New("store: start revision of the watch was compacted")
)

// ConflictError is returned for a transaction whose conditions did not hold.
type ConflictError struct {
	// Current are the current items of the conditions' keys.
	Current []Item
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: conditions do not hold (%d items differ)", len(e.Current))
}

// RefusedError is returned for a call that certainly had no effect.
type RefusedError struct {
	// Status is the HTTP status of the store's answer.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store: call refused with status %d", e.Status)
}

// UnknownError is returned for a call that may have taken effect, or may still do so.
type UnknownError struct {
	// Cause is why no readable answer was received.
	Cause error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("store: no answer: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Cause
}

// IsConflict reports whether an error is a ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}
