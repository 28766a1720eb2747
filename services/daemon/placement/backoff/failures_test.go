// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package backoff_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement/backoff"
)

var (
	begin   = time.Unix(1000, 0)
	options = backoff.Options{Base: 2 * time.Second, Max: time.Minute, GiveUp: 5}
	a       = fleet.AdapterRef{Name: "a", Version: 1}
	b       = fleet.AdapterRef{Name: "b", Version: 1}
)

func TestDelayDoublesWithJitterUpToMax(t *testing.T) {
	f := backoff.New(options)
	for count, nominal := range []time.Duration{2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 1024, 1024} {
		nominal *= time.Second
		failure := f.RecordFailure(begin, a)
		require.Equal(t, count+1, failure.Count)
		wait := failure.RetryAt.Sub(begin)
		require.GreaterOrEqual(t, wait, min(nominal/2, options.Max), "failure %d", count+1)
		require.LessOrEqual(t, wait, min(nominal*3/2, options.Max), "failure %d", count+1)
	}
}

func TestDelayIsDeterministicPerAdapter(t *testing.T) {
	one, other := backoff.New(options), backoff.New(options)
	require.Equal(t, one.RecordFailure(begin, a), other.RecordFailure(begin, a))
	require.NotEqual(t, one.RecordFailure(begin, a).RetryAt, one.RecordFailure(begin, b).RetryAt)
}

func TestDelayEndsAtRetryAt(t *testing.T) {
	f := backoff.New(options)
	require.False(t, f.Delayed(begin, a))
	until := f.RecordFailure(begin, a).RetryAt
	require.True(t, f.Delayed(until.Add(-1), a))
	require.False(t, f.Delayed(until, a))
	require.False(t, f.Delayed(begin, b), "another adapter")
	f.RecordSuccess(a)
	require.False(t, f.Delayed(begin, a))
	require.Equal(t, 1, f.RecordFailure(begin, a).Count, "a success resets the count")
}

func TestAdapterIsGivenUpAfterGiveUpFailures(t *testing.T) {
	f := backoff.New(options)
	for count := 1; count <= options.GiveUp+1; count++ {
		failure := f.RecordFailure(begin, a)
		require.Equal(t, count >= options.GiveUp, f.GivenUp(failure), "failure %d", count)
		wait, refused := f.Refuses(begin, a)
		require.Equal(t, count >= options.GiveUp, refused, "failure %d", count)
		if refused {
			require.Equal(t, failure.RetryAt.Sub(begin), wait)
		}
		_, refused = f.Refuses(failure.RetryAt, a)
		require.False(t, refused, "requests are admitted once the delay has ended")
	}
	_, refused := f.Refuses(begin, b)
	require.False(t, refused)
}

func TestPruneDropsFailuresAfterRetention(t *testing.T) {
	const retention = time.Hour
	for _, row := range []struct {
		later time.Duration
		count int
	}{{0, options.GiveUp + 1}, {retention, options.GiveUp + 1}, {retention + 1, 1}} {
		f := backoff.New(options)
		var failure backoff.Failure
		for range options.GiveUp {
			failure = f.RecordFailure(begin, a)
		}
		now := failure.RetryAt.Add(row.later)
		f.Prune(now)
		require.Equal(t, row.count, f.RecordFailure(now, a).Count, "%v after the end of the delay", row.later)
	}
}

func TestPruneDoesNotEndDelay(t *testing.T) {
	f := backoff.New(backoff.Options{Base: 24 * time.Hour, Max: 24 * time.Hour, GiveUp: 1})
	until := f.RecordFailure(begin, a).RetryAt
	f.Prune(until.Add(-1))
	require.True(t, f.Delayed(until.Add(-1), a))
	_, refused := f.Refuses(until.Add(-1), a)
	require.True(t, refused)
}

// TestLimitEndsNoDelay lets so many adapters fail at once that their number exceeds the limit of the record.
func TestLimitEndsNoDelay(t *testing.T) {
	const adapters = 50_000
	f := backoff.New(options)
	refOf := func(i int) fleet.AdapterRef { return fleet.AdapterRef{Name: strconv.Itoa(i), Version: 1} }
	for i := range adapters {
		f.RecordFailure(begin, refOf(i))
	}
	for i := range adapters {
		require.True(t, f.Delayed(begin.Add(options.Base/2-1), refOf(i)))
	}
	f.RecordFailure(begin, a)
	require.Equal(t, 2, f.RecordFailure(begin.Add(time.Minute), a).Count)
}
