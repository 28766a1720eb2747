// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package recall_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/recall"
)

var (
	start   = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	adapter = deployment.Adapter{Model: "base", Name: "a1"}
	other   = deployment.Adapter{Model: "base", Name: "a2"}
	never   time.Time
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func TestBeginByReservesPartOfLimit(t *testing.T) {
	assert.Equal(t, at(4), recall.BeginBy(start, 5*time.Second))
	assert.Equal(t, at(0.8), recall.BeginBy(start, time.Second))
}

// TestRequestIsLateAfterNewerVersion covers one request at an endpoint that holds version 2.
func TestRequestIsLateAfterNewerVersion(t *testing.T) {
	for name, test := range map[string]struct {
		play func(r *recall.Requests, requestRecall *recall.Recall)
		late time.Time
	}{
		"no newer version": {func(r *recall.Requests, requestRecall *recall.Recall) {
			r.Add(requestRecall, adapter, 2, never)
		}, never},
		"newer version while the request waits": {func(r *recall.Requests, requestRecall *recall.Recall) {
			r.Add(requestRecall, adapter, 2, never)
			r.ApplyVersion(adapter, 3, at(4))
		}, at(4)},
		"two newer versions while the request waits": {func(r *recall.Requests, requestRecall *recall.Recall) {
			r.Add(requestRecall, adapter, 2, never)
			r.ApplyVersion(adapter, 3, at(4))
			r.ApplyVersion(adapter, 4, at(6))
		}, at(4)},
		"newer version before the request was sent": {func(r *recall.Requests, requestRecall *recall.Recall) {
			r.Add(requestRecall, adapter, 2, at(4))
		}, at(4)},
		"newer versions before and after the request was sent": {func(r *recall.Requests, requestRecall *recall.Recall) {
			r.Add(requestRecall, adapter, 2, at(4))
			r.ApplyVersion(adapter, 4, at(6))
		}, at(4)},
		"its own version": {func(r *recall.Requests, requestRecall *recall.Recall) {
			r.Add(requestRecall, adapter, 2, never)
			r.ApplyVersion(adapter, 2, at(4))
		}, never},
		"its own version, then a newer one": {func(r *recall.Requests, requestRecall *recall.Recall) {
			r.Add(requestRecall, adapter, 2, never)
			r.ApplyVersion(adapter, 2, at(4))
			r.ApplyVersion(adapter, 3, at(6))
		}, at(6)},
		"newer version of another adapter": {func(r *recall.Requests, requestRecall *recall.Recall) {
			r.Add(requestRecall, adapter, 2, never)
			r.ApplyVersion(other, 3, at(4))
		}, never},
		"newer version without a time": {func(r *recall.Requests, requestRecall *recall.Recall) {
			r.Add(requestRecall, adapter, 2, never)
			r.ApplyVersion(adapter, 3, never)
		}, never},
		"request begins before the newer version": {func(r *recall.Requests, requestRecall *recall.Recall) {
			r.Add(requestRecall, adapter, 2, never)
			r.Remove(requestRecall)
			r.ApplyVersion(adapter, 3, at(4))
		}, never},
		"request begins after the newer version": {func(r *recall.Requests, requestRecall *recall.Recall) {
			r.Add(requestRecall, adapter, 2, never)
			r.ApplyVersion(adapter, 3, at(4))
			r.Remove(requestRecall)
		}, never},
		"request removed twice": {func(r *recall.Requests, requestRecall *recall.Recall) {
			r.Add(requestRecall, adapter, 2, at(4))
			r.Remove(requestRecall)
			r.Remove(requestRecall)
		}, never},
	} {
		t.Run(name, func(t *testing.T) {
			requests, requestRecall := recall.NewRequests(), &recall.Recall{}
			test.play(requests, requestRecall)
			if test.late.IsZero() {
				assert.Empty(t, requests.TakeLate(at(3600)))
				return
			}
			assert.Empty(t, requests.TakeLate(test.late.Add(-1)))
			assert.Equal(t, []*recall.Recall{requestRecall}, requests.TakeLate(test.late))
			assert.Empty(t, requests.TakeLate(test.late), "a late request is returned once")
			assert.Zero(t, requests.Kept())
		})
	}
}

func TestRequestsOfOneAdapterHaveSeparateTimes(t *testing.T) {
	requests := recall.NewRequests()
	former, newer, newest := &recall.Recall{}, &recall.Recall{}, &recall.Recall{}
	requests.Add(former, adapter, 1, never)
	requests.Add(newer, adapter, 2, never)
	requests.Add(newest, adapter, 3, never)
	requests.ApplyVersion(adapter, 2, at(4))
	requests.ApplyVersion(adapter, 3, at(6))
	assert.Equal(t, []*recall.Recall{former}, requests.TakeLate(at(5)))
	assert.Equal(t, []*recall.Recall{newer}, requests.TakeLate(at(7)))
	assert.Equal(t, 1, requests.Kept())
}

func TestRemoveOfUntrackedRequestHasNoEffect(t *testing.T) {
	requests := recall.NewRequests()
	requests.Remove(nil)
	assert.Empty(t, requests.TakeLate(start))
}

// TestAbandonedRequestStaysUntilItsDeadline guards against a request that its endpoint begins on a former version after its caller left.
func TestAbandonedRequestStaysUntilItsDeadline(t *testing.T) {
	r := recall.NewRequests()
	abandoned, begun := &recall.Recall{}, &recall.Recall{}
	r.Add(abandoned, adapter, 2, never)
	r.Add(begun, adapter, 2, never)
	r.Remove(begun)
	r.Abandon(begun, at(10))
	r.Abandon(abandoned, at(10))
	r.Remove(abandoned)
	r.ApplyVersion(adapter, 3, at(4))
	r.Sweep(at(9))
	assert.Empty(t, r.TakeLate(at(3)))
	assert.Equal(t, []*recall.Recall{abandoned}, r.TakeLate(at(4)))
	assert.Empty(t, r.TakeLate(at(5)))

	r.Add(abandoned, adapter, 2, at(20))
	r.Abandon(abandoned, at(10))
	r.Sweep(at(10))
	assert.Empty(t, r.TakeLate(at(20)))
	assert.Zero(t, r.Kept())
}
