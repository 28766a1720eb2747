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

// TestAnInstanceThatLeavesTellsTheNextPlannerWhatItUses: the next planner ordered unloads of copies that were in use at leaving
// instances, and endpoints took no other order until those requests had ended.
func TestAnInstanceThatLeavesTellsTheNextPlannerWhatItUses(t *testing.T) {
	s := newSite()
	s.start(t)
	_, _, err := s.acquire("a1", waitLimit)
	require.NoError(t, err)
	s.control.Release(context.Background())
	s.planElsewhere(t)
	report := receive(t, s.link(t), func(m wireMessage) bool { return m.Report != nil }).Report
	assert.True(t, report.Leaving)
	assert.Equal(t, []wireCount{{ID: "e1", Count: 1}}, report.InFlight)
	assert.Len(t, report.InUse, 1)
}

func TestAnInstanceThatLeavesTakesNoRecord(t *testing.T) {
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning })
	s.begins(t, 1)
	s.control.Release(context.Background())
	s.waitForStatus(t, "plans no more", func(status coordinator.Status) bool { return !status.Planning })
	time.Sleep(time.Second)
	record, _ := s.store.record(t)
	assert.True(t, record.Released, "the record is free, and stays so")
	assert.EqualValues(t, 1, record.Term)
}
