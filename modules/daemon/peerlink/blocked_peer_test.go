// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink_test

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/peerlink"
)

// blockedNode is a node whose Receive blocks until release is closed. It collects the envelopes of numberedEnvelope.
type blockedNode struct {
	address          netip.AddrPort
	release          chan struct{}
	numberedEnvelope chan fleet.Envelope
}

func startBlockedNode(t *testing.T) *blockedNode {
	t.Helper()
	listener, err := net.Listen("tcp", loopbackAddress)
	require.NoError(t, err)
	s := &blockedNode{address: netip.MustParseAddrPort(listener.Addr().String()), release: make(chan struct{}), numberedEnvelope: make(chan fleet.Envelope, receiveBuffer)}
	links := peerlink.New(listener, peerlink.Options{Receive: func(e fleet.Envelope) {
		<-s.release
		if e.Withdraw != nil {
			s.numberedEnvelope <- e
		}
	}})
	t.Cleanup(links.Close)
	return s
}

// fillQueue sends envelopes of the given size until one is dropped.
func fillQueue(t *testing.T, from *testNode, to netip.AddrPort, bytes int) {
	t.Helper()
	require.Eventually(t, func() bool {
		from.Send(fleet.Envelope{From: "i1", Boot: 7, To: to, Records: &fleet.Records{Snapshot: make([]byte, bytes)}})
		return from.Dropped() > 0
	}, testTimeout, pollInterval)
}

func TestExpiredQueuedEnvelopesAreDropped(t *testing.T) {
	t.Parallel()
	to := startBlockedNode(t)
	var elapsed atomic.Int64
	started := time.Unix(1000, 0)
	from := startNode(t, loopbackAddress, peerlink.Options{Now: func() time.Time { return started.Add(time.Duration(elapsed.Load())) }})
	// At 2 MiB, four envelopes of 512 KiB are queued, of which the first may be in transmission. The test cannot wait for a drop instead: on
	// an overloaded host the first envelope may be dropped because there is no connection yet. Until the clock advances, transmission of the
	// next envelope may start as well; the envelopes still queued then are too old.
	require.Eventually(t, func() bool {
		from.Send(fleet.Envelope{From: "i1", Boot: 7, To: to.address, Records: &fleet.Records{Snapshot: make([]byte, 512<<10)}})
		return from.QueueLength(to.address) >= 3
	}, testTimeout, pollInterval)
	before := from.Dropped()
	elapsed.Store(int64(2*time.Second + 1))
	queued := from.QueueLength(to.address)
	require.NotZero(t, queued)
	close(to.release)
	require.Eventually(t, func() bool { return from.Dropped() >= before+int64(queued) }, testTimeout, pollInterval, "all queued envelopes are dropped")
	from.Send(numberedEnvelope(to.address, 1))
	select {
	case e := <-to.numberedEnvelope:
		require.Equal(t, "1", e.Withdraw.RequestID, "a new envelope is sent")
	case <-time.After(testTimeout):
		require.Fail(t, "no envelope was received")
	}
}

func TestSendToBlockedPeerTimesOut(t *testing.T) {
	t.Parallel()
	to := startBlockedNode(t)
	// The clock does not advance, so that no envelope is dropped because of its age.
	from := startNode(t, loopbackAddress, peerlink.Options{Now: func() time.Time { return time.Unix(1000, 0) }})
	fillQueue(t, from, to.address, 32<<10)
	before := from.Dropped()
	// limit is 3 s plus the time for two envelopes of 32 KiB at 125,000 bytes per second.
	const limit = 3530 * time.Millisecond
	started := time.Now()
	require.Eventually(t, func() bool { return from.Dropped() > before }, 2*limit, 10*pollInterval)
	require.Greater(t, time.Since(started), limit/2, "the timeout leaves enough time for a slow link")
	close(to.release)
	require.Eventually(t, func() bool {
		from.Send(numberedEnvelope(to.address, 1))
		return len(to.numberedEnvelope) > 0
	}, testTimeout, pollInterval, "the connection is reopened")
}
