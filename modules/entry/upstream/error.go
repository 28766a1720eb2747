// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"errors"
	"fmt"
)

// ErrNoConnection reports that all connections allowed to an endpoint are in use.
var ErrNoConnection = errors.New("upstream: no connection is free")

// ErrRetired reports that an endpoint was retired while a connection to it was set up; nothing was sent.
var ErrRetired = errors.New("upstream: the endpoint is gone")

// ErrForeignAnswer reports that only answers to other requests arrived.
var ErrForeignAnswer = errors.New("upstream: the answer belongs to another request")

// Stage is how far an exchange had come when it failed.
type Stage int

// The stages of an exchange.
const (
	// Connecting: nothing was written, so the request cannot run.
	Connecting Stage = iota
	// Sent: some or all of the request was written, so it may run.
	Sent
)

// ExchangeError reports an exchange that ended without the head of an answer.
type ExchangeError struct {
	Stage Stage
	Cause error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	if e.Stage == Connecting {
		return fmt.Sprintf("upstream: not sent: %v", e.Cause)
	}
	return fmt.Sprintf("upstream: no answer: %v", e.Cause)
}

// Unwrap gives the cause.
func (e *ExchangeError) Unwrap() error {
	return e.Cause
}

// NotSent reports whether an error proves that no byte of the request was written.
func NotSent(err error) bool {
	var failed *ExchangeError
	return errors.As(err, &failed) && failed.Stage == Connecting
}
