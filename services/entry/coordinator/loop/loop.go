// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loop

import "time"

// queueSize is the number of functions that may be queued before Post blocks.
const queueSize = 256

// Loop runs functions one after the other. It passes to each the current time at which it starts.
type Loop struct {
	// ObserveWait is called for each function with the time for which it was queued; nil for no call. It must be set before Run.
	ObserveWait func(time.Duration)

	calls chan queued
	done  chan struct{}
	now   func() time.Time
}

// queued is a function that waits to run.
type queued struct {
	call  func(now time.Time)
	since time.Time
}

// New returns a loop that is not running; now returns the current time.
func New(now func() time.Time) *Loop {
	return &Loop{calls: make(chan queued, queueSize), done: make(chan struct{}), now: now}
}

// Run executes queued functions, and tick at each interval, until stop is closed.
func (l *Loop) Run(stop <-chan struct{}, interval time.Duration, tick func(now time.Time)) {
	defer close(l.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case next := <-l.calls:
			l.run(next)
		case <-ticker.C:
			tick(l.now())
		}
	}
}

// run runs a queued function.
func (l *Loop) run(next queued) {
	now := l.now()
	if l.ObserveWait != nil {
		l.ObserveWait(now.Sub(next.since))
	}
	next.call(now)
}

// Post queues a function without waiting for it to run. It blocks while the queue is full. After the loop has ended, the function
// never runs.
func (l *Loop) Post(call func(now time.Time)) {
	select {
	case l.calls <- queued{call: call, since: l.now()}:
	case <-l.done:
	}
}

// Call queues a function and waits until it has run. It returns false if the loop has ended. Functions that run on the loop must
// not call it, since they would block forever.
func (l *Loop) Call(function func(now time.Time)) bool {
	ran := make(chan struct{})
	l.Post(func(now time.Time) {
		function(now)
		close(ran)
	})
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}

// Done returns a channel that is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} {
	return l.done
}
