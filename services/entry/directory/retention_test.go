// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// TestRemovedEndpointsAreForgotten adds and removes an endpoint each second for an hour, every second one draining.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	d := directory.New()
	now := start
	for i := range 3600 {
		id := fmt.Sprint("e", i)
		state := deployment.EndpointState(i % 2)
		d.Put(endpoint(id, state), int64(2*i+1))
		d.Remove(deployment.EndpointID(id), int64(2*i+2))
		now = now.Add(time.Second)
		d.UpdateHeld(now)
	}
	// The retention is ten minutes, and the next sweep follows one second later.
	assert.LessOrEqual(t, d.Remembered(), 601)
}

// TestRemovedEndpointIsNotAddedByOlderDescription: within the retention, neither an older description nor one with another state adds a
// removed endpoint again.
func TestRemovedEndpointIsNotAddedByOlderDescription(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Draining), 5)
	d.Remove("e", 7)
	for _, passed := range []time.Duration{0, time.Minute, 9 * time.Minute} {
		d.UpdateHeld(start.Add(passed))
		assert.False(t, d.Put(endpoint("e", deployment.Ready), 6), passed)
	}
	assert.True(t, d.Put(endpoint("e", deployment.Ready), 8))
	assert.Equal(t, deployment.Draining, d.Endpoint("e").State)
	d.UpdateHeld(start.Add(time.Hour))
	assert.False(t, d.Put(endpoint("e", deployment.Ready), 7), "a known endpoint keeps its revision")
	assert.True(t, d.Put(endpoint("e", deployment.Ready), 9))
	assert.Equal(t, deployment.Draining, d.Endpoint("e").State, "an incarnation stays draining while it is known")
}

// TestMissingAdaptersAreForgotten records adapters as missing and checks that they are deleted after their retention.
func TestMissingAdaptersAreForgotten(t *testing.T) {
	d := directory.New()
	d.Put(endpoint("e", deployment.Ready), 5)
	for i := range 1000 {
		d.MarkMissing(start, "e", deployment.Adapter{Model: "base", Name: fmt.Sprint("a", i)})
	}
	d.UpdateHeld(start.Add(time.Second))
	assert.Equal(t, 1000, d.Endpoint("e").Missing())
	d.UpdateHeld(start.Add(2 * time.Second))
	assert.Zero(t, d.Endpoint("e").Missing())
}
