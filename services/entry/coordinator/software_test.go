// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/admission"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
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

// TestAdapterIsLoadedAtSoftwareOfRequest checks the whole way from a waiting request over the report and the plan to the load: each request gets an
// endpoint of its software, whatever the others hold.
func TestAdapterIsLoadedAtSoftwareOfRequest(t *testing.T) {
	f := newFixture()
	f.store.put(endpointPrefix+"e2", softwarePrefix+"v2")
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 2 })
	for _, only := range []string{"v1", "v2", "v1"} {
		assignment, _, err := f.acquireAtSoftware("a1", only, waitLimit)
		require.NoError(t, err, only)
		assert.Equal(t, only, assignment.Endpoint.Software)
	}
}

func TestRequestForUnknownSoftwareIsRefusedSoon(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	_, _, err := f.acquireAtSoftware("a1", "v2", waitLimit)
	var refused *coordinator.Refusal
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, admission.NoEndpoint, refused.Reason)
}

// TestLoadElsewhereIsNoLoadForOneSoftware checks that a request that only one software may run does not count on a load of its adapter that the
// planner announces: that may be at another software's endpoint.
func TestLoadElsewhereIsNoLoadForOneSoftware(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	v := snapshotView(11)
	other := v.Endpoints[0]
	other.ID = "e2"
	v.Endpoints = append(v.Endpoints, other)
	v.Software = []wire.SoftwareEndpoints{{Software: software, IDs: []deployment.EndpointID{"e1"}}, {Software: "v2", IDs: []deployment.EndpointID{"e2"}}}
	v.Forecasts = []wire.Forecast{{Service: service, Model: "base", Name: "a9", Remaining: time.Second}}
	v.Backlogs = map[string]time.Duration{service: time.Minute}
	repeatView(t, planner, v)
	go func() {
		_, _, _ = f.acquireAtSoftware("a9", software, waitLimit)
	}()
	awaitMessage(t, planner, func(m wire.Message) bool {
		return m.Report != nil && len(m.Report.Pinned) == 1 && m.Report.Pinned[0].Software == software && m.Report.Pinned[0].Waiting == 1
	})
	go drainWire(planner)
	_, _, err := f.acquireAtSoftware("a9", software, waitLimit)
	var refused *coordinator.Refusal
	require.ErrorAs(t, err, &refused)
	assert.Equal(t, admission.AdapterNotLoaded, refused.Reason)
	assert.Greater(t, refused.RetryAfter, 50*time.Second, "a load for it has yet to begin")
	_, _, err = f.acquire("a9", 500*time.Millisecond)
	assert.ErrorIs(t, err, context.DeadlineExceeded, "any other request waits for the load that is announced")
}

// repeatView sends a snapshot again and again until the test ends, so that the planner does not fall silent.
func repeatView(t *testing.T, planner *wirePeer, v *wire.View) {
	t.Helper()
	require.NoError(t, planner.Send(wire.Message{View: v}))
	stop, stopped := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		<-stopped
	})
	go func() {
		defer close(stopped)
		for sequence := v.Sequence + 1; ; sequence++ {
			select {
			case <-stop:
				return
			case <-time.After(viewInterval):
			}
			next := *v
			next.Sequence = sequence
			if planner.Send(wire.Message{View: &next}) != nil {
				return
			}
		}
	}()
}

// TestLongBacklogDoesNotRefuseRequestForOneSoftware checks that a request that only one software may run waits although the planner's backlog is
// longer than its wait: the planner loads for it before the others.
func TestLongBacklogDoesNotRefuseRequestForOneSoftware(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	go drainWire(planner)
	v := snapshotView(11)
	other := v.Endpoints[0]
	other.ID = "e2"
	v.Endpoints = append(v.Endpoints, other)
	v.Software = []wire.SoftwareEndpoints{{Software: software, IDs: []deployment.EndpointID{"e1"}}, {Software: "v2", IDs: []deployment.EndpointID{"e2"}}}
	v.Backlogs = map[string]time.Duration{service: time.Minute}
	repeatView(t, planner, v)
	f.awaitSoftware(t, software)

	_, _, err := f.acquireAtSoftware("a9", "v2", 500*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded, "it waits")
	_, _, err = f.acquire("a9", waitLimit)
	var refused *coordinator.Refusal
	require.ErrorAs(t, err, &refused, "any other request is refused")
	assert.Equal(t, admission.AdapterNotLoaded, refused.Reason)
}

// TestRestOfOtherSoftwareDoesNotConcernRequest checks that a request that only one software may run waits for the rests of its endpoints alone.
func TestRestOfOtherSoftwareDoesNotConcernRequest(t *testing.T) {
	const rest = 30 * time.Second
	for name, otherRest := range map[string]time.Duration{"the other endpoint does not rest": 0, "the other endpoint rests for less": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.store.put(endpointPrefix+"e2", softwarePrefix+"v2")
			f.start(t)
			f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 2 })
			for only, span := range map[string]time.Duration{"v1": otherRest, "v2": rest} {
				assignment, request, err := f.acquireAtSoftware("a1", only, waitLimit)
				require.NoError(t, err, only)
				f.instance.ApplyNotice(assignment, time.Now(), deployment.Notice{Rest: span})
				f.instance.Finish(request, assignment, directory.Refused, false)
			}
			_, _, err := f.acquireAtSoftware("a1", "v2", waitLimit)
			var refused *coordinator.Refusal
			require.ErrorAs(t, err, &refused)
			assert.Equal(t, admission.Resting, refused.Reason)
			assert.Greater(t, refused.RetryAfter, rest-waitLimit)
		})
	}
}

// awaitSoftware waits until a request for adapter a1 gets an endpoint of a software.
func (f *fixture) awaitSoftware(t *testing.T, software string) {
	t.Helper()
	require.Eventually(t, func() bool {
		assignment, _, err := f.acquire("a1", waitLimit)
		return err == nil && assignment.Endpoint.Software == software
	}, waitLimit, pollInterval)
}
