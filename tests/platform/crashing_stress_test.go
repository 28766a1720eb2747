// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

//go:build stress

package platform_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestCrashingRequestOfManyCallersIsSentToFewEndpoints has six callers that each send the crashing request in one of 33 turns, so that
// several of them send it at once.
func TestCrashingRequestOfManyCallersIsSentToFewEndpoints(t *testing.T) {
	c := newCrashSite(t, 3, 5)
	c.waitForInitialWorkersGone()
	const turnsPerCrash = 33
	crashingStream := c.crashingStream()
	served := c.sendOtherRequests(crashingStream, func(caller, turn int) bool { return turn%turnsPerCrash == caller })
	c.assertFewLateSends(t, map[string]*crashingRequest{"one in 33": crashingStream})
	assert.Greater(t, served.Load(), int64(10*turnsPerCrash), "other requests that were served")
}
