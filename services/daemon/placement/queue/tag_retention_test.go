// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement/queue"
)

// TestTagIsKeptForRetentionTime queues one request each of a customer that was served before and of a new one. The first
// customer's request starts second as long as its tag is kept.
func TestTagIsKeptForRetentionTime(t *testing.T) {
	const retention = 10 * time.Minute
	serve := func(q *queue.Queue, now time.Time, r fleet.Request) {
		q.Push(now, r, interactive, hold)
		w, ok := q.Find(r.ID)
		require.True(t, ok)
		q.Dispatch(w)
	}
	for _, row := range []struct {
		quiet time.Duration
		first string
	}{{0, "quiet"}, {retention, "quiet"}, {retention + 1, "flood"}} {
		q := queue.New(false)
		serve(q, begin, request("f1", "flood"))
		q.Prune(after(row.quiet))
		q.Push(after(row.quiet), request("flood", "flood"), interactive, hold)
		q.Push(after(row.quiet), request("quiet", "quiet"), interactive, hold)
		require.Equal(t, row.first, drain(q, after(row.quiet))[0], "after %v", row.quiet)
	}
}

func TestTagOfCustomerWithWaitingRequestIsKept(t *testing.T) {
	q := queue.New(false)
	q.Push(begin, request("f1", "flood"), interactive, hold)
	q.Push(begin, request("f2", "flood"), interactive, hold)
	q.Prune(after(time.Hour))
	remove(t, q, "f1")
	remove(t, q, "f2")
	q.Push(after(time.Hour), request("f3", "flood"), interactive, hold)
	q.Push(after(time.Hour), request("quiet", "quiet"), interactive, hold)
	require.Equal(t, []string{"quiet", "f3"}, drain(q, after(time.Hour)), "the retention time starts when the customer has no waiting request")
}
