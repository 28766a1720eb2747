// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement/queue"
)

const (
	aging = 30 * time.Second
	hold  = 10 * time.Minute
)

var (
	begin       = time.Unix(1000, 0)
	interactive = fleet.Class{Name: "urgent", StallWeight: 1}
	patient     = fleet.Class{Name: "patient", StallWeight: 0.25, Patient: true}
	a           = fleet.AdapterRef{Name: "a", Version: 1}
	b           = fleet.AdapterRef{Name: "b", Version: 1}
)

func after(d time.Duration) time.Time {
	return begin.Add(d)
}

// request returns a request of 10 tokens for adapter a.
func request(id, customer string) fleet.Request {
	return fleet.Request{ID: id, Caller: customer, Adapter: a, PromptTokens: 4, OutputTokens: 6}
}

// drain dispatches all requests that wait for adapter a, and returns their IDs in the order of their start.
func drain(q *queue.Queue, now time.Time) []string {
	var ids []string
	for {
		adapter, ok := q.Adapter(a)
		if !ok {
			return ids
		}
		var best *queue.Waiter
		for w := range adapter.Heads() {
			if w.Before(best, now, aging) {
				best = w
			}
		}
		ids = append(ids, best.Request.ID)
		q.Dispatch(best)
	}
}

func TestBurstOfOneCustomerDoesNotDelayOthers(t *testing.T) {
	for _, row := range []struct {
		plain bool
		want  []string
	}{
		{false, []string{"f1", "q1", "f2", "f3", "f4"}},
		{true, []string{"f1", "f2", "f3", "f4", "q1"}},
	} {
		q := queue.New(row.plain)
		for i := range 4 {
			q.Push(begin, request("f"+strconv.Itoa(i+1), "flood"), interactive, hold)
		}
		q.Push(begin, request("q1", "quiet"), interactive, hold)
		require.Equal(t, row.want, drain(q, begin), "plain: %v", row.plain)
	}
}

func TestIdleCustomerGainsNoPriority(t *testing.T) {
	q := queue.New(false)
	for i := range 3 {
		q.Push(begin, request("x"+strconv.Itoa(i+1), "early"), interactive, hold)
	}
	drain(q, begin)
	for i := range 2 {
		q.Push(begin, request("e"+strconv.Itoa(i+1), "early"), interactive, hold)
		q.Push(begin, request("l"+strconv.Itoa(i+1), "late"), interactive, hold)
	}
	require.Equal(t, []string{"l1", "e1", "l2", "e2"}, drain(q, begin), "the late customer starts at the current virtual time, not at zero")
}

func TestPriorityRisesWithWaitingTime(t *testing.T) {
	for _, row := range []struct {
		wait, aging time.Duration
		overtakes   bool
	}{
		{0, aging, false}, {2 * aging, aging, false}, {3*aging - 1, aging, false}, {3 * aging, aging, true}, {time.Hour, 0, false},
	} {
		low, high := request("low", "c"), request("high", "d")
		high.Priority = 2
		q := queue.New(false)
		q.Push(after(-row.wait), low, interactive, hold)
		q.Push(begin, high, fleet.Class{Name: "other"}, hold)
		waiters := q.InArrivalOrder()
		require.Equal(t, row.overtakes, waiters[0].Before(waiters[1], begin, row.aging), "after %v", row.wait)
		require.Equal(t, !row.overtakes, waiters[1].Before(waiters[0], begin, row.aging), "exactly one of two waiters is first")
	}
}

func TestPatientRequestIsHeldForAtMostAFifthOfItsDeadline(t *testing.T) {
	for _, row := range []struct {
		deadline, held time.Duration
	}{{0, hold}, {time.Minute, 12 * time.Second}, {50 * time.Minute, hold}, {time.Hour, hold}} {
		r := request("p", "c")
		if row.deadline > 0 {
			r.Deadline = after(row.deadline)
		}
		q := queue.New(false)
		q.Push(begin, r, patient, hold)
		adapter, ok := q.Adapter(a)
		require.True(t, ok)
		require.Equal(t, after(row.held), adapter.HoldUntil(), "deadline in %v", row.deadline)
		q.Push(begin, request("later", "c"), patient, hold)
		require.Equal(t, after(row.held), adapter.HoldUntil(), "the earliest hold of the waiting requests applies")
	}
}

func TestCountsOfWaitingRequests(t *testing.T) {
	q := queue.New(false)
	q.Push(begin, request("u1", "c"), interactive, hold)
	q.Push(after(time.Second), request("p1", "c"), patient, hold)
	q.Push(after(time.Second), request("u2", "d"), interactive, hold)
	other := request("o1", "d")
	other.Adapter = b
	q.Push(begin, other, interactive, hold)
	adapter, _ := q.Adapter(a)
	require.Equal(t, 4, q.Len())
	require.Equal(t, 40, q.Tokens())
	require.Equal(t, 30, q.ClassTokens("urgent"))
	require.Equal(t, 20, q.CustomerTokens("urgent", "d"))
	require.Equal(t, 1, adapter.PatientCount())
	require.InDelta(t, 2.25, adapter.Weight(), 1e-12)
	require.Equal(t, begin, adapter.OldestQueued())
	require.Equal(t, 3, adapter.LaneCount())
	require.ElementsMatch(t, []string{"c", "c", "d"}, slices.Collect(adapter.Customers()))
	require.True(t, adapter.HasInteractive())
	for _, id := range []string{"u1", "u2"} {
		w, ok := q.Find(id)
		require.True(t, ok)
		q.Remove(w)
		q.Remove(w)
	}
	require.False(t, adapter.HasInteractive(), "only a patient request is left")
	require.Equal(t, 10, q.ClassTokens("urgent"), "a repeated removal has no effect")
	require.Equal(t, 10, q.CustomerTokens("urgent", "d"))
	var left []string
	for w := range adapter.All() {
		left = append(left, w.Request.ID)
	}
	require.Equal(t, []string{"p1"}, left)
	require.Equal(t, 1, adapter.LaneCount(), "lanes without waiters are dropped immediately")
	require.Equal(t, []string{"c"}, slices.Collect(adapter.Customers()))
	for w := range adapter.Heads() {
		require.Equal(t, "p1", w.Request.ID)
	}
}

func TestRequestsExpireAtTheirDeadlines(t *testing.T) {
	q := queue.New(false)
	require.Zero(t, q.NextDeadline())
	for id, deadline := range map[string]time.Duration{"second": 2 * time.Second, "first": time.Second, "gone": time.Millisecond} {
		r := request(id, "c")
		r.Deadline = after(deadline)
		q.Push(begin, r, interactive, hold)
	}
	q.Push(begin, request("forever", "c"), interactive, hold)
	w, _ := q.Find("gone")
	q.Remove(w)
	require.Equal(t, after(time.Second), q.NextDeadline(), "the deadline of a removed request does not count")
	expired := func(at time.Duration) []string {
		var ids []string
		for _, w := range q.Expired(after(at)) {
			ids = append(ids, w.Request.ID)
		}
		return ids
	}
	require.Empty(t, expired(time.Second-1))
	require.Equal(t, []string{"first", "second"}, expired(time.Minute))
	require.Empty(t, expired(time.Minute), "each is reported once")
	require.Equal(t, 1, q.Len())
	require.Equal(t, "forever", q.InArrivalOrder()[0].Request.ID)
}
