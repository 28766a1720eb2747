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

// steppedClock holds the control goroutine at the time that it looks at the clock, before each function that it runs;
// other goroutines are never held.
type steppedClock struct {
	mutex sync.Mutex
	// held is nil while the clock goes on; a value on it lets the control goroutine run one function.
	held  chan struct{}
	ahead time.Duration
}

// confirmTrouble is the age of the last confirmation from which on a holder resigns.
const confirmTrouble = 800 * time.Millisecond

func (c *steppedClock) now() time.Time {
	c.mutex.Lock()
	held := c.held
	c.mutex.Unlock()
	if held != nil && onControlGoroutine() {
		<-held
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

// onControlGoroutine tells whether the caller's caller was called by the loop that runs the control functions.
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

// hold keeps the control goroutine from the next function on.
func (c *steppedClock) hold() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.held = make(chan struct{})
}

// step lets the control goroutine run one function.
func (c *steppedClock) step() {
	c.held <- struct{}{}
}

// goOn lets the control goroutine run.
func (c *steppedClock) goOn() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.held)
	c.held = nil
}

// heldAnswer keeps back the store's answer to the write by which the holder begins to order.
type heldAnswer struct {
	entered, answer chan struct{}
}

func newHeldAnswer() *heldAnswer {
	return &heldAnswer{entered: make(chan struct{}), answer: make(chan struct{})}
}

func (h *heldAnswer) around(commit commitFunc) commitFunc {
	return func(ctx context.Context, transaction store.Transaction) (int64, error) {
		revision, err := commit(ctx, transaction)
		if err == nil && beginsOrdering(transaction) {
			close(h.entered)
			<-h.answer
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

// mostSteps is how many functions the control goroutine runs, at most, before the answer comes: those of the hand-over and
// others that happen to be due.
const mostSteps = 10

// settlePause lets goroutines come to where they wait.
const settlePause = 5 * time.Millisecond

// interleave begins a hand-over while the answer to the write by which the holder begins to order is on its way, lets the
// control goroutine run some functions, and lets the answer come then. A hand-over that reads the record on
// another goroutine than the control goroutine reads it in the very moment of a write for one of these numbers.
func interleave(t *testing.T, handOver func(s *site, clock *steppedClock)) {
	t.Helper()
	for steps := range mostSteps {
		s, clock, held := newSite(), &steppedClock{}, newHeldAnswer()
		s.now, s.aroundCommit = clock.now, held.around
		s.start(t)
		<-held.entered
		clock.hold()
		handOver(s, clock)
		time.Sleep(settlePause)
		for range steps {
			clock.step()
			time.Sleep(settlePause)
		}
		close(held.answer)
		time.Sleep(settlePause)
		clock.goOn()
		s.control.Release(context.Background())
		record, found := s.store.record(t)
		require.True(t, found)
		whole := lease.Record{Holder: selfName, Address: selfAddress, Term: 1, Ordering: true, Released: record.Released}
		assert.Equal(t, whole, record, "after %d functions", steps)
		s.control.Stop()
	}
}

// TestAPlannedStopReadsItsRecordWhereItIsWritten fails under the race detector where a planned stop reads the record, or its
// revision, beside the control goroutine.
func TestAPlannedStopReadsItsRecordWhereItIsWritten(t *testing.T) {
	interleave(t, func(s *site, _ *steppedClock) {
		stopped := make(chan struct{})
		go func() {
			s.control.Release(context.Background())
			close(stopped)
		}()
		t.Cleanup(func() { <-stopped })
	})
}

// TestAResignationReadsItsRecordWhereItIsWritten does the same for a holder that the store does not answer.
func TestAResignationReadsItsRecordWhereItIsWritten(t *testing.T) {
	interleave(t, func(s *site, clock *steppedClock) {
		member := s.join(t)
		clock.advance(confirmTrouble)
		go func() { _ = member.Send(wireMessage{Report: &wireReport{Instance: "peer"}}) }()
		go drain(member)
	})
}
