// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/coordinator"
)

const (
	// closedPeers is how many connections the test opens and closes; goroutineSlack is how many goroutines of other work,
	// such as timers and store calls, may come or go meanwhile.
	closedPeers    = 100
	goroutineSlack = 30
	// settleTime is how long the goroutines of closed connections may take to end.
	settleTime = 2 * time.Second
)

// TestAClosedPeerLeavesNoGoroutine failed while each connection that an instance had served kept a goroutine that waited for the end of
// the whole process, and with it the stream.
func TestAClosedPeerLeavesNoGoroutine(t *testing.T) {
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning })
	before := runtime.NumGoroutine()
	for range closedPeers {
		near, far := net.Pipe()
		s.pipes.incoming <- near
		require.NoError(t, far.Close())
	}
	deadline := time.Now().Add(settleTime)
	for runtime.NumGoroutine() > before+goroutineSlack && time.Now().Before(deadline) {
		time.Sleep(lookPace)
	}
	assert.LessOrEqual(t, runtime.NumGoroutine(), before+goroutineSlack, "%d goroutines before %d connections", before, closedPeers)
}
