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

// Options are what all callers of a soak share.
type Options struct {
	Balancer *Balancer
	// Record takes each attempt at its end.
	Record func(ledger.Attempt)
	// IdleLimit is the idle limit in force, Added the prefixes of routes that were added.
	IdleLimit func() time.Duration
	Added     func() []string
	// LongPauses is the share of callers, 0 to 1, that rest for seconds; EdgePauses that of those that rest for the idle limit, give
	// or take a few milliseconds.
	LongPauses, EdgePauses float64
	// Blind is the share of callers that do not look whether their connection was closed.
	Blind float64
	// Odd is the share of requests that are sent in pieces or malformed, or whose callers leave.
	Odd float64
	// Patient is the share of requests whose callers stay to their deadline: streams with long pauses, and large ones that are read
	// slowly. With 0, a seed gives the requests of before they came.
	Patient float64
}

// rest is how a caller pauses between two requests.
type rest int

const (
	restShort rest = iota
	restLong
	restEdge
)

const (
	// shortRest and longRest bound pauses; edgeSpread is how near to the idle limit the callers at its edge come back.
	shortRest  = 400 * time.Millisecond
	longRest   = 6 * time.Second
	edgeSpread = 2 * time.Millisecond
	// polite is the part of the idle limit for which a caller that knows it rests at most: the platform's own.
	polite = 0.8
	// beyondPatience is how long a caller waits for the end after its own deadline, to see by how much it is late.
	beyondPatience = 700 * time.Millisecond
	// trickle is the pause between two pieces of a request.
	trickle = 30 * time.Millisecond
	// mostRetryAfter bounds how long a refused caller waits before it comes back.
	mostRetryAfter = 1500 * time.Millisecond
)

// Caller sends one request after the other.
type Caller struct {
	options Options
	random  *rand.Rand
	rest    rest
	blind   bool
	conn    *connection
}

// NewCaller makes a caller whose habits come from its random numbers.
func NewCaller(options Options, random *rand.Rand) *Caller {
	c := &Caller{options: options, random: random, blind: random.Float64() < options.Blind}
	switch share := random.Float64(); {
	case share < options.EdgePauses:
		c.rest = restEdge
	case share < options.EdgePauses+options.LongPauses:
		c.rest = restLong
	}
	return c
}

// Run sends requests until the context ends; the last one is awaited.
func (c *Caller) Run(ctx context.Context) {
	defer c.drop()
	for c.pause(ctx, c.nextRest()) {
		attempt, wait := c.try()
		c.options.Record(attempt)
		if wait <= 0 || !c.pause(ctx, wait) {
			continue
		}
		again, _ := c.try()
		c.options.Record(again)
	}
}

// pause waits, and reports false once the context has ended.
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

// nextRest draws a pause. A caller that rests long keeps within the part of the idle limit that the platform's callers keep to.
func (c *Caller) nextRest() time.Duration {
	switch c.rest {
	case restLong:
		limit := min(longRest, time.Duration(polite*float64(c.options.IdleLimit())))
		return time.Duration(c.random.Float64() * float64(limit))
	case restEdge:
		off := time.Duration((2*c.random.Float64() - 1) * float64(edgeSpread))
		return c.options.IdleLimit() + off
	default:
		return time.Duration(c.random.Float64() * float64(shortRest))
	}
}

func (c *Caller) drop() {
	if c.conn != nil {
		c.conn.giveUp()
		c.conn = nil
	}
}

// try sends one request, and tells after what time a refused caller comes back.
func (c *Caller) try() (ledger.Attempt, time.Duration) {
	q := c.draw()
	odd := c.random.Float64() < c.options.Odd
	a := ledger.Attempt{ID: q.id, Kind: q.kind, Path: q.path, Adapter: q.adapter, Patience: q.patience, Began: time.Now()}
	if err := c.connect(&a); err != nil {
		a.Outcome, a.Cause, a.Ended = ledger.Unreached, err.Error(), time.Now()
		return a, shortRest
	}
	a.Instance, a.Connection, a.Use = c.conn.target.Name, c.conn.LocalAddr().String(), c.conn.uses
	a.Rested = time.Since(c.conn.since)
	c.conn.uses++
	a.Began = time.Now()
	c.write(q, &a, odd)
	a.Sent = time.Now()
	wait := c.read(q, &a, odd)
	a.Ended = time.Now()
	if c.conn != nil {
		c.conn.since = a.Ended
	}
	return a, wait
}

