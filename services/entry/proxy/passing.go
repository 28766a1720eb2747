// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/admission"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

const (
	// smallBody is the size up to which an answer is read whole before it is passed on.
	smallBody = 64 << 10
	// streamBuffer is the size of one read of a stream.
	streamBuffer = 4 << 10
)

// streamHeadLimit is how long a stream's head may take: as long as callers have patience.
func streamHeadLimit(route *deployment.Route) time.Duration {
	return admission.Patience(route)
}

// passWhole passes on an answer that is no stream. A small one is read whole first, so that
// one that breaks off can be repeated or answered as an error.
func (a *attempt) passWhole() (directory.Outcome, bool, verdict) {
	response := a.answer.Response
	content, err := io.ReadAll(io.LimitReader(a.answer, smallBody))
	if err != nil {
		a.discard()
		return a.brokenOutcome(), false, uncertain
	}
	if len(content) < smallBody {
		// The end has been read, so the connection can be used again.
		a.held = content
		if response.StatusCode >= http.StatusInternalServerError {
			return directory.Errored, false, serverError
		}
		a.passHeld()
		return directory.Succeeded, false, finished
	}
	return a.passLarge(content)
}

// passHeld answers with a whole answer that was read before.
func (a *attempt) passHeld() {
	a.run.answer.pass(a.answer.Response, int64(len(a.held)))
	_ = a.run.answer.write(a.held)
	a.discard()
}

// passError answers with the endpoint's own error.
func (a *attempt) passError() {
	a.run.reason = "error of the endpoint"
	a.passHeld()
}

// passLarge passes on an answer whose beginning was read.
func (a *attempt) passLarge(content []byte) (directory.Outcome, bool, verdict) {
	defer a.discard()
	a.run.answer.pass(a.answer.Response, a.answer.Response.ContentLength)
	if err := a.run.answer.write(content); err != nil {
		return directory.Neutral, false, brokenOff
	}
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.answer.Read(buffer)
		if n > 0 && a.run.answer.write(buffer[:n]) != nil {
			return directory.Neutral, false, brokenOff
		}
		if errors.Is(err, io.EOF) {
			return directory.Succeeded, false, finished
		}
		if err != nil {
			return a.brokenOutcome(), false, brokenOff
		}
	}
}

// brokenOutcome blames the endpoint unless the caller left.
func (a *attempt) brokenOutcome() directory.Outcome {
	if a.run.incoming.Context().Err() != nil {
		return directory.Neutral
	}
	return directory.Broken
}

// passStream passes the head and the events of a stream on as they come.
func (a *attempt) passStream() (directory.Outcome, bool, verdict) {
	length := a.answer.Response.ContentLength
	if a.run.request.Route.Resumable {
		length = -1
	}
	return a.stream(func() { a.run.answer.pass(a.answer.Response, length) })
}

// resumeStream goes on with a stream whose head another endpoint gave.
func (a *attempt) resumeStream() (directory.Outcome, bool, verdict) {
	if a.answer.Response.StatusCode >= http.StatusMultipleChoices {
		a.discard()
		return directory.Errored, false, brokenOff
	}
	return a.stream(func() {})
}

// stream copies events; begin is called right before the first bytes are passed on.
func (a *attempt) stream(begin func()) (directory.Outcome, bool, verdict) {
	defer a.discard()
	r := a.run
	events := newEventBuffer(r.request.Route.Resumable)
	buffer := make([]byte, streamBuffer)
	stall := time.AfterFunc(streamHeadLimit(r.request.Route), a.cancel)
	defer stall.Stop()
	begun := false
	start := func() {
		if !begun {
			begin()
			begun = true
		}
	}
	for {
		n, err := a.answer.Read(buffer)
		if n > 0 {
			stall.Reset(a.stallLimit())
			if whole := events.add(buffer[:n]); len(whole) > 0 {
				start()
				if r.answer.write(whole) != nil || r.answer.flush() != nil {
					return directory.Neutral, false, brokenOff
				}
				r.lastEvent = events.lastID(r.lastEvent)
			}
		}
		if errors.Is(err, io.EOF) {
			start()
			if rest := events.rest(); len(rest) > 0 && r.answer.write(rest) != nil {
				return directory.Neutral, false, brokenOff
			}
			return directory.Succeeded, false, finished
		}
		if err != nil {
			if r.answer.status == 0 {
				return a.brokenOutcome(), false, uncertain
			}
			return a.brokenOutcome(), false, brokenOff
		}
	}
}

// stallLimit is how long a stream may pause before its endpoint is given up.
func (a *attempt) stallLimit() time.Duration {
	route := a.run.request.Route
	if route.Resumable && a.run.attempts < route.MaxAttempts && route.PauseTarget > 0 {
		return resumePauses * route.PauseTarget
	}
	return admission.Patience(route)
}

// resumePauses is after how many longest pauses a resumable stream goes on elsewhere.
const resumePauses = 4
