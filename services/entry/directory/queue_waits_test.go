// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

const (
	urgent  = 1
	patient = 5
)

var queuedAdapter = deployment.Adapter{Model: "base", Name: "a1"}

// newReq returns a request for queuedAdapter on a route of a priority.
func newReq(priority int) *deployment.Request {
	return &deployment.Request{Adapter: queuedAdapter, Route: &deployment.Route{Priority: priority}}
}

// at returns the time that is ms milliseconds after start.
func at(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

// TestExpectedWait assigns and runs requests, then gets the expected wait of a patient request 1 s after the start.
func TestExpectedWait(t *testing.T) {
	ran := func(d *directory.Directory, assigned, began, priority int) {
		d.Begin(at(assigned), "e", newReq(patient))
		d.MarkRunning(at(began), "e", at(assigned), newReq(priority))
	}
	ended := func(d *directory.Directory, assigned, end int) {
		d.LeaveQueue(at(end), "e", at(assigned), newReq(patient))
		d.End(at(end), "e", queuedAdapter, directory.Neutral)
	}
	for name, test := range map[string]struct {
		setup func(d *directory.Directory)
		wait  time.Duration
		known bool
	}{
		"nothing in flight":                 {func(*directory.Directory) {}, 0, true},
		"one waiting":                       {func(d *directory.Directory) { d.Begin(at(200), "e", newReq(patient)) }, 800 * time.Millisecond, false},
		"one that ran after 300 ms":         {func(d *directory.Directory) { ran(d, 100, 400, patient) }, 300 * time.Millisecond, true},
		"one that ran, no longer in flight": {func(d *directory.Directory) { ran(d, 100, 400, patient); ended(d, 100, 500) }, 0, true},
		"an urgent request ran":             {func(d *directory.Directory) { ran(d, 100, 400, urgent) }, 300 * time.Millisecond, false},
		"the longest recent wait":           {func(d *directory.Directory) { ran(d, 0, 700, patient); ran(d, 800, 850, patient) }, 700 * time.Millisecond, true},
		"one that ran, one waiting":         {func(d *directory.Directory) { ran(d, 0, 10, patient); d.Begin(at(100), "e", newReq(patient)) }, 900 * time.Millisecond, true},
		"one that gave up, one of another instance": {func(d *directory.Directory) {
			d.Endpoint("e").OthersRequests = 1
			d.Begin(at(0), "e", newReq(patient))
			ended(d, 0, 600)
		}, 600 * time.Millisecond, false},
		"only others' requests":     {func(d *directory.Directory) { d.Endpoint("e").OthersRequests = 3 }, 0, false},
		"a wait 3.1 s ago":          {func(d *directory.Directory) { ran(d, -2600, -2100, patient) }, 0, false},
		"a wait 3 s ago":            {func(d *directory.Directory) { ran(d, -2300, -2000, patient) }, 300 * time.Millisecond, true},
		"a request without a model": {func(d *directory.Directory) { d.Begin(at(0), "e", &deployment.Request{}) }, 0, false},
		"recorded as running twice": {func(d *directory.Directory) {
			ran(d, 0, 300, patient)
			d.MarkRunning(at(900), "e", at(0), newReq(patient))
		}, 300 * time.Millisecond, true},
		"an unknown endpoint": {func(d *directory.Directory) {
			d.MarkRunning(at(1), "x", at(0), newReq(patient))
			d.LeaveQueue(at(1), "x", at(0), newReq(patient))
		}, 0, true},
		"a shorter wait after a longer one": {func(d *directory.Directory) { ran(d, 0, 500, urgent); ran(d, 500, 600, patient) }, 500 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory.New()
			d.Put(endpoint("e", deployment.Ready), 1)
			test.setup(d)
			wait, known := d.Endpoint("e").ExpectedWait(at(1000), patient, true)
			assert.Equal(t, test.known, known)
			assert.Equal(t, test.wait, wait)
		})
	}
}

func TestExpectedWaitIsUnknownWithoutOthersCounts(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 1)
	_, known := d.Endpoint("e").ExpectedWait(start, patient, false)
	assert.False(t, known)
}

// TestObservedWaitsAreBounded: each wait is shorter than the one before, so that none supersedes another.
func TestObservedWaitsAreBounded(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 1)
	for i := range 1000 {
		assigned := at(2*i - 1000)
		d.Begin(assigned, "e", newReq(patient))
		d.MarkRunning(at(i), "e", assigned, newReq(patient))
	}
	wait, known := d.Endpoint("e").ExpectedWait(at(1000), patient, true)
	assert.True(t, known)
	assert.Equal(t, time.Second, wait, "the longest of the last 3 s")
	assert.LessOrEqual(t, d.Endpoint("e").Seen(), 32)
}

func TestUnreadPromptsAndBacklog(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 1)
	status := d.Endpoint("e")
	long, short := newReq(patient), newReq(patient)
	long.PromptTokens, short.PromptTokens = 9000, 1000
	d.Begin(at(0), "e", long)
	d.Begin(at(0), "e", short)
	status.OthersUnread = 4000
	assert.Equal(t, 10000, status.OwnUnread())
	assert.Equal(t, 14000, status.Unread())
	assert.Equal(t, 700*time.Millisecond, status.Backlog(), "at the initial reading speed")

	d.MarkRunning(at(100), "e", at(0), short)
	assert.Equal(t, 9000, status.OwnUnread(), "the prompt of the running request is read, though both requests were assigned at the same time")
	d.LeaveQueue(at(200), "e", at(0), long)
	assert.Zero(t, status.OwnUnread())
	d.LeaveQueue(at(300), "e", at(0), long)
	assert.Zero(t, status.OwnUnread(), "a second Leave has no effect")
}

func TestReadingSpeedIsEstimatedFromTokensReadBeforeFirstEvent(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 1)
	d.Endpoint("e").OthersUnread = 3000
	request := newReq(patient)
	request.PromptTokens = 1000
	for i := range 1000 {
		d.Begin(at(100*i), "e", request)
		d.MarkRunning(at(100*i+100), "e", at(100*i), request)
	}
	assert.InDelta(t, 40000, d.Endpoint("e").Speed.PerSecond(), 1500, "4000 tokens in each 100 ms")
}
