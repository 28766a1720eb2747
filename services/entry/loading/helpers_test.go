// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// nextOrder returns the next order, which must be of the given kind.
func nextOrder(t *testing.T, p *loading.Planner, now time.Time, kind loading.OrderKind) loading.Order {
	t.Helper()
	next, ok := p.Next(now)
	require.True(t, ok)
	require.Equal(t, kind, next.Kind)
	return next
}

// answerInspection answers the next order, which must be an inspection, with a report.
func answerInspection(t *testing.T, p *loading.Planner, now time.Time, report *loading.Report) {
	t.Helper()
	p.Done(now, loading.Result{Order: nextOrder(t, p, now, loading.Inspect), Reply: loading.Inspected, Report: report})
}

// plannerWithLoadOrder returns a planner and its order to load adapter 1, for which a request waits. Its only
// endpoint, "e", holds no adapters.
func plannerWithLoadOrder(t *testing.T) (*loading.Planner, loading.Order) {
	t.Helper()
	p := newPlanner(1)
	p.SetEndpoint(start, described("e"), nextRevision(), false)
	p.Report(start, "i", waitingDemand(adapter(1)))
	return p, nextOrder(t, p, start, loading.Load)
}
