// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package followed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/followed"
)

var begin = time.Unix(1000, 0)

func after(d time.Duration) time.Time {
	return begin.Add(d)
}

// records encodes the records of the given revisions, each of which creates one adapter.
func records(t *testing.T, revisions ...int64) [][]byte {
	t.Helper()
	var out [][]byte
	for _, r := range revisions {
		data, err := catalog.EncodeRecord(catalog.Record{Revision: r, Changes: []catalog.Change{
			{Kind: catalog.CreateAdapter, Name: fmt.Sprintf("a%d", r), Base: "base"},
		}})
		require.NoError(t, err)
		out = append(out, data)
	}
	return out
}

// configurationAt returns a configuration at the given revision.
func configurationAt(t *testing.T, revision int64) *followed.Configuration {
	t.Helper()
	c := followed.New()
	var all []int64
	for r := int64(1); r <= revision; r++ {
		all = append(all, r)
	}
	out := c.Advance(fleet.Records{Head: revision, Records: records(t, all...)}, false)
	require.NoError(t, out.Err)
	require.Equal(t, revision, c.Revision())
	return c
}

// snapshotAt returns the stored form of the configuration at a revision.
func snapshotAt(t *testing.T, revision int64) []byte {
	t.Helper()
	data, err := catalog.EncodeSnapshot(configurationAt(t, revision).Catalog())
	require.NoError(t, err)
	return data
}

func TestAdvanceWithLostLateAndRepeatedRecords(t *testing.T) {
	for _, row := range []struct {
		name      string
		head      int64
		revisions []int64
		outcome   followed.Outcome
		revision  int64
	}{
		{"the next record", 4, []int64{4}, followed.Outcome{Changed: true}, 4},
		{"two records at once", 5, []int64{4, 5}, followed.Outcome{Changed: true}, 5},
		{"some records in force already", 4, []int64{2, 3, 4}, followed.Outcome{Changed: true}, 4},
		{"repeated", 3, []int64{2, 3}, followed.Outcome{}, 3},
		{"empty", 3, nil, followed.Outcome{}, 3},
		{"a sender with a lower head", 2, []int64{2}, followed.Outcome{Older: true}, 3},
		{"a sender with a lower head sends a higher record", 2, []int64{4}, followed.Outcome{Older: true}, 3},
		{"the preceding record was lost", 5, []int64{5}, followed.Outcome{Err: catalog.ErrRevisionGap{Have: 3, Got: 5}}, 3},
		{"a record in between was lost", 6, []int64{4, 6}, followed.Outcome{Err: catalog.ErrRevisionGap{Have: 4, Got: 6}, Changed: true}, 4},
		{"the head alone", 9, nil, followed.Outcome{}, 3},
	} {
		c := configurationAt(t, 3)
		require.Equal(t, row.outcome, c.Advance(fleet.Records{Head: row.head, Records: records(t, row.revisions...)}, false), row.name)
		require.Equal(t, row.revision, c.Revision(), row.name)
		require.Equal(t, max(row.head, 3), c.Head(), row.name)
		require.Len(t, c.Catalog().Adapters, int(row.revision), row.name)
	}
}

func TestMalformedRecordsDoNotChangeConfiguration(t *testing.T) {
	c := configurationAt(t, 3)
	for _, r := range []fleet.Records{{Head: 4, Records: [][]byte{{1}}}, {Head: 4, Snapshot: []byte("x")}} {
		out := c.Advance(r, false)
		require.Error(t, out.Err)
		require.False(t, out.Changed)
	}
	require.EqualValues(t, 3, c.Revision())
}

func TestOlderSnapshotIsNotApplied(t *testing.T) {
	old, err := catalog.EncodeSnapshot(configurationAt(t, 2).Catalog())
	require.NoError(t, err)
	c := configurationAt(t, 3)
	require.Equal(t, followed.Outcome{}, c.Advance(fleet.Records{Head: 3, Snapshot: old}, false))
	require.EqualValues(t, 3, c.Revision())
	require.True(t, c.Advance(fleet.Records{Head: 2, Snapshot: old}, true).Changed, "the seeded fault applies the lower revision")
	require.EqualValues(t, 2, c.Revision())
}

func TestOutdatedPeerGetsMissingRecordsOrSnapshot(t *testing.T) {
	c := configurationAt(t, 3)
	for _, row := range []struct {
		revision int64
		records  int
	}{{0, 3}, {2, 1}, {3, 0}, {9, 0}} {
		out, err := c.RecordsAfter(row.revision)
		require.NoError(t, err)
		require.EqualValues(t, 3, out.Head)
		require.Len(t, out.Records, row.records, "after revision %d", row.revision)
		require.Empty(t, out.Snapshot)
	}
	bySnapshot := followed.New()
	snapshot, err := catalog.EncodeSnapshot(c.Catalog())
	require.NoError(t, err)
	require.True(t, bySnapshot.Advance(fleet.Records{Head: 3, Snapshot: snapshot}, false).Changed)
	out, err := bySnapshot.RecordsAfter(1)
	require.NoError(t, err)
	require.NotEmpty(t, out.Snapshot, "the kept records do not reach back to revision 1")
	require.Len(t, c.RecentRecords(), 3)
	require.Empty(t, bySnapshot.RecentRecords())
}

func TestMissingRecordsAreRequestedAtMostTenTimesPerSecond(t *testing.T) {
	const every = 100 * time.Millisecond
	c := configurationAt(t, 1)
	require.True(t, c.RequestDue(begin))
	require.False(t, c.RequestDue(after(every-1)))
	require.True(t, c.RequestDue(after(every)), "the request is repeated after a lost answer")
	c.Advance(fleet.Records{Head: 2, Records: records(t, 2)}, false)
	require.True(t, c.RequestDue(after(every)), "after progress the next request is due at once")
	c.Advance(fleet.Records{Head: 2, Records: records(t, 2)}, false)
	require.False(t, c.RequestDue(after(every)), "a repeated answer is no progress")
}

func TestHeadIsHighestAnnouncedRevision(t *testing.T) {
	c := configurationAt(t, 3)
	for _, row := range []struct{ announced, head int64 }{{2, 3}, {7, 7}, {5, 7}, {-1, 7}} {
		c.RecordRevision(row.announced)
		require.Equal(t, row.head, c.Head())
	}
	require.EqualValues(t, 3, c.Revision(), "an announcement does not change the revision in force")
}
