// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// wirePeer is a peer that uses the message types of this version.
type wirePeer = peerstream.Stream[wire.Message]

var gathererAddress = netip.MustParseAddrPort("127.0.0.9:7000")

// nextDial returns the other end of the next connection that the instance dials.
func (f *fixture) nextDial(t *testing.T) *wirePeer {
	t.Helper()
	select {
	case conn := <-f.network.nextDial:
		return wireStream(t, conn)
	case <-time.After(waitLimit):
		require.FailNow(t, "the instance dials no address")
		return nil
	}
}

func wireStream(t *testing.T, conn net.Conn) *wirePeer {
	t.Helper()
	stream := peerstream.New[wire.Message](conn)
	t.Cleanup(stream.Close)
	return stream
}

// awaitMessage reads a stream until a message matches.
func awaitMessage(t *testing.T, stream *wirePeer, matches func(wire.Message) bool) wire.Message {
	t.Helper()
	for {
		received, err := stream.Receive(waitLimit, time.Now)
		require.NoError(t, err)
		if matches(received) {
			return received
		}
	}
}

// snapshotView returns a snapshot of the planner of term 4 with the given sequence number. It names a gatherer.
func snapshotView(sequence uint64) *wire.View {
	return &wire.View{
		Planner: "peer", Term: 4, Full: true, IsSnapshot: true, Sequence: sequence, EndpointsRevision: 50, Heartbeat: true, Members: 40, ConfigurationRevision: 50,
		TermAge: time.Minute, Withdrawals: 7,
		Endpoints: []wire.Endpoint{{
			ID: "e1", Revision: 50, Service: service, Address: netip.MustParseAddrPort("127.0.0.1:2001"), Hall: "hall", Slots: 16,
			Models: []wire.Model{{Name: "base", Adapters: []wire.AdapterVersion{{Name: "a1", Version: 1}}}},
		}},
		Gatherers: []wire.Gatherer{{Name: "gatherer", Hall: "hall", Address: wire.Address{AddrPort: gathererAddress}}},
	}
}

// changeView returns a view that adds one copy.
func changeView(sequence uint64, name string) *wire.View {
	return &wire.View{
		Planner: "peer", Term: 4, Sequence: sequence, Members: 40, ConfigurationRevision: 50, TermAge: time.Minute + time.Second, Withdrawals: 7 + sequence,
		CopyChanges: []wire.CopyChange{{ID: "e1", Model: "base", Name: name, Version: 1}},
	}
}

// followWithGatherer starts the instance with a planner and a gatherer that the test simulates.
func (f *fixture) followWithGatherer(t *testing.T) (planner, gatherer *wirePeer) {
	t.Helper()
	f.setOtherPlanner(t)
	f.start(t)
	planner = f.nextDial(t)
	awaitMessage(t, planner, func(m wire.Message) bool { return m.Report != nil && m.Report.Contact != nil })
	require.NoError(t, planner.Send(wire.Message{View: snapshotView(10)}))
	gatherer = f.nextDial(t)
	assert.Equal(t, gathererAddress, f.network.lastDialed())
	return planner, gatherer
}

func reportsForwarder(name string) func(wire.Message) bool {
	return func(m wire.Message) bool { return m.Report != nil && m.Report.Forwarder == name }
}

func requestsSnapshot(m wire.Message) bool { return m.Report != nil && m.Report.NeedsSnapshot }

