// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"net/http"
	"strconv"
	"time"
)

// writer passes an answer to the caller and counts what has been passed on.
type writer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	flusher    http.Flusher
	// timeout bounds how long the caller may take to read what is written.
	timeout  time.Duration
	now      func() time.Time
	timer    func(at time.Time) time.Time
	deadline time.Time
	started  bool
	events   int
	first    time.Time
	last     time.Time
}

func newWriter(w http.ResponseWriter, options Options) *writer {
	// A writer without Flush, as of a test, leaves flusher nil, and nothing is flushed.
	flusher, _ := w.(http.Flusher)
	return &writer{w: w, controller: http.NewResponseController(w), flusher: flusher, timeout: options.SlowReader, now: options.Now, timer: options.Timer}
}

func (o *writer) header() http.Header {
	return o.w.Header()
}

// renewalParts is the part of the time-out, one over this, in which a deadline that was set is left as it is: a write may end after half of
// the time-out at the earliest, for one call in place of one an event.
const renewalParts = 2

// extend moves the caller's deadline on, at most once in a while, since it costs a call.
func (o *writer) extend(now time.Time) {
	if o.deadline.Sub(now) > o.timeout/renewalParts {
		return
	}
	o.deadline = now.Add(o.timeout)
	// Not every writer knows deadlines; without one a slow reader is bounded by the connection itself.
	_ = o.controller.SetWriteDeadline(o.timer(o.deadline))
}

func (o *writer) event(event []byte) error {
	now := o.now()
	o.extend(now)
	if !o.started {
		o.started = true
		o.first = now
		o.w.WriteHeader(http.StatusOK)
	}
	o.last = now
	if _, err := o.w.Write(event); err != nil {
		return errCallerGone{reason: err.Error()}
	}
	o.events++
	return nil
}

func (o *writer) flush() error {
	if o.flusher == nil || !o.started {
		return nil
	}
	if err := o.controller.Flush(); err != nil {
		return errCallerGone{reason: err.Error()}
	}
	return nil
}

func (o *writer) whole(status int, body []byte) error {
	now := o.now()
	o.extend(now)
	o.started = true
	o.first, o.last = now, now
	o.header().Set("Content-Length", strconv.Itoa(len(body)))
	o.w.WriteHeader(status)
	if _, err := o.w.Write(body); err != nil {
		return errCallerGone{reason: err.Error()}
	}
	return nil
}
