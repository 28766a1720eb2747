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

// A fleet of 302 instances and 3,000 endpoints ordered no load any more after its planner was killed. The next one told each member each
// endpoint, 0.5 MB, while all members read all endpoints from the store once a second: its own confirming reads waited behind both, and it
// gave its lease up for another instance, which had as much to tell. Five planners followed each other within 7 s. The tests of this file
// hold what ended it: a new planner tells members what they do not know, in rounds that leave its link room, and an instance that reads the
// endpoints itself asks what has changed.

// TestAMemberThatKnowsTheEndpointsIsToldWhatIsOnOffer: descriptions have not changed because the planner has.
func TestAMemberThatKnowsTheEndpointsIsToldWhatIsOnOffer(t *testing.T) {
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	for name, test := range map[string]struct {
		describedUpTo int64
		known         bool
	}{
		"knows all descriptions": {1 << 40, true},
		"knows former ones":      {1, false},
		"knows nothing":          {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			s.pipes.incoming <- near
			stream := wireStream(t, far)
			report := &wire.Report{Instance: name, Contact: &wire.Contact{Hall: "hall"}, DescribedUpTo: test.describedUpTo, Probe: 1}
			require.NoError(t, stream.Send(wire.Message{Report: report}))
			v := await(t, stream, func(m wire.Message) bool { return m.View != nil }).View
			assert.True(t, v.IsSnapshot)
			assert.True(t, v.Full)
			assert.Positive(t, v.DescribedUpTo)
			if test.known {
				assert.Empty(t, v.Endpoints)
				assert.Equal(t, []wire.KnownEndpoints{{Models: []string{"base"}, IDs: []deployment.EndpointID{"e1"}}}, v.Known)
			} else {
				assert.Len(t, v.Endpoints, 1)
				assert.Empty(t, v.Known)
			}
			await(t, stream, func(m wire.Message) bool { return m.View != nil && m.View.Probe == 1 })
		})
	}
}

// knownView is a whole view that tells of an endpoint only that it offers a copy.
func knownView(sequence uint64, id deployment.EndpointID, name string) *wire.View {
	v := wholeOf(sequence)
	v.Endpoints, v.DescribedUpTo = nil, 50
	v.Known = []wire.KnownEndpoints{{Models: []string{"base"}, IDs: []deployment.EndpointID{id}}}
	v.CopyChanges = []wire.CopyChange{{ID: id, Model: "base", Name: name, Version: 1}}
	return v
}

func TestAWholeViewWithoutDescriptionsReplacesWhatIsOnOffer(t *testing.T) {
	s := newSite()
	planner, gatherer := s.gathered(t)
	go drainWire(gatherer)
	go drainWire(planner)
	_, _, err := s.acquire("a1", waitLimit)
	require.NoError(t, err)
	require.NoError(t, planner.Send(wire.Message{View: knownView(11, "e1", "a2")}))
	_, _, err = s.acquire("a2", waitLimit)
	require.NoError(t, err)
	_, _, err = s.acquire("a1", 50*time.Millisecond)
	assert.Error(t, err, "no copy of before is left")
}

// TestAWholeViewWithoutDescriptionsTellsNothingOfLaterOnes: the endpoint may have started again since.
func TestAWholeViewWithoutDescriptionsTellsNothingOfLaterOnes(t *testing.T) {
	s := newSite()
	planner, gatherer := s.gathered(t)
	go drainWire(gatherer)
	go drainWire(planner)
	early := knownView(11, "e1", "a2")
	early.DescribedUpTo = 49
	require.NoError(t, planner.Send(wire.Message{View: early}))
	require.NoError(t, planner.Send(wire.Message{View: changeOf(12, "a3")}))
	_, _, err := s.acquire("a3", waitLimit)
	require.NoError(t, err)
	_, _, err = s.acquire("a1", waitLimit)
	require.NoError(t, err, "as the later description has it")
	_, _, err = s.acquire("a2", 50*time.Millisecond)
	assert.Error(t, err)
}

// TestAnEndpointThatIsNotKnownIsAskedFor: a planner may take an instance to know more than it does.
func TestAnEndpointThatIsNotKnownIsAskedFor(t *testing.T) {
	s := newSite()
	planner, gatherer := s.gathered(t)
	go drainWire(gatherer)
	require.NoError(t, planner.Send(wire.Message{View: knownView(11, "e9", "a1")}))
	report := await(t, planner, asksForWhole).Report
	assert.Zero(t, report.DescribedUpTo)
}

// TestAnInstanceSaysUpToWhichRevisionItKnowsTheEndpoints: by the views, though it has read none of it itself.
func TestAnInstanceSaysUpToWhichRevisionItKnowsTheEndpoints(t *testing.T) {
	s := newSite()
	planner, gatherer := s.gathered(t)
	go drainWire(gatherer)
	later := changeOf(11, "a2")
	later.DescribedUpTo = 77
	require.NoError(t, planner.Send(wire.Message{View: later}))
	s.waitForStatus(t, "took it in", func(status coordinator.Status) bool { return status.Term == 4 })
	_, _, err := s.acquire("a2", waitLimit)
	require.NoError(t, err)
	planner.Close()
	again := await(t, s.dialed(t), func(m wire.Message) bool { return m.Report != nil }).Report
	assert.EqualValues(t, 77, again.DescribedUpTo)
}

// TestWholeViewsLeaveTheLinkRoom: ten members join a planner whose link carries one whole view in the span of a round.
func TestWholeViewsLeaveTheLinkRoom(t *testing.T) {
	s := newSite()
	s.linkRate = 1
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	const members = 10
	sequences := make(chan uint64, members)
	for number := range members {
		near, far := net.Pipe()
		s.pipes.incoming <- near
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
			assert.False(t, seen[sequence], "two whole views in one round")
			seen[sequence] = true
		case <-time.After(waitLimit):
			require.FailNow(t, "a member gets no whole view")
		}
	}
}

// TestASilentPlannersEndpointsAreReadByTheirChanges: what has changed takes some bytes, all endpoints of a large fleet a megabyte.
func TestASilentPlannersEndpointsAreReadByTheirChanges(t *testing.T) {
	s := newSite()
	s.planElsewhere(t)
	s.start(t)
	planner := s.dialed(t)
	go drainWire(planner)
	require.NoError(t, planner.Send(wire.Message{View: wholeOf(10)}))
	s.waitForStatus(t, "follows", func(status coordinator.Status) bool { return status.Term == 4 })
	before := s.store.endpointReadings()
	s.store.put(endpointPrefix+"e2", "")
	s.waitForStatus(t, "reads by itself", func(status coordinator.Status) bool { return status.Endpoints == 2 })
	s.store.remove(endpointPrefix + "e2")
	s.waitForStatus(t, "hears of its end", func(status coordinator.Status) bool { return status.Endpoints == 1 })
	assert.Equal(t, before, s.store.endpointReadings())
}
