// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import "time"

// loopQueue is how many calls may wait for the control goroutine.
const loopQueue = 256

// loop runs functions one after the other on the control goroutine.
type loop struct {
	calls chan func(now time.Time)
	done  chan struct{}
	now   func() time.Time
}

func newLoop(now func() time.Time) *loop {
	return &loop{calls: make(chan func(time.Time), loopQueue), done: make(chan struct{}), now: now}
}

// run serves calls, and tick at its pace, until stop is closed.
func (l *loop) run(stop <-chan struct{}, pace time.Duration, tick func(now time.Time)) {
	defer close(l.done)
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case call := <-l.calls:
			call(l.now())
		case <-ticker.C:
			tick(l.now())
		}
	}
}

// post hands a function over without waiting for it.
func (l *loop) post(call func(now time.Time)) {
	select {
	case l.calls <- call:
	case <-l.done:
	}
}

// call hands a function over and waits until it has run; false if the loop has ended.
func (l *loop) call(function func(now time.Time)) bool {
	ran := make(chan struct{})
	l.post(func(now time.Time) {
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
