// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// The tests in this file guard against a failure after the planner of a fleet of 302 instances and 3,000 endpoints was
// killed: the fleet sent no more load orders. Each new planner sent each member all endpoints, 0.5 MB, while all members
// read all endpoints from the store once a second. The planner's confirming reads waited behind this traffic, so it gave
// up its lease to another instance, which had as much to send. Five planners followed each other within 7 s. Since then a
// new planner sends members only what they lack, in rounds that leave capacity on its link, and an instance that polls the
// endpoints reads only the changes.

// TestMemberWithDescriptionsGetsSnapshotWithoutThem checks that a new planner does not repeat endpoint descriptions,
// which do not change with the planner.
func TestMemberWithDescriptionsGetsSnapshotWithoutThem(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	for name, test := range map[string]struct {
		describedUpTo int64
		known         bool
	}{
		"has all descriptions":      {1 << 40, true},
		"has outdated descriptions": {1, false},
		"has no descriptions":       {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			f.network.incoming <- near
			stream := wireStream(t, far)
			report := &wire.Report{Instance: name, Contact: &wire.Contact{Hall: "hall"}, DescribedUpTo: test.describedUpTo, Probe: 1}
			require.NoError(t, stream.Send(wire.Message{Report: report}))
			v := awaitMessage(t, stream, func(m wire.Message) bool { return m.View != nil }).View
			assert.True(t, v.IsSnapshot)
			assert.True(t, v.Full)
			assert.Positive(t, v.DescribedUpTo)
			if test.known {
				assert.Empty(t, v.Endpoints)
				assert.Equal(t, []wire.KnownEndpoints{{Models: []string{"base"}, IDs: []deployment.EndpointID{"e1"}}}, v.DescribedEndpoints)
				assert.Equal(t, []string{software}, v.DescribedSoftware, "a member may have the descriptions without the software")
			} else {
				assert.Len(t, v.Endpoints, 1)
				assert.Equal(t, []wire.SoftwareEndpoints{{Software: software, IDs: []deployment.EndpointID{"e1"}}}, v.Software)
				assert.Empty(t, v.DescribedEndpoints)
			}
			awaitMessage(t, stream, func(m wire.Message) bool { return m.View != nil && m.View.Probe == 1 })
		})
	}
}

// viewWithoutDescriptions returns a snapshot that lists one copy of an endpoint but not the endpoint's description.
func viewWithoutDescriptions(sequence uint64, id deployment.EndpointID, name string) *wire.View {
	v := snapshotView(sequence)
	v.Endpoints, v.DescribedUpTo = nil, 50
	v.DescribedEndpoints = []wire.KnownEndpoints{{Models: []string{"base"}, IDs: []deployment.EndpointID{id}}}
	v.CopyChanges = []wire.CopyChange{{ID: id, Model: "base", Name: name, Version: 1}}
	return v
}

func TestSnapshotWithoutDescriptionsReplacesCopies(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	go drainWire(planner)
	_, _, err := f.acquire("a1", waitLimit)
	require.NoError(t, err)
	require.NoError(t, planner.Send(wire.Message{View: viewWithoutDescriptions(11, "e1", "a2")}))
	_, _, err = f.acquire("a2", waitLimit)
	require.NoError(t, err)
	_, _, err = f.acquire("a1", 50*time.Millisecond)
	assert.Error(t, err, "the snapshot removes earlier copies")
}

// TestSnapshotWithoutDescriptionsKeepsNewerDescription checks that such a snapshot does not change an endpoint whose later
// description is known, because the endpoint may have restarted since.
func TestSnapshotWithoutDescriptionsKeepsNewerDescription(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	go drainWire(planner)
	early := viewWithoutDescriptions(11, "e1", "a2")
	early.DescribedUpTo = 49
	require.NoError(t, planner.Send(wire.Message{View: early}))
	require.NoError(t, planner.Send(wire.Message{View: changeView(12, "a3")}))
	_, _, err := f.acquire("a3", waitLimit)
	require.NoError(t, err)
	_, _, err = f.acquire("a1", waitLimit)
	require.NoError(t, err, "a1 is in the later description")
	_, _, err = f.acquire("a2", 50*time.Millisecond)
	assert.Error(t, err)
}

// TestUnknownEndpointTriggersSnapshotRequest covers a planner that assumes descriptions at an instance that lacks them.
func TestUnknownEndpointTriggersSnapshotRequest(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	require.NoError(t, planner.Send(wire.Message{View: viewWithoutDescriptions(11, "e9", "a1")}))
	report := awaitMessage(t, planner, requestsSnapshot).Report
	assert.Zero(t, report.DescribedUpTo)
}

// TestReportContainsDescribedRevisionOfViews checks that the reported revision includes descriptions that came in views
// and not from the store.
func TestReportContainsDescribedRevisionOfViews(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	update := changeView(11, "a2")
	update.DescribedUpTo = 77
	require.NoError(t, planner.Send(wire.Message{View: update}))
	f.waitForStatus(t, "has applied the first view", func(status coordinator.Status) bool { return status.Term == 4 })
	_, _, err := f.acquire("a2", waitLimit)
	require.NoError(t, err)
	planner.Close()
	next := awaitMessage(t, f.nextDial(t), func(m wire.Message) bool { return m.Report != nil }).Report
	assert.EqualValues(t, 77, next.DescribedUpTo)
}

// TestEachRoundSendsOneSnapshotOnSlowLink joins ten members to a planner whose link can carry one snapshot in the time
// of a round.
func TestEachRoundSendsOneSnapshotOnSlowLink(t *testing.T) {
	f := newFixture()
	f.linkRate = 1
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	const members = 10
	sequences := make(chan uint64, members)
	for number := range members {
		near, far := net.Pipe()
		f.network.incoming <- near
		stream := wireStream(t, far)
		go func() {
			report := &wire.Report{Instance: fmt.Sprintf("m%d", number), Contact: &wire.Contact{Hall: "hall"}}
			if stream.Send(wire.Message{Report: report}) != nil {
				return
			}
			for {
				received, err := stream.Receive(waitLimit, time.Now)
				if err != nil {
					return
				}
				if received.View != nil && received.View.IsSnapshot {
					sequences <- received.View.Sequence
				}
			}
		}()
	}
	seen := make(map[uint64]bool)
	for range members {
		select {
		case sequence := <-sequences:
			assert.False(t, seen[sequence], "two snapshots in one round")
			seen[sequence] = true
		case <-time.After(waitLimit):
			require.FailNow(t, "a member gets no snapshot")
		}
	}
}

// TestPollingReadsOnlyEndpointChanges checks that an instance polls changes, which take some bytes, and not all endpoints,
// which take a megabyte in a large fleet.
func TestPollingReadsOnlyEndpointChanges(t *testing.T) {
	f := newFixture()
	f.setOtherPlanner(t)
	f.start(t)
	planner := f.nextDial(t)
	go drainWire(planner)
	require.NoError(t, planner.Send(wire.Message{View: snapshotView(10)}))
	f.waitForStatus(t, "follows the planner", func(status coordinator.Status) bool { return status.Term == 4 })
	before := f.store.endpointReadCount()
	f.store.put(endpointPrefix+"e2", "")
	f.waitForStatus(t, "polls the new endpoint", func(status coordinator.Status) bool { return status.Endpoints == 2 })
	f.store.remove(endpointPrefix + "e2")
	f.waitForStatus(t, "polls the removal of the endpoint", func(status coordinator.Status) bool { return status.Endpoints == 1 })
	assert.Equal(t, before, f.store.endpointReadCount())
}
