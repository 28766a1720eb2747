// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package waiting_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/waiting"
)

const limit = 3 * time.Second

var begin = time.Unix(1000, 0)

func after(d time.Duration) time.Time {
	return begin.Add(d)
}

func request(id string, attempt int) *waiting.Request {
	return &waiting.Request{Request: fleet.Request{ID: id, Attempt: attempt}}
}

func TestVerdictOnLateAndRepeatedGrants(t *testing.T) {
	for _, row := range []struct {
		name  string
		grant waiting.GrantState
		want  waiting.Verdict
	}{
		{"awaited and fresh", waiting.GrantState{Awaited: true}, waiting.Use},
		{"awaited, as old as allowed", waiting.GrantState{Awaited: true, Age: limit}, waiting.Use},
		{"awaited, too old", waiting.GrantState{Awaited: true, Age: limit + 1}, waiting.TooOld},
		{"repeated while in use", waiting.GrantState{InUse: true}, waiting.Repeated},
		{"repeated and old", waiting.GrantState{InUse: true, Age: time.Hour}, waiting.Repeated},
		{"for a request that no longer waits", waiting.GrantState{}, waiting.Return},
		{"for a request that no longer waits, old", waiting.GrantState{Age: time.Hour}, waiting.Return},
		{"seeded fault: too old", waiting.GrantState{Awaited: true, Age: time.Hour, AcceptOld: true}, waiting.Use},
		{"seeded fault: no waiting request", waiting.GrantState{AcceptOld: true}, waiting.Use},
		{"seeded fault: in use", waiting.GrantState{InUse: true, AcceptOld: true}, waiting.Repeated},
	} {
		row.grant.Limit = limit
		require.Equal(t, row.want, waiting.DecideGrant(row.grant), row.name)
	}
}

func TestRequestIsSubmittedAgain(t *testing.T) {
	const retry = time.Second
	r := request("q", 0)
	require.True(t, r.SubmitDue(begin), "the first submission is due at once")
	r.MarkSubmitted(begin, retry)
	require.False(t, r.SubmitDue(after(retry-1)))
	require.True(t, r.SubmitDue(after(retry)), "the submission or its answer may have been lost")
	r.MarkSubmitted(begin, retry)
	r.RecordWrongPlacer(begin)
	require.False(t, r.SubmitDue(after(50*time.Millisecond-1)))
	require.True(t, r.SubmitDue(after(50*time.Millisecond)), "the placer has changed")
	r.MarkSubmitted(begin, retry)
	r.ResubmitNow(after(1))
	require.True(t, r.SubmitDue(after(1)), "the grant arrived too late")
}

func TestTimeoutOfPoolWithoutPlacer(t *testing.T) {
	const timeout = 5 * time.Second
	r := request("q", 0)
	require.False(t, r.RecordNoPlacer(begin, timeout))
	require.False(t, r.RecordNoPlacer(after(timeout-1), timeout))
	require.True(t, r.RecordNoPlacer(after(timeout), timeout))
	r.SetPlacer(fleet.Instance{ID: "i2"})
	require.Equal(t, "i2", r.Placer.ID)
	require.False(t, r.RecordNoPlacer(after(timeout), timeout), "the time restarts after a placer was known")
	require.True(t, r.RecordNoPlacer(after(2*timeout), timeout))
}

func TestFindAttemptReturnsOnlyCurrentAttempt(t *testing.T) {
	q := waiting.NewRequests()
	require.True(t, q.Empty())
	for _, r := range []*waiting.Request{request("b", 1), request("a", 0), request("c", 0)} {
		q.Add(r)
	}
	for _, row := range []struct {
		id      string
		attempt int
		found   bool
	}{{"b", 1, true}, {"b", 0, false}, {"b", 2, false}, {"a", 0, true}, {"x", 0, false}} {
		_, found := q.FindAttempt(row.id, row.attempt)
		require.Equal(t, row.found, found, "%+v", row)
	}
	_, found := q.Find("b")
	require.True(t, found)
	var ids []string
	for _, r := range q.Sorted() {
		ids = append(ids, r.Request.ID)
	}
	require.Equal(t, []string{"a", "b", "c"}, ids)
	for _, id := range []string{"a", "a", "b", "c"} {
		q.Remove(id)
	}
	require.True(t, q.Empty())
}

func TestTicketIsRemovedOnce(t *testing.T) {
	u := waiting.NewTicketUses()
	u.Add(fleet.Ticket{ID: "t2", Pool: "p"}, fleet.Request{ID: "q2"})
	u.Add(fleet.Ticket{ID: "t1", Pool: "p"}, fleet.Request{ID: "q1"})
	u.Add(fleet.Ticket{ID: "t3", Pool: "other"}, fleet.Request{ID: "q3"})
	require.True(t, u.Has("t1"))
	uses := u.OfPool("p")
	require.Len(t, uses, 2)
	require.Equal(t, "t1", uses[0].Ticket.ID)
	require.Equal(t, "q1", uses[0].Request.ID)
	ticket, ok := u.Remove("t1")
	require.True(t, ok)
	require.Equal(t, "p", ticket.Pool)
	_, ok = u.Remove("t1")
	require.False(t, ok, "a repeated end of a request returns no ticket")
	require.False(t, u.Has("t1"))
	require.False(t, u.Empty())
	u.Remove("t2")
	u.Remove("t3")
	require.True(t, u.Empty())
	require.Empty(t, u.OfPool("p"))
}
