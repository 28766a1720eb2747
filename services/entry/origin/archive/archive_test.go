// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package archive_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/archive"
	"github.com/shelfledge/shelfledge/tests/memorystore"
)

var (
	one = origin.Origin{Service: "chat", Software: "1.0"}
	two = origin.Origin{Service: "chat", Software: "2.0"}
)

// fixture is a store with two processes that archive there, and a clock.
type fixture struct {
	t       *testing.T
	now     time.Time
	store   *memorystore.Store
	written *archive.Archive
	other   *archive.Archive
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, now: time.Unix(1000, 0)}
	f.store = memorystore.New(func() time.Time { return f.now })
	f.written = &archive.Archive{Store: f.store.Client(), Writer: 1}
	f.other = &archive.Archive{Store: f.store.Client(), Writer: 2}
	return f
}

// read returns what the other process reads.
func (f *fixture) read() archive.Content {
	f.t.Helper()
	content, err := f.other.Read(f.t.Context(), f.now)
	require.NoError(f.t, err)
	return content
}

// begun returns records of streams that can be taken up for a time.
func (f *fixture) begun(remaining time.Duration, keys ...origin.Key) []origin.Record {
	records := make([]origin.Record, 0, len(keys))
	for _, key := range keys {
		records = append(records, origin.Record{Key: key, Origin: one, Until: f.now.Add(remaining)})
	}
	return records
}

func TestStreamsStayForAsLongAsTheyCanBeTakenUp(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.written.WriteBegun(t.Context(), f.now, f.begun(time.Minute, 1, 2)))
	f.now = f.now.Add(50 * time.Second)
	require.NoError(t, f.written.WriteBegun(t.Context(), f.now, f.begun(time.Minute, 3)))
	assert.Equal(t, 1, f.store.Counts().Grants, "one lease serves both")
	f.now = f.now.Add(time.Minute - time.Millisecond)
	assert.Len(t, f.read().Begun, 3)
	require.NoError(t, f.written.WriteBegun(t.Context(), f.now, f.begun(time.Minute, 4)))
	f.now = f.now.Add(time.Minute - time.Millisecond)
	assert.Len(t, f.read().Begun, 1, "those of the first lease are gone")
	f.now = f.now.Add(2 * time.Minute)
	assert.Empty(t, f.store.Keys())
}

func TestLongestStreamsAreKeptForMaxLifetime(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.written.WriteBegun(t.Context(), f.now, f.begun(2*origin.MaxLifetime, 1)))
	f.now = f.now.Add(origin.MaxLifetime - time.Millisecond)
	assert.Len(t, f.read().Begun, 1)
	f.now = f.now.Add(time.Millisecond)
	assert.Empty(t, f.store.Keys())
}

func TestBatchIsWrittenUnderNewLeaseIfTheFormerOneExpired(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.written.WriteBegun(t.Context(), f.now, f.begun(time.Minute, 1)))
	slow, later := f.now, f.begun(time.Second, 2)
	f.now = f.now.Add(3 * time.Minute)
	require.ErrorIs(t, f.written.WriteBegun(t.Context(), slow, later), store.ErrLeaseExpired)
	require.NoError(t, f.written.WriteBegun(t.Context(), slow, f.begun(time.Minute, 2)))
	assert.Len(t, f.read().Begun, 1)
}

func TestSoftwaresStayWhileTheyAreRenewed(t *testing.T) {
	f := newFixture(t)
	served := []origin.Sighting{{Origin: one, Age: time.Second}, {Origin: two}}
	require.NoError(t, f.written.WriteServed(t.Context(), served, true, 0))
	f.now = f.now.Add(origin.MaxLifetime - time.Millisecond)
	require.NoError(t, f.written.RenewServed(t.Context()))
	f.now = f.now.Add(origin.MaxLifetime - time.Millisecond)
	content := f.read()
	require.Len(t, content.Served, 1)
	assert.Equal(t, served, content.Served[0].Softwares)
	assert.GreaterOrEqual(t, content.Revision, content.Served[0].Revision)
	f.now = f.now.Add(time.Millisecond)
	assert.Empty(t, f.read().Served)
	assert.ErrorIs(t, f.written.RenewServed(t.Context()), store.ErrLeaseExpired)
	require.NoError(t, f.written.WriteServed(t.Context(), served, true, 0))
	assert.Len(t, f.read().Served, 1)
}

