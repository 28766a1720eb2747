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
	sent := digest.News{Revision: 3, Lowest: 3, Terms: 9, Placed: 1}
	for _, row := range []struct {
		name     string
		news     digest.News
		changing bool
		due      time.Duration
	}{
		{"no change", sent, false, 4 * interval},
		{"slots change", sent, true, interval},
		{"new revision", digest.News{Revision: 4, Lowest: 3, Terms: 9, Placed: 1}, false, interval},
		{"an instance is behind", digest.News{Revision: 3, Lowest: 2, Terms: 9, Placed: 1}, false, interval},
		{"new term", digest.News{Revision: 3, Lowest: 3, Terms: 10, Placed: 1}, false, interval},
		{"a pool without placer", digest.News{Revision: 3, Lowest: 3}, false, interval},
	} {
		s := digest.NewSchedule(interval, fullInterval)
		s.Sent(begin, sent)
		changing := func() bool { return row.changing }
		require.False(t, s.Due(after(row.due-1), row.news, changing), row.name)
		require.True(t, s.Due(after(row.due), row.news, changing), row.name)
	}
}

func TestSentStateCountsAsUnchanged(t *testing.T) {
	unchanged := func() bool { return false }
	s := digest.NewSchedule(interval, fullInterval)
	news := digest.News{Revision: 1}
	require.True(t, s.Due(begin, news, unchanged), "the first digests are due at once")
	s.Sent(begin, news)
	require.False(t, s.Due(after(interval), news, unchanged))
	s.Hurry()
	require.True(t, s.Due(after(1), news, unchanged), "a new configuration is announced at once")
}

func TestFullSummariesAreSentEachFullInterval(t *testing.T) {
	s := digest.NewSchedule(interval, fullInterval)
	for _, row := range []struct {
		at   time.Duration
		full bool
	}{{0, true}, {interval, false}, {fullInterval - 1, false}, {fullInterval, true}, {fullInterval + 1, false}, {2*fullInterval - 1, false}, {2 * fullInterval, true}} {
		require.Equal(t, row.full, s.Sent(after(row.at), digest.News{}), "at %v", row.at)
	}
}
