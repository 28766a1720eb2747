// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/coordinator"
)

// TestLeavingInstanceReportsCopiesInUseToNextPlanner guards against a failure in which the next planner ordered unloads of
// copies that leaving instances still used. The endpoints accepted no other order until those requests had ended.
func TestLeavingInstanceReportsCopiesInUseToNextPlanner(t *testing.T) {
	f := newFixture()
	f.start(t)
	_, _, err := f.acquire("a1", waitLimit)
	require.NoError(t, err)
	f.instance.Release(context.Background())
	f.setOtherPlanner(t)
	report := receiveUntil(t, f.acceptDial(t), func(m wireMessage) bool { return m.Report != nil }).Report
	assert.True(t, report.Leaving)
	assert.Equal(t, []wireCount{{ID: "e1", Count: 1}}, report.InFlight)
	assert.Len(t, report.InUse, 1)
}

func TestLeavingInstanceDoesNotTakeLease(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning })
	f.waitForOrdering(t, 1)
	f.instance.Release(context.Background())
	f.waitForStatus(t, "stops planning", func(status coordinator.Status) bool { return !status.Planning })
	time.Sleep(time.Second)
	record, _ := f.store.record(t)
	assert.True(t, record.Released, "the record stays released")
	assert.EqualValues(t, 1, record.Term)
}
