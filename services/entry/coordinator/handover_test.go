// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"context"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/lease"
)

// steppedClock can block the control goroutine when it reads the clock, which it does before each function that it runs.
// Other goroutines never block.
type steppedClock struct {
	mutex sync.Mutex
	// gate is nil while the control goroutine may run freely. Each value sent on it lets the control goroutine run one
	// function.
	gate  chan struct{}
	ahead time.Duration
}

// confirmTrouble is the age of the last confirmation from which on a holder resigns.
const confirmTrouble = 800 * time.Millisecond

func (c *steppedClock) now() time.Time {
	c.mutex.Lock()
	gate := c.gate
	c.mutex.Unlock()
	if gate != nil && onControlGoroutine() {
		<-gate
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return time.Now().Add(c.ahead)
}

// advance sets the clock forward.
func (c *steppedClock) advance(span time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.ahead += span
}

// onControlGoroutine reports whether the control loop called the caller of the caller.
func onControlGoroutine() bool {
	const skipped, depth = 2, 3
	counters := make([]uintptr, depth)
	frames := runtime.CallersFrames(counters[:runtime.Callers(skipped, counters)])
	for {
		frame, more := frames.Next()
		if strings.HasSuffix(frame.Function, "loop.(*Loop).Run") {
			return true
		}
		if !more {
			return false
		}
	}
}

// hold blocks the control goroutine from its next function on.
func (c *steppedClock) hold() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.gate = make(chan struct{})
}

// step lets the control goroutine run one function.
func (c *steppedClock) step() {
	c.gate <- struct{}{}
}

// resume lets the control goroutine run freely.
func (c *steppedClock) resume() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.gate)
	c.gate = nil
}

// delayedAnswer delays the store's answer to the write that permits orders.
type delayedAnswer struct {
	entered, proceed chan struct{}
}

func newDelayedAnswer() *delayedAnswer {
	return &delayedAnswer{entered: make(chan struct{}), proceed: make(chan struct{})}
}

func (h *delayedAnswer) wrap(commit commitFunc) commitFunc {
	return func(ctx context.Context, transaction store.Transaction) (int64, error) {
		revision, err := commit(ctx, transaction)
		if err == nil && beginsOrdering(transaction) {
			close(h.entered)
			<-h.proceed
		}
		return revision, err
	}
}

func beginsOrdering(transaction store.Transaction) bool {
	for _, write := range transaction.Writes {
		if write.Key != recordKey {
			continue
		}
		record, err := lease.DecodeRecord(write.Value)
		return err == nil && record.Ordering && !record.Released
	}
	return false
}

// maxSteps is the maximum number of functions that the control goroutine runs before the answer arrives: those of the
// handover and others that may be due.
const maxSteps = 10

// settlePause is the time for goroutines to reach the point where they block.
const settlePause = 5 * time.Millisecond

// interleaveHandover begins a handover while the answer to the write that permits orders is delayed, lets the control
// goroutine run some functions, and then delivers the answer. It does so for each number of functions up to maxSteps. For
// one of these numbers, a handover that reads the record outside the control goroutine reads it at the time of a write.
func interleaveHandover(t *testing.T, handOver func(f *fixture, clock *steppedClock)) {
	t.Helper()
	for steps := range maxSteps {
		f, clock, delayed := newFixture(), &steppedClock{}, newDelayedAnswer()
		f.now, f.aroundCommit = clock.now, delayed.wrap
		f.start(t)
		<-delayed.entered
		clock.hold()
		handOver(f, clock)
		time.Sleep(settlePause)
		for range steps {
			clock.step()
			time.Sleep(settlePause)
		}
		close(delayed.proceed)
		time.Sleep(settlePause)
		clock.resume()
		f.instance.Release(context.Background())
		record, found := f.store.record(t)
		require.True(t, found)
		expected := lease.Record{Holder: selfName, Address: selfAddress, Term: 1, Ordering: true, Released: record.Released}
		assert.Equal(t, expected, record, "after %d functions", steps)
		f.instance.Stop()
	}
}

// TestReleaseAccessesRecordOnControlGoroutine fails under the race detector if Release reads the record or its revision
// outside the control goroutine.
func TestReleaseAccessesRecordOnControlGoroutine(t *testing.T) {
	interleaveHandover(t, func(f *fixture, _ *steppedClock) {
		stopped := make(chan struct{})
		go func() {
			f.instance.Release(context.Background())
			close(stopped)
		}()
		t.Cleanup(func() { <-stopped })
	})
}

// TestResignationAccessesRecordOnControlGoroutine is the same test for a holder that resigns because the store does not
// answer it.
func TestResignationAccessesRecordOnControlGoroutine(t *testing.T) {
	interleaveHandover(t, func(f *fixture, clock *steppedClock) {
		member := f.connectPeer(t)
		clock.advance(confirmTrouble)
		go func() { _ = member.Send(wireMessage{Report: &wireReport{Instance: "peer"}}) }()
		go drain(member)
	})
}
