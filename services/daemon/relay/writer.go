// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/shelfledge/shelfledge/modules/callerconn"
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
	// resetOnClose makes the caller's connection end with a reset, or no longer.
	resetOnClose func(enabled bool) error
	started      bool
	events       int
	first        time.Time
	last         time.Time
}

// newWriter returns a writer to the caller whose connection ctx holds, if any.
func newWriter(ctx context.Context, w http.ResponseWriter, options Options) *writer {
	// If w does not implement http.Flusher, as in some tests, flusher is nil and nothing is flushed.
	flusher, _ := w.(http.Flusher)
	return &writer{
		w: w, controller: http.NewResponseController(w), flusher: flusher, timeout: options.SlowReader, now: options.Now, timer: options.Timer,
		resetOnClose: callerconn.FromContext(ctx).SetResetOnClose,
	}
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

// bodyEnd is how the end of an answer's body is told to the caller.
type bodyEnd struct {
	// length is the length that the head states, in bytes; none if it is negative.
	length int64
	// untilClose is set if the body ends with the connection.
	untilClose bool
}

// whole writes an answer that is not streamed.
func (o *writer) whole(status int, body []byte, end bodyEnd) error {
	now := o.now()
	o.extend(now)
	o.started = true
	o.first, o.last = now, now
	if end.length >= 0 {
		o.header().Set("Content-Length", strconv.FormatInt(end.length, 10))
	}
	if end.untilClose {
		o.beginUntilClose()
	}
	o.w.WriteHeader(status)
	if _, err := o.w.Write(body); err != nil {
		return errCallerGone{reason: err.Error()}
	}
	if end.untilClose {
		return o.finishUntilClose()
	}
	return nil
}

// beginUntilClose prepares an answer whose end is told by the end of the connection. Any end but the proper one must then be a reset, also the
// end of the process, or the caller would take what it has for the whole answer.
func (o *writer) beginUntilClose() {
	// On this value, net/http sends neither a length nor chunks, and closes the connection after the answer.
	o.header().Set("Transfer-Encoding", "identity")
	// An error means that the connection has ended, which the next write reports.
	_ = o.resetOnClose(true)
}

// finishUntilClose makes the connection end properly, once the whole answer was handed to the system.
func (o *writer) finishUntilClose() error {
	if err := o.flush(); err != nil {
		return err
	}
	if err := o.resetOnClose(false); err != nil {
		return errCallerGone{reason: err.Error()}
	}
	return nil
}
