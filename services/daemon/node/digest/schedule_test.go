// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package digest_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/node/digest"
)

const (
	interval     = 250 * time.Millisecond
	fullInterval = 30 * time.Second
)

func TestIntervalIsShortOnlyWhileStateChanges(t *testing.T) {
	sent := digest.AnnouncedState{Revision: 3, LowestRevision: 3, TermSum: 9, PoolsWithPlacer: 1}
	for _, row := range []struct {
		name     string
		state    digest.AnnouncedState
		changing bool
		due      time.Duration
	}{
		{"no change", sent, false, 4 * interval},
		{"slots change", sent, true, interval},
		{"new revision", digest.AnnouncedState{Revision: 4, LowestRevision: 3, TermSum: 9, PoolsWithPlacer: 1}, false, interval},
		{"an instance is behind", digest.AnnouncedState{Revision: 3, LowestRevision: 2, TermSum: 9, PoolsWithPlacer: 1}, false, interval},
		{"new term", digest.AnnouncedState{Revision: 3, LowestRevision: 3, TermSum: 10, PoolsWithPlacer: 1}, false, interval},
		{"a pool without placer", digest.AnnouncedState{Revision: 3, LowestRevision: 3}, false, interval},
	} {
		s := digest.NewSchedule(interval, fullInterval)
		s.RecordSent(begin, sent)
		changing := func() bool { return row.changing }
		require.False(t, s.Due(after(row.due-1), row.state, changing), row.name)
		require.True(t, s.Due(after(row.due), row.state, changing), row.name)
	}
}

func TestSentStateCountsAsUnchanged(t *testing.T) {
	unchanged := func() bool { return false }
	s := digest.NewSchedule(interval, fullInterval)
	state := digest.AnnouncedState{Revision: 1}
	require.True(t, s.Due(begin, state, unchanged), "the first digests are due at once")
	s.RecordSent(begin, state)
	require.False(t, s.Due(after(interval), state, unchanged))
	s.MakeDue()
	require.True(t, s.Due(after(1), state, unchanged), "a new configuration is announced at once")
}

func TestFullSummariesAreSentEachFullInterval(t *testing.T) {
	s := digest.NewSchedule(interval, fullInterval)
	for _, row := range []struct {
		at   time.Duration
		full bool
	}{{0, true}, {interval, false}, {fullInterval - 1, false}, {fullInterval, true}, {fullInterval + 1, false}, {2*fullInterval - 1, false}, {2 * fullInterval, true}} {
		require.Equal(t, row.full, s.RecordSent(after(row.at), digest.AnnouncedState{}), "at %v", row.at)
	}
}
