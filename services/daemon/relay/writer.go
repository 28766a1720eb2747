// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"net/http"
	"strconv"
	"time"
)

// writer writes an answer to the caller and counts the written events.
type writer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	flusher    http.Flusher
	// timeout is the maximum time that the caller may take to read the written data.
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
	// If w does not implement http.Flusher, as in some tests, flusher is nil and nothing is flushed.
	flusher, _ := w.(http.Flusher)
	return &writer{w: w, controller: http.NewResponseController(w), flusher: flusher, timeout: options.SlowReader, now: options.Now, timer: options.Timer}
}

func (o *writer) header() http.Header {
	return o.w.Header()
}

// deadlineRenewalDivisor determines when the write deadline is extended: once at most the timeout divided by this number remains. Extending
// the deadline that seldom avoids a call for each event, but a write may time out after half of the timeout already.
const deadlineRenewalDivisor = 2

// extend extends the caller's write deadline. It does so only if at most timeout/deadlineRenewalDivisor is left, since
// each change costs a call.
func (o *writer) extend(now time.Time) {
	if o.deadline.Sub(now) > o.timeout/deadlineRenewalDivisor {
		return
	}
	o.deadline = now.Add(o.timeout)
	// Not every ResponseWriter supports deadlines. Without one, only the connection itself limits a slow reader.
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
