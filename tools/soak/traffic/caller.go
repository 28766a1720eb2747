// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package traffic

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

// Options are the options that all callers of a soak share.
type Options struct {
	Balancer *Balancer
	// Record is called with each attempt when the attempt has ended.
	Record func(ledger.Attempt)
	// IdleLimit returns the idle limit in force, and AddedPrefixes the prefixes of the routes that were added.
	IdleLimit     func() time.Duration
	AddedPrefixes func() []string
	// LongPauses is the share of callers, 0 to 1, that pause for seconds between requests. EdgePauses is the share of callers that pause
	// for the idle limit, plus or minus up to edgeSpread.
	LongPauses, EdgePauses float64
	// Blind is the share of callers that reuse a connection without checking whether the instance has closed it.
	Blind float64
	// Odd is the share of requests that are sent in pieces or malformed, or whose callers close the connection early.
	Odd float64
	// Patient is the share of requests whose callers wait until their deadline: streams with long pauses, and large streams that are read
	// slowly. With 0, no random numbers are drawn for these requests, so that the other requests of a seed stay the same.
	Patient float64
	// TakeUp is the share of resumable streams whose callers lose their connection in the middle. Callers take up these and all others that
	// break. With 0, callers take up none, and no random numbers are drawn for it.
	TakeUp float64
	// Lasting is the share of requests that are streams of seconds, which callers take up where they break. With 0, no random numbers are drawn
	// for it.
	Lasting float64
}

// pauseKind is the kind of a caller's pauses between two requests.
type pauseKind int

const (
	pauseShort pauseKind = iota
	pauseLong
	pauseEdge
)

const (
	// maxShortPause and maxLongPause bound pauses. edgeSpread is the greatest difference between an edge pause and the idle limit.
	maxShortPause = 400 * time.Millisecond
	maxLongPause  = 6 * time.Second
	edgeSpread    = 2 * time.Millisecond
	// idleShare is the part of the idle limit that bounds a long pause. The platform's own callers use the same share.
	idleShare = 0.8
	// deadlineMargin is how long a caller waits for the end of an answer after its own deadline, to measure by how much the end is late.
	deadlineMargin = 700 * time.Millisecond
	// pieceDelay is the pause between two pieces of a request.
	pieceDelay = 30 * time.Millisecond
	// maxRetryAfter bounds how long a refused caller waits before it retries.
	maxRetryAfter = 1500 * time.Millisecond
)

// Caller sends one request after the other over a persistent connection.
type Caller struct {
	options   Options
	random    *rand.Rand
	pauseKind pauseKind
	blind     bool
	conn      *connection
}

// NewCaller returns a caller whose behavior is drawn from random.
func NewCaller(options Options, random *rand.Rand) *Caller {
	c := &Caller{options: options, random: random, blind: random.Float64() < options.Blind}
	switch share := random.Float64(); {
	case share < options.EdgePauses:
		c.pauseKind = pauseEdge
	case share < options.EdgePauses+options.LongPauses:
		c.pauseKind = pauseLong
	}
	return c
}

// Run sends requests until the context ends. It waits for the answer to the last request.
func (c *Caller) Run(ctx context.Context) {
	defer c.closeConnection()
	for c.pause(ctx, c.nextPause()) {
		q := c.draw()
		if c.takesUp(q) {
			c.followStream(ctx, q)
			continue
		}
		attempt, wait := c.sendRequest(q, c.random.Float64() < c.options.Odd)
		c.options.Record(attempt)
		if wait <= 0 || !c.pause(ctx, wait) {
			continue
		}
		again, _ := c.sendRequest(c.draw(), c.random.Float64() < c.options.Odd)
		c.options.Record(again)
	}
}

// pause waits for the span. It returns false if the context ends first.
func (c *Caller) pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// nextPause returns the next pause, drawn by the caller's pauseKind. Long pauses stay within idleShare of the idle limit.
func (c *Caller) nextPause() time.Duration {
	switch c.pauseKind {
	case pauseLong:
		limit := min(maxLongPause, time.Duration(idleShare*float64(c.options.IdleLimit())))
		return time.Duration(c.random.Float64() * float64(limit))
	case pauseEdge:
		off := time.Duration((2*c.random.Float64() - 1) * float64(edgeSpread))
		return c.options.IdleLimit() + off
	default:
		return time.Duration(c.random.Float64() * float64(maxShortPause))
	}
}

func (c *Caller) closeConnection() {
	if c.conn != nil {
		c.conn.discard()
		c.conn = nil
	}
}

// sendRequest sends a request and reads the answer. It returns the attempt and the time after which a refused caller retries, or 0
// if the caller does not retry.
func (c *Caller) sendRequest(q *request, odd bool) (ledger.Attempt, time.Duration) {
	a := ledger.Attempt{
		ID: q.id, Kind: q.kind, Path: q.path, Adapter: q.adapter, Timeout: q.callTimeout, Began: time.Now(), Stream: q.firstTry, LastEvent: q.lastEvent,
	}
	if err := c.connect(&a); err != nil {
		a.Outcome, a.Cause, a.Ended = ledger.Unreached, err.Error(), time.Now()
		return a, maxShortPause
	}
	a.Instance, a.Connection, a.Use = c.conn.target.Name, c.conn.LocalAddr().String(), c.conn.uses
	a.IdleTime = time.Since(c.conn.idleSince)
	c.conn.uses++
	a.Began = time.Now()
	c.write(q, &a, odd)
	a.Sent = time.Now()
	wait := c.read(q, &a, odd)
	a.Ended = time.Now()
	if c.conn != nil {
		c.conn.idleSince = a.Ended
	}
	return a, wait
}

