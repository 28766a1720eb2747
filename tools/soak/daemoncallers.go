// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/tests/standin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
	"github.com/shelfledge/shelfledge/tools/soak/traffic"
)

const (
	// maxTokens bounds the length of a usual stream and longTokens is the length of a long one, in tokens. An engine produces one token
	// a step.
	maxTokens  = 60
	longTokens = 250
	// maxPause bounds the pause of a caller between two requests.
	maxPause = 400 * time.Millisecond
	// daemonCallTimeout is how long a caller waits for the end of an answer.
	daemonCallTimeout = 40 * time.Second
	// popularSkew and popularOffset are the parameters of the Zipf distribution by which a few adapters get most requests.
	popularSkew   = 1.1
	popularOffset = 2
	// onceShare is the share of requests that must not run twice, longShare the share of long streams, and wholeShare the share of
	// requests whose answer is not streamed.
	onceShare  = 0.4
	longShare  = 0.05
	wholeShare = 0.2
)

// daemonCallers runs all callers of the daemons and collects their attempts.
type daemonCallers struct {
	balancer *traffic.Balancer
	args     arguments
	tasks    sync.WaitGroup

	mutex    sync.Mutex
	attempts []ledger.Attempt
}

func newDaemonCallers(balancer *traffic.Balancer, args arguments) *daemonCallers {
	return &daemonCallers{balancer: balancer, args: args}
}

// start starts all callers, which send requests until the context ends.
func (c *daemonCallers) start(ctx context.Context) {
	for number := range c.args.Callers {
		one := newDaemonCaller(c, number)
		c.tasks.Go(func() { one.run(ctx) })
	}
}

// wait waits for all callers to end and returns their attempts.
func (c *daemonCallers) wait() []ledger.Attempt {
	c.tasks.Wait()
	return c.attempts
}

func (c *daemonCallers) record(a ledger.Attempt) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.attempts = append(c.attempts, a)
}

// daemonCaller sends requests to one daemon over one connection. After a request without a whole answer, it picks a daemon anew.
type daemonCaller struct {
	callers *daemonCallers
	number  int
	random  *rand.Rand
	popular *rand.Zipf
	client  *http.Client
	target  traffic.Target
}

func newDaemonCaller(callers *daemonCallers, number int) *daemonCaller {
	random := rand.New(rand.NewPCG(callers.args.Seed, uint64(number)))
	return &daemonCaller{
		callers: callers, number: number, random: random, popular: rand.NewZipf(random, popularSkew, popularOffset, daemonAdapters-1),
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}, target: callers.balancer.Pick(random),
	}
}

// run sends one request after the other until the context ends. It waits for the answer to the last request.
func (c *daemonCaller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for turn := 0; ctx.Err() == nil; turn++ {
		rest := c.send(c.draw(turn))
		select {
		case <-ctx.Done():
		case <-time.After(rest + time.Duration(c.random.Float64()*float64(maxPause))):
		}
	}
}

// draw returns the next request, drawn from the caller's random numbers.
func (c *daemonCaller) draw(turn int) standin.Call {
	call := standin.Call{
		ID: fmt.Sprintf("call-%d-%d", c.number, turn), Class: []string{"kiosk", "traveller", "overnight"}[c.random.IntN(3)], Caller: "soak",
		Model: standin.Adapter(int(c.popular.Uint64()), 1+c.random.IntN(standin.AdapterVersions)), Tokens: 1 + c.random.IntN(maxTokens),
		Once: c.random.Float64() < onceShare, NonStreaming: c.random.Float64() < wholeShare, Client: c.client,
	}
	if c.random.Float64() < longShare {
		call.Tokens = longTokens
	}
	return call
}

// send sends one request and records the attempt. The result is the Retry-After time of the answer.
func (c *daemonCaller) send(call standin.Call) (rest time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), daemonCallTimeout)
	defer cancel()
	attempt := ledger.Attempt{ID: call.ID, Kind: ledger.Resumable, Path: "/" + call.Model, Instance: c.target.Name, Began: time.Now(), Timeout: daemonCallTimeout}
	if call.Once {
		attempt.Kind = ledger.Unsafe
	}
	attempt.Sent = attempt.Began
	answer := call.Send(ctx, c.target.Callers)
	attempt.Ended, attempt.Status = time.Now(), answer.Status
	attempt.Outcome, attempt.Cause = classifyAnswer(answer)
	attempt.Defect = answerDefect(call, answer)
	c.callers.record(attempt)
	if attempt.Outcome != ledger.Whole {
		c.target = c.callers.balancer.Pick(c.random)
	}
	return answer.RetryAfter
}

// classifyAnswer returns the outcome of an attempt for its caller and the cause of that outcome.
func classifyAnswer(a standin.Answer) (outcome ledger.Outcome, cause string) {
	var refused *net.OpError
	switch {
	case a.Done:
		return ledger.Whole, ""
	case a.Outcome == "not_run":
		return ledger.Refused, a.ErrorCode
	case a.Outcome != "" || a.Status >= http.StatusBadRequest:
		return ledger.Failed, a.Outcome + " " + a.ErrorCode
	case errors.As(a.Err, &refused) && refused.Op == "dial":
		return ledger.Unreached, a.Err.Error()
	case errors.Is(a.Err, context.DeadlineExceeded):
		return ledger.Abandoned, a.Err.Error()
	case a.Err != nil:
		return ledger.Closed, a.Err.Error()
	default:
		return ledger.Closed, "the stream ended without its end"
	}
}

// answerDefect describes the error in a whole or partial answer. It returns an empty string for a correct one.
func answerDefect(call standin.Call, a standin.Answer) string {
	expected := call.ExpectedText()
	switch {
	case !strings.HasPrefix(expected, a.Text):
		return fmt.Sprintf("%q in place of %q", a.Text, expected)
	case a.Done && a.Text != expected:
		return fmt.Sprintf("only %d of %d bytes", len(a.Text), len(expected))
	case a.Done && a.Model != call.Model:
		return fmt.Sprintf("of %q in place of %q", a.Model, call.Model)
	default:
		return ""
	}
}
