// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loop_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/loop"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// startLoop runs a loop without ticks until the test ends or stop is called.
func startLoop(t *testing.T) (running *loop.Loop, stop func()) {
	t.Helper()
	running = loop.New(func() time.Time { return start })
	ended := make(chan struct{})
	stop = sync.OnceFunc(func() { close(ended); <-running.Done() })
	go running.Run(ended, time.Hour, func(time.Time) {})
	t.Cleanup(stop)
	return running, stop
}

func TestFunctionsRunInOrder(t *testing.T) {
	running, _ := startLoop(t)
	var order []int
	for i := range 100 {
		running.Post(func(now time.Time) {
			assert.Equal(t, start, now)
			order = append(order, i)
		})
	}
	require.True(t, running.Call(func(time.Time) { order = append(order, 100) }))
	for i, number := range order {
		assert.Equal(t, i, number)
	}
	assert.Len(t, order, 101)
}

func TestConcurrentCallsAreSerialized(t *testing.T) {
	running, _ := startLoop(t)
	count := 0
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 100 {
				running.Call(func(time.Time) { count++ })
			}
		})
	}
	callers.Wait()
	running.Call(func(time.Time) { assert.Equal(t, 800, count) })
}

func TestEndedLoopBlocksNoCaller(t *testing.T) {
	running, stop := startLoop(t)
	stop()
	assert.False(t, running.Call(func(time.Time) { assert.Fail(t, "the loop has ended") }))
	for range 1000 {
		running.Post(func(time.Time) {})
	}
	select {
	case <-running.Done():
	default:
		assert.Fail(t, "Done is not closed after the end")
	}
}

func TestPendingCallReturnsWhenLoopEnds(t *testing.T) {
	running, stop := startLoop(t)
	begun, held := make(chan struct{}), make(chan struct{})
	running.Post(func(time.Time) { close(begun); <-held })
	<-begun
	result := make(chan bool)
	go func() { result <- running.Call(func(time.Time) {}) }()
	go stop()
	close(held)
	<-result
}

func TestTicksRunAtInterval(t *testing.T) {
	running := loop.New(time.Now)
	ended, ticks := make(chan struct{}), make(chan time.Time)
	go running.Run(ended, time.Millisecond, func(now time.Time) {
		select {
		case ticks <- now:
		case <-ended:
		}
	})
	first := <-ticks
	second := <-ticks
	assert.True(t, second.After(first))
	close(ended)
	<-running.Done()
}
