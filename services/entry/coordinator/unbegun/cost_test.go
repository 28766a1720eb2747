// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package unbegun_test

import (
	"testing"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/unbegun"
)

// manyRequests is how many of an instance's requests wait at endpoints, far more than on a usual day.
const manyRequests = 1000

// many makes requests that wait, with a time by which they must have begun or none.
func many(beginBy time.Time) *unbegun.Requests {
	requests := unbegun.NewRequests()
	for range manyRequests {
		requests.Add(&unbegun.Recall{}, adapter, 1, beginBy)
	}
	return requests
}

// BenchmarkOneRequest is what tracking adds to each stream from its assignment to its begin, beside many others.
func BenchmarkOneRequest(b *testing.B) {
	requests := many(never)
	b.ReportAllocs()
	for b.Loop() {
		recall := &unbegun.Recall{}
		requests.Add(recall, other, 1, never)
		recall.Arm(func() {})
		recall.Disarm()
		requests.Remove(recall)
	}
}

// BenchmarkTick is one look of the control goroutine at many requests that must begin later.
func BenchmarkTick(b *testing.B) {
	requests := many(at(4))
	for b.Loop() {
		requests.TakeLate(start)
	}
}

// BenchmarkName is one name beside many requests on another adapter.
func BenchmarkName(b *testing.B) {
	requests := many(never)
	for b.Loop() {
		requests.Named(other, 2, at(4))
	}
}
