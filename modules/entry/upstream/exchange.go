// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxForeignAnswers is how many answers to other requests, or interim ones, are passed over before a connection is given up. More save
// requests on a connection that brings earlier answers, fewer notice sooner that it brings nothing else.
const maxForeignAnswers = 3

// Call is one request to an endpoint.
type Call struct {
	Target  Target
	Request *http.Request
	// AnswersRequest reports whether the head of an answer is one to this request; nil accepts all.
	AnswersRequest func(http.Header) bool
}

// Answer is the head of an endpoint's answer; its body must be closed.
type Answer struct {
	Response *http.Response
	client   *Client
	host     *host
	conn     *connection
	written  <-chan error
	stop     func() bool
	ended    bool
	once     sync.Once
}

// Do sends a request once and waits for the head of its answer. The exchange, with the body,
// ends when the context does. Its errors are ErrNoConnection or an ExchangeError.
func (c *Client) Do(ctx context.Context, call Call) (*Answer, error) {
	conn, h, err := c.acquire(ctx, call.Target)
	if errors.Is(err, ErrNoConnection) {
		return nil, err
	}
	if err != nil {
		return nil, &ExchangeError{Stage: Connecting, Cause: err}
	}
	answer := &Answer{client: c, host: h, conn: conn}
	if err := ctx.Err(); err != nil {
		c.release(h, conn)
		return nil, &ExchangeError{Stage: Connecting, Cause: err}
	}
	// Without a deadline, the zero time bounds nothing. A connection that takes no deadline is closed, so that sending and
	// reading on it fail, too.
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	answer.stop = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	answer.written = conn.send(call.Request)
	conn.watch()
	response, err := readHead(conn, call) //nolint:bodyclose // Answer.Close ends the exchange with its connection.
	if err != nil {
		answer.discard()
		return nil, &ExchangeError{Stage: Sent, Cause: err}
	}
	answer.Response = response
	return answer, nil
}

// send writes a request; one with a body is written beside the reading of its answer, since
// an endpoint may answer before it has read the body.
func (c *connection) send(request *http.Request) <-chan error {
	written := make(chan error, 1)
	write := func() {
		err := request.Write(c.writer)
		if err == nil {
			err = c.writer.Flush()
		}
		written <- err
	}
	if request.Body == nil || request.Body == http.NoBody {
		write()
		return written
	}
	go write()
	return written
}

// readHead reads up to the head that answers the call.
func readHead(conn *connection, call Call) (*http.Response, error) {
	for range maxForeignAnswers {
		response, err := http.ReadResponse(conn.reader, call.Request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if call.AnswersRequest == nil || call.AnswersRequest(response.Header) {
			conn.noteKeepAlive(response.Header)
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		if response.Close {
			return nil, ErrForeignAnswer
		}
	}
	return nil, ErrForeignAnswer
}

// Read reads the body; io.EOF says that it was whole.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.Response.Body.Read(buffer)
	a.conn.heard()
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Buffered reports whether more of the answer has arrived than was read.
func (a *Answer) Buffered() bool {
	return a.conn.reader.Buffered() > 0
}

// Close ends the exchange. The connection is used again only if the answer was read to its
// end, nothing followed it, and the whole request was written.
func (a *Answer) Close() {
	a.once.Do(func() {
		// A stopped context may be about to spoil the connection's deadline.
		if a.reusable() && a.stop() && a.conn.endWatch() {
			// Should that fail, the connection is closed, which the next exchange sees before it sends.
			_ = a.conn.SetDeadline(time.Time{})
			a.client.release(a.host, a.conn)
			return
		}
		a.discard()
	})
}

func (a *Answer) reusable() bool {
	if !a.ended || a.Response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.Response.ContentLength < 0 && len(a.Response.TransferEncoding) == 0 {
		return false
	}
	return a.wroteWhole()
}

// writerTimeout is how long the end of an exchange waits for the goroutine that writes the body; mostly it has written and only not yet
// reported it. Longer keeps more connections, shorter ends exchanges sooner.
const writerTimeout = 10 * time.Millisecond

// wroteWhole reports whether the whole request was written.
func (a *Answer) wroteWhole() bool {
	select {
	case err := <-a.written:
		// Beside a timer that has fired as well, as on a starved host, this one would be taken by chance only.
		return err == nil
	default:
	}
	timer := time.NewTimer(writerTimeout)
	defer timer.Stop()
	select {
	case err := <-a.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

func (a *Answer) discard() {
	a.stop()
	a.conn.endWatch()
	a.client.discard(a.host, a.conn)
}
