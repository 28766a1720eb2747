// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/retry"
)

var (
	start   = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	options = retry.Options{Ratio: 0.2, Extra: 54, Window: 10 * time.Second}
)

// TestFleetStaysWithinBudgetInEverySlidingWindow simulates seven instances that retry as often as they are allowed,
// one of which restarts, and counts the retries granted to all of them.
func TestFleetStaysWithinBudgetInEverySlidingWindow(t *testing.T) {
	const instances = 7
	random := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*retry.Budget, instances)
	for i := range budgets {
		budgets[i] = retry.NewBudget(options, start)
		budgets[i].SetMembers(instances)
	}
	var requests, retries []time.Time
	for step := range 6000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		i := random.IntN(instances)
		if step == 3000 {
			budgets[0] = retry.NewBudget(options, now)
			budgets[0].SetMembers(instances)
		}
		budgets[i].RecordRequest(now, "service")
		requests = append(requests, now)
		for budgets[i].Take(now, "service") {
			retries = append(retries, now)
		}
	}
	assert.NotEmpty(t, retries)
	for _, end := range retries {
		from := end.Add(-options.Window)
		allowed := options.Ratio*float64(countBetween(requests, from, end)) + options.Extra
		assert.LessOrEqual(t, float64(countBetween(retries, from, end)), allowed, "window ending at %s", end.Sub(start))
	}
}

func countBetween(times []time.Time, from, to time.Time) int {
	count := 0
	for _, at := range times {
		if at.After(from) && !at.After(to) {
			count++
		}
	}
	return count
}

func TestNoExtraRetriesInFirstWindow(t *testing.T) {
	budget := retry.NewBudget(options, start)
	budget.SetMembers(1)
	assert.False(t, budget.Take(start.Add(time.Second), "service"))
	assert.True(t, budget.Take(start.Add(options.Window), "service"))
}

func TestNoExtraRetriesWithoutInstanceCount(t *testing.T) {
	budget := retry.NewBudget(options, start)
	assert.False(t, budget.Take(start.Add(time.Hour), "service"))
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	budget := retry.NewBudget(options, start)
	for range 10 {
		budget.RecordRequest(start, "busy")
	}
	assert.True(t, budget.Take(start, "busy"))
	assert.False(t, budget.Take(start, "idle"))
}
