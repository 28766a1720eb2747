// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control_test

import "testing"

// Guards against a task that starts while Stop waits for the running tasks. Such a task
// outlived the service with a call to its endpoint in progress. The failure shows only
// under the race detector.
func TestNoTaskStartsAfterStop(t *testing.T) {
	for range 200 {
		w := newHarness(t)
		w.advance(takeoverDelay)
		w.Submit(request("q", a))
		w.Stop()
	}
}
