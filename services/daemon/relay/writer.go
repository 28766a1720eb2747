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
	patience   time.Duration
	now        func() time.Time
	deadline   time.Time
	started    bool
	events     int
	first      time.Time
	last       time.Time
}

func newWriter(w http.ResponseWriter, patience time.Duration, now func() time.Time) *writer {
	flusher, _ := w.(http.Flusher)
	return &writer{w: w, controller: http.NewResponseController(w), flusher: flusher, patience: patience, now: now}
}

func (o *writer) header() http.Header {
	return o.w.Header()
}

// extend moves the caller's deadline on, at most once in a while, since it costs a call.
func (o *writer) extend(now time.Time) {
	if o.deadline.Sub(now) > o.patience/2 {
		return
	}
	o.deadline = now.Add(o.patience)
	// Not every writer knows deadlines; without one a slow reader is bounded by the connection itself.
	_ = o.controller.SetWriteDeadline(o.deadline)
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
