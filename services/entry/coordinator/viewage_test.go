// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/coordinator"
)

const (
	// viewInterval is the interval between two views that the test sends, and viewDelay is how long delayed views were
	// queued before they arrived.
	viewInterval = 100 * time.Millisecond
	viewDelay    = 2600 * time.Millisecond
	// viewMadeAfter is how long the test's planner had planned when it made its first view.
	viewMadeAfter = 10 * time.Second
)

// TestDelayedViewsDoNotCountAsFresh guards against a failure with large configurations: views that were queued for
// seconds behind other messages counted as fresh when they arrived, so that an endpoint that was gone still received
// requests.
func TestDelayedViewsDoNotCountAsFresh(t *testing.T) {
	f := newFixture()
	f.setOtherPlanner(t)
	f.start(t)
	planner := f.acceptDial(t)
	go drain(planner)
	begun := time.Now()
	send := func(delay time.Duration) {
		v := fullView(4, "a1")
		v.Full, v.Endpoints = false, nil
		v.Made = viewMadeAfter + time.Since(begun) - delay
		require.NoError(t, planner.Send(wireMessage{View: v}))
	}
	first := fullView(4, "a1")
	first.Made = viewMadeAfter
	require.NoError(t, planner.Send(wireMessage{View: first}))
	f.waitForStatus(t, "follows the planner", func(status coordinator.Status) bool { return status.Planner == "peer" && status.Endpoints == 1 })
	// The store contains one more endpoint, which the planner's views omit.
	f.store.put(endpointPrefix+"e2", "")
	for range 15 {
		send(0)
		time.Sleep(viewInterval)
	}
	require.Equal(t, 1, f.instance.Status().Endpoints, "the instance relies on fresh views")
	for end := time.Now().Add(observationTime); time.Now().Before(end) && f.instance.Status().Endpoints == 1; time.Sleep(viewInterval) {
		send(viewDelay)
	}
	assert.Equal(t, 2, f.instance.Status().Endpoints, "the instance reads the endpoints itself")
}
