// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package kv

import (
	"errors"
	"fmt"
)

// ErrNotDone reports a call that surely had no effect.
type ErrNotDone struct {
	Call   string
	Reason string
}

// Error tells which call was not done, and why.
func (e ErrNotDone) Error() string {
	return fmt.Sprintf("key-value service: %s was not done: %s", e.Call, e.Reason)
}

// IsErrNotDone tells whether an error is an ErrNotDone.
func IsErrNotDone(err error) bool {
	var e ErrNotDone
	return errors.As(err, &e)
}

// ErrUnknown reports a call that may or may not have had its effect.
type ErrUnknown struct {
	Call   string
	Reason string
}

// Error tells which call has an unknown end, and why.
func (e ErrUnknown) Error() string {
	return fmt.Sprintf("key-value service: %s may or may not have been done: %s", e.Call, e.Reason)
}

// IsErrUnknown tells whether an error is an ErrUnknown.
func IsErrUnknown(err error) bool {
	var e ErrUnknown
	return errors.As(err, &e)
}

// ErrLeaseGone reports a lease that the service no longer knows.
type ErrLeaseGone struct {
	ID int64
}

// Error names the lease.
func (e ErrLeaseGone) Error() string {
	return fmt.Sprintf("key-value service: lease %d has lapsed", e.ID)
}

// IsErrLeaseGone tells whether an error is an ErrLeaseGone.
func IsErrLeaseGone(err error) bool {
	var e ErrLeaseGone
	return errors.As(err, &e)
}
