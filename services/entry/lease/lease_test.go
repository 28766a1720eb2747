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
	options = lease.Options{Window: 3500 * time.Millisecond, OrderTimeout: 800 * time.Millisecond, MinReturnDelay: 3 * time.Second}
)

func TestWaitCoversTheFormerHoldersTime(t *testing.T) {
	full := options.Window + 2*options.OrderTimeout
	cases := map[string]struct {
		replaced lease.Record
		found    bool
		wait     time.Duration
	}{
		"no former record":                       {found: false, wait: 0},
		"holder that may still send orders":      {replaced: lease.Record{Holder: "b", Ordering: true}, found: true, wait: full},
		"holder that waits for an earlier one":   {replaced: lease.Record{Holder: "b", Former: "a"}, found: true, wait: full},
		"holder that released the record":        {replaced: lease.Record{Holder: "b", Ordering: true, Released: true}, found: true, wait: 0},
		"released, this instance held it before": {replaced: lease.Record{Holder: "b", Former: "self", Ordering: true, Released: true}, found: true, wait: options.MinReturnDelay},
		"released, this instance is an earlier holder": {
			replaced: lease.Record{Holder: "b", Former: "c", Earlier: []string{"d", "self"}, Ordering: true, Released: true}, found: true, wait: options.MinReturnDelay,
		},
		"released, other instances are earlier holders": {
			replaced: lease.Record{Holder: "b", Former: "c", Earlier: []string{"d"}, Ordering: true, Released: true}, found: true, wait: 0,
		},
		"holder that may still send orders, this instance held it before": {replaced: lease.Record{Holder: "b", Former: "self", Ordering: true}, found: true, wait: full},
		"earlier process of this instance":                                {replaced: lease.Record{Holder: "self", Ordering: true}, found: true, wait: options.OrderTimeout / 2},
		"this instance, still waiting":                                    {replaced: lease.Record{Holder: "self", Former: "b"}, found: true, wait: full},
		"other holder that never sent orders":                             {replaced: lease.Record{Holder: "b", Former: "self"}, found: true, wait: options.OrderTimeout / 2},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.wait, options.Wait("self", test.replaced, test.found))
		})
	}
}

// TestTwoHoldersNeverOrderAtOnce simulates a holder that is cut off right after a confirming read and a successor
// that takes the record at the same time, for several ages of that read.
func TestTwoHoldersNeverOrderAtOnce(t *testing.T) {
	for _, confirmedBefore := range []time.Duration{0, time.Millisecond, time.Second, 2 * time.Second} {
		former := lease.Begin(options, lease.Record{Holder: "a", Term: 1, Ordering: true}, 10, start, start, 0)
		taken := start.Add(5 * time.Second)
		former.Confirm(taken.Add(-confirmedBefore), 10)
		record := lease.Record{Holder: "b", Term: 2, Former: "a"}
		successor := lease.Begin(options, record, 11, taken, taken.Add(4*time.Millisecond), options.Wait("b", former.Record(), true))
		for step := range 1200 {
			now := taken.Add(time.Duration(step) * 10 * time.Millisecond)
			if successor.WaitOver(now) && !successor.Record().Ordering {
				record.Ordering = true
				successor.RecordRewrite(now, record, 12)
			}
			if former.MayOrder(now) {
				// An order may arrive as late as its time-out.
				assert.False(t, successor.MayOrder(now.Add(options.OrderTimeout)))
			}
		}
		require.True(t, successor.Record().Ordering, "the successor eventually sends orders")
	}
}

func TestLeaseEndsWhenRecordChanged(t *testing.T) {
	held := lease.Begin(options, lease.Record{Holder: "a", Term: 1, Ordering: true}, 10, start, start, 0)
	require.True(t, held.MayOrder(start.Add(time.Second)))
	held.Confirm(start.Add(time.Second), 11)
	assert.True(t, held.Ended())
	assert.False(t, held.MayOrder(start.Add(time.Second)))
}

func TestLeaseStopsWithoutConfirmation(t *testing.T) {
	held := lease.Begin(options, lease.Record{Holder: "a", Term: 1, Ordering: true}, 10, start, start, 0)
	assert.True(t, held.MayOrder(start.Add(options.Window-time.Millisecond)))
	assert.False(t, held.MayOrder(start.Add(options.Window)))
	held.Confirm(start.Add(options.Window), 10)
	assert.True(t, held.MayOrder(start.Add(options.Window+time.Second)))
}

func TestRecordEncodingRoundTrip(t *testing.T) {
	record := lease.Record{Holder: "a", Term: 7, Ordering: true, Former: "b", RecentLoads: 3}
	encoded, err := record.Encode()
	require.NoError(t, err)
	decoded, err := lease.DecodeRecord(encoded)
	require.NoError(t, err)
	assert.Equal(t, record, decoded)
}

// TestRecordCompatibleWithPreviousVersion: the previous version does not write earlier holders, and ignores them when
// it reads a record.
func TestRecordCompatibleWithPreviousVersion(t *testing.T) {
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
