// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// TestADescriptionOfBeforeIsNoEndOfALoad is about an adapter that was unloaded and ordered again while a description of before,
// which still listed it, was on its way; the planner took the load for ended.
func TestADescriptionOfBeforeIsNoEndOfALoad(t *testing.T) {
	p, load := firstLoad(t)
	p.Done(start, answer(load, loading.Accepted))
	p.SetEndpoint(start.Add(10*time.Millisecond), described("e", adapter(1)), nextRevision(), false)
	_, adapters := p.Offered("e")
	assert.Empty(t, adapters, "a load of 10 ms has not ended")
}

// TestACountAheadOfTheEndpointIsGivenUp is about an order that the planner counted and the endpoint did not: the planner refused the
// endpoint's reports as older than its count, and gave it no order any more.
func TestACountAheadOfTheEndpointIsGivenUp(t *testing.T) {
	p, load := firstLoad(t)
	p.Done(start, answer(load, loading.Accepted))
	p.NoteMissing("e")
	now := start
	for now.Sub(start) < time.Minute {
		now = now.Add(200 * time.Millisecond)
		next, ok := p.Next(now)
		if !ok {
			continue
		}
		if next.Kind != loading.Inspect {
			return
		}
		report := &loading.Report{Adapters: map[deployment.Adapter]int64{}}
		p.Done(now, loading.Result{Order: next, Reply: loading.Inspected, Report: report})
	}
	assert.Fail(t, "no order but readings of its report for a minute")
}

// TestADescriptionFreesNoPlace is about a full endpoint whose description is read late and lacks a copy that has been there
// for longer than descriptions usually lag: the planner forgot the copy, with the right count, and ordered one load too many.
func TestADescriptionFreesNoPlace(t *testing.T) {
	all := copyUse{adapter(1): 1, adapter(2): 1, adapter(3): 1, adapter(4): 1}
	p := fullPlanner(all)
	now := start.Add(time.Minute)
	p.SetEndpoint(now, described("e", adapter(1), adapter(2), adapter(3)), nextRevision(), false)
	p.Report(now, "i", waiting(adapter(9)))
	_, offered := p.Offered("e")
	assert.NotContains(t, offered, adapter(4), "not offered while it is in doubt")

	report := &loading.Report{Sequence: 4, Adapters: described("e", adapter(1), adapter(2), adapter(3), adapter(4)).Adapters}
	inspected(t, p, now, report)
	_, ok := p.Next(now)
	assert.False(t, ok, "the endpoint is full")
	_, offered = p.Offered("e")
	assert.Contains(t, offered, adapter(4), "its own report lists it")
}

// TestWhenACountAheadOfTheEndpointIsGivenUp: 3 s after the order that raised it, or at once after an unload of what the report
// does not list, since the endpoint may not have counted that.
func TestWhenACountAheadOfTheEndpointIsGivenUp(t *testing.T) {
	three := described("e", adapter(1), adapter(2), adapter(3)).Adapters
	four := described("e", adapter(1), adapter(2), adapter(3), adapter(4)).Adapters
	for name, test := range map[string]struct {
		after  time.Duration
		listed map[deployment.Adapter]int64
		taken  bool
	}{
		"the unload did nothing":      {0, three, true},
		"a report of before":          {0, four, false},
		"just before the 3 s end":     {3*time.Second - 1, four, false},
		"after the 3 s":               {3 * time.Second, four, true},
		"after the 3 s, did nothing":  {3 * time.Second, three, true},
		"long after, a report of now": {time.Minute, four, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := fullPlanner(copyUse{adapter(1): 1, adapter(2): 1, adapter(3): 1})
			p.Next(start.Add(time.Second))
			p.ConfirmUnused(start.Add(time.Second), confirmAll)
			unloaded := start.Add(1100 * time.Millisecond)
			unload := order(t, p, unloaded, loading.Unload)
			require.Equal(t, adapter(4), unload.Adapter)
			p.Done(unloaded, answer(unload, loading.Holds))

			p.NoteMissing("e")
			now := unloaded.Add(test.after)
			report := &loading.Report{Sequence: 4, Adapters: test.listed}
			inspected(t, p, now, report)
			next, ok := p.Next(now.Add(time.Second))
			if !test.taken {
				assert.Equal(t, loading.Inspect, next.Kind, "the report is read again")
				return
			}
			if ok {
				assert.Equal(t, int64(4), next.ExpectedSequence)
				assert.NotEqual(t, loading.Inspect, next.Kind)
			}
		})
	}
}

