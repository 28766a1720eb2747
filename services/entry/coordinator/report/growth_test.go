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

// TestWhatNobodyIsToldIsForgotten counts requests of ever new adapters while there is no planner: what is remembered depends
// on the requests of the last minute, not on how long that lasts.
func TestWhatNobodyIsToldIsForgotten(t *testing.T) {
	const (
		minutes  = 10
		requests = 600
		// most is what one minute leaves: a rate or an arrival, and a caller that is expected back.
		most = 2 * requests
	)
	counter := report.NewCounter()
	now := start
	for i := range minutes * requests {
		now = now.Add(time.Minute / requests)
		key := one
		key.Adapter = deployment.Adapter{Model: "base", Name: fmt.Sprint("new-", i)}
		counter.Arrived(key, 0)
		counter.ExpectBack(key, now.Add(time.Second), route.TargetLatency)
		counter.Untold(now)
		counter.Sweep(now)
	}
	assert.LessOrEqual(t, counter.Size(), most)
}

func TestArrivalsThatNobodyWasToldStayInTheRates(t *testing.T) {
	told, untold := report.NewCounter(), report.NewCounter()
	for _, counter := range []*report.Counter{told, untold} {
		counter.Arrived(one, 0)
		counter.Arrived(one, 0)
	}
	told.Collect(start, 0)
	untold.Untold(start)
	assert.NotEmpty(t, untold.Rates(start))
	assert.Equal(t, told.Rates(start), untold.Rates(start))
	assert.Empty(t, untold.Collect(start, 0).List(), "they are not told twice")
}

func TestACallerThatIsExpectedBackIsKeptWhileNobodyIsTold(t *testing.T) {
	counter := report.NewCounter()
	counter.ExpectBack(one, start.Add(time.Second), route.TargetLatency)
	counter.Untold(start)
	list := counter.Collect(start.Add(time.Second), 0).List()
	assert.Len(t, list, 1)
	assert.Equal(t, 1, list[0].Waiting)
}
