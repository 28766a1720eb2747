// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/modules/callerconn"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// responseWriter writes the response of one request to the caller.
type responseWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	incoming   *http.Request
	// resetOnClose makes the caller's connection end with a reset, or no longer.
	resetOnClose func(enabled bool) error
	now          func() time.Time
	// timer returns the time at which a Go timer must fire for a time on the clock of now.
	timer func(at time.Time) time.Time
	// status is the status code of the response; 0 before the head was written.
	status        int
	headWrittenAt time.Time
	// untilClose is set if the end of the response is told by the end of the connection.
	untilClose bool
	// bodyEnded reports whether the handler has read the caller's body to its end, ownsBody whether it is the only reader of that body.
	bodyEnded func() bool
	ownsBody  bool
}

// bodyEnd is how the end of a response's body is told to the caller.
type bodyEnd struct {
	// length is the length of the body in bytes, or unknownLength.
	length int64
	// untilClose is set if neither a length nor chunks are sent, and the body ends with the connection.
	untilClose bool
}

const unknownLength = -1

func newResponseWriter(writer http.ResponseWriter, incoming *http.Request, options Options) *responseWriter {
	conn := callerconn.FromContext(incoming.Context())
	return &responseWriter{
		writer: writer, controller: http.NewResponseController(writer), incoming: incoming, resetOnClose: conn.SetResetOnClose,
		now: options.Now, timer: options.Timer, bodyEnded: func() bool { return incoming.Body == nil || incoming.Body == http.NoBody },
	}
}

// refuse writes an error response that this instance generates itself.
func (w *responseWriter) refuse(ending attempt.Ending) {
	header := w.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header["Date"] = nil
	if ending.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(ending.RetryAfter.Seconds(), 'f', 2, 64))
	}
	text := string(ending.Reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	w.writeStatus(ending.Status)
	// A write error means that the caller has disconnected, and there is nothing left to do for it.
	_, _ = io.WriteString(w.writer, text)
}

// setReadDeadline sets the deadline for reading the caller's body; the zero time removes it. Errors are ignored: a connection that
// accepts no deadline is closed, and the next read returns the error.
func (w *responseWriter) setReadDeadline(deadline time.Time) {
	_ = w.controller.SetReadDeadline(w.timerAt(deadline))
}

// takeBody makes the handler the only reader of the caller's body until the handler returns: otherwise net/http also reads from it when a
// response is written before the end of the body, and drops what it reads. ended reports whether the handler has read the body to its end.
func (w *responseWriter) takeBody(ended func() bool) error {
	w.bodyEnded, w.ownsBody = ended, true
	return w.controller.EnableFullDuplex()
}

const (
	// writeMargin is the time after the request's deadline during which its response may still be written, so that a time-out response
	// reaches the caller. A longer time tolerates slower connections; a shorter one releases sooner a request whose caller does not
	// read.
	writeMargin = 500 * time.Millisecond
	// shutdownWriteMargin is the time during which the response may still be written after the shutdown of the process has aborted the
	// request. The request's log line must be written before the process exits. A longer time tolerates slower connections; a shorter
	// one lets the process exit sooner.
	shutdownWriteMargin = 100 * time.Millisecond
)

// limitWriting limits the writing of the response by the request's deadline and by the end of ctx, until release is called. Without
// that, a write to a caller that does not read would hold the request, and its place at an endpoint, until the operating system gives
// up the connection.
func (w *responseWriter) limitWriting(ctx context.Context, deadline time.Time) (release func()) {
	w.setWriteDeadline(deadline.Add(writeMargin))
	stop := context.AfterFunc(ctx, func() { w.setWriteDeadline(w.now().Add(shutdownWriteMargin)) })
	return func() {
		stop()
		w.setWriteDeadline(time.Time{})
	}
}

// setWriteDeadline sets the deadline for writing; the zero time removes it. Errors are ignored: a connection that accepts no deadline
// is closed, and the next write returns the error.
func (w *responseWriter) setWriteDeadline(until time.Time) {
	_ = w.controller.SetWriteDeadline(w.timerAt(until))
}

// timerAt returns the result of timer for a time, and the zero time, which means no deadline, unchanged.
func (w *responseWriter) timerAt(at time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	return w.timer(at)
}

// writeHead writes the head of an endpoint's response to the caller.
func (w *responseWriter) writeHead(response *http.Response, end bodyEnd) {
	header := w.writer.Header()
	copyEndToEndHeaders(header, response.Header)
	for _, added := range []string{"Date", "Content-Type"} {
		if _, ok := header[added]; !ok {
			// A nil value prevents net/http from adding its own header.
			header[added] = nil
		}
	}
	header.Del("Content-Length")
	if end.length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(end.length, 10))
	}
	w.beginUntilClose(response, end)
	w.writeStatus(response.StatusCode)
}

// beginUntilClose prepares a response whose end is told by the end of the connection. Any end but the proper one must then be a reset, also
// the end of the process, or the caller would take what it has for the whole response.
func (w *responseWriter) beginUntilClose(response *http.Response, end bodyEnd) {
	chunked := !end.untilClose && w.incoming.ProtoAtLeast(1, 1)
	if response.Body == http.NoBody || end.length >= 0 || chunked {
		return
	}
	w.untilClose = true
	// On this value, net/http sends neither a length nor chunks, and closes the connection after the response.
	w.writer.Header().Set("Transfer-Encoding", "identity")
	// An error means that the connection has ended, which the next write reports.
	_ = w.resetOnClose(true)
}

// finish ends a response that was written completely. It is flushed while the write deadline still applies.
func (w *responseWriter) finish() error {
	if err := w.flush(); err != nil || !w.untilClose {
		return err
	}
	return w.resetOnClose(false)
}

func (w *responseWriter) writeStatus(status int) {
	if w.ownsBody && !w.bodyEnded() {
		// net/http does not always find the end of a body that the handler has begun to read, and would take the rest for the next request.
		w.writer.Header().Set("Connection", "close")
	}
	w.status = status
	w.headWrittenAt = w.now()
	w.writer.WriteHeader(status)
}

func (w *responseWriter) write(content []byte) error {
	_, err := w.writer.Write(content)
	return err
}

func (w *responseWriter) flush() error {
	return w.controller.Flush()
}

// hopByHopHeaders are the headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyEndToEndHeaders copies all headers except hop-by-hop headers and those that the Connection header lists.
func copyEndToEndHeaders(to, from http.Header) {
	named := make(map[string]bool)
	for _, line := range from["Connection"] {
		for _, name := range strings.Split(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopByHopHeaders[name] && !named[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}
