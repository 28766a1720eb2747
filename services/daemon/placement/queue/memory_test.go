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

// requestCount is the number of requests that are queued and removed, and maxRetainedBytes the heap that may remain in use after them.
const (
	requestCount     = 20_000
	maxRetainedBytes = 1 << 20
)

// heapGrowth returns the heap bytes that a queue retains after use.
func heapGrowth(use func(q *queue.Queue)) int {
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

// TestExpiredRequestsOfUnloadedAdapterAreFreed keeps one request waiting, so that the queue keeps the entry of the adapter.
func TestExpiredRequestsOfUnloadedAdapterAreFreed(t *testing.T) {
	require.Less(t, heapGrowth(func(q *queue.Queue) {
		q.Push(begin, request("stays", "c"), interactive, hold)
		for i := range requestCount {
			r := request(fmt.Sprint("q", i), "c")
			r.Deadline = after(time.Duration(i) * time.Second)
			q.Push(after(time.Duration(i)*time.Second), r, interactive, hold)
			require.Len(t, q.Expired(after(time.Duration(i)*time.Second)), 1)
		}
	}), maxRetainedBytes)
}

func TestStartedRequestsWithDistantDeadlinesAreFreed(t *testing.T) {
	require.Less(t, heapGrowth(func(q *queue.Queue) {
		for i := range requestCount {
			r := request(fmt.Sprint("q", i), "c")
			r.Deadline = after(24 * time.Hour)
			q.Push(begin, r, interactive, hold)
			w, ok := q.Find(r.ID)
			require.True(t, ok)
			q.Dispatch(w)
		}
	}), maxRetainedBytes)
}
