// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"errors"
	"fmt"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// ErrNotRun reports that a request was certainly not run.
type ErrNotRun struct {
	Reason     fleet.Reason
	RetryAfter time.Duration
	Detail     string
}

// Error returns the message with the reason and the detail.
func (e ErrNotRun) Error() string {
	if e.Detail != "" {
		return fmt.Sprintf("the request was not run: %s: %s", e.Reason, e.Detail)
	}
	return fmt.Sprintf("the request was not run: %s", e.Reason)
}

// IsErrNotRun reports whether an error is or wraps an ErrNotRun.
func IsErrNotRun(err error) bool {
	var e ErrNotRun
	return errors.As(err, &e)
}

// ErrUnknown reports that a request may or may not have run.
type ErrUnknown struct {
	Detail string
	// Claimed is true if an earlier request with the same identifier was claimed.
	Claimed bool
}

// Error returns the message with the detail.
func (e ErrUnknown) Error() string {
	return "the request may or may not have run: " + e.Detail
}

// IsErrUnknown reports whether an error is or wraps an ErrUnknown.
func IsErrUnknown(err error) bool {
	var e ErrUnknown
	return errors.As(err, &e)
}

// errBroken reports an answer that broke off.
type errBroken struct {
	reason string
}

func (e errBroken) Error() string { return "the answer broke off: " + e.reason }

// errCallerGone reports a caller that has disconnected or reads too slowly.
type errCallerGone struct {
	reason string
}

func (e errCallerGone) Error() string { return "the caller is gone: " + e.reason }
