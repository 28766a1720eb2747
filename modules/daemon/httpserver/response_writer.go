// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserver

import (
	"net/http"
	"time"
)

// boundedWriter is the response to a request, each write of which ends after a time.
type boundedWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	now        func() time.Time
}

// Write implements io.Writer.
func (w *boundedWriter) Write(content []byte) (int, error) {
	w.setWriteDeadline(w.now())
	return w.ResponseWriter.Write(content)
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *boundedWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// setWriteDeadline sets the deadline for writing. Errors are ignored: a connection that accepts no deadline is closed, and the next write
// returns the error.
func (w *boundedWriter) setWriteDeadline(now time.Time) {
	_ = w.controller.SetWriteDeadline(now.Add(w.timeout))
}

// boundWrites wraps a handler: a client that does not read its response loses the connection. The deadline is set before the handler as well, for
// what net/http writes by itself, and after it, for what is buffered until then.
func boundWrites(serve http.HandlerFunc, timeout time.Duration, now func() time.Time) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		bounded := &boundedWriter{ResponseWriter: writer, controller: http.NewResponseController(writer), timeout: timeout, now: now}
		bounded.setWriteDeadline(now())
		serve(bounded, request)
		bounded.setWriteDeadline(now())
	}
}