// draw returns the next request, drawn from the caller's random numbers.
func (c *Caller) draw() *request {
	if c.options.Patient > 0 && c.random.Float64() < c.options.Patient {
		return drawPatient(c.random)
	}
	if c.options.Lasting > 0 && c.random.Float64() < c.options.Lasting {
		return drawLasting(c.random)
	}
	return draw(c.random, c.options.AddedPrefixes())
}

// connect ensures that the caller has a connection. It opens a new one if there is none or if the caller detects that the instance has
// closed it. A blind caller keeps a closed connection.
func (c *Caller) connect(a *ledger.Attempt) error {
	if c.conn != nil && c.conn.reader.Buffered() > 0 {
		a.Defect = "bytes that belong to no request came before it"
	}
	if c.conn != nil && c.conn.closedByPeer() {
		if c.blind {
			a.ClosedBefore = true
			return nil
		}
		c.closeConnection()
	}
	if c.conn != nil {
		return nil
	}
	conn, err := dial(c.options.Balancer.Pick(c.random))
	if err != nil {
		return err
	}
	c.conn = conn
	return nil
}

// write sends a request, in pieces if the request is odd. An error of writing is not returned, because reading the answer fails as well.
func (c *Caller) write(q *request, a *ledger.Attempt, odd bool) {
	text := q.head() + q.payload()
	pieces := 1
	if odd {
		pieces = 1 + c.random.IntN(4)
		if q.chunked && c.random.IntN(8) == 0 {
			q.malformed, a.Malformed = true, true
			text = q.head() + q.payload()
		}
	}
	_ = c.conn.SetDeadline(a.Began.Add(q.callTimeout + deadlineMargin))
	for size := len(text)/pieces + 1; len(text) > 0; {
		n := min(size, len(text))
		if _, err := io.WriteString(c.conn, text[:n]); err != nil {
			return
		}
		if text = text[n:]; len(text) > 0 {
			time.Sleep(pieceDelay)
		}
	}
}

// read reads the answer and sets the outcome of the attempt. It returns the time after which the caller retries.
func (c *Caller) read(q *request, a *ledger.Attempt, odd bool) time.Duration {
	if odd && c.random.IntN(4) == 0 {
		time.Sleep(time.Duration(c.random.Float64() * float64(maxShortPause)))
		a.Outcome, a.PlannedClose = ledger.Abandoned, true
		if c.random.IntN(2) == 0 {
			// Close with a reset in place of an orderly close. An error means that the connection has already ended.
			_ = c.conn.SetLinger(0)
		}
		c.closeConnection()
		return 0
	}
	response, err := http.ReadResponse(c.conn.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.recordFailure(a, err)
		return 0
	}
	time.Sleep(q.readDelay)
	body, err := q.readBody(response.Body)
	if errors.Is(err, errDropped) {
		c.closeConnection()
	}
	// The body has been read to its end or to an error, so that an error of closing it does not matter.
	_ = response.Body.Close()
	a.Status, a.Framing = response.StatusCode, framingOf(response)
	seal := response.Header.Get(platformstandin.HeaderSeal)
	if a.Status < http.StatusMultipleChoices {
		body = q.takeMakers(a, body)
	}
	if err != nil {
		if a.Status < http.StatusMultipleChoices {
			a.Defect = q.partDefect(seal, body)
		}
		c.recordFailure(a, err)
		return 0
	}
	wait := c.classify(q, a, response, seal, body)
	if response.Close || a.Malformed {
		c.closeConnection()
	}
	return wait
}

// recordFailure sets the outcome of an attempt whose connection ended without a whole answer or whose answer did not arrive in time, and
// closes the connection.
func (c *Caller) recordFailure(a *ledger.Attempt, err error) {
	a.Outcome, a.Cause = ledger.Closed, err.Error()
	if errors.Is(err, errDropped) {
		a.Outcome, a.PlannedClose = ledger.Abandoned, true
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		a.Outcome = ledger.Abandoned
	}
	c.closeConnection()
}

// classify sets the outcome of an attempt with a whole answer. It returns the time after which the caller retries.
func (c *Caller) classify(q *request, a *ledger.Attempt, response *http.Response, seal, body string) time.Duration {
	switch {
	case response.StatusCode < http.StatusMultipleChoices:
		a.Outcome = ledger.Whole
		a.Defect = q.answerDefect(seal, response.Header.Get(platformstandin.HeaderRequestID), body)
		a.EndsEarly = a.Defect != "" && q.endsBetweenEvents(body)
		return 0
	case guaranteesNotRun(response.StatusCode):
		// Also under the seal of an endpoint: callers go by the status.
		a.Outcome, a.Cause = ledger.Refused, strings.TrimSpace(body)
		return retryAfter(response.Header)
	default:
		a.Outcome, a.Cause = ledger.Failed, strings.TrimSpace(body)
		return 0
	}
}

// framingOf returns how an answer tells where it ends.
func framingOf(response *http.Response) ledger.Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return ledger.FramedByChunks
	case response.ContentLength >= 0:
		return ledger.FramedByLength
	}
	return ledger.FramedByClose
}

// guaranteesNotRun reports whether a status guarantees that the request did not run.
func guaranteesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return min(maxRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// CallerGroup runs all callers of a soak.
type CallerGroup struct {
	running sync.WaitGroup
}

// Start starts count callers, each with random numbers of its own. They send requests until the context ends.
func (c *CallerGroup) Start(ctx context.Context, options Options, seed uint64, count int) {
	for i := range count {
		caller := NewCaller(options, rand.New(rand.NewPCG(seed, uint64(i)+1)))
		c.running.Go(func() { caller.Run(ctx) })
	}
}

// Wait returns when all callers have received their last answer.
func (c *CallerGroup) Wait() {
	c.running.Wait()
}
