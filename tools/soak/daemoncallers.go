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
	// mostTokens bounds the length of a stream, in tokens of one engine step each; longTokens is that of the long ones.
	mostTokens = 60
	longTokens = 250
	// restTime bounds the pause of a caller between two requests.
	restTime = 400 * time.Millisecond
	// daemonPatience is how long a caller waits for the end of an answer.
	daemonPatience = 40 * time.Second
	// popularSkew and popularOffset make few adapters popular.
	popularSkew   = 1.1
	popularOffset = 2
	// onceShare is the share of requests that must not run twice, longShare that of long streams, wholeShare that of answers in one piece.
	onceShare  = 0.4
	longShare  = 0.05
	wholeShare = 0.2
)

// daemonCrowd is the callers of daemons.
type daemonCrowd struct {
	balancer *traffic.Balancer
	args     arguments
	tasks    sync.WaitGroup

	mutex    sync.Mutex
	attempts []ledger.Attempt
}

func newDaemonCrowd(balancer *traffic.Balancer, args arguments) *daemonCrowd {
	return &daemonCrowd{balancer: balancer, args: args}
}

// start has all callers send until the context ends.
func (c *daemonCrowd) start(ctx context.Context) {
	for number := range c.args.Callers {
		one := newDaemonCaller(c, number)
		c.tasks.Go(func() { one.run(ctx) })
	}
}

// wait gives all attempts once the callers have ended.
func (c *daemonCrowd) wait() []ledger.Attempt {
	c.tasks.Wait()
	return c.attempts
}

func (c *daemonCrowd) note(a ledger.Attempt) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.attempts = append(c.attempts, a)
}

// daemonCaller keeps one connection, and stays with its daemon until that connection fails or the daemon refuses.
type daemonCaller struct {
	crowd   *daemonCrowd
	number  int
	random  *rand.Rand
	popular *rand.Zipf
	client  *http.Client
	target  traffic.Target
}

func newDaemonCaller(crowd *daemonCrowd, number int) *daemonCaller {
	random := rand.New(rand.NewPCG(crowd.args.Seed, uint64(number)))
	return &daemonCaller{
		crowd: crowd, number: number, random: random, popular: rand.NewZipf(random, popularSkew, popularOffset, daemonAdapters-1),
		client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}, target: crowd.balancer.Pick(random),
	}
}

// run sends one request after the other until the context ends; the last one is waited for.
func (c *daemonCaller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for turn := 0; ctx.Err() == nil; turn++ {
		rest := c.send(c.draw(turn))
		select {
		case <-ctx.Done():
		case <-time.After(rest + time.Duration(c.random.Float64()*float64(restTime))):
		}
	}
}

// draw draws the next request.
func (c *daemonCaller) draw(turn int) standin.Call {
	call := standin.Call{
		ID: fmt.Sprintf("call-%d-%d", c.number, turn), Class: []string{"kiosk", "traveller", "overnight"}[c.random.IntN(3)], Caller: "soak",
		Model: standin.Adapter(int(c.popular.Uint64()), 1+c.random.IntN(standin.AdapterVersions)), Tokens: 1 + c.random.IntN(mostTokens),
		Once: c.random.Float64() < onceShare, NonStreaming: c.random.Float64() < wholeShare, Client: c.client,
	}
	if c.random.Float64() < longShare {
		call.Tokens = longTokens
	}
	return call
}

// send sends one request and notes what became of it; rest is how long its daemon asks the caller to wait.
func (c *daemonCaller) send(call standin.Call) (rest time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), daemonPatience)
	defer cancel()
	attempt := ledger.Attempt{ID: call.ID, Kind: ledger.Resumable, Path: "/" + call.Model, Instance: c.target.Name, Began: time.Now(), Patience: daemonPatience}
	if call.Once {
		attempt.Kind = ledger.Unsafe
	}
	attempt.Sent = attempt.Began
	answer := call.Send(ctx, c.target.Callers)
	attempt.Ended, attempt.Status = time.Now(), answer.Status
	attempt.Outcome, attempt.Cause = judgeAnswer(answer)
	attempt.Wrong = wrongWith(call, answer)
	c.crowd.note(attempt)
	if attempt.Outcome != ledger.Whole {
		c.target = c.crowd.balancer.Pick(c.random)
	}
	return answer.RetryAfter
}

// judgeAnswer gives how an attempt ended for its caller, and why.
func judgeAnswer(a standin.Answer) (outcome ledger.Outcome, cause string) {
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
		return ledger.Left, a.Err.Error()
	case a.Err != nil:
		return ledger.Closed, a.Err.Error()
	default:
		return ledger.Closed, "the stream ended without its end"
	}
}

// wrongWith says what is wrong with an answer, or with the beginning of one; empty for nothing.
func wrongWith(call standin.Call, a standin.Answer) string {
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
