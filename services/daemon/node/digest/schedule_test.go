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
	interval = 250 * time.Millisecond
	full     = 30 * time.Second
)

func TestIntervalIsShortOnlyWhileThereIsSomethingToTell(t *testing.T) {
	told := digest.News{Revision: 3, Lowest: 3, Terms: 9, Placed: 1}
	for _, row := range []struct {
		name     string
		news     digest.News
		changing bool
		due      time.Duration
	}{
		{"nothing new", told, false, 4 * interval},
		{"slots change", told, true, interval},
		{"new revision", digest.News{Revision: 4, Lowest: 3, Terms: 9, Placed: 1}, false, interval},
		{"an instance is behind", digest.News{Revision: 3, Lowest: 2, Terms: 9, Placed: 1}, false, interval},
		{"new term", digest.News{Revision: 3, Lowest: 3, Terms: 10, Placed: 1}, false, interval},
		{"a pool without placer", digest.News{Revision: 3, Lowest: 3}, false, interval},
	} {
		s := digest.NewSchedule(interval, full)
		s.Sent(begin, told)
		changing := func() bool { return row.changing }
		require.False(t, s.Due(after(row.due-1), row.news, changing), row.name)
		require.True(t, s.Due(after(row.due), row.news, changing), row.name)
	}
}

func TestNewsThatWereToldAreNoNews(t *testing.T) {
	quiet := func() bool { return false }
	s := digest.NewSchedule(interval, full)
	news := digest.News{Revision: 1}
	require.True(t, s.Due(begin, news, quiet), "the first digests are due at once")
	s.Sent(begin, news)
	require.False(t, s.Due(after(interval), news, quiet))
	s.Hurry()
	require.True(t, s.Due(after(1), news, quiet), "a configuration in force is told at once")
}

func TestSummariesAreWholeOnceInAWhile(t *testing.T) {
	s := digest.NewSchedule(interval, full)
	for _, row := range []struct {
		at    time.Duration
		whole bool
	}{{0, true}, {interval, false}, {full - 1, false}, {full, true}, {full + 1, false}, {2*full - 1, false}, {2 * full, true}} {
		require.Equal(t, row.whole, s.Sent(after(row.at), digest.News{}), "at %v", row.at)
	}
}
