// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control_test

import "testing"

// A stop waited for the tasks there were while the control goroutine could still begin
// one, which then outlived the service with a call to its endpoint under way. The race
// detector found it in a test of orders, and is what fails this one.
func TestNoWorkBeginsAfterAStop(t *testing.T) {
	for range 200 {
		w := newWorld(t)
		w.advance(settled)
		w.Submit(request("q", a))
		w.Stop()
	}
}
