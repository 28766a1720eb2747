// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/lease"
)

// confirms is longer than the pause between two reads by which a planner confirms its record.
const confirms = time.Second

// TestAPlannedStopIsToldThoughItsRecordIsConfirmedMeanwhile: once beside three busy processes, the link of a member ended before the view
// that tells the end of the planner's term. The order of events: a planner that stops writes into its record that it gives no more
// orders; before it has the answer, a confirming read finds the record at that newer revision; the planner takes it for another's, ends
// its term and closes its links. The cause: an instance's own write that is under way was not known where the read was judged. The
// evidence: with the answer held for longer than the pause between two confirming reads, as here, the link ended in each of 5 plays.
func TestAPlannedStopIsToldThoughItsRecordIsConfirmedMeanwhile(t *testing.T) {
	s := newSite()
	s.aroundCommit = func(commit commitFunc) commitFunc {
		return func(ctx context.Context, transaction store.Transaction) (int64, error) {
			revision, err := commit(ctx, transaction)
			if releases(transaction) {
				time.Sleep(confirms)
			}
			return revision, err
		}
	}
	s.start(t)
	s.isToldOfTheRelease(t)
}

// releases tells whether a transaction writes that the holder gives no more orders.
func releases(transaction store.Transaction) bool {
	for _, write := range transaction.Writes {
		if write.Key != recordKey {
			continue
		}
		record, err := lease.DecodeRecord(write.Value)
		return err == nil && record.Released
	}
	return false
}
