// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/loading"
)

// order asks for the next order, which must be of a kind.
func order(t *testing.T, p *loading.Planner, now time.Time, kind loading.OrderKind) loading.Order {
	t.Helper()
	next, ok := p.Next(now)
	require.True(t, ok)
	require.Equal(t, kind, next.Kind)
	return next
}

// inspected answers the inspection that is due with a report.
func inspected(t *testing.T, p *loading.Planner, now time.Time, report *loading.Report) {
	t.Helper()
	p.Done(now, loading.Result{Order: order(t, p, now, loading.Inspect), Reply: loading.Inspected, Report: report})
}

// firstLoad gives a planner and its order to load adapter 1, for which a request waits, at its only endpoint, "e", which holds none.
func firstLoad(t *testing.T) (*loading.Planner, loading.Order) {
	t.Helper()
	p := newPlanner(1)
	p.SetEndpoint(start, described("e"), nextRevision(), false)
	p.Report(start, "i", waiting(adapter(1)))
	return p, order(t, p, start, loading.Load)
}
