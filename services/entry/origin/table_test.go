// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package origin_test

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

const maxRecords = 131072

var (
	start = time.Unix(1_000_000, 0)
	one   = origin.Origin{Service: "chat", Software: "1.0"}
	two   = origin.Origin{Service: "chat", Software: "2.0"}
)

// after returns a time after the start of a test.
func after(span time.Duration) time.Time {
	return start.Add(span)
}

// record returns a record that lives for a minute after the start.
func record(key origin.Key, began origin.Origin) origin.Record {
	return origin.Record{Key: key, Origin: began, Until: after(time.Minute)}
}

// TestKeyIsTheSameInAllVersions pins a key, since instances of several versions of the program must agree on it.
func TestKeyIsTheSameInAllVersions(t *testing.T) {
	assert.Equal(t, origin.Key(0xda51c083808cf457), origin.KeyOf("route", "attempt"))
	assert.NotEqual(t, origin.KeyOf("ab", "c"), origin.KeyOf("a", "bc"))
}

func TestRecordIsKnownUntilItExpires(t *testing.T) {
	table := origin.NewTable()
	table.Add(start, record(1, one))
	assert.Equal(t, origin.Result{Verdict: origin.Known, Origin: one}, table.Lookup(after(time.Minute-1), 1))
	assert.Equal(t, origin.Result{}, table.Lookup(after(time.Minute), 1))
	assert.Equal(t, origin.Result{}, table.Lookup(start, 2))
}

func TestRecordToldTwiceIsExtended(t *testing.T) {
	table := origin.NewTable()
	table.Add(start, record(1, one))
	table.Add(start, origin.Record{Key: 1, Origin: one, Until: after(2 * time.Minute)})
	table.Add(start, record(1, one))
	assert.Equal(t, origin.Result{Verdict: origin.Known, Origin: one}, table.Lookup(after(2*time.Minute-1), 1))
	assert.Equal(t, 1, table.Len())
}

func TestTwoOriginsAreAmbiguous(t *testing.T) {
	table := origin.NewTable()
	table.Add(start, record(1, one))
	table.Add(start, record(1, two))
	table.Add(start, record(1, one))
	assert.Equal(t, origin.Result{Verdict: origin.Ambiguous}, table.Lookup(start, 1))
}

func TestServiceIsPartOfOrigin(t *testing.T) {
	table := origin.NewTable()
	table.Add(start, record(1, one))
	table.Add(start, record(1, origin.Origin{Service: "other", Software: one.Software}))
	assert.Equal(t, origin.Result{Verdict: origin.Ambiguous}, table.Lookup(start, 1))
}

func TestAmbiguityIsTold(t *testing.T) {
	table := origin.NewTable()
	table.Add(start, record(1, one))
	table.Add(start, origin.Record{Key: 1, Origin: one, Until: after(time.Minute), Ambiguous: true})
	assert.Equal(t, origin.Result{Verdict: origin.Ambiguous}, table.Lookup(start, 1))
}

func TestForwardedOriginCountsMoreThanExpectedOne(t *testing.T) {
	for name, test := range map[string]struct {
		added    []origin.Record
		expected origin.Result
	}{
		"expected":                          {[]origin.Record{{Origin: one, Expected: true}}, knownOne},
		"expected, then forwarded":          {[]origin.Record{{Origin: one, Expected: true}, {Origin: one}}, knownOne},
		"sent on before the first event":    {[]origin.Record{{Origin: one, Expected: true}, {Origin: two, Expected: true}}, ambiguous},
		"sent on, then forwarded":           {[]origin.Record{{Origin: one, Expected: true}, {Origin: two, Expected: true}, {Origin: two}}, knownTwo},
		"forwarded, and expected told late": {[]origin.Record{{Origin: two}, {Origin: one, Expected: true}}, knownTwo},
		"forwarded, and ambiguity told late": {
			[]origin.Record{{Origin: two}, {Origin: one, Expected: true, Ambiguous: true}}, knownTwo,
		},
		"forwarded twice": {[]origin.Record{{Origin: one, Expected: true}, {Origin: one}, {Origin: two}}, ambiguous},
	} {
		table := origin.NewTable()
		for _, added := range test.added {
			added.Key, added.Until = 1, start.Add(time.Minute)
			table.Add(start, added)
		}
		assert.Equal(t, test.expected, table.Lookup(start, 1), name)
	}
}

func TestExpiredRecordDoesNotMakeNextOneAmbiguous(t *testing.T) {
	table := origin.NewTable()
	table.Add(start, record(1, one))
	now := after(2 * time.Minute)
	table.Add(now, origin.Record{Key: 1, Origin: two, Until: now.Add(time.Second)})
	assert.Equal(t, origin.Result{Verdict: origin.Known, Origin: two}, table.Lookup(now, 1))
	assert.Equal(t, 1, table.Len())
}