// TestWriteAfterErrorHasItsOwnKey guards against a write without an answer that is done late and hides a later one.
func TestWriteAfterErrorHasItsOwnKey(t *testing.T) {
	f := newFixture(t)
	served := []origin.Sighting{{Origin: one}}
	require.NoError(t, f.written.WriteServed(t.Context(), served, true, 0))
	require.NoError(t, f.written.WriteBegun(t.Context(), f.now, f.begun(time.Minute, 1)))
	before := f.store.Keys()
	f.store.Fail(&store.UnknownError{Cause: t.Context().Err()})
	require.Error(t, f.written.WriteServed(t.Context(), served, true, 0))
	require.Error(t, f.written.WriteBegun(t.Context(), f.now, f.begun(time.Minute, 2)))
	f.store.Fail(nil)
	require.NoError(t, f.written.WriteServed(t.Context(), served, true, 0))
	require.NoError(t, f.written.WriteBegun(t.Context(), f.now, f.begun(time.Minute, 2)))
	assert.Len(t, f.store.Keys(), 2+len(before))
	assert.Contains(t, f.store.Keys(), "shelfledge/streams/begun/0000000000000001-00000003", "2 is the one without an answer")
}

func TestOwnStatementsAreNotRead(t *testing.T) {
	f := newFixture(t)
	require.NoError(t, f.other.WriteServed(t.Context(), []origin.Sighting{{Origin: one}}, true, 0))
	require.NoError(t, f.other.WriteBegun(t.Context(), f.now, f.begun(time.Minute, 1)))
	content := f.read()
	assert.Len(t, content.Served, 1)
	assert.Empty(t, content.Served[0].Softwares)
	assert.True(t, content.IsComplete())
	assert.Len(t, content.Begun, 1)
}

func TestUnreadableEntriesAreCounted(t *testing.T) {
	f := newFixture(t)
	f.store.Put("shelfledge/streams/served/later", []byte{2, 0x80})
	f.store.Put("shelfledge/streams/served/empty", nil)
	f.store.Put("shelfledge/streams/begun/broken", []byte{1, 0xff})
	f.store.Put("shelfledge/streams/another/kind", []byte{9})
	f.store.Put("shelfledge/planner", []byte{1})
	require.NoError(t, f.written.WriteServed(t.Context(), []origin.Sighting{{Origin: one}}, true, 0))
	content := f.read()
	assert.Equal(t, 3, content.Unreadable)
	assert.Len(t, content.Served, 1)
}

func TestArchiveIsCompleteIfNeverWrittenOrStatedToBe(t *testing.T) {
	f := newFixture(t)
	content := f.read()
	assert.True(t, content.IsComplete(), "never written")
	require.NoError(t, f.written.WriteServed(t.Context(), []origin.Sighting{{Origin: one}}, false, 0))
	content = f.read()
	assert.False(t, content.IsComplete(), "its writer did not know all")
	require.NoError(t, f.written.WriteServed(t.Context(), []origin.Sighting{{Origin: one}}, true, 0))
	content = f.read()
	assert.True(t, content.IsComplete())
	f.now = f.now.Add(origin.MaxLifetime)
	content = f.read()
	assert.False(t, content.IsComplete(), "its leases have run out")
}

// TestBrokenValueTakesLittleMemory guards against a value in the store that ends each instance that reads it.
func TestBrokenValueTakesLittleMemory(t *testing.T) {
	f := newFixture(t)
	const many = "\xdd\x7f\xff\xff\xff"
	f.store.Put("shelfledge/streams/served/many", []byte("\x01\x81\xa1w"+many))
	f.store.Put("shelfledge/streams/begun/many", []byte("\x01\x81\xa1g"+many))
	f.store.Put("shelfledge/streams/begun/nested", []byte("\x01\x81\xa1z"+strings.Repeat("\x91", 8<<20)))
	assert.Equal(t, 3, f.read().Unreadable)
}

func TestEraOfUsesIsRead(t *testing.T) {
	f := newFixture(t)
	assert.Zero(t, f.read().WholeEra)
	for _, era := range []int64{0, 1, 300, 2} {
		require.NoError(t, f.written.WriteServed(t.Context(), nil, true, era))
		assert.Equal(t, era, f.read().WholeEra)
		assert.True(t, f.read().Kept)
	}
	f.store.Put("shelfledge/streams/kept", []byte{1})
	assert.Zero(t, f.read().WholeEra, "of a build that states none")
}
