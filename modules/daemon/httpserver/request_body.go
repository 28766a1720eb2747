// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package httpserver

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/shelfledge/shelfledge/modules/bounded"
)

// requestBody is the body of a request, read by its handler within a time.
type requestBody struct {
	io.ReadCloser
	controller *http.ResponseController
	timeout    time.Duration
	now        func() time.Time
	// begun is set once the handler reads, ended once it has read to the end.
	begun, ended bool
}

// Read implements io.Reader. The deadline ends with the body: net/http watches the connection while the request runs.
func (b *requestBody) Read(buffer []byte) (int, error) {
	if !b.begun {
		b.begun = true
		b.setReadDeadline(b.now().Add(b.timeout))
	}
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		b.ended = true
		b.setReadDeadline(time.Time{})
	}
	return n, err
}

// setReadDeadline sets the deadline for reading. Errors are ignored: a connection that accepts no deadline is closed, and the next read
// returns the error.
func (b *requestBody) setReadDeadline(deadline time.Time) {
	_ = b.controller.SetReadDeadline(deadline)
}

// boundBody wraps a handler: the body of a request is read within a time, and what its handler left of it is read after the response, so that
// the caller gets the response.
func boundBody(serve http.HandlerFunc, timeout time.Duration, now func() time.Time) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if request.Body == nil || request.Body == http.NoBody {
			serve(writer, request)
			return
		}
		body := &requestBody{ReadCloser: request.Body, controller: http.NewResponseController(writer), timeout: timeout, now: now}
		request.Body = body
		serve(writer, request)
		if body.ended || body.controller.Flush() != nil {
			return
		}
		bounded.Linger(request.Context(), body.ReadCloser, body.setReadDeadline, now)
	}
}
