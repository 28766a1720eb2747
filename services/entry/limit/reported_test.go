// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/limit"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func TestLimitHoldsUntilLaterResponseWithoutLimit(t *testing.T) {
	var named limit.ReportedLimit
	assert.Equal(t, limit.Unchanged, named.ObserveResponse(at(0), at(0), nil))
	assert.Equal(t, limit.Set, named.ObserveResponse(at(10), at(5), new(2.0)))
	assert.Equal(t, limit.Unchanged, named.ObserveResponse(at(20), at(15), new(2.0)))
	assert.Equal(t, limit.Unchanged, named.ObserveResponse(at(30), at(20), nil), "the request was sent before the last response arrived, so its response may be older")
	assert.True(t, named.HasLimit())
	assert.Equal(t, limit.Lifted, named.ObserveResponse(at(40), at(21), nil))
	assert.False(t, named.HasLimit())
}

func TestStricterLimitHoldsForOverlappingResponses(t *testing.T) {
	var named limit.ReportedLimit
	named.ObserveResponse(at(10), at(0), new(2.0))
	assert.Equal(t, limit.Unchanged, named.ObserveResponse(at(20), at(5), new(9.0)))
	assert.Equal(t, limit.Set, named.ObserveResponse(at(30), at(5), new(1.0)))
	assert.Equal(t, limit.Set, named.ObserveResponse(at(50), at(40), new(9.0)))
	assert.InDelta(t, 9.0, named.Rate(), 0)
}

func TestRemoteLimitIsMergedByAge(t *testing.T) {
	var named limit.ReportedLimit
	assert.Equal(t, limit.Set, named.MergeReport(2, at(100)))
	assert.Equal(t, limit.Unchanged, named.MergeReport(5, at(90)), "older")
	assert.Equal(t, limit.Unchanged, named.MergeLift(at(1100)), "the report may have been delayed")
	assert.Equal(t, limit.Lifted, named.MergeLift(at(1101)))
	assert.Equal(t, limit.Unchanged, named.MergeReport(2, at(1000)), "an older report must not restore the limit")
	assert.Equal(t, limit.Set, named.MergeReport(2, at(1200)))
}

func TestZeroLimitAllowsMinimumRate(t *testing.T) {
	var named limit.ReportedLimit
	named.ObserveResponse(at(0), at(0), new(0.0))
	assert.InDelta(t, 0.2, named.Rate(), 0)
}
