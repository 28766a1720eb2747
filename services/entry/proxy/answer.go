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

	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// answerWriter writes one answer to a caller.
type answerWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	now        func() time.Time
	// timer gives the moment at which a timer must fire for a time of now.
	timer func(at time.Time) time.Time
	// status is what was answered; 0 before the head.
	status int
	headAt time.Time
}

// refuse answers with an error of this process's own.
func (a *answerWriter) refuse(ending attempt.Ending) {
	header := a.writer.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header["Date"] = nil
	if ending.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(ending.RetryAfter.Seconds(), 'f', 2, 64))
	}
	text := string(ending.Reason) + "\n"
	header.Set("Content-Length", strconv.Itoa(len(text)))
	a.begin(ending.Status)
	// A caller that left takes no answer, and there is nothing else to do for it.
	_, _ = io.WriteString(a.writer, text)
}

const (
	// lingerTime and lingerBytes bound how long, and up to how many bytes, a caller is read that is still sending what was refused; without
	// that the reset would take the answer with it. More lets slower and larger callers read their answer, less frees their connections
	// sooner.
	lingerTime  = time.Second
	lingerBytes = 16 << 20
)

// boundReading bounds the reading of the caller's body; the zero time bounds nothing. A connection that takes no deadline has ended,
// which its next read tells.
func (a *answerWriter) boundReading(deadline time.Time) {
	_ = a.controller.SetReadDeadline(a.timerAt(deadline))
}

const (
	// writingMargin is how long after a request's deadline its answer may still be written, so that one that says so reaches its caller.
	// Longer bears a slower link, shorter lets go sooner of a caller that reads nothing.
	writingMargin = 500 * time.Millisecond
	// endMargin is the same after the end of the process has cut a request off: the line of the request must be written before the process
	// is gone. Longer bears a slower link, shorter lets the process end sooner.
	endMargin = 100 * time.Millisecond
)

// boundWriting bounds the writing of the answer by the request's deadline and by the end of the process, until release is called: a write
// to a caller that reads nothing would hold the request, and its place at an endpoint, for as long as the system bears it.
func (a *answerWriter) boundWriting(ctx context.Context, deadline time.Time) (release func()) {
	a.setWriteDeadline(deadline.Add(writingMargin))
	stop := context.AfterFunc(ctx, func() { a.setWriteDeadline(a.now().Add(endMargin)) })
	return func() {
		stop()
		a.setWriteDeadline(time.Time{})
	}
}

// setWriteDeadline bounds writing; the zero time bounds nothing. A connection that takes no deadline has ended, which the next write
// tells.
func (a *answerWriter) setWriteDeadline(until time.Time) {
	_ = a.controller.SetWriteDeadline(a.timerAt(until))
}

// timerAt is timer for a time, and the zero time, which bounds nothing, for that.
func (a *answerWriter) timerAt(at time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	return a.timer(at)
}

// letReadAnswer reads on while a caller may still be sending, so that it gets its answer.
func (a *answerWriter) letReadAnswer(body io.Reader) {
	// The connection closes afterwards in any case: where one of these fails, it does so without having been read.
	_ = a.flush()
	a.boundReading(a.now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, body, lingerBytes)
}

// pass writes the head of an endpoint's answer; length is -1 where it is not known.
func (a *answerWriter) pass(response *http.Response, length int64) {
	header := a.writer.Header()
	copyHeader(header, response.Header)
	for _, added := range []string{"Date", "Content-Type"} {
		if _, ok := header[added]; !ok {
			// A nil value keeps net/http from adding its own.
			header[added] = nil
		}
	}
	header.Del("Content-Length")
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	a.begin(response.StatusCode)
}

func (a *answerWriter) begin(status int) {
	a.status = status
	a.headAt = a.now()
	a.writer.WriteHeader(status)
}

func (a *answerWriter) write(content []byte) error {
	_, err := a.writer.Write(content)
	return err
}

func (a *answerWriter) flush() error {
	return a.controller.Flush()
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// copyHeader copies all headers but those that concern one connection.
func copyHeader(to, from http.Header) {
	named := make(map[string]bool)
	for _, line := range from["Connection"] {
		for _, name := range strings.Split(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range from {
		if !hopHeaders[name] && !named[name] {
			to[name] = append([]string(nil), values...)
		}
	}
}
