// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package peerlink_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/peerlink"
)

// TestQueuedBytesForBlockedPeerAreBounded sends snapshots of a configuration to a peer that accepts connections, but reads nothing.
func TestQueuedBytesForBlockedPeerAreBounded(t *testing.T) {
	const (
		snapshotBytes = 1 << 20
		sent          = 512
		// maxQueued is the maximum number of snapshots that may be queued: 64 MiB.
		maxQueued = 64
	)
	silent, err := net.Listen("tcp", loopbackAddress)
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	from := startNode(t, loopbackAddress, peerlink.Options{})
	to := netip.MustParseAddrPort(silent.Addr().String())
	snapshot := make([]byte, snapshotBytes)
	started := time.Now()
	for range sent {
		from.Send(fleet.Envelope{From: "i1", Boot: 7, To: to, Records: &fleet.Records{Head: 2, Snapshot: snapshot}})
	}
	require.Less(t, time.Since(started), time.Second, "no send can have timed out in this time")
	require.GreaterOrEqual(t, from.Dropped(), int64(sent-maxQueued), "the others were dropped")
}
