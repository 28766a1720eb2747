// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tunnel

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrRefused is returned by Open if the endpoint refused the connection of the other instance.
var ErrRefused = errors.New("tunnel: the endpoint refused the connection")

// ErrNotReached is returned by Open if the other instance got no connection to the endpoint in time.
var ErrNotReached = errors.New("tunnel: the endpoint was not reached")

// UnavailableError is returned by Open if the other instance opens no tunnel to the endpoint: it does not know the endpoint, reaches none
// itself, or has too many tunnels. It shows nothing about the endpoint.
type UnavailableError struct {
	// Status is the HTTP status of the answer.
	Status int
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("tunnel: no tunnel, status %d", e.Status)
}

// IsVerdict reports whether an error of Open tells how the endpoint answered another instance.
func IsVerdict(err error) bool {
	return errors.Is(err, ErrRefused) || errors.Is(err, ErrNotReached)
}

// IsUnknown reports whether an error of Open tells that the other instance knows no such endpoint that takes requests.
func IsUnknown(err error) bool {
	var unavailable *UnavailableError
	return errors.As(err, &unavailable) && unavailable.Status == statusUnknown
}

// The statuses of answers to a CONNECT request, which are part of the protocol between instances.
const (
	statusOpened      = http.StatusOK
	statusRefused     = http.StatusBadGateway
	statusNotReached  = http.StatusGatewayTimeout
	statusUnknown     = http.StatusNotFound
	statusUnavailable = http.StatusServiceUnavailable
	statusNoTunnel    = http.StatusMethodNotAllowed
	statusBadTarget   = http.StatusBadRequest
)

// headerEndpoint is the header that names the endpoint of a CONNECT request.
const headerEndpoint = "Shelfledge-Endpoint"

// errorOf returns the error for the status of an answer, or nil if the tunnel was opened.
func errorOf(status int) error {
	switch status {
	case statusOpened:
		return nil
	case statusRefused:
		return ErrRefused
	case statusNotReached:
		return ErrNotReached
	default:
		return &UnavailableError{Status: status}
	}
}
