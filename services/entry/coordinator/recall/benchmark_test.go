// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package recall_test

import (
	"testing"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/recall"
)

// manyRequests is the number of an instance's requests that wait at endpoints, far more than under usual load.
const manyRequests = 1000

// newRequests returns waiting requests, with or without a time by which they must have begun.
func newRequests(beginBy time.Time) *recall.Requests {
	requests := recall.NewRequests()
	for range manyRequests {
		requests.Add(&recall.Recall{}, adapter, 1, beginBy)
	}
	return requests
}

// BenchmarkOneRequest is the cost of tracking one request from its assignment to its begin, beside many others.
func BenchmarkOneRequest(b *testing.B) {
	requests := newRequests(never)
	b.ReportAllocs()
	for b.Loop() {
		requestRecall := &recall.Recall{}
		requests.Add(requestRecall, other, 1, never)
		requestRecall.Arm(func() {})
		requestRecall.Disarm()
		requests.Remove(requestRecall)
	}
}

// BenchmarkTick is the cost of one check of the control goroutine with many requests that are not late.
func BenchmarkTick(b *testing.B) {
	requests := newRequests(at(4))
	for b.Loop() {
		requests.TakeLate(start)
	}
}

// BenchmarkApplyVersion is the cost of one newer version beside many requests for another adapter.
func BenchmarkApplyVersion(b *testing.B) {
	requests := newRequests(never)
	for b.Loop() {
		requests.ApplyVersion(other, 2, at(4))
	}
}
