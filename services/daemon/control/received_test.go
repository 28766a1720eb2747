// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// blockControl blocks the control goroutine until the returned function is called or the test ends.
func (w *harness) blockControl() func() {
	held, release := make(chan struct{}), make(chan struct{})
	go w.View(func(time.Time, *node.Node) {
		close(held)
		<-release
	})
	<-held
	once := sync.OnceFunc(func() { close(release) })
	w.t.Cleanup(once)
	return once
}

func TestWaitingEnvelopesAreBoundedInBytes(t *testing.T) {
	const (
		sent          = 64
		snapshotBytes = 1 << 20
		// maxWaiting is the number of envelopes that may wait: 8 MiB.
		maxWaiting = 8
	)
	w := newHarness(t)
	release := w.blockControl()
	var accepted atomic.Int64
	go func() {
		for range sent {
			w.Receive(fleet.Envelope{From: "i2", Boot: 1, Records: &fleet.Records{Head: 1, Snapshot: make([]byte, snapshotBytes)}})
			accepted.Add(1)
		}
	}()
	require.Eventually(t, func() bool { return accepted.Load() > 0 }, timeout, time.Millisecond)
	require.Never(t, func() bool { return accepted.Load() > maxWaiting }, 200*time.Millisecond, time.Millisecond, "the peer must wait")
	release()
	require.Eventually(t, func() bool { return accepted.Load() == sent }, timeout, time.Millisecond, "all envelopes are accepted in the end")
}

func TestWaitingPeerIsReleasedWhenServiceStops(t *testing.T) {
	w := newHarness(t)
	release := w.blockControl()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 3 {
			w.Receive(fleet.Envelope{From: "i2", Boot: 1, Records: &fleet.Records{Head: 1, Snapshot: make([]byte, 16<<20)}})
		}
	}()
	release()
	w.Stop()
	select {
	case <-done:
	case <-time.After(timeout):
		require.Fail(t, "the peer still waits")
	}
}
