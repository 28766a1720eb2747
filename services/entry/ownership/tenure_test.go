// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/ownership"
)

var ordering = ownership.Record{Holder: "a", Term: 1, Ordering: true}

func TestANewHolderWaitsForTheFormerOnesTime(t *testing.T) {
	const wait = 2 * time.Second
	answered := start.Add(50 * time.Millisecond)
	tenure := ownership.Begin(options, ownership.Record{Holder: "a", Term: 1}, 10, start, answered, wait)
	over := answered.Add(wait)
	assert.False(t, tenure.Waited(over.Add(-step)))
	assert.Equal(t, step, tenure.Remaining(over.Add(-step)))
	assert.True(t, tenure.Waited(over))
	assert.Zero(t, tenure.Remaining(over.Add(step)))
	assert.False(t, tenure.MayOrder(over), "the record does not say yet that orders may follow")
	tenure.Rewrite(over, ordering, 11)
	assert.True(t, tenure.MayOrder(over))
	assert.Equal(t, ordering, tenure.Record())
	assert.EqualValues(t, 11, tenure.Revision())
}

func TestTheOrderWindowCountsFromWhenTheLastConfirmationWasSent(t *testing.T) {
	tenure := ownership.Begin(options, ordering, 10, start, start, 0)
	confirmed := start.Add(time.Second)
	tenure.Confirm(confirmed, 10)
	tenure.Confirm(start.Add(500*time.Millisecond), 10)
	assert.Equal(t, time.Second, tenure.Age(confirmed.Add(time.Second)), "one that was answered late takes nothing back")
	end := confirmed.Add(options.Window)
	assert.True(t, tenure.MayOrder(end.Add(-step)))
	assert.False(t, tenure.MayOrder(end))
	assert.False(t, tenure.MayOrder(end.Add(step)))
	tenure.Rewrite(confirmed.Add(time.Second), ordering, 11)
	assert.True(t, tenure.MayOrder(end), "a write that was answered confirms, too")
	tenure.Rewrite(start, ordering, 12)
	assert.True(t, tenure.MayOrder(end), "a late answer takes nothing back")
}

func TestAnEndedTenureNeverOrdersAgain(t *testing.T) {
	tenure := ownership.Begin(options, ordering, 10, start, start, 0)
	tenure.End()
	assert.True(t, tenure.Over())
	tenure.Confirm(start.Add(step), 10)
	tenure.Rewrite(start.Add(step), ordering, 11)
	assert.False(t, tenure.Waited(start.Add(step)))
	assert.False(t, tenure.MayOrder(start.Add(step)))
}
