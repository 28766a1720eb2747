// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// awaitObservedSoftware waits until the instance passes on the softwares of the service.
func (f *fixture) awaitObservedSoftware(t *testing.T, want ...string) {
	t.Helper()
	require.Eventually(t, func() bool {
		select {
		case observed := <-f.software:
			return assert.ObjectsAreEqual(want, observed[service])
		default:
			return false
		}
	}, waitLimit, pollInterval)
}

// TestSoftwareIsObservedBeforeItIsUsed guards against requests at endpoints of a software of which the instance has passed on nothing.
func TestSoftwareIsObservedBeforeItIsUsed(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	go drainWire(planner)
	f.awaitObservedSoftware(t, software)
	described := snapshotView(11)
	described.Endpoints[0].ID = "e2"
	described.Software = []wire.SoftwareEndpoints{{Software: "v2", IDs: []deployment.EndpointID{"e2"}}}
	require.NoError(t, planner.Send(wire.Message{View: described}))
	f.awaitSoftware(t, "v2")
	select {
	case observed := <-f.software:
		assert.Contains(t, observed[service], "v2")
	default:
		assert.Fail(t, "a request was sent to an endpoint of a software that was not observed")
	}
}

func TestObservationOfSoftwareIsInterruptedWhileEndpointsAreOld(t *testing.T) {
	f := newFixture()
	var ahead atomic.Int64
	f.now = func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	f.start(t)
	f.awaitObservedSoftware(t, software)
	assert.Empty(t, f.interrupted)
	ahead.Store(int64(time.Minute))
	select {
	case <-f.interrupted:
	case <-time.After(waitLimit):
		assert.Fail(t, "not interrupted")
	}
	f.awaitObservedSoftware(t, software)
}