// TestNoBaseModelBesideOneOnItsWay is about a planner that takes over while an endpoint brings a base model: the report does not list
// it yet and its count is right, so that another base model would be ordered beside it.
func TestNoBaseModelBesideOneOnItsWay(t *testing.T) {
	p := newPlanner(1)
	empty := deployment.Endpoint{ID: "e", Service: "s"}
	p.SetEndpoint(start, empty, nextRevision(), false)
	p.Done(start, answer(order(t, p, start, loading.Load), loading.Conflict))
	now := start
	for range 10 {
		report := &loading.Report{Sequence: 1, Busy: true}
		inspected(t, p, now, report)
		_, ok := p.Next(now.Add(400*time.Millisecond - 1))
		assert.False(t, ok, "the report is read again after 400 ms")
		now = now.Add(400 * time.Millisecond)
	}
	report := &loading.Report{Sequence: 1, Models: []string{"base"}}
	inspected(t, p, now, report)
	p.Report(now, "i", waiting(adapter(1)))
	assert.Equal(t, adapter(1), order(t, p, now.Add(time.Second), loading.Load).Adapter)
}

// TestADescriptionForgetsNoBaseModel: one that lacks a base model which has been there for long has the report read, which decides.
func TestADescriptionForgetsNoBaseModel(t *testing.T) {
	for name, test := range map[string]struct {
		models []string
		next   deployment.Adapter
	}{
		"it is there": {[]string{"base"}, adapter(1)},
		"it is gone":  {nil, deployment.Adapter{Model: "base"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlanner(1)
			p.SetEndpoint(start, described("e"), nextRevision(), false)
			now := start.Add(time.Minute)
			p.SetEndpoint(now, deployment.Endpoint{ID: "e", Service: "s"}, nextRevision(), false)
			p.Report(now, "i", waiting(adapter(1)))
			report := &loading.Report{Models: test.models}
			inspected(t, p, now, report)
			assert.Equal(t, test.next, order(t, p, now, loading.Load).Adapter)
		})
	}
}

// TestAnUnloadIsRememberedWhileTheEntryIsGone is about an unload without an answer whose endpoint's entry lapses and is back: the planner
// offered the copy again, and the unload was carried out beside its requests.
func TestAnUnloadIsRememberedWhileTheEntryIsGone(t *testing.T) {
	for name, test := range map[string]struct {
		sweeps  []time.Duration
		offered int
	}{
		"no sweep":         {nil, 3},
		"at the 13 s":      {[]time.Duration{0, 13 * time.Second}, 3},
		"just after these": {[]time.Duration{0, 13*time.Second + 1}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			p := fullPlanner(copyUse{adapter(1): 1, adapter(2): 1, adapter(3): 1})
			p.Next(start.Add(time.Second))
			p.ConfirmUnused(start.Add(time.Second), confirmAll)
			now := start.Add(1100 * time.Millisecond)
			p.Done(now, answer(order(t, p, now, loading.Unload), loading.Unanswered))
			p.RemoveEndpoint("e")
			for _, after := range test.sweeps {
				p.Sweep(now.Add(after))
			}
			p.SetEndpoint(now.Add(time.Minute), described("e", adapter(1), adapter(2), adapter(3), adapter(4)), nextRevision(), false)
			_, offered := p.Offered("e")
			assert.Len(t, offered, test.offered)
			order(t, p, now.Add(time.Minute), loading.Inspect)
		})
	}
}
