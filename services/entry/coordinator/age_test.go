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
	// viewPace is the pause between two views that the test sends, viewDelay how long they waited before they arrived.
	viewPace  = 100 * time.Millisecond
	viewDelay = 2600 * time.Millisecond
	// viewMade is for how long the planner of the test had planned when its first view was made.
	viewMade = 10 * time.Second
)

// TestViewsThatWaitedAreNotReliedOn is the other half of the incident of large configurations: views that waited for seconds
// behind other messages counted as young when they arrived, so that an endpoint that had left went on getting requests.
func TestViewsThatWaitedAreNotReliedOn(t *testing.T) {
	s := newSite()
	s.planElsewhere(t)
	s.start(t)
	planner := s.link(t)
	go drain(planner)
	begun := time.Now()
	send := func(delay time.Duration) {
		v := fullView(4, "a1")
		v.Full, v.Endpoints = false, nil
		v.Made = viewMade + time.Since(begun) - delay
		require.NoError(t, planner.Send(wireMessage{View: v}))
	}
	first := fullView(4, "a1")
	first.Made = viewMade
	require.NoError(t, planner.Send(wireMessage{View: first}))
	s.waitForStatus(t, "follows", func(status coordinator.Status) bool { return status.Planner == "peer" && status.Endpoints == 1 })
	// The store knows one endpoint more, of which the planner says nothing.
	s.store.put(endpointPrefix+"e2", "")
	for range 15 {
		send(0)
		time.Sleep(viewPace)
	}
	require.Equal(t, 1, s.control.Status().Endpoints, "young views are relied on")
	for end := time.Now().Add(watchTime); time.Now().Before(end) && s.control.Status().Endpoints == 1; time.Sleep(viewPace) {
		send(viewDelay)
	}
	assert.Equal(t, 2, s.control.Status().Endpoints, "the instance reads the endpoints itself")
}
