// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/lease"
)

var orderingRecord = lease.Record{Holder: "a", Term: 1, Ordering: true}

func TestNewHolderWaitsForFormerHolder(t *testing.T) {
	const wait = 2 * time.Second
	answered := start.Add(50 * time.Millisecond)
	held := lease.Begin(options, lease.Record{Holder: "a", Term: 1}, 10, start, answered, wait)
	over := answered.Add(wait)
	assert.False(t, held.WaitOver(over.Add(-step)))
	assert.Equal(t, step, held.RemainingWait(over.Add(-step)))
	assert.True(t, held.WaitOver(over))
	assert.Zero(t, held.RemainingWait(over.Add(step)))
	assert.False(t, held.MayOrder(over), "the record is not yet marked as ordering")
	held.RecordRewrite(over, orderingRecord, 11)
	assert.True(t, held.MayOrder(over))
	assert.Equal(t, orderingRecord, held.Record())
	assert.EqualValues(t, 11, held.Revision())
}

func TestOrderWindowStartsWhenConfirmationWasSent(t *testing.T) {
	held := lease.Begin(options, orderingRecord, 10, start, start, 0)
	confirmed := start.Add(time.Second)
	held.Confirm(confirmed, 10)
	held.Confirm(start.Add(500*time.Millisecond), 10)
	assert.Equal(t, time.Second, held.ConfirmedAge(confirmed.Add(time.Second)), "an older confirmation does not lower the time")
	end := confirmed.Add(options.Window)
	assert.True(t, held.MayOrder(end.Add(-step)))
	assert.False(t, held.MayOrder(end))
	assert.False(t, held.MayOrder(end.Add(step)))
	held.RecordRewrite(confirmed.Add(time.Second), orderingRecord, 11)
	assert.True(t, held.MayOrder(end), "a committed write also confirms the lease")
	held.RecordRewrite(start, orderingRecord, 12)
	assert.True(t, held.MayOrder(end), "a late reply does not lower the time")
}

func TestEndedLeaseNeverOrdersAgain(t *testing.T) {
	held := lease.Begin(options, orderingRecord, 10, start, start, 0)
	held.End()
	assert.True(t, held.Ended())
	held.Confirm(start.Add(step), 10)
	held.RecordRewrite(start.Add(step), orderingRecord, 11)
	assert.False(t, held.WaitOver(start.Add(step)))
	assert.False(t, held.MayOrder(start.Add(step)))
}

// TestConfirmDuringRewriteIgnoresOtherRevision: a read concurrent with a write may return the record before or after
// the write.
func TestConfirmDuringRewriteIgnoresOtherRevision(t *testing.T) {
	answered := start.Add(time.Second)
	type read struct {
		Sent     time.Time
		Revision int64
	}
	for name, test := range map[string]struct {
		// before and after are reads evaluated before and after the write was answered; a revision of 0 means no
		// read.
		before, after read
		over          bool
	}{
		"new revision, read before the reply":                           {before: read{Sent: start.Add(step), Revision: 11}},
		"former revision, read before the reply and evaluated after it": {after: read{Sent: start.Add(step), Revision: 10}},
		"former revision, sent at the time of the reply":                {after: read{Sent: answered, Revision: 10}},
		"other revision, sent after the reply":                          {after: read{Sent: answered.Add(step), Revision: 12}, over: true},
		"new revision, sent after the reply":                            {after: read{Sent: answered.Add(step), Revision: 11}},
	} {
		t.Run(name, func(t *testing.T) {
			held := lease.Begin(options, orderingRecord, 10, start, start, 0)
			held.BeginRewrite()
			if test.before.Revision > 0 {
				held.Confirm(test.before.Sent, test.before.Revision)
			}
			held.EndRewrite(answered)
			held.RecordRewrite(start, orderingRecord, 11)
			if test.after.Revision > 0 {
				held.Confirm(test.after.Sent, test.after.Revision)
			}
			assert.Equal(t, test.over, held.Ended())
		})
	}
}