// TestInstanceSendsLoadToGathererAndAppliesTotals guards against old in-flight counts: they came only with the planner's
// infrequent totals, so that all instances of a large fleet chose endpoints by the same old counts.
func TestInstanceSendsLoadToGathererAndAppliesTotals(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(planner)
	_, _, err := f.acquire("a1", waitLimit)
	require.NoError(t, err)
	load := awaitMessage(t, gatherer, func(m wire.Message) bool { return m.Load != nil && len(m.Load.InFlight) > 0 }).Load
	assert.Equal(t, selfName, load.Instance)
	assert.Equal(t, []wire.Count{{ID: "e1", Requests: 1}}, load.InFlight)
	go drainWire(gatherer)
	totals := &wire.Totals{Planner: "peer", Term: 4, Age: 300 * time.Millisecond, InFlight: []wire.Count{{ID: "e1", Requests: 9}}}
	require.NoError(t, gatherer.Send(wire.Message{Totals: totals}))
	f.waitForStatus(t, "has applied the totals", func(status coordinator.Status) bool { return status.OthersInFlight == 8 })
	assert.GreaterOrEqual(t, f.instance.Status().CountsAge, 300*time.Millisecond)
	former := *totals
	former.Term, former.InFlight = 3, nil
	require.NoError(t, gatherer.Send(wire.Message{Totals: &former}))
	time.Sleep(30 * time.Millisecond)
	assert.Equal(t, 8, f.instance.Status().OthersInFlight, "totals of a former planner are ignored")
}

// TestForwardedViewsAreAppliedInOrder checks that a missing forwarded view is noticed, since the planner's link does not
// carry each view to each instance. Otherwise the next view would acknowledge the withdrawals of the missing one.
func TestForwardedViewsAreAppliedInOrder(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	require.NoError(t, gatherer.Send(wire.Message{View: changeView(11, "a2")}))
	report := awaitMessage(t, planner, reportsForwarder("gatherer")).Report
	assert.EqualValues(t, 18, report.WithdrawalsSeen)
	_, _, err := f.acquire("a2", waitLimit)
	require.NoError(t, err)

	require.NoError(t, planner.Send(wire.Message{View: changeView(11, "a3")}), "the same sequence number over the planner's own link")
	require.NoError(t, gatherer.Send(wire.Message{View: changeView(13, "a4")}), "view 12 is missing")
	report = awaitMessage(t, planner, requestsSnapshot).Report
	assert.EqualValues(t, 18, report.WithdrawalsSeen, "the view after the gap is not acknowledged")
	assert.Empty(t, report.Forwarder)
	assert.Equal(t, 2, f.instance.Status().ResidentCopies)

	whole := snapshotView(13)
	whole.Withdrawals = 20
	require.NoError(t, planner.Send(wire.Message{View: whole}))
	f.waitForStatus(t, "has applied the snapshot", func(status coordinator.Status) bool { return status.ResidentCopies == 1 })
	require.NoError(t, gatherer.Send(wire.Message{View: changeView(14, "a5")}))
	report = awaitMessage(t, planner, reportsForwarder("gatherer")).Report
	assert.EqualValues(t, 21, report.WithdrawalsSeen)
	assert.Equal(t, 2, f.instance.Status().ResidentCopies, "a1 of the snapshot, and a5")
}

// TestLostGathererMakesInstanceRequestSnapshot checks that the instance requests a snapshot from the planner at once if
// the gatherer's link ends, and after 0.8 s of silence if the gatherer hangs. Its data about endpoints then stays within
// the age up to which it may be used.
func TestLostGathererMakesInstanceRequestSnapshot(t *testing.T) {
	for name, lose := range map[string]func(gatherer *wirePeer){
		"the link ends":      func(gatherer *wirePeer) { gatherer.Close() },
		"the gatherer hangs": func(*wirePeer) {},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			planner, gatherer := f.followWithGatherer(t)
			go drainWire(gatherer)
			require.NoError(t, gatherer.Send(wire.Message{View: changeView(11, "a2")}))
			awaitMessage(t, planner, reportsForwarder("gatherer"))
			start := time.Now()
			lose(gatherer)
			awaitMessage(t, planner, func(m wire.Message) bool {
				return m.Report != nil && m.Report.NeedsSnapshot && m.Report.Forwarder == ""
			})
			assert.Less(t, time.Since(start), 1200*time.Millisecond)
		})
	}
}

