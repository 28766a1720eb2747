// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package routing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

var begin = time.Unix(1000, 0)

func state(names ...string) placement.Summary {
	s := placement.Summary{Pool: "h2/base", Free: 4, Places: 8, Slots: 4}
	for _, name := range names {
		s.Resident = append(s.Resident, placement.ResidentCopy{Adapter: fleet.AdapterRef{Name: name, Version: 1}, Free: 4})
	}
	return s
}

func pools() []fleet.Pool {
	return fleet.BuildPools([]fleet.Endpoint{
		{Name: "e1", Hall: "h1", Bases: []string{"base"}, Slots: 4, MaxBatch: 8},
		{Name: "e2", Hall: "h2", Bases: []string{"base"}, Slots: 4, MaxBatch: 8},
	})
}

func choosePool(r *routing.Router, now time.Time, name string) string {
	pool, _ := r.Choose(now, fleet.Request{Base: "base", Adapter: fleet.AdapterRef{Name: name, Version: 1}}, nil)
	return pool
}

func TestUnchangedPoolNeedsNoFullSummary(t *testing.T) {
	p := routing.NewPublisher(1)
	r := routing.NewRouter("h1", pools(), routing.DefaultOptions())
	p.Update(begin, state("a"))
	require.True(t, r.ApplySummary(begin, p.Full()))
	for i := 1; i <= 100; i++ {
		now := begin.Add(time.Duration(i) * 250 * time.Millisecond)
		p.Update(now, state("a"))
		require.True(t, r.ApplySummary(now, p.Partial(now)), "summary %d", i)
	}
}

func TestRouterRecoversFromLostSummaries(t *testing.T) {
	p := routing.NewPublisher(1)
	r := routing.NewRouter("h1", pools(), routing.DefaultOptions())
	p.Update(begin, state("a"))
	require.True(t, r.ApplySummary(begin, p.Full()))
	soon := begin.Add(time.Second)
	p.Update(soon, state("a", "b"))
	p.Update(soon.Add(time.Second), state("b"))
	now := soon.Add(2 * time.Second)
	require.True(t, r.ApplySummary(now, p.Partial(now)), "a partial summary contains the changes of two lost summaries")
	require.Equal(t, "h2/base", choosePool(r, now, "b"))
	late := now.Add(10 * time.Second)
	p.Update(late, state("c"))
	p.Update(late.Add(10*time.Second), state("c"))
	now = late.Add(11 * time.Second)
	require.False(t, r.ApplySummary(now, p.Partial(now)), "the change is no longer in the partial summary")
	require.True(t, r.ApplySummary(now, p.Full()))
	require.Equal(t, "h2/base", choosePool(r, now, "c"))
}

func TestHallWithStaleSummaryIsNotChosen(t *testing.T) {
	p := routing.NewPublisher(1)
	r := routing.NewRouter("h1", pools(), routing.DefaultOptions())
	p.Update(begin, state("a"))
	r.ApplySummary(begin, p.Full())
	require.Equal(t, "h2/base", choosePool(r, begin, "a"))
	require.Equal(t, "h1/base", choosePool(r, begin.Add(time.Minute), "a"))
}

func TestBurstIsSpreadOverPools(t *testing.T) {
	r := routing.NewRouter("h1", pools(), routing.DefaultOptions())
	for _, hall := range []string{"h1", "h2"} {
		p := routing.NewPublisher(1)
		s := state("a")
		s.Pool = hall + "/base"
		p.Update(begin, s)
		r.ApplySummary(begin, p.Full())
	}
	counts := make(map[string]int)
	for range 40 {
		counts[choosePool(r, begin, "a")]++
	}
	require.Greater(t, counts["h2/base"], 10, "requests sent since the last summary count as load")
	require.Greater(t, counts["h1/base"], 10)
}
