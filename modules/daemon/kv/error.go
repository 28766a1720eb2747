// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package kv

import (
	"errors"
	"fmt"
)

// ErrNotDone reports a call that certainly had no effect.
type ErrNotDone struct {
	Call   string
	Reason string
}

// Error returns the call and the reason.
func (e ErrNotDone) Error() string {
	return fmt.Sprintf("key-value service: %s was not done: %s", e.Call, e.Reason)
}

// IsErrNotDone reports whether err is an ErrNotDone.
func IsErrNotDone(err error) bool {
	var e ErrNotDone
	return errors.As(err, &e)
}

// ErrOutcomeUnknown reports a call that may or may not have taken effect.
type ErrOutcomeUnknown struct {
	Call   string
	Reason string
}

// Error returns the call and the reason.
func (e ErrOutcomeUnknown) Error() string {
	return fmt.Sprintf("key-value service: %s may or may not have been done: %s", e.Call, e.Reason)
}

// IsErrOutcomeUnknown reports whether err is an ErrOutcomeUnknown.
func IsErrOutcomeUnknown(err error) bool {
	var e ErrOutcomeUnknown
	return errors.As(err, &e)
}

// ErrLeaseNotFound reports a lease that has expired or was revoked, so that the service does not have it any more.
type ErrLeaseNotFound struct {
	ID int64
}

// Error returns the ID of the lease.
func (e ErrLeaseNotFound) Error() string {
	return fmt.Sprintf("key-value service: lease %d has lapsed", e.ID)
}

// IsErrLeaseNotFound reports whether err is an ErrLeaseNotFound.
func IsErrLeaseNotFound(err error) bool {
	var e ErrLeaseNotFound
	return errors.As(err, &e)
}
