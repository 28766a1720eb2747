// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package backoff_test

import (
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
		failure := f.Fail(begin, a)
		require.Equal(t, count+1, failure.Count)
		wait := failure.Until.Sub(begin)
		require.GreaterOrEqual(t, wait, min(nominal/2, options.Max), "failure %d", count+1)
		require.LessOrEqual(t, wait, min(nominal*3/2, options.Max), "failure %d", count+1)
	}
}

func TestDelayIsDeterministicPerAdapter(t *testing.T) {
	one, other := backoff.New(options), backoff.New(options)
	require.Equal(t, one.Fail(begin, a), other.Fail(begin, a))
	require.NotEqual(t, one.Fail(begin, a).Until, one.Fail(begin, b).Until)
}

func TestDelayEndsAtUntil(t *testing.T) {
	f := backoff.New(options)
	require.False(t, f.Waiting(begin, a))
	until := f.Fail(begin, a).Until
	require.True(t, f.Waiting(until.Add(-1), a))
	require.False(t, f.Waiting(until, a))
	require.False(t, f.Waiting(begin, b), "another adapter")
	f.Succeed(a)
	require.False(t, f.Waiting(begin, a))
	require.Equal(t, 1, f.Fail(begin, a).Count, "a success resets the count")
}

func TestAdapterIsGivenUpAfterGiveUpFailures(t *testing.T) {
	f := backoff.New(options)
	for count := 1; count <= options.GiveUp+1; count++ {
		failure := f.Fail(begin, a)
		require.Equal(t, count >= options.GiveUp, f.GivenUp(failure), "failure %d", count)
		wait, refused := f.Refuses(begin, a)
		require.Equal(t, count >= options.GiveUp, refused, "failure %d", count)
		if refused {
			require.Equal(t, failure.Until.Sub(begin), wait)
		}
		_, refused = f.Refuses(failure.Until, a)
		require.False(t, refused, "requests are admitted once the delay has ended")
	}
	_, refused := f.Refuses(begin, b)
	require.False(t, refused)
}

func TestForgetDropsFailuresAfterRetention(t *testing.T) {
	const retention = time.Hour
	for _, row := range []struct {
		later time.Duration
		count int
	}{{0, options.GiveUp + 1}, {retention, options.GiveUp + 1}, {retention + 1, 1}} {
		f := backoff.New(options)
		var failure backoff.Failure
		for range options.GiveUp {
			failure = f.Fail(begin, a)
		}
		now := failure.Until.Add(row.later)
		f.Forget(now)
		require.Equal(t, row.count, f.Fail(now, a).Count, "%v after the end of the delay", row.later)
	}
}

func TestForgetDoesNotEndDelay(t *testing.T) {
	f := backoff.New(backoff.Options{Base: 24 * time.Hour, Max: 24 * time.Hour, GiveUp: 1})
	until := f.Fail(begin, a).Until
	f.Forget(until.Add(-1))
	require.True(t, f.Waiting(until.Add(-1), a))
	_, refused := f.Refuses(until.Add(-1), a)
	require.True(t, refused)
}
