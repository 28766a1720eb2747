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

// TestADescriptionOfBeforeIsNoEndOfALoad fails as listed in KNOWN-RED.txt. An adapter was unloaded and ordered again while
// a description of before, which still listed it, was on its way; the planner takes the load for ended.
func TestADescriptionOfBeforeIsNoEndOfALoad(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("e"), nextRevision(), false)
	p.Report(start, "i", waiting(adapter(1)))
	order, ok := p.Next(start)
	require.True(t, ok)
	p.Done(start, answer(order, loading.Accepted))
	p.SetEndpoint(start.Add(10*time.Millisecond), described("e", adapter(1)), nextRevision(), false)
	_, adapters := p.Offered("e")
	assert.Empty(t, adapters, "a load of 10 ms has not ended")
}

// TestACountAheadOfTheEndpointIsGivenUp fails as listed in KNOWN-RED.txt. The planner counted an order that the endpoint did
// not; it refuses the endpoint's reports as older than its count, and gives it no order any more.
func TestACountAheadOfTheEndpointIsGivenUp(t *testing.T) {
	p := newPlanner(1)
	p.SetEndpoint(start, described("e"), nextRevision(), false)
	p.Report(start, "i", waiting(adapter(1)))
	order, _ := p.Next(start)
	p.Done(start, answer(order, loading.Accepted))
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
