// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/placement/queue"
)

func remove(t *testing.T, q *queue.Queue, id string) {
	t.Helper()
	w, ok := q.Find(id)
	require.True(t, ok)
	q.Remove(w)
}

func TestOldestQueuedFollowsRemainingRequests(t *testing.T) {
	q := queue.New(false)
	q.Push(begin, request("q1", "c"), interactive, hold)
	q.Push(after(time.Second), request("q2", "d"), interactive, hold)
	q.Push(after(2*time.Second), request("q3", "c"), interactive, hold)
	adapter, ok := q.Adapter(a)
	require.True(t, ok)
	require.Equal(t, begin, adapter.OldestQueued())
	remove(t, q, "q1")
	require.Equal(t, after(time.Second), adapter.OldestQueued(), "q2 is the oldest remaining request")
	remove(t, q, "q2")
	require.Equal(t, after(2*time.Second), adapter.OldestQueued())
}

func TestHoldUntilFollowsRemainingPatientRequests(t *testing.T) {
	q := queue.New(false)
	short := request("short", "c")
	short.Deadline = after(time.Minute)
	q.Push(begin, request("u", "c"), interactive, hold)
	adapter, ok := q.Adapter(a)
	require.True(t, ok)
	require.Zero(t, adapter.HoldUntil(), "no patient request is waiting")
	q.Push(begin, short, patient, hold)
	q.Push(after(time.Second), request("long", "c"), patient, hold)
	require.Equal(t, after(12*time.Second), adapter.HoldUntil())
	remove(t, q, "short")
	require.Equal(t, after(time.Second+hold), adapter.HoldUntil(), "the remaining request may be held for longer")
	remove(t, q, "long")
	require.Zero(t, adapter.HoldUntil(), "no patient request is left")
}

func TestLaneIsRemovedWithItsLastWaiter(t *testing.T) {
	q := queue.New(false)
	q.Push(begin, request("stays", "c"), interactive, hold)
	q.Push(begin, request("goes", "d"), interactive, hold)
	adapter, ok := q.Adapter(a)
	require.True(t, ok)
	remove(t, q, "goes")
	require.Equal(t, 1, adapter.LaneCount(), "a customer without waiting requests gets no share of the adapter's loads")
}

func TestRemovalsKeepOrderOfLane(t *testing.T) {
	q := queue.New(false)
	for _, id := range []string{"q1", "q2", "q3", "q4", "q5", "q6"} {
		q.Push(begin, request(id, "c"), interactive, hold)
	}
	for _, id := range []string{"q2", "q5", "q3", "q1"} {
		remove(t, q, id)
	}
	require.Equal(t, []string{"q4", "q6"}, drain(q, begin))
}

func TestWaitersMayBeRemovedDuringIteration(t *testing.T) {
	q := queue.New(false)
	for _, id := range []string{"q1", "q2", "q3", "q4", "q5"} {
		q.Push(begin, request(id, "c"), interactive, hold)
		q.Push(begin, request("other "+id, "d"), interactive, hold)
	}
	adapter, ok := q.Adapter(a)
	require.True(t, ok)
	count := 0
	for w := range adapter.All() {
		q.Remove(w)
		count++
	}
	require.Equal(t, 10, count, "each waiter is returned exactly once")
	require.Zero(t, q.Len())
}
