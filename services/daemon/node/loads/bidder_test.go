// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loads_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/node/loads"
)

const (
	interval = 20 * time.Millisecond
	resend   = 250 * time.Millisecond
)

var begin = time.Unix(1000, 0)

func after(d time.Duration) time.Time {
	return begin.Add(d)
}

func TestPoolBidsInTurnWhileItWantsALoad(t *testing.T) {
	b := loads.NewBidder(interval)
	require.True(t, b.Due(begin))
	require.False(t, b.Make(begin, false), "there is nothing to bid for and nothing to withdraw")
	require.True(t, b.Due(begin), "and no turn is used")
	require.True(t, b.Make(begin, true))
	require.False(t, b.Due(after(interval-1)))
	require.True(t, b.Due(after(interval)))
	require.True(t, b.Make(after(interval), false), "the open bid is withdrawn")
	require.False(t, b.Make(after(2*interval), false), "once")
}

func TestBidIsSentAgainWhenItRisesOrMayBeLost(t *testing.T) {
	for _, row := range []struct {
		name  string
		after time.Duration
		value float64
		wants bool
		sent  bool
	}{
		{"the same value", 0, 4, true, false},
		{"a lower value", 0, 1, true, false},
		{"just not risen enough", 0, 6, true, false},
		{"risen by more than half", 0, 6.01, true, true},
		{"the same value, a while later", resend - 1, 4, true, false},
		{"the same value, since the first may be lost", resend, 4, true, true},
		{"withdrawn", 0, 0, false, true},
	} {
		b := loads.NewBidder(interval)
		require.True(t, b.Send(begin, 4, true))
		require.Equal(t, row.sent, b.Send(after(row.after), row.value, row.wants), row.name)
	}
}

func TestAfterAPermitTheNextBidGoesOutAtOnce(t *testing.T) {
	b := loads.NewBidder(interval)
	b.Make(begin, true)
	b.Send(begin, 4, true)
	b.Spend()
	require.True(t, b.Due(begin))
	require.True(t, b.Make(begin, true))
	require.True(t, b.Send(begin, 0.1, true), "a lower value too, since the receiver has dropped the old bid")
	b.Spend()
	b.Spend()
	require.True(t, b.Due(begin), "a repeated permit does no harm")
}

func TestHallsThatSeeTheSameChooseOneBudgetHolder(t *testing.T) {
	require.Empty(t, loads.Hall(nil))
	require.Equal(t, "h1", loads.Hall([]string{"h1"}), "a hall that is cut off shares out its own part")
	require.Equal(t, loads.Hall([]string{"h1", "h2", "h3"}), loads.Hall([]string{"h3", "h1", "h2"}))
}

// waits gives how long a pool recovers, to the millisecond.
func waits(pool string, spread time.Duration) time.Duration {
	age := time.Duration(0)
	for loads.Recovering(age, pool, "i1", spread) {
		age += time.Millisecond
	}
	return age
}

func TestPoolsRecoverAtTimesOfTheirOwn(t *testing.T) {
	require.False(t, loads.Recovering(0, "h1/base", "i1", 0), "no spread, no wait")
	require.False(t, loads.Recovering(-time.Second, "h1/base", "i1", 0))
	different := map[time.Duration]bool{}
	for _, pool := range []string{"h1/a", "h1/b", "h1/c", "h2/a", "h2/b"} {
		d := waits(pool, time.Second)
		require.Equal(t, d, waits(pool, time.Second), "the same each time it is asked for")
		require.Less(t, d, time.Second)
		different[d] = true
	}
	require.Greater(t, len(different), 1)
}
