// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/ownership"
)

var (
	start   = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	options = ownership.Options{Window: 3500 * time.Millisecond, OrderTimeout: 800 * time.Millisecond, Turn: 3 * time.Second}
)

func TestWaitCoversTheFormerHoldersTime(t *testing.T) {
	full := options.Window + 2*options.OrderTimeout
	cases := map[string]struct {
		replaced ownership.Record
		found    bool
		wait     time.Duration
	}{
		"nobody before":                     {found: false, wait: 0},
		"a holder that may still order":     {replaced: ownership.Record{Holder: "b", Ordering: true}, found: true, wait: full},
		"a holder behind an earlier one":    {replaced: ownership.Record{Holder: "b", Former: "a"}, found: true, wait: full},
		"a holder that released":            {replaced: ownership.Record{Holder: "b", Ordering: true, Released: true}, found: true, wait: 0},
		"released, but this one was before": {replaced: ownership.Record{Holder: "b", Former: "self", Ordering: true, Released: true}, found: true, wait: options.Turn},
		"an earlier process of this one":    {replaced: ownership.Record{Holder: "self", Ordering: true}, found: true, wait: options.OrderTimeout / 2},
		"this one still in its own wait":    {replaced: ownership.Record{Holder: "self", Former: "b"}, found: true, wait: full},
		"another that never ordered":        {replaced: ownership.Record{Holder: "b", Former: "self"}, found: true, wait: options.OrderTimeout / 2},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, one.wait, options.Wait("self", one.replaced, one.found))
		})
	}
}

// TestNoTwoHoldersMayOrderAtOnce plays a holder that is cut off right after a confirming read
// and a successor that takes the record in the same instant, for all orders of their calls.
func TestNoTwoHoldersMayOrderAtOnce(t *testing.T) {
	for _, confirmedBefore := range []time.Duration{0, time.Millisecond, time.Second, 2 * time.Second} {
		former := ownership.Begin(options, ownership.Record{Holder: "a", Term: 1, Ordering: true}, 10, start, start, 0)
		taken := start.Add(5 * time.Second)
		former.Confirm(taken.Add(-confirmedBefore), 10)
		record := ownership.Record{Holder: "b", Term: 2, Former: "a"}
		successor := ownership.Begin(options, record, 11, taken, taken.Add(4*time.Millisecond), options.Wait("b", former.Record(), true))
		for step := range 1200 {
			now := taken.Add(time.Duration(step) * 10 * time.Millisecond)
			if successor.Waited(now) && !successor.Record().Ordering {
				record.Ordering = true
				successor.Rewrite(now, record, 12)
			}
			if former.MayOrder(now) {
				// An order may arrive as late as its time-out.
				assert.False(t, successor.MayOrder(now.Add(options.OrderTimeout)))
			}
		}
		require.True(t, successor.Record().Ordering, "the successor orders in the end")
	}
}

func TestATenureEndsWhenTheRecordChanged(t *testing.T) {
	tenure := ownership.Begin(options, ownership.Record{Holder: "a", Term: 1, Ordering: true}, 10, start, start, 0)
	require.True(t, tenure.MayOrder(start.Add(time.Second)))
	tenure.Confirm(start.Add(time.Second), 11)
	assert.True(t, tenure.Over())
	assert.False(t, tenure.MayOrder(start.Add(time.Second)))
}

func TestATenureStopsWithoutConfirmation(t *testing.T) {
	tenure := ownership.Begin(options, ownership.Record{Holder: "a", Term: 1, Ordering: true}, 10, start, start, 0)
	assert.True(t, tenure.MayOrder(start.Add(options.Window-time.Millisecond)))
	assert.False(t, tenure.MayOrder(start.Add(options.Window)))
	tenure.Confirm(start.Add(options.Window), 10)
	assert.True(t, tenure.MayOrder(start.Add(options.Window+time.Second)))
}

func TestRecordsSurviveTheStore(t *testing.T) {
	record := ownership.Record{Holder: "a", Term: 7, Ordering: true, Former: "b", RecentLoads: 3}
	encoded, err := record.Encode()
	require.NoError(t, err)
	decoded, err := ownership.DecodeRecord(encoded)
	require.NoError(t, err)
	assert.Equal(t, record, decoded)
}