// TestBareViewDoesNotRefreshEndpointsAge guards against bare views that count as proof of fresh endpoint data. The planner sends
// them directly while a gatherer that hangs may delay changes.
func TestBareViewDoesNotRefreshEndpointsAge(t *testing.T) {
	f := newFixture()
	planner, gatherer := f.followWithGatherer(t)
	go drainWire(gatherer)
	require.NoError(t, gatherer.Send(wire.Message{View: changeView(11, "a2")}))
	awaitMessage(t, planner, reportsForwarder("gatherer"))
	before := f.instance.Status().EndpointsAge
	time.Sleep(200 * time.Millisecond)
	bare := &wire.View{Planner: "peer", Term: 4, Bare: true, TermAge: time.Minute + 2*time.Second, Members: 40, Withdrawals: 99, ConfigurationRevision: 50}
	require.NoError(t, planner.Send(wire.Message{View: bare}))
	time.Sleep(50 * time.Millisecond)
	assert.GreaterOrEqual(t, f.instance.Status().EndpointsAge, before+200*time.Millisecond)
	assert.EqualValues(t, 18, awaitMessage(t, planner, reportsForwarder("")).Report.WithdrawalsSeen, "a bare view acknowledges no withdrawals")
}

func drainWire(stream *wirePeer) {
	for {
		if _, err := stream.Receive(waitLimit, time.Now); err != nil {
			return
		}
	}
}

// trySend sends a value to a channel if the channel has room.
func trySend[T any](into chan T, value T) {
	select {
	case into <- value:
	default:
	}
}

// joinWireMember joins a member with the given name that can be a gatherer.
func (f *fixture) joinWireMember(t *testing.T, name string) *wirePeer {
	t.Helper()
	near, far := net.Pipe()
	f.network.incoming <- near
	stream := wireStream(t, far)
	report := &wire.Report{Instance: name, Contact: &wire.Contact{Hall: "hall", Address: wire.Address{AddrPort: gathererAddress}, LinkRate: 1}}
	require.NoError(t, stream.Send(wire.Message{Report: report}))
	return stream
}

// memberGroup is the members that the test simulates for the instance as planner, and what they received.
type memberGroup struct {
	members        map[string]*wirePeer
	views          map[string]chan *wire.View
	namedGatherers chan []wire.Gatherer
	totals         chan *wire.Totals
}

// joinMembers joins members of one hall and reads their messages.
func (f *fixture) joinMembers(t *testing.T, count int) *memberGroup {
	t.Helper()
	g := &memberGroup{
		members: make(map[string]*wirePeer), views: make(map[string]chan *wire.View),
		namedGatherers: make(chan []wire.Gatherer, count), totals: make(chan *wire.Totals, 100),
	}
	for i := range count {
		name := fmt.Sprintf("m%d", i)
		g.members[name], g.views[name] = f.joinWireMember(t, name), make(chan *wire.View, 1000)
		go g.read(g.members[name], g.views[name])
	}
	return g
}

// read stores the messages of a member until its link ends.
func (g *memberGroup) read(stream *wirePeer, views chan *wire.View) {
	for {
		received, err := stream.Receive(waitLimit, time.Now)
		if err != nil {
			return
		}
		if received.Totals != nil {
			trySend(g.totals, received.Totals)
		}
		if received.View != nil {
			trySend(views, received.View)
			if len(received.View.Gatherers) > 0 {
				trySend(g.namedGatherers, received.View.Gatherers)
			}
		}
	}
}

// report sends reports of all members until the test ends. The member receiver reports that the given gatherer forwards
// views to it.
func (g *memberGroup) report(t *testing.T, receiver, gatherer string) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			for name, stream := range g.members {
				report := &wire.Report{Instance: name}
				if name == receiver {
					report.Forwarder = gatherer
				}
				_ = stream.Send(wire.Message{Report: report})
			}
			select {
			case <-done:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
}

// sendSumFor sends a gatherer's sum repeatedly for the given time.
func (g *memberGroup) sendSumFor(t *testing.T, span time.Duration, sum *wire.Sum) {
	t.Helper()
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		require.NoError(t, g.members[sum.Gatherer].Send(wire.Message{Sum: sum}))
	}
}

