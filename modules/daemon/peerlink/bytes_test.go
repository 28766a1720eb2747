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

// TestWhatWaitsForASilentPeerIsBoundedInBytes sends snapshots of a configuration to a peer that takes connections and reads nothing.
func TestWhatWaitsForASilentPeerIsBoundedInBytes(t *testing.T) {
	const (
		snapshotBytes = 1 << 20
		sent          = 512
		// most is how many of them may wait: 64 MiB.
		most = 64
	)
	silent, err := net.Listen("tcp", anywhere)
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	from := start(t, anywhere, peerlink.Options{})
	to := netip.MustParseAddrPort(silent.Addr().String())
	snapshot := make([]byte, snapshotBytes)
	begun := time.Now()
	for range sent {
		from.Send(fleet.Envelope{From: "i1", Boot: 7, To: to, Records: &fleet.Records{Head: 2, Snapshot: snapshot}})
	}
	require.Less(t, time.Since(begun), time.Second, "none can have been given up meanwhile")
	require.GreaterOrEqual(t, from.Dropped(), int64(sent-most), "the rest was given up")
}