func TestLifetimeIsBounded(t *testing.T) {
	table := origin.NewTable()
	table.Add(start, origin.Record{Key: 1, Origin: one, Until: after(time.Hour)})
	assert.Equal(t, origin.Known, table.Lookup(after(origin.MaxLifetime-1), 1).Verdict)
	assert.Equal(t, origin.Unknown, table.Lookup(after(origin.MaxLifetime), 1).Verdict)
}

func TestRecordThatHasExpiredIsNotAdded(t *testing.T) {
	table := origin.NewTable()
	table.Add(start, origin.Record{Key: 1, Origin: one, Until: start})
	assert.Zero(t, table.Len())
}

func TestOldestRecordsGoFirst(t *testing.T) {
	table := origin.NewTable()
	for key := range origin.Key(maxRecords + 10) {
		table.Add(start, record(key, one))
	}
	assert.Equal(t, maxRecords, table.Len())
	assert.Equal(t, origin.Unknown, table.Lookup(start, 9).Verdict)
	assert.Equal(t, origin.Known, table.Lookup(start, 10).Verdict)
	assert.Equal(t, origin.Known, table.Lookup(start, maxRecords+9).Verdict)
}

func TestSweepRemovesExpiredRecords(t *testing.T) {
	table := origin.NewTable()
	table.Add(start, record(1, one))
	table.Add(start, origin.Record{Key: 2, Origin: one, Until: after(2 * time.Minute)})
	table.Sweep(after(time.Minute))
	assert.Equal(t, 1, table.Len())
	assert.Equal(t, origin.Known, table.Lookup(after(time.Minute), 2).Verdict)
	table.Add(after(time.Minute), origin.Record{Key: 1, Origin: two, Until: after(2 * time.Minute)})
	assert.Equal(t, origin.Result{Verdict: origin.Known, Origin: two}, table.Lookup(after(time.Minute), 1))
}

func TestOwnKeysAreThoseOfOneServiceNewestFirst(t *testing.T) {
	table := origin.NewTable()
	own := func(key origin.Key, service string, until time.Time) {
		table.Add(start, origin.Record{Key: key, Origin: origin.Origin{Service: service}, Until: until, Own: true})
	}
	own(1, "chat", after(time.Minute))
	own(2, "chat", after(time.Second))
	own(3, "other", after(time.Minute))
	own(4, "chat", after(time.Minute))
	table.Add(start, record(5, one))
	assert.Equal(t, []origin.Key{4, 1}, table.OwnKeys(after(time.Second), "chat"))
}

func TestGetReturnsRecord(t *testing.T) {
	table := origin.NewTable()
	added := origin.Record{Key: 1, Origin: one, Until: after(time.Minute), Own: true}
	table.Add(start, added)
	got, exists := table.Get(start, 1)
	require.True(t, exists)
	assert.Equal(t, added, got)
}

// BenchmarkTableMemory reports what a record takes in a full table, whose oldest records have been replaced several times.
func BenchmarkTableMemory(b *testing.B) {
	for range b.N {
		before := heap()
		table := origin.NewTable()
		for i := range 5 * maxRecords {
			table.Add(start, origin.Record{Key: origin.KeyOf("route", strconv.Itoa(i)), Origin: one, Until: after(time.Minute)})
		}
		b.ReportMetric(float64(heap()-before)/maxRecords, "B/record")
		runtime.KeepAlive(table)
	}
}

// heap returns the bytes that cannot be freed.
func heap() uint64 {
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc
}

// BenchmarkSweep sweeps a full table of which nothing has expired.
func BenchmarkSweep(b *testing.B) {
	table := origin.NewTable()
	for i := range maxRecords {
		table.Add(start, origin.Record{Key: origin.KeyOf("route", strconv.Itoa(i)), Origin: one, Until: after(time.Minute)})
	}
	for b.Loop() {
		table.Sweep(start)
	}
}

func TestExpiredStreamsOfThisInstanceAreNotDenied(t *testing.T) {
	table := origin.NewTable()
	table.Add(start, origin.Record{Key: 1, Origin: one, Until: after(time.Minute), Own: true})
	table.Add(start, origin.Record{Key: 2, Origin: one, Until: after(time.Minute)})
	assert.False(t, table.MayHaveForgotten(start, 1), "it knows it")
	for _, age := range []time.Duration{time.Minute, 2 * time.Minute, origin.MaxLifetime} {
		assert.True(t, table.MayHaveForgotten(after(age), 1), age)
		assert.False(t, table.MayHaveForgotten(after(age), 2), age)
		table.Sweep(after(age))
		assert.True(t, table.MayHaveForgotten(after(age), 1), age)
		assert.Equal(t, unknown, table.Lookup(after(age), 1), age)
	}
	for age := origin.MaxLifetime; age <= 4*origin.MaxLifetime; age += time.Minute {
		table.Sweep(after(age))
	}
	assert.False(t, table.MayHaveForgotten(after(4*origin.MaxLifetime), 1))
}
