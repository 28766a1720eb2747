// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// viewWithSoftware returns a snapshot that describes the endpoint e1, and tells its software if it is not empty.
func viewWithSoftware(sequence uint64, software string) *wire.View {
	v := snapshotView(sequence)
	if software != "" {
		v.Software = []wire.SoftwareEndpoints{{Software: software, IDs: []deployment.EndpointID{"e1"}}}
	}
	return v
}

// TestSoftwareSurvivesViewsOfEarlierVersions checks that views of a planner of an earlier version, which tell no software, leave what is known.
func TestSoftwareSurvivesViewsOfEarlierVersions(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	go drainWire(planner)
	require.NoError(t, planner.Send(wire.Message{View: viewWithSoftware(11, "v2")}))
	f.awaitSoftware(t, "v2")

	require.NoError(t, planner.Send(wire.Message{View: viewWithSoftware(12, "")}))
	require.NoError(t, planner.Send(wire.Message{View: viewWithoutDescriptions(13, "e1", "a2")}))
	assignment, _, err := f.acquire("a2", waitLimit)
	require.NoError(t, err)
	assert.Equal(t, "v2", assignment.Endpoint.Software)
}

// TestSnapshotWithoutDescriptionsTellsUnknownSoftware checks that an instance learns the software of an endpoint that a planner of an earlier
// version described to it.
func TestSnapshotWithoutDescriptionsTellsUnknownSoftware(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	go drainWire(planner)
	described := snapshotView(11)
	described.Endpoints[0].ID = "e2"
	require.NoError(t, planner.Send(wire.Message{View: described}))
	f.awaitSoftware(t, "")

	known := viewWithoutDescriptions(12, "e2", "a1")
	known.DescribedSoftware = []string{"v2"}
	require.NoError(t, planner.Send(wire.Message{View: known}))
	f.awaitSoftware(t, "v2")
}

// awaitSoftware waits until a request for adapter a1 gets an endpoint of a software.
func (f *fixture) awaitSoftware(t *testing.T, software string) {
	t.Helper()
	require.Eventually(t, func() bool {
		assignment, _, err := f.acquire("a1", waitLimit)
		return err == nil && assignment.Endpoint.Software == software
	}, waitLimit, pollInterval)
}
