// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package queue_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/placement/queue"
)

// many is the number of requests that come and go, and mostHeap the bytes that may be left of them.
const (
	many     = 20_000
	mostHeap = 1 << 20
)

// heapOf gives the bytes that a queue keeps after use.
func heapOf(use func(q *queue.Queue)) int {
	measure := func() int {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int(m.HeapAlloc)
	}
	q := queue.New(false)
	before := measure()
	use(q)
	grown := measure() - before
	runtime.KeepAlive(q)
	return grown
}

// TestRequestsOfAnAdapterThatNeverLoadsAreForgotten keeps one request waiting, so that the adapter's own entry stays.
func TestRequestsOfAnAdapterThatNeverLoadsAreForgotten(t *testing.T) {
	require.Less(t, heapOf(func(q *queue.Queue) {
		q.Push(begin, request("stays", "c"), urgent, hold)
		for i := range many {
			r := request(fmt.Sprint("q", i), "c")
			r.Deadline = after(time.Duration(i) * time.Second)
			q.Push(after(time.Duration(i)*time.Second), r, urgent, hold)
			require.Len(t, q.Expired(after(time.Duration(i)*time.Second)), 1)
		}
	}), mostHeap)
}

func TestRequestsWithDistantDeadlinesAreForgottenOnceTheyStart(t *testing.T) {
	require.Less(t, heapOf(func(q *queue.Queue) {
		for i := range many {
			r := request(fmt.Sprint("q", i), "c")
			r.Deadline = after(24 * time.Hour)
			q.Push(begin, r, urgent, hold)
			w, ok := q.Find(r.ID)
			require.True(t, ok)
			q.Dispatch(w)
		}
	}), mostHeap)
}
