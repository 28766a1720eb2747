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
	// megabyte is the size of an answer that takes 0.8 s on the slowest link. It is considered lost 0.1 s later.
	megabyte = 1_000_000
	lostAt   = 900 * time.Millisecond
)

// requestAndSend requests an answer, sends the answers that may be sent now, and returns their requesters.
func requestAndSend(a *followed.AnswerQueue, now time.Time, requester followed.Requester, size int) []string {
	a.Enqueue(now, requester, size)
	return sendDue(a, now, size)
}

// sendDue sends the answers that may be sent now and returns their requesters.
func sendDue(a *followed.AnswerQueue, now time.Time, size int) []string {
	var out []string
	for {
		requester, ok := a.Next(now)
		if !ok {
			return out
		}
		a.RecordSent(now, requester, head, size)
		out = append(out, requester.ID)
	}
}

func TestAnswerInTransitIsNotRepeatedUntilConsideredLost(t *testing.T) {
	for _, row := range []struct {
		name      string
		requester followed.Requester
		at        time.Duration
		again     bool
	}{
		{"the same request", followed.Requester{ID: "a", Boot: 1}, lostAt - 1, false},
		{"after another peer sent a part", followed.Requester{ID: "a", Boot: 1, After: head - 1}, lostAt - 1, false},
		{"after the answer arrived", followed.Requester{ID: "a", Boot: 1, After: head}, time.Millisecond, true},
		{"in another run", followed.Requester{ID: "a", Boot: 2}, time.Millisecond, true},
		{"after the answer is considered lost", followed.Requester{ID: "a", Boot: 1}, lostAt, true},
	} {
		var a followed.AnswerQueue
		require.Equal(t, []string{"a"}, requestAndSend(&a, begin, followed.Requester{ID: "a", Boot: 1}, megabyte), row.name)
		require.Equal(t, row.again, len(requestAndSend(&a, after(row.at), row.requester, megabyte)) > 0, row.name)
	}
}

func TestAnswersInTransitAreBoundedAndSentInOrder(t *testing.T) {
	var a followed.AnswerQueue
	var got []string
	for i := range 6 {
		got = append(got, requestAndSend(&a, begin, followed.Requester{ID: fmt.Sprint(i)}, megabyte)...)
	}
	require.Equal(t, []string{"0"}, got)
	a.RevisionReached("0", head-1)
	require.Empty(t, sendDue(&a, after(time.Millisecond), megabyte), "the requester has only reached an older revision")
	a.RevisionReached("2", head)
	a.RevisionReached("0", head)
	require.Equal(t, []string{"1"}, sendDue(&a, after(time.Millisecond), megabyte))
	a.RevisionReached("1", head)
	require.Equal(t, []string{"3"}, sendDue(&a, after(time.Millisecond), megabyte), "2 has the revision from another peer")
	a.Enqueue(after(5*time.Second), followed.Requester{ID: "5"}, megabyte)
	require.Equal(t, []string{"5"}, sendDue(&a, after(5*time.Second), megabyte), "an expired answer no longer counts against the window")
}

func TestSmallerAnswersShareTheWindow(t *testing.T) {
	var a followed.AnswerQueue
	var got []string
	for i := range 6 {
		got = append(got, requestAndSend(&a, begin, followed.Requester{ID: fmt.Sprint(i)}, megabyte/4)...)
	}
	require.Equal(t, []string{"0", "1", "2", "3"}, got)
}

func TestRequesterKeepsPositionOnlyIfRequestIsRepeated(t *testing.T) {
	var a followed.AnswerQueue
	require.Len(t, requestAndSend(&a, begin, followed.Requester{ID: "first"}, 2*megabyte), 1)
	for _, id := range []string{"x", "y", "z"} {
		a.Enqueue(begin, followed.Requester{ID: id}, megabyte)
	}
	// The announced bytes for x are 0.25 of its answer, which is 0.2 s plus 0.1 s of latency. It keeps its position 0.1 s longer.
	require.Equal(t, megabyte/4, a.BytesToWaitFor(begin, "x"))
	require.Equal(t, megabyte/2, a.BytesToWaitFor(begin, "y"))
	a.Enqueue(after(300*time.Millisecond), followed.Requester{ID: "x"}, megabyte)
	a.Enqueue(after(300*time.Millisecond), followed.Requester{ID: "z"}, megabyte)
	a.RevisionReached("first", head)
	require.Equal(t, []string{"x"}, sendDue(&a, after(600*time.Millisecond), megabyte))
	a.RevisionReached("x", head)
	require.Equal(t, []string{"z"}, sendDue(&a, after(601*time.Millisecond), megabyte), "y did not repeat its request")
}

