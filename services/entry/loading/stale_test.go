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

// TestOutdatedDescriptionDoesNotEndLoad covers an adapter that was unloaded and ordered again while an older
// description that still listed it was delayed. The planner treated the load as ended.
func TestOutdatedDescriptionDoesNotEndLoad(t *testing.T) {
	p, load := plannerWithLoadOrder(t)
	p.Done(start, resultOf(load, loading.Accepted))
	p.SetEndpoint(start.Add(10*time.Millisecond), described("e", adapter(1)), nextRevision(), false)
	_, adapters := p.Offered("e")
	assert.Empty(t, adapters, "a load of 10 ms has not ended")
}

// TestSequenceAheadOfEndpointReplaced covers an order that the planner counted and the endpoint did not. The planner
// rejected the endpoint's reports as outdated and sent it no more orders.
func TestSequenceAheadOfEndpointReplaced(t *testing.T) {
	p, load := plannerWithLoadOrder(t)
	p.Done(start, resultOf(load, loading.Accepted))
	p.RequestInspection("e")
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
	assert.Fail(t, "only inspections ordered for a minute")
}

// TestDescriptionFreesNoPlace covers a full endpoint whose description is read late and lacks a copy that has existed
// for longer than descriptions usually lag. The planner removed the copy while the sequence was right, and ordered
// one load too many.
func TestDescriptionFreesNoPlace(t *testing.T) {
	all := copyUse{adapter(1): 1, adapter(2): 1, adapter(3): 1, adapter(4): 1}
	p := fullPlanner(all)
	now := start.Add(time.Minute)
	p.SetEndpoint(now, described("e", adapter(1), adapter(2), adapter(3)), nextRevision(), false)
	p.Report(now, "i", waitingDemand(adapter(9)))
	_, offered := p.Offered("e")
	assert.NotContains(t, offered, adapter(4), "not offered while unconfirmed")

	report := &loading.Report{Sequence: 4, Adapters: described("e", adapter(1), adapter(2), adapter(3), adapter(4)).Adapters}
	answerInspection(t, p, now, report)
	_, ok := p.Next(now)
	assert.False(t, ok, "the endpoint is full")
	_, offered = p.Offered("e")
	assert.Contains(t, offered, adapter(4), "listed by the endpoint's own report")
}

// TestStaleReportTimeoutBoundaries: the planner's sequence is replaced 3 s after the order that raised it. It is
// replaced at once after an unload of an adapter that the report does not list, because the endpoint may not have
// counted the unload.
func TestStaleReportTimeoutBoundaries(t *testing.T) {
	three := described("e", adapter(1), adapter(2), adapter(3)).Adapters
	four := described("e", adapter(1), adapter(2), adapter(3), adapter(4)).Adapters
	for name, test := range map[string]struct {
		after  time.Duration
		listed map[deployment.Adapter]int64
		taken  bool
	}{
		"unload without effect":                {0, three, true},
		"report from before the unload":        {0, four, false},
		"just before the 3 s end":              {3*time.Second - 1, four, false},
		"after the 3 s":                        {3 * time.Second, four, true},
		"after the 3 s, unload without effect": {3 * time.Second, three, true},
		"long after, current report":           {time.Minute, four, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := fullPlanner(copyUse{adapter(1): 1, adapter(2): 1, adapter(3): 1})
			p.Next(start.Add(time.Second))
			p.ConfirmUnused(start.Add(time.Second), confirmAll)
			unloaded := start.Add(1100 * time.Millisecond)
			unload := nextOrder(t, p, unloaded, loading.Unload)
			require.Equal(t, adapter(4), unload.Adapter)
			p.Done(unloaded, resultOf(unload, loading.Holds))

			p.RequestInspection("e")
			now := unloaded.Add(test.after)
			report := &loading.Report{Sequence: 4, Adapters: test.listed}
			answerInspection(t, p, now, report)
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

// TestNoBaseModelOrderedDuringUnplannedLoad covers a planner that takes over while an endpoint loads a base model:
// the report does not list the model yet and its sequence is right, so another base model would be ordered in
// addition.
func TestNoBaseModelOrderedDuringUnplannedLoad(t *testing.T) {
	p := newPlanner(1)
	empty := deployment.Endpoint{ID: "e", Service: "s"}
	p.SetEndpoint(start, empty, nextRevision(), false)
	p.Done(start, resultOf(nextOrder(t, p, start, loading.Load), loading.Conflict))
	now := start
	for range 10 {
		report := &loading.Report{Sequence: 1, Busy: true}
		answerInspection(t, p, now, report)
		_, ok := p.Next(now.Add(400*time.Millisecond - 1))
		assert.False(t, ok, "the report is read again after 400 ms")
		now = now.Add(400 * time.Millisecond)
	}
	report := &loading.Report{Sequence: 1, Models: []string{"base"}}
	answerInspection(t, p, now, report)
	p.Report(now, "i", waitingDemand(adapter(1)))
	assert.Equal(t, adapter(1), nextOrder(t, p, now.Add(time.Second), loading.Load).Adapter)
}

// TestDescriptionRemovesNoBaseModel: if a description lacks a base model that has existed for long, the report is
// read and decides.
func TestDescriptionRemovesNoBaseModel(t *testing.T) {
	for name, test := range map[string]struct {
		models []string
		next   deployment.Adapter
	}{
		"model resident": {[]string{"base"}, adapter(1)},
		"model gone":     {nil, deployment.Adapter{Model: "base"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPlanner(1)
			p.SetEndpoint(start, described("e"), nextRevision(), false)
			now := start.Add(time.Minute)
			p.SetEndpoint(now, deployment.Endpoint{ID: "e", Service: "s"}, nextRevision(), false)
			p.Report(now, "i", waitingDemand(adapter(1)))
			report := &loading.Report{Models: test.models}
			answerInspection(t, p, now, report)
			assert.Equal(t, test.next, nextOrder(t, p, now, loading.Load).Adapter)
		})
	}
}

// TestUnansweredUnloadRememberedWhileUnregistered covers an unanswered unload whose endpoint's entry disappears and
// returns. The planner offered the copy again, and the unload was carried out while requests used the copy.
func TestUnansweredUnloadRememberedWhileUnregistered(t *testing.T) {
	for name, test := range map[string]struct {
		sweeps  []time.Duration
		offered int
	}{
		"no sweep":        {nil, 3},
		"after 13 s":      {[]time.Duration{0, 13 * time.Second}, 3},
		"just after 13 s": {[]time.Duration{0, 13*time.Second + 1}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			p := fullPlanner(copyUse{adapter(1): 1, adapter(2): 1, adapter(3): 1})
			p.Next(start.Add(time.Second))
			p.ConfirmUnused(start.Add(time.Second), confirmAll)
			now := start.Add(1100 * time.Millisecond)
			p.Done(now, resultOf(nextOrder(t, p, now, loading.Unload), loading.Unanswered))
			p.RemoveEndpoint("e")
			for _, after := range test.sweeps {
				p.Sweep(now.Add(after))
			}
			p.SetEndpoint(now.Add(time.Minute), described("e", adapter(1), adapter(2), adapter(3), adapter(4)), nextRevision(), false)
			_, offered := p.Offered("e")
			assert.Len(t, offered, test.offered)
			nextOrder(t, p, now.Add(time.Minute), loading.Inspect)
		})
	}
}
