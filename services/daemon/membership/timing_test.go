// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/membership"
)

func TestLongTimeBetweenSweepsCountsAsLocalPause(t *testing.T) {
	lostAfter := membership.DefaultOptions().LostAfter
	for _, c := range []struct {
		name  string
		first time.Duration
		lost  time.Duration
	}{
		{"half of LostAfter is no pause", lostAfter / 2, lostAfter},
		{"more than half of LostAfter is a pause", lostAfter/2 + 1, lostAfter + lostAfter/2 + 1},
		{"one second is a pause", time.Second, lostAfter + time.Second},
	} {
		s := newState()
		s.Received(start, 1, heartbeat("a", 1))
		require.Empty(t, s.Sweep(start), c.name)
		from := start.Add(c.first)
		require.Empty(t, sweepUntil(s, from, start.Add(c.lost)), c.name)
		require.Empty(t, s.Sweep(start.Add(c.lost)), c.name)
		require.Equal(t, []membership.ChangeKind{membership.Lost}, kinds(s.Sweep(start.Add(c.lost+1))), c.name)
	}
}

func TestFirstSweepDetectsNoLocalPause(t *testing.T) {
	s := newState()
	s.Received(start, 1, heartbeat("a", 1))
	late := start.Add(membership.DefaultOptions().LostAfter + 1)
	require.Equal(t, []membership.ChangeKind{membership.Lost}, kinds(s.Sweep(late)))
}

func TestHeartbeatsOfLastEightFormerBootsAreIgnored(t *testing.T) {
	const boots = 10
	s := newState()
	for boot := uint64(1); boot <= boots; boot++ {
		s.Received(start, boot, heartbeat("a", 1))
	}
	for boot := uint64(2); boot < boots; boot++ {
		require.Empty(t, s.Received(start, boot, heartbeat("a", time.Hour)), "boot %d", boot)
	}
	require.Equal(t, uint64(boots), s.Member("a").Boot)
	require.Equal(t, []membership.ChangeKind{membership.Restarted}, kinds(s.Received(start, 1, heartbeat("a", 1))), "the oldest boot number must have been discarded")
}