func TestBytesToWaitForOfRequester(t *testing.T) {
	var a followed.AnswerQueue
	require.Zero(t, a.BytesToWaitFor(begin, "a"), "no request has been enqueued yet")
	require.Len(t, requestAndSend(&a, begin, followed.Requester{ID: "a"}, megabyte), 1)
	require.Equal(t, megabyte, a.BytesToWaitFor(begin, "a"))
	require.Equal(t, megabyte/2, a.BytesToWaitFor(after(400*time.Millisecond), "a"))
	require.Equal(t, 1, a.BytesToWaitFor(after(lostAt-1), "a"))
	a = followed.AnswerQueue{}
	require.Len(t, requestAndSend(&a, begin, followed.Requester{ID: "a"}, megabyte/2), 1)
	require.Len(t, requestAndSend(&a, begin, followed.Requester{ID: "b"}, megabyte/4), 1)
	require.Equal(t, megabyte*3/4, a.BytesToWaitFor(begin, "b"), "the two answers share the link")
}

func TestExpectedAnswerDelaysNextRequest(t *testing.T) {
	c := configurationAt(t, 1)
	require.True(t, c.RequestDue(begin))
	c.Expect(begin, 2, megabyte)
	require.EqualValues(t, 2, c.Head())
	require.False(t, c.RequestDue(after(lostAt-1)))
	require.True(t, c.RequestDue(after(lostAt)))
	c.Expect(after(lostAt), 2, 1<<62)
	require.True(t, c.RequestDue(after(time.Minute)), "the announced bytes are limited")
	c.Expect(after(time.Minute), 2, megabyte)
	require.True(t, c.Advance(fleet.Records{Head: 2, Records: records(t, 2)}, false).Changed)
	require.True(t, c.RequestDue(after(time.Minute)), "the expected records have arrived")
	c.Expect(after(2*time.Minute), 2, megabyte)
	require.True(t, c.RequestDue(after(2*time.Minute)), "the announced revision is in force already")
}

func TestUnansweredRequestsBackOff(t *testing.T) {
	c := configurationAt(t, 1)
	var asked []int
	for ms := 0; ms < 3000; ms += 10 {
		if c.RequestDue(after(time.Duration(ms) * time.Millisecond)) {
			asked = append(asked, ms)
		}
	}
	require.Equal(t, []int{0, 100, 300, 700, 1500, 2300}, asked)
}

func TestSnapshotIsEncodedOncePerRevision(t *testing.T) {
	c := followed.New()
	first, err := configurationAt(t, 3).RecordsAfter(0)
	require.NoError(t, err)
	require.NotEmpty(t, first.Records)
	bySnapshot := snapshotAt(t, 3)
	require.True(t, c.Advance(fleet.Records{Head: 3, Snapshot: bySnapshot}, false).Changed)
	one, err := c.RecordsAfter(0)
	require.NoError(t, err)
	other, err := c.RecordsAfter(1)
	require.NoError(t, err)
	require.Same(t, &one.Snapshot[0], &other.Snapshot[0])
	require.True(t, c.Advance(fleet.Records{Head: 4, Snapshot: snapshotAt(t, 4)}, false).Changed)
	next, err := c.RecordsAfter(0)
	require.NoError(t, err)
	fresh := followed.New()
	require.True(t, fresh.Advance(fleet.Records{Head: 4, Snapshot: next.Snapshot}, false).Changed)
	require.EqualValues(t, 4, fresh.Revision(), "the snapshot is of the new revision")
}
