// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"net/http"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

// CallerHeader holds the values that a request's headers specify.
type CallerHeader struct {
	// ID is the identifier that the caller chose for the request; it need not be unique.
	ID string
	// Adapter is the requested adapter; its Model is empty for plain services.
	Adapter deployment.Adapter
	// PromptTokens is the declared length of the prompt in tokens; 0 if the caller did not specify it.
	PromptTokens int
	// Parts are the declared parts of the prompt that other requests may have in common with this one.
	Parts []fingerprint.Fingerprint
	// LastEvent is the id of the last event that the caller has of a stream that it takes up; empty for a new request. BegunAs is the ID of the
	// caller's attempt that got the first event; empty if the caller did not specify it.
	LastEvent string
	BegunAs   string
	// Timeout is how long the caller waits after the request's arrival; 0 if the caller did not specify it.
	Timeout time.Duration
}

// ForwardHeader holds the values that are sent to an endpoint in addition to the caller's headers.
type ForwardHeader struct {
	Endpoint deployment.EndpointID
	// HasDeadline is set if the caller specified a time-out; Remaining is the rest of it.
	HasDeadline bool
	Remaining   time.Duration
	// UsesModel is set if the request runs on a base model; Urgency is then the priority level at which the endpoint schedules it,
	// the lowest level first.
	UsesModel bool
	Urgency   int
	// Version is the required version of the adapter; 0 requires none.
	Version int64
	// ResumeAfter is the id of the event after which the stream is to be resumed; if empty, the caller's own header is left
	// unchanged.
	ResumeAfter string
}

// Dialect holds the functions that read and write the headers of requests and responses.
type Dialect struct {
	ReadRequest  func(header http.Header) CallerHeader
	WriteForward func(header http.Header, forward ForwardHeader)
	// AnswersRequest reports whether a response belongs to the request with the given id; a connection may still deliver the response
	// to an earlier request.
	AnswersRequest func(id string, header http.Header) bool
	// Identified reports whether a response tells which request it belongs to.
	Identified func(header http.Header) bool
	// NotRun reports whether a response to a request that was sent to an endpoint proves that the request did not run and will not run.
	NotRun func(endpoint deployment.EndpointID, status int, header http.Header) bool
	// FromEndpoint reports whether a successful response carries the endpoint's identifying header; otherwise an intermediary sent
	// it.
	FromEndpoint func(header http.Header) bool
	// ReadNotice returns the notice that an endpoint includes in the head of a response; the error describes the parts that are not
	// readable.
	ReadNotice func(status int, header http.Header) (deployment.Notice, error)
}
