// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/services/entry/lease"
)

var (
	start   = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	options = lease.Options{Window: 3500 * time.Millisecond, OrderTimeout: 800 * time.Millisecond, Turn: 3 * time.Second}
)

func TestWaitCoversTheFormerHoldersTime(t *testing.T) {
	full := options.Window + 2*options.OrderTimeout
	cases := map[string]struct {
		replaced lease.Record
		found    bool
		wait     time.Duration
	}{
		"nobody before":                     {found: false, wait: 0},
		"a holder that may still order":     {replaced: lease.Record{Holder: "b", Ordering: true}, found: true, wait: full},
		"a holder behind an earlier one":    {replaced: lease.Record{Holder: "b", Former: "a"}, found: true, wait: full},
		"a holder that released":            {replaced: lease.Record{Holder: "b", Ordering: true, Released: true}, found: true, wait: 0},
		"released, but this one was before": {replaced: lease.Record{Holder: "b", Former: "self", Ordering: true, Released: true}, found: true, wait: options.Turn},
		"released, but this one was earlier": {
			replaced: lease.Record{Holder: "b", Former: "c", Earlier: []string{"d", "self"}, Ordering: true, Released: true}, found: true, wait: options.Turn,
		},
		"released, and others were earlier": {
			replaced: lease.Record{Holder: "b", Former: "c", Earlier: []string{"d"}, Ordering: true, Released: true}, found: true, wait: 0,
		},
		"this one was before one that may still order": {replaced: lease.Record{Holder: "b", Former: "self", Ordering: true}, found: true, wait: full},
		"an earlier process of this one":               {replaced: lease.Record{Holder: "self", Ordering: true}, found: true, wait: options.OrderTimeout / 2},
		"this one still in its own wait":               {replaced: lease.Record{Holder: "self", Former: "b"}, found: true, wait: full},
		"another that never ordered":                   {replaced: lease.Record{Holder: "b", Former: "self"}, found: true, wait: options.OrderTimeout / 2},
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
		former := lease.Begin(options, lease.Record{Holder: "a", Term: 1, Ordering: true}, 10, start, start, 0)
		taken := start.Add(5 * time.Second)
		former.Confirm(taken.Add(-confirmedBefore), 10)
		record := lease.Record{Holder: "b", Term: 2, Former: "a"}
		successor := lease.Begin(options, record, 11, taken, taken.Add(4*time.Millisecond), options.Wait("b", former.Record(), true))
		for step := range 1200 {
			now := taken.Add(time.Duration(step) * 10 * time.Millisecond)
			if successor.Waited(now) && !successor.Record().Ordering {
				record.Ordering = true
				successor.NoteRewritten(now, record, 12)
			}
			if former.MayOrder(now) {
				// An order may arrive as late as its time-out.
				assert.False(t, successor.MayOrder(now.Add(options.OrderTimeout)))
			}
		}
		require.True(t, successor.Record().Ordering, "the successor orders in the end")
	}
}

func TestALeaseEndsWhenTheRecordChanged(t *testing.T) {
	held := lease.Begin(options, lease.Record{Holder: "a", Term: 1, Ordering: true}, 10, start, start, 0)
	require.True(t, held.MayOrder(start.Add(time.Second)))
	held.Confirm(start.Add(time.Second), 11)
	assert.True(t, held.Over())
	assert.False(t, held.MayOrder(start.Add(time.Second)))
}

func TestALeaseStopsWithoutConfirmation(t *testing.T) {
	held := lease.Begin(options, lease.Record{Holder: "a", Term: 1, Ordering: true}, 10, start, start, 0)
	assert.True(t, held.MayOrder(start.Add(options.Window-time.Millisecond)))
	assert.False(t, held.MayOrder(start.Add(options.Window)))
	held.Confirm(start.Add(options.Window), 10)
	assert.True(t, held.MayOrder(start.Add(options.Window+time.Second)))
}

func TestRecordsSurviveTheStore(t *testing.T) {
	record := lease.Record{Holder: "a", Term: 7, Ordering: true, Former: "b", RecentLoads: 3}
	encoded, err := record.Encode()
	require.NoError(t, err)
	decoded, err := lease.DecodeRecord(encoded)
	require.NoError(t, err)
	assert.Equal(t, record, decoded)
}

// TestARecordOfTheVersionBeforeIsRead: it names no earlier holders, and reads past those that it does not know.
func TestARecordOfTheVersionBeforeIsRead(t *testing.T) {
	type recordBefore struct {
		Holder             string
		Term               int64
		Ordering, Released bool
		Former             string
	}
	before, err := msgpack.Marshal(recordBefore{Holder: "a", Term: 3, Ordering: true, Former: "b"})
	require.NoError(t, err)
	read, err := lease.DecodeRecord(before)
	require.NoError(t, err)
	assert.Equal(t, lease.Record{Holder: "a", Term: 3, Ordering: true, Former: "b"}, read)

	present, err := lease.Record{Holder: "a", Term: 3, Former: "b", Earlier: []string{"c"}}.Encode()
	require.NoError(t, err)
	var known recordBefore
	require.NoError(t, msgpack.Unmarshal(present, &known))
	assert.Equal(t, recordBefore{Holder: "a", Term: 3, Former: "b"}, known)
}
