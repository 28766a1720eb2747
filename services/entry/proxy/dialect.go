// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"net/http"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// CallerHeader is what a caller's headers say of its request.
type CallerHeader struct {
	// ID is the caller's own name of the request; it need not be unique.
	ID string
	// Adapter is what the request asks for; its Model is empty for plain services.
	Adapter deployment.Adapter
	// Prompt is the declared length of its prompt in tokens; 0 if it did not say.
	Prompt int
	// Timeout is how long the caller waits, from the arrival on; 0 if it did not say.
	Timeout time.Duration
}

// ForwardHeader is what an endpoint must know beside the caller's own headers.
type ForwardHeader struct {
	Endpoint deployment.EndpointID
	// HasDeadline says that the caller named a time-out, and Remaining what is left of it.
	HasDeadline bool
	Remaining   time.Duration
	// UsesModel says that the request runs on a base model; Urgency is the level then at which the endpoint is to take it up,
	// the lowest first.
	UsesModel bool
	Urgency   int
	// Version is the version that the adapter must have; 0 demands none.
	Version int64
	// ResumeAfter asks to go on after an event; empty leaves what the caller sent.
	ResumeAfter string
}

// Dialect is how requests and answers say what the entry must know, as function fields.
type Dialect struct {
	ReadRequest  func(header http.Header) CallerHeader
	WriteForward func(header http.Header, forward ForwardHeader)
	// AnswersRequest reports whether an answer is one to the request with an id; a connection may still bring that of an
	// earlier one.
	AnswersRequest func(id string, header http.Header) bool
	// NotRun reports whether an answer proves that the request did not run and will not.
	NotRun func(status int, header http.Header) bool
	// FromEndpoint reports whether a success bears the endpoint's own mark; without it, something on the way answered.
	FromEndpoint func(header http.Header) bool
	// ReadNotice gives what an endpoint says of itself in the head of an answer; its error tells what of it cannot be read.
	ReadNotice func(status int, header http.Header) (deployment.Notice, error)
}
