// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/retry"
)

// granted takes retries until one is refused and returns the number granted.
func granted(budget *retry.Budget, now time.Time) int {
	count := 0
	for budget.Take(now, "service") {
		count++
	}
	return count
}

// TestBudgetBoundaries: the budget is 0.85 of 0.2 retries a request, and 0.85 of the instance's share of 54 after the
// first window.
func TestBudgetBoundaries(t *testing.T) {
	for name, test := range map[string]struct {
		requests, members int
		age               time.Duration
		granted           int
	}{
		"no requests":                             {0, 1, 0, 0},
		"just below one retry":                    {5, 1, 0, 0},
		"just above one retry":                    {6, 1, 0, 1},
		"just below two retries":                  {11, 1, 0, 1},
		"just above two retries":                  {12, 1, 0, 2},
		"just before the first window has passed": {0, 1, 10*time.Second - 1, 0},
		"the first window has passed":             {0, 1, 10 * time.Second, 45},
		"a tenth of the extra retries":            {0, 10, time.Hour, 4},
		"a share of the extra retries below one":  {0, 46, time.Hour, 0},
		"unknown number of instances":             {0, 0, time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			budget := retry.NewBudget(options, start)
			budget.SetMembers(test.members)
			now := start.Add(test.age)
			for range test.requests {
				budget.RecordRequest(now, "service")
			}
			assert.Equal(t, test.granted, granted(budget, now))
		})
	}
}

func TestWindowBoundaries(t *testing.T) {
	for name, test := range map[string]struct {
		after   time.Duration
		granted int
	}{
		"requests just within the window":    {10*time.Second - 1, 1},
		"requests at the edge of the window": {10 * time.Second, 1},
		"requests older than the window":     {10*time.Second + 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			budget := retry.NewBudget(options, start)
			for range 6 {
				budget.RecordRequest(start, "service")
			}
			assert.Equal(t, test.granted, granted(budget, start.Add(test.after)))
		})
	}
}

func TestRetryCountsForOneWindow(t *testing.T) {
	budget := retry.NewBudget(options, start)
	for range 6 {
		budget.RecordRequest(start, "service")
	}
	assert.True(t, budget.Take(start, "service"))
	edge := start.Add(options.Window)
	for range 6 {
		budget.RecordRequest(edge, "service")
	}
	assert.Equal(t, 1, granted(budget, edge), "twelve requests within the window allow two retries, one of which was taken")
	assert.Equal(t, 0, granted(budget, edge.Add(1)), "six requests allow one retry, which was taken")
}
