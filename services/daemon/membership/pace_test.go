// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/membership"
)

func TestOnlyALongTimeBetweenSweepsIsAPauseOfThisInstance(t *testing.T) {
	lostAfter := membership.DefaultOptions().LostAfter
	for _, row := range []struct {
		name  string
		first time.Duration
		lost  time.Duration
	}{
		{"half the silence is none", lostAfter / 2, lostAfter},
		{"a little more is one", lostAfter/2 + 1, lostAfter + lostAfter/2 + 1},
		{"a second", time.Second, lostAfter + time.Second},
	} {
		s := newState()
		s.Heard(start, 1, heartbeat("a", 1))
		require.Empty(t, s.Sweep(start), row.name)
		from := start.Add(row.first)
		require.Empty(t, sweepUntil(s, from, start.Add(row.lost)), row.name)
		require.Empty(t, s.Sweep(start.Add(row.lost)), row.name)
		require.Equal(t, []membership.ChangeKind{membership.Lost}, kinds(s.Sweep(start.Add(row.lost+1))), row.name)
	}
}

func TestTheFirstSweepFollowsNoPause(t *testing.T) {
	s := newState()
	s.Heard(start, 1, heartbeat("a", 1))
	late := start.Add(membership.DefaultOptions().LostAfter + 1)
	require.Equal(t, []membership.ChangeKind{membership.Lost}, kinds(s.Sweep(late)))
}

func TestLateMessagesOfTheLastEightLivesAreIgnored(t *testing.T) {
	const lives = 10
	s := newState()
	for boot := uint64(1); boot <= lives; boot++ {
		s.Heard(start, boot, heartbeat("a", 1))
	}
	for boot := uint64(2); boot < lives; boot++ {
		require.Empty(t, s.Heard(start, boot, heartbeat("a", time.Hour)), "life %d", boot)
	}
	require.Equal(t, uint64(lives), s.Member("a").Boot)
	require.Equal(t, []membership.ChangeKind{membership.Restarted}, kinds(s.Heard(start, 1, heartbeat("a", 1))), "it is remembered no more")
}
