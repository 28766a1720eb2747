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
	// closedPeers is the number of connections that the test opens and closes. goroutineSlack is the number of unrelated
	// goroutines, such as timers and store calls, that may start or end meanwhile.
	closedPeers    = 100
	goroutineSlack = 30
	// settleTime is the time for the goroutines of closed connections to end.
	settleTime = 2 * time.Second
)

// TestClosedPeerConnectionsLeakNoGoroutines guards against a leak: for each served connection a goroutine waited for the
// end of the process and kept the stream alive.
func TestClosedPeerConnectionsLeakNoGoroutines(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning })
	before := runtime.NumGoroutine()
	for range closedPeers {
		near, far := net.Pipe()
		f.network.incoming <- near
		require.NoError(t, far.Close())
	}
	deadline := time.Now().Add(settleTime)
	for runtime.NumGoroutine() > before+goroutineSlack && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
	assert.LessOrEqual(t, runtime.NumGoroutine(), before+goroutineSlack, "%d goroutines before %d connections", before, closedPeers)
}
