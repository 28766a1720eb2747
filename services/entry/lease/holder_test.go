// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/lease"
)

var ordering = lease.Record{Holder: "a", Term: 1, Ordering: true}

func TestANewHolderWaitsForTheFormerOnesTime(t *testing.T) {
	const wait = 2 * time.Second
	answered := start.Add(50 * time.Millisecond)
	held := lease.Begin(options, lease.Record{Holder: "a", Term: 1}, 10, start, answered, wait)
	over := answered.Add(wait)
	assert.False(t, held.Waited(over.Add(-step)))
	assert.Equal(t, step, held.Remaining(over.Add(-step)))
	assert.True(t, held.Waited(over))
	assert.Zero(t, held.Remaining(over.Add(step)))
	assert.False(t, held.MayOrder(over), "the record does not say yet that orders may follow")
	held.NoteRewritten(over, ordering, 11)
	assert.True(t, held.MayOrder(over))
	assert.Equal(t, ordering, held.Record())
	assert.EqualValues(t, 11, held.Revision())
}

func TestTheOrderWindowCountsFromWhenTheLastConfirmationWasSent(t *testing.T) {
	held := lease.Begin(options, ordering, 10, start, start, 0)
	confirmed := start.Add(time.Second)
	held.Confirm(confirmed, 10)
	held.Confirm(start.Add(500*time.Millisecond), 10)
	assert.Equal(t, time.Second, held.ConfirmedAge(confirmed.Add(time.Second)), "one that was answered late takes nothing back")
	end := confirmed.Add(options.Window)
	assert.True(t, held.MayOrder(end.Add(-step)))
	assert.False(t, held.MayOrder(end))
	assert.False(t, held.MayOrder(end.Add(step)))
	held.NoteRewritten(confirmed.Add(time.Second), ordering, 11)
	assert.True(t, held.MayOrder(end), "a write that was answered confirms, too")
	held.NoteRewritten(start, ordering, 12)
	assert.True(t, held.MayOrder(end), "a late answer takes nothing back")
}

func TestAnEndedLeaseNeverOrdersAgain(t *testing.T) {
	held := lease.Begin(options, ordering, 10, start, start, 0)
	held.End()
	assert.True(t, held.Over())
	held.Confirm(start.Add(step), 10)
	held.NoteRewritten(start.Add(step), ordering, 11)
	assert.False(t, held.Waited(start.Add(step)))
	assert.False(t, held.MayOrder(start.Add(step)))
}

// TestAReadBesideAnOwnWriteSaysNothingWhereItDiffers: such a read may find the record as it was before the write or after it.
func TestAReadBesideAnOwnWriteSaysNothingWhereItDiffers(t *testing.T) {
	answered := start.Add(time.Second)
	type read struct {
		Sent     time.Time
		Revision int64
	}
	for name, test := range map[string]struct {
		// before and after are reads that are taken in before and after the write's answer; none where the revision is 0.
		before, after read
		over          bool
	}{
		"the newer revision, before the answer": {before: read{Sent: start.Add(step), Revision: 11}},
		"the former one, answered later":        {after: read{Sent: start.Add(step), Revision: 10}},
		"the former one, sent at the answer":    {after: read{Sent: answered, Revision: 10}},
		"another one, sent after the answer":    {after: read{Sent: answered.Add(step), Revision: 12}, over: true},
		"the newer one, sent after the answer":  {after: read{Sent: answered.Add(step), Revision: 11}},
	} {
		t.Run(name, func(t *testing.T) {
			held := lease.Begin(options, ordering, 10, start, start, 0)
			held.BeginRewrite()
			if test.before.Revision > 0 {
				held.Confirm(test.before.Sent, test.before.Revision)
			}
			held.EndRewrite(answered)
			held.NoteRewritten(start, ordering, 11)
			if test.after.Revision > 0 {
				held.Confirm(test.after.Sent, test.after.Revision)
			}
			assert.Equal(t, test.over, held.Over())
		})
	}
}