// draw draws the next request.
func (c *Caller) draw() *request {
	if c.options.Patient > 0 && c.random.Float64() < c.options.Patient {
		return drawPatient(c.random)
	}
	return draw(c.random, c.options.Added())
}

// connect takes the kept connection, or opens one where there is none or the caller sees that it has ended.
func (c *Caller) connect(a *ledger.Attempt) error {
	if c.conn != nil && c.conn.reader.Buffered() > 0 {
		a.Wrong = "bytes that belong to no request came before it"
	}
	if c.conn != nil && c.conn.hasEnded() {
		if c.blind {
			a.ClosedBefore = true
			return nil
		}
		c.drop()
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

// write sends a request, in pieces if it is an odd one. What cannot be written shows in the reading.
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
	_ = c.conn.SetDeadline(a.Began.Add(q.patience + beyondPatience))
	for size := len(text)/pieces + 1; len(text) > 0; {
		n := min(size, len(text))
		if _, err := io.WriteString(c.conn, text[:n]); err != nil {
			return
		}
		if text = text[n:]; len(text) > 0 {
			time.Sleep(trickle)
		}
	}
}

// read reads the answer and notes the outcome.
func (c *Caller) read(q *request, a *ledger.Attempt, odd bool) time.Duration {
	if odd && c.random.IntN(4) == 0 {
		time.Sleep(time.Duration(c.random.Float64() * float64(shortRest)))
		a.Outcome, a.OnPlan = ledger.Left, true
		if c.random.IntN(2) == 0 {
			// Its end is a reset. One that has ended needs none.
			_ = c.conn.SetLinger(0)
		}
		c.drop()
		return 0
	}
	response, err := http.ReadResponse(c.conn.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		c.broken(a, err)
		return 0
	}
	time.Sleep(q.slow)
	body, err := io.ReadAll(response.Body)
	// The body is read to its end or to an error: closing it changes nothing.
	_ = response.Body.Close()
	a.Status = response.StatusCode
	if err != nil {
		c.broken(a, err)
		return 0
	}
	seal := response.Header.Get(platformstandin.HeaderSeal)
	wait := c.judge(q, a, response, seal, string(body))
	if response.Close || a.Malformed {
		c.drop()
	}
	return wait
}

// broken notes a connection that ended without a whole answer, or an answer that did not come in time.
func (c *Caller) broken(a *ledger.Attempt, err error) {
	a.Outcome, a.Cause = ledger.Closed, err.Error()
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		a.Outcome = ledger.Left
	}
	c.drop()
}

// judge notes the outcome of a whole answer.
func (c *Caller) judge(q *request, a *ledger.Attempt, response *http.Response, seal, body string) time.Duration {
	switch {
	case response.StatusCode < http.StatusMultipleChoices:
		a.Outcome = ledger.Whole
		a.Wrong = q.wrong(seal, response.Header.Get(platformstandin.HeaderRequestID), body)
		return 0
	case seal == "" && refuses(response.StatusCode):
		a.Outcome, a.Cause = ledger.Refused, strings.TrimSpace(body)
		return retryAfter(response.Header)
	default:
		a.Outcome, a.Cause = ledger.Failed, strings.TrimSpace(body)
		return 0
	}
}

// refuses reports whether a status promises that the request did not run.
func refuses(status int) bool {
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
	return min(mostRetryAfter, time.Duration(seconds*float64(time.Second)))
}

// Crowd is all callers of a soak.
type Crowd struct {
	running sync.WaitGroup
}

// Start starts a number of callers, each with random numbers of its own, until the context ends.
func (c *Crowd) Start(ctx context.Context, options Options, seed uint64, count int) {
	for i := range count {
		caller := NewCaller(options, rand.New(rand.NewPCG(seed, uint64(i)+1)))
		c.running.Go(func() { caller.Run(ctx) })
	}
}

// Wait waits until all callers have their last answer.
func (c *Crowd) Wait() {
	c.running.Wait()
}
