// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package journal_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/journal"
)

var start = time.Unix(1000, 0)

// newFilledJournal returns a journal of the given size to which count events were added, one second apart, with the revisions
// 1 to count.
func newFilledJournal(size, count int) *journal.Journal {
	j := journal.New(size)
	for i := 1; i <= count; i++ {
		j.Add(fleet.Event{At: start.Add(time.Duration(i) * time.Second), Revision: int64(i)})
	}
	return j
}

func revisions(events []fleet.Event) []int64 {
	out := []int64{}
	for _, e := range events {
		out = append(out, e.Revision)
	}
	return out
}

func TestJournalKeepsLatestEventsInOrder(t *testing.T) {
	for count, want := range map[int][]int64{0: {}, 2: {1, 2}, 3: {1, 2, 3}, 4: {2, 3, 4}, 6: {4, 5, 6}, 7: {5, 6, 7}} {
		require.Equal(t, want, revisions(newFilledJournal(3, count).Find(journal.FindEventsOptions{})), "%d events", count)
	}
}

func TestFindLimitReturnsLatestEvents(t *testing.T) {
	j := newFilledJournal(3, 5)
	require.Equal(t, []int64{4, 5}, revisions(j.Find(journal.FindEventsOptions{Limit: 2})))
	require.Equal(t, []int64{3, 4, 5}, revisions(j.Find(journal.FindEventsOptions{Limit: 9})))
}

func TestFindMatchesEachField(t *testing.T) {
	j := journal.New(10)
	j.Add(fleet.Event{At: start, Kind: fleet.EventEvict, Request: "r", Adapter: "a@1", Other: "b@1", Endpoint: "e", Revision: 7})
	j.Add(fleet.Event{At: start.Add(-1), Kind: fleet.EventLoad})
	for _, o := range []journal.FindEventsOptions{
		{Kind: fleet.EventEvict}, {Request: "r"}, {Adapter: "a@1"}, {Adapter: "b@1"}, {Endpoint: "e"}, {Revision: 7}, {Since: start},
	} {
		found := j.Find(o)
		require.Len(t, found, 1, "%+v", o)
		require.Equal(t, fleet.EventEvict, found[0].Kind, "%+v", o)
	}
	require.Empty(t, j.Find(journal.FindEventsOptions{Kind: fleet.EventLoad, Endpoint: "e"}), "an event must match every field that is set")
}