// TestPlannerSendsOnlyBareViewsToMembersWithForwardedViews checks that the planner of a large fleet names gatherers,
// sends them the totals, and sends no views of changes to a member to which a gatherer forwards views, until that
// gatherer falls silent.
func TestPlannerSendsOnlyBareViewsToMembersWithForwardedViews(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning })
	g := f.joinMembers(t, 17)
	gatherers := nextValue(t, g.namedGatherers)
	require.Len(t, gatherers, 2, "17 members of one hall")
	gatherer, receiver := gatherers[0].Name, "m0"
	if gatherer == receiver {
		receiver = "m1"
	}
	g.report(t, receiver, gatherer)
	sum := &wire.Sum{Gatherer: gatherer, Members: []string{receiver}, InFlight: []wire.Count{{ID: "e1", Requests: 3}}}
	g.sendSumFor(t, time.Second, sum)
	assert.Equal(t, sum.InFlight, nextValue(t, g.totals).InFlight)
	assert.Equal(t, 3, f.instance.Status().OthersInFlight)

	views := g.views[receiver]
	for len(views) > 0 {
		<-views
	}
	g.sendSumFor(t, 800*time.Millisecond, sum)
	require.NotEmpty(t, views, "bare views keep the link alive")
	for len(views) > 0 {
		assert.True(t, (<-views).Bare)
	}
	for nextValue(t, views).Bare {
		// Bare views arrive until the planner notices that the gatherer is silent.
		continue
	}
	f.waitForStatus(t, "drops the sum", func(status coordinator.Status) bool { return status.OthersInFlight == 0 })
}

// nextValue receives one value from a channel.
func nextValue[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(waitLimit):
		require.FailNow(t, "no value received")
		panic("not reached")
	}
}

// TestMemberWithReadEndpointsGetsShortSnapshot guards against snapshots with all descriptions for all instances that
// start at the same time. These views occupied the planner's link and delayed the views of draining endpoints.
func TestMemberWithReadEndpointsGetsShortSnapshot(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	for name, test := range map[string]struct {
		read  int64
		short bool
	}{
		"read all endpoints":       {1 << 40, true},
		"read an earlier revision": {1, false},
		"read nothing":             {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			f.network.incoming <- near
			stream := wireStream(t, far)
			report := &wire.Report{Instance: name, Contact: &wire.Contact{Hall: "hall"}, EndpointsRead: test.read}
			require.NoError(t, stream.Send(wire.Message{Report: report}))
			v := awaitMessage(t, stream, func(m wire.Message) bool { return m.View != nil }).View
			assert.True(t, v.IsSnapshot)
			assert.True(t, v.Full)
			if test.short {
				assert.Empty(t, v.Endpoints)
				assert.Equal(t, []deployment.EndpointID{"e1"}, v.UnchangedEndpoints)
			} else {
				assert.Len(t, v.Endpoints, 1)
				assert.Empty(t, v.UnchangedEndpoints)
			}
		})
	}
}

// TestEndpointsReadIsReportedOnlyBeforeFirstView checks that the instance no longer reports its read of the endpoints
// after a planner's view, which may differ from the descriptions in the store.
func TestEndpointsReadIsReportedOnlyBeforeFirstView(t *testing.T) {
	f := newFixture()
	f.setOtherPlanner(t)
	f.start(t)
	planner := f.nextDial(t)
	first := awaitMessage(t, planner, func(m wire.Message) bool { return m.Report != nil }).Report
	assert.Positive(t, first.EndpointsRead)
	short := snapshotView(1)
	short.Endpoints, short.Gatherers, short.UnchangedEndpoints = nil, nil, []deployment.EndpointID{"e1"}
	require.NoError(t, planner.Send(wire.Message{View: short}))
	f.waitForStatus(t, "follows the planner", func(status coordinator.Status) bool { return status.Term == 4 })
	assert.Equal(t, 1, f.instance.Status().Endpoints, "the endpoint keeps the description from the store")
	planner.Close()
	next := awaitMessage(t, f.nextDial(t), func(m wire.Message) bool { return m.Report != nil }).Report
	assert.Zero(t, next.EndpointsRead)
}
