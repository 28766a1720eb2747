// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/modules/bounded"
	"github.com/shelfledge/shelfledge/modules/tcpstate"
)

const (
	// maxForeignAnswers is how many answers to other requests are skipped before a connection is closed. A higher value saves requests on a
	// connection that delivers earlier answers, a lower one detects sooner that it delivers nothing else.
	maxForeignAnswers = 3
	// maxSkippedBytes and skipTimeout bound the body of an answer to another request. Higher values save requests behind large or slow answers,
	// lower ones leave more time for another try.
	maxSkippedBytes = 1 << 20
	skipTimeout     = 2 * time.Second
)

// Call is a request to an endpoint.
type Call struct {
	Target  Target
	Request *http.Request
	// AnswersRequest reports whether the head of an answer belongs to this request; nil accepts every answer.
	AnswersRequest func(http.Header) bool
	// Identified reports whether the head of an answer tells its request; nil means that each does. A copy of an answer that does not may arrive
	// late and be taken for the next one, so that nothing may follow on its connection.
	Identified func(http.Header) bool
}

// Answer is the head of an endpoint's answer. Close must be called on it.
type Answer struct {
	Response      *http.Response
	client        *Client
	host          *host
	conn          *connection
	written       <-chan error
	detachContext func() bool
	framing       Framing
	bodyRead      bool
	// identified is set if the head tells which request the answer belongs to.
	identified bool
	once       sync.Once
}

// Do sends a request once and waits for the head of the answer. The exchange ends with the context, also while the body is read. Do returns
// ErrNoConnection or an ExchangeError.
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
	// Without a deadline, the zero time sets no limit. An error means that the connection is closed, so that sending and reading fail, too.
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	answer.detachContext = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	c.beginExchange(conn, call.Target)
	answer.written = conn.send(call.Request)
	conn.startSilenceTimer()
	response, err := readHead(conn, call) //nolint:bodyclose // Answer.Close ends the exchange with its connection.
	c.recordHead(ctx, conn, call.Target, err)
	if err != nil {
		c.endExchange(conn)
		answer.discard()
		return nil, &ExchangeError{Stage: Sent, Cause: err}
	}
	answer.Response, answer.framing = response, framingOf(response)
	answer.identified = call.Identified == nil || call.Identified(response.Header)
	return answer, nil
}

// recordHead reports how the first exchange of a connection over an own link began: with an answer, or with an error of the connection.
func (c *Client) recordHead(ctx context.Context, conn *connection, target Target, err error) {
	if err == nil {
		c.recordReceived(conn)
	}
	if conn.peer.IsValid() || conn.answered {
		return
	}
	paths := c.options.Paths
	switch {
	case err == nil:
		conn.answered = true
		if paths.Answered != nil {
			paths.Answered(target)
		}
	case ctx.Err() == nil && isConnectionFailure(err) && paths.Failed != nil:
		paths.Failed(target)
	}
}

// isConnectionFailure reports whether an exchange without a head was ended by its connection, not by the exchange's own deadline, by answers
// to other requests or by bytes without an end.
func isConnectionFailure(err error) bool {
	for _, other := range []error{os.ErrDeadlineExceeded, ErrForeignAnswer, bounded.ErrTooLong, bounded.ErrTooSlow} {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}

// send writes a request. A request with a body is written concurrently with the reading of the answer, since an endpoint may answer before
// it has read the body.
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

// readHead reads answers until it finds the head of the answer to the call.
func readHead(conn *connection, call Call) (*http.Response, error) {
	for range maxForeignAnswers {
		response, err := conn.reader.ReadResponse(call.Request)
		if err != nil {
			return nil, err
		}
		if call.AnswersRequest == nil || call.AnswersRequest(response.Header) {
			conn.recordKeepAlive(response.Header)
			return response, nil
		}
		if err := bounded.Discard(conn, response.Body, maxSkippedBytes, skipTimeout); err != nil {
			return nil, err
		}
		if response.Close {
			return nil, ErrForeignAnswer
		}
	}
	return nil, ErrForeignAnswer
}

// Peer returns the address of the instance through which the answer came; not valid for an answer over an own link.
func (a *Answer) Peer() netip.AddrPort {
	return a.conn.peer
}

// Read reads the body. io.EOF means that it was complete, or, with the framing ByClose, that the endpoint closed the connection.
func (a *Answer) Read(buffer []byte) (int, error) {
	n, err := a.Response.Body.Read(buffer)
	a.conn.recordActivity()
	if n > 0 {
		a.client.recordReceived(a.conn)
	}
	if err != io.EOF {
		return n, err
	}
	if a.framing == ByClose && a.endedDuringRequest() {
		return n, io.ErrUnexpectedEOF
	}
	a.bodyRead = true
	return n, err
}

// endedDuringRequest reports whether the connection ended otherwise than by a proper end while the request was being written. The write may
// have got the error instead of the read.
func (a *Answer) endedDuringRequest() bool {
	select {
	case err := <-a.written:
		if err == nil {
			return false
		}
	default:
	}
	return tcpstate.IsClosed(a.conn.Conn)
}

// Drain reads the rest of an answer within bounds, so that its connection can be used again. Beyond them the connection is closed by Close.
func (a *Answer) Drain(maxBytes int64, timeout time.Duration) error {
	return bounded.Discard(a.conn, a, maxBytes, timeout)
}

// Buffered reports whether more of the answer has arrived than was read.
func (a *Answer) Buffered() bool {
	return a.conn.reader.Buffered() > 0
}

// Close ends the exchange. The connection is reused only if the answer was read to its end and tells its request, no further bytes followed, and
// the whole request was written.
func (a *Answer) Close() {
	a.once.Do(func() {
		a.client.endExchange(a.conn)
		// If the context has ended, its callback may be about to change the connection's deadline.
		if a.reusable() && a.detachContext() && a.conn.stopProbes() {
			// An error means that the connection is closed, which the next exchange detects before it sends.
			_ = a.conn.SetDeadline(time.Time{})
			a.client.release(a.host, a.conn)
			return
		}
		a.discard()
	})
}

func (a *Answer) reusable() bool {
	if !a.bodyRead || a.Response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.framing == ByClose || !a.identified {
		return false
	}
	return a.requestWritten()
}

// writerTimeout is how long the end of an exchange waits for the goroutine that writes the body; usually it has finished and only not
// reported yet. A higher value keeps more connections, a lower one ends exchanges sooner.
const writerTimeout = 10 * time.Millisecond

// requestWritten reports whether the whole request was written.
func (a *Answer) requestWritten() bool {
	select {
	case err := <-a.written:
		// Checked first on its own: if the timer had fired as well, as on an overloaded host, select would choose between them at random.
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
	a.detachContext()
	a.conn.stopProbes()
	a.client.discard(a.host, a.conn)
}
