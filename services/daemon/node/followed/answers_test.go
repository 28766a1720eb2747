// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package followed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/followed"
)

const (
	head = 9
	// megabyte takes 0.8 s of the slowest link, and counts as lost 0.1 s later.
	megabyte = 1_000_000
	lostAt   = 900 * time.Millisecond
)

// sent asks for an answer and sends it if it may be sent now; it gives to whom.
func sent(a *followed.Answers, now time.Time, asker followed.Asker, size int) []string {
	a.Ask(now, asker, size)
	return next(a, now, size)
}

// next sends what may be sent now.
func next(a *followed.Answers, now time.Time, size int) []string {
	var out []string
	for {
		asker, ok := a.Next(now)
		if !ok {
			return out
		}
		a.Sent(now, asker, head, size)
		out = append(out, asker.ID)
	}
}

func TestAnAnswerUnderWayIsNotSentAgainUntilItCountsAsLost(t *testing.T) {
	for _, row := range []struct {
		name  string
		asker followed.Asker
		at    time.Duration
		again bool
	}{
		{"the same request", followed.Asker{ID: "a", Boot: 1}, lostAt - 1, false},
		{"after some of it came elsewhere", followed.Asker{ID: "a", Boot: 1, After: head - 1}, lostAt - 1, false},
		{"after it came", followed.Asker{ID: "a", Boot: 1, After: head}, time.Millisecond, true},
		{"in another life", followed.Asker{ID: "a", Boot: 2}, time.Millisecond, true},
		{"lost", followed.Asker{ID: "a", Boot: 1}, lostAt, true},
	} {
		var a followed.Answers
		require.Equal(t, []string{"a"}, sent(&a, begin, followed.Asker{ID: "a", Boot: 1}, megabyte), row.name)
		require.Equal(t, row.again, len(sent(&a, after(row.at), row.asker, megabyte)) > 0, row.name)
	}
}

func TestAnswersUnderWayToAllAreBoundedAndGoInTurn(t *testing.T) {
	var a followed.Answers
	var got []string
	for i := range 6 {
		got = append(got, sent(&a, begin, followed.Asker{ID: fmt.Sprint(i)}, megabyte)...)
	}
	require.Equal(t, []string{"0"}, got)
	a.Reached("0", head-1)
	require.Empty(t, next(&a, after(time.Millisecond), megabyte), "it has something older")
	a.Reached("2", head)
	a.Reached("0", head)
	require.Equal(t, []string{"1"}, next(&a, after(time.Millisecond), megabyte))
	a.Reached("1", head)
	require.Equal(t, []string{"3"}, next(&a, after(time.Millisecond), megabyte), "2 has it from elsewhere")
	a.Ask(after(5*time.Second), followed.Asker{ID: "5"}, megabyte)
	require.Equal(t, []string{"5"}, next(&a, after(5*time.Second), megabyte), "what is under way no more leaves room")
}

func TestSmallerAnswersShareTheWindow(t *testing.T) {
	var a followed.Answers
	var got []string
	for i := range 6 {
		got = append(got, sent(&a, begin, followed.Asker{ID: fmt.Sprint(i)}, megabyte/4)...)
	}
	require.Equal(t, []string{"0", "1", "2", "3"}, got)
}

func TestAnAskerThatAsksAgainKeepsItsPlaceAndOneThatDoesNotLosesIt(t *testing.T) {
	var a followed.Answers
	require.Len(t, sent(&a, begin, followed.Asker{ID: "first"}, 2*megabyte), 1)
	for _, id := range []string{"x", "y", "z"} {
		a.Ask(begin, followed.Asker{ID: id}, megabyte)
	}
	// x is told 0.25 of its answer's bytes, 0.2 s and 0.1 s more, and keeps its place 0.1 s longer.
	require.Equal(t, megabyte/4, a.Coming(begin, "x"))
	require.Equal(t, megabyte/2, a.Coming(begin, "y"))
	a.Ask(after(300*time.Millisecond), followed.Asker{ID: "x"}, megabyte)
	a.Ask(after(300*time.Millisecond), followed.Asker{ID: "z"}, megabyte)
	a.Reached("first", head)
	require.Equal(t, []string{"x"}, next(&a, after(600*time.Millisecond), megabyte))
	a.Reached("x", head)
	require.Equal(t, []string{"z"}, next(&a, after(601*time.Millisecond), megabyte), "y asked no more")
}

func TestAnAskerIsToldHowLongToWait(t *testing.T) {
	var a followed.Answers
	require.Zero(t, a.Coming(begin, "a"), "it has not asked")
	require.Len(t, sent(&a, begin, followed.Asker{ID: "a"}, megabyte), 1)
	require.Equal(t, megabyte, a.Coming(begin, "a"))
	require.Equal(t, megabyte/2, a.Coming(after(400*time.Millisecond), "a"))
	require.Equal(t, 1, a.Coming(after(lostAt-1), "a"))
	a = followed.Answers{}
	require.Len(t, sent(&a, begin, followed.Asker{ID: "a"}, megabyte/2), 1)
	require.Len(t, sent(&a, begin, followed.Asker{ID: "b"}, megabyte/4), 1)
	require.Equal(t, megabyte*3/4, a.Coming(begin, "b"), "both share the link")
}

func TestWhatIsUnderWayIsAskedForAfterItsTime(t *testing.T) {
	c := at(t, 1)
	require.True(t, c.AskDue(begin))
	c.Expect(begin, 2, megabyte)
	require.EqualValues(t, 2, c.Head())
	require.False(t, c.AskDue(after(lostAt-1)))
	require.True(t, c.AskDue(after(lostAt)))
	c.Expect(after(lostAt), 2, 1<<62)
	require.True(t, c.AskDue(after(time.Minute)), "however much a peer tells of")
	c.Expect(after(time.Minute), 2, megabyte)
	require.True(t, c.Advance(fleet.Records{Head: 2, Records: records(t, 2)}, false).Changed)
	require.True(t, c.AskDue(after(time.Minute)), "it came")
	c.Expect(after(2*time.Minute), 2, megabyte)
	require.True(t, c.AskDue(after(2*time.Minute)), "it is in force")
}

func TestRequestsWithoutAnAnswerGrowRare(t *testing.T) {
	c := at(t, 1)
	var asked []int
	for ms := 0; ms < 3000; ms += 10 {
		if c.AskDue(after(time.Duration(ms) * time.Millisecond)) {
			asked = append(asked, ms)
		}
	}
	require.Equal(t, []int{0, 100, 300, 700, 1500, 2300}, asked)
}

func TestASnapshotIsEncodedOnceForARevision(t *testing.T) {
	c := followed.New()
	first, err := at(t, 3).After(0)
	require.NoError(t, err)
	require.NotEmpty(t, first.Records)
	bySnapshot := snapshotAt(t, 3)
	require.True(t, c.Advance(fleet.Records{Head: 3, Snapshot: bySnapshot}, false).Changed)
	one, err := c.After(0)
	require.NoError(t, err)
	other, err := c.After(1)
	require.NoError(t, err)
	require.Same(t, &one.Snapshot[0], &other.Snapshot[0])
	require.True(t, c.Advance(fleet.Records{Head: 4, Snapshot: snapshotAt(t, 4)}, false).Changed)
	next, err := c.After(0)
	require.NoError(t, err)
	fresh := followed.New()
	require.True(t, fresh.Advance(fleet.Records{Head: 4, Snapshot: next.Snapshot}, false).Changed)
	require.EqualValues(t, 4, fresh.Revision(), "of the new revision")
}
