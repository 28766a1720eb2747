// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package store

import (
	"errors"
	"fmt"
)

// Errors without details.
var (
	// ErrNotFound reports a key that is absent.
	ErrNotFound = errors.New("store: no such key")
	// ErrLeaseGone reports a lease that is over or unknown.
	ErrLeaseGone = errors.New("store: lease is over")
	// ErrCompacted reports a watch whose start is no longer in the history.
	ErrCompacted = errors.New("store: history is gone")
)

// ConflictError reports a transaction whose conditions did not hold.
type ConflictError struct {
	// Current are the present items of the conditions' keys.
	Current []Item
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: conditions do not hold (%d items differ)", len(e.Current))
}

// RefusedError reports a call that surely had no effect.
type RefusedError struct {
	// Status is that of the store's answer, as HTTP counts.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store: call refused with status %d", e.Status)
}

// UnknownError reports a call that may have been done, or may be done later.
type UnknownError struct {
	// Cause is why there is no answer that can be read.
	Cause error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("store: no answer: %v", e.Cause)
}

// Unwrap gives the cause.
func (e *UnknownError) Unwrap() error {
	return e.Cause
}

// IsConflict tells whether an error is a ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError
	return errors.As(err, &conflict)
}
