// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"errors"
	"fmt"
)

// ErrNoConnection is returned when all connections allowed to an endpoint are in use.
var ErrNoConnection = errors.New("upstream: all connections allowed to the endpoint are in use")

// ErrRetired is returned when an endpoint was retired while a connection to it was set up. Nothing was sent.
var ErrRetired = errors.New("upstream: endpoint was retired during connection set-up")

// ErrForeignAnswer is returned when only answers to other requests arrived.
var ErrForeignAnswer = errors.New("upstream: received only answers to other requests")

// Stage is how far an exchange had progressed when it failed.
type Stage int

// The stages of an exchange.
const (
	// Connecting: nothing was written, so the endpoint cannot run the request.
	Connecting Stage = iota
	// Sent: some or all of the request was written, so the endpoint may run it.
	Sent
)

// ExchangeError is returned for an exchange that failed before the head of an answer arrived.
type ExchangeError struct {
	Stage Stage
	Cause error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	if e.Stage == Connecting {
		return fmt.Sprintf("upstream: request not sent: %v", e.Cause)
	}
	return fmt.Sprintf("upstream: no answer received: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error {
	return e.Cause
}

// NotSent reports whether an error proves that no byte of the request was written.
func NotSent(err error) bool {
	var exchangeErr *ExchangeError
	return errors.As(err, &exchangeErr) && exchangeErr.Stage == Connecting
}
