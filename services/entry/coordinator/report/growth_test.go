// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package report_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/report"
)

// TestCounterIsBoundedWithoutPlanner counts requests for ever new adapters while there is no planner. The stored state must depend
// on the requests of the last minute, not on how long the planner is missing.
func TestCounterIsBoundedWithoutPlanner(t *testing.T) {
	const (
		minutes  = 10
		requests = 600
		// most is the state of one minute: per request a rate or an arrival, and an expected retry.
		most = 2 * requests
	)
	counter := report.NewCounter()
	now := start
	for i := range minutes * requests {
		now = now.Add(time.Minute / requests)
		key := adapterKey
		key.Adapter = deployment.Adapter{Model: "base", Name: fmt.Sprint("new-", i)}
		counter.AddArrival(key, 0)
		counter.ExpectRetry(key, "", now.Add(time.Second), route.TargetLatency)
		counter.FlushToRates(now)
		counter.Sweep(now)
	}
	assert.LessOrEqual(t, counter.Size(), most)
}

func TestUnreportedArrivalsCountInRates(t *testing.T) {
	reported, unreported := report.NewCounter(), report.NewCounter()
	for _, counter := range []*report.Counter{reported, unreported} {
		counter.AddArrival(adapterKey, 0)
		counter.AddArrival(adapterKey, 0)
	}
	reported.Collect(start, 0)
	unreported.FlushToRates(start)
	assert.NotEmpty(t, unreported.Rates(start))
	assert.Equal(t, reported.Rates(start), unreported.Rates(start))
	assert.Empty(t, unreported.Collect(start, 0).List(), "they are not reported in addition")
}

func TestExpectedRetryIsKeptWithoutPlanner(t *testing.T) {
	counter := report.NewCounter()
	counter.ExpectRetry(adapterKey, "", start.Add(time.Second), route.TargetLatency)
	counter.FlushToRates(start)
	list := counter.Collect(start.Add(time.Second), 0).List()
	assert.Len(t, list, 1)
	assert.Equal(t, 1, list[0].Waiting)
}
