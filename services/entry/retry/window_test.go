// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package retry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/retry"
)

// TestWindowSizeIndependentOfRequestRate sends 10,000 requests a second for two windows.
func TestWindowSizeIndependentOfRequestRate(t *testing.T) {
	budget := retry.NewBudget(options, start)
	budget.SetMembers(1)
	granted := 0
	for i := range 200_000 {
		now := start.Add(time.Duration(i) * 100 * time.Microsecond)
		budget.RecordRequest(now, "service")
		if budget.Take(now, "service") {
			granted++
		}
	}
	_, entries := budget.Size()
	assert.LessOrEqual(t, entries, 2*102)
	// 0.85 of 0.2 of 200,000; the share of the first window is granted within it.
	assert.InDelta(t, 34_000, granted, 34_000*0.02)
}

// TestMergedEntriesNeverGrantMore: a batch of requests expires with its first request, a batch of retries with its
// last retry.
func TestMergedEntriesNeverGrantMore(t *testing.T) {
	budget := retry.NewBudget(options, start)
	for i := range 12 {
		budget.RecordRequest(start.Add(time.Duration(i)*time.Millisecond), "service")
	}
	last := start.Add(11 * time.Millisecond)
	assert.Equal(t, 2, granted(budget, last))
	for range 12 {
		budget.RecordRequest(start.Add(options.Window), "service")
	}
	assert.Equal(t, 2, granted(budget, start.Add(options.Window)), "requests of both windows, two of four retries taken")
	assert.Equal(t, 0, granted(budget, last.Add(options.Window)), "twelve requests, with the recent retries counted")
	assert.Equal(t, 0, granted(budget, last.Add(options.Window+1)))
}

func TestIdleServicesRemoved(t *testing.T) {
	budget := retry.NewBudget(options, start)
	for i := range 1000 {
		budget.RecordRequest(start.Add(time.Duration(i)*time.Second), fmt.Sprint("service", i))
	}
	services, _ := budget.Size()
	assert.LessOrEqual(t, services, 21, "the services of two windows")
}
