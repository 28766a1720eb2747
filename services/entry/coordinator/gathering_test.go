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

// wirePeer is a peer that speaks the messages of this version.
type wirePeer = peerstream.Stream[wire.Message]

var gathererAddress = netip.MustParseAddrPort("127.0.0.9:7000")

// dialed takes the next connection that the instance dials.
func (s *site) dialed(t *testing.T) *wirePeer {
	t.Helper()
	select {
	case conn := <-s.pipes.dialed:
		return wireStream(t, conn)
	case <-time.After(waitLimit):
		require.FailNow(t, "the instance dials nobody")
		return nil
	}
}

func wireStream(t *testing.T, conn net.Conn) *wirePeer {
	t.Helper()
	stream := peerstream.New[wire.Message](conn)
	t.Cleanup(stream.Close)
	return stream
}

// await reads a stream until a message is as wanted.
func await(t *testing.T, stream *wirePeer, wanted func(wire.Message) bool) wire.Message {
	t.Helper()
	for {
		received, err := stream.Receive(waitLimit, time.Now)
		require.NoError(t, err)
		if wanted(received) {
			return received
		}
	}
}

// wholeOf gives a whole view of a planner in term 4, with a number, that names a gatherer.
func wholeOf(sequence uint64) *wire.View {
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

// changeOf gives a view of one copy that came.
func changeOf(sequence uint64, name string) *wire.View {
	return &wire.View{
		Planner: "peer", Term: 4, Sequence: sequence, Members: 40, ConfigurationRevision: 50, TermAge: time.Minute + time.Second, Withdrawals: 7 + sequence,
		CopyChanges: []wire.CopyChange{{ID: "e1", Model: "base", Name: name, Version: 1}},
	}
}

// gathered starts the instance beside a planner and a gatherer that the test plays.
func (s *site) gathered(t *testing.T) (planner, gatherer *wirePeer) {
	t.Helper()
	s.planElsewhere(t)
	s.start(t)
	planner = s.dialed(t)
	await(t, planner, func(m wire.Message) bool { return m.Report != nil && m.Report.Contact != nil })
	require.NoError(t, planner.Send(wire.Message{View: wholeOf(10)}))
	gatherer = s.dialed(t)
	assert.Equal(t, gathererAddress, s.pipes.lastDialed())
	return planner, gatherer
}

func fedBy(name string) func(wire.Message) bool {
	return func(m wire.Message) bool { return m.Report != nil && m.Report.Relay == name }
}

func asksForWhole(m wire.Message) bool { return m.Report != nil && m.Report.NeedsSnapshot }

// TestAnInstanceTellsItsLoadToItsGathererAndTakesTotals: what the others have in flight came with the planner's rare totals, so that all
// instances of a large fleet chose by the same old counts.
func TestAnInstanceTellsItsLoadToItsGathererAndTakesTotals(t *testing.T) {
	s := newSite()
	planner, gatherer := s.gathered(t)
	go drainWire(planner)
	_, _, err := s.acquire("a1", waitLimit)
	require.NoError(t, err)
	load := await(t, gatherer, func(m wire.Message) bool { return m.Load != nil && len(m.Load.InFlight) > 0 }).Load
	assert.Equal(t, selfName, load.Instance)
	assert.Equal(t, []wire.Count{{ID: "e1", Requests: 1}}, load.InFlight)
	go drainWire(gatherer)
	totals := &wire.Totals{Planner: "peer", Term: 4, Age: 300 * time.Millisecond, InFlight: []wire.Count{{ID: "e1", Requests: 9}}}
	require.NoError(t, gatherer.Send(wire.Message{Totals: totals}))
	s.waitForStatus(t, "knows the others' requests", func(status coordinator.Status) bool { return status.OthersInFlight == 8 })
	assert.GreaterOrEqual(t, s.control.Status().CountsAge, 300*time.Millisecond)
	former := *totals
	former.Term, former.InFlight = 3, nil
	require.NoError(t, gatherer.Send(wire.Message{Totals: &former}))
	time.Sleep(30 * time.Millisecond)
	assert.Equal(t, 8, s.control.Status().OthersInFlight, "of a former planner")
}

// TestViewsThatAGathererPassesOnAreTakenInOrder: the planner's link no longer carries each view to each instance. One that is missing must
// be noticed, since its withdrawals would be acknowledged with the next one.
func TestViewsThatAGathererPassesOnAreTakenInOrder(t *testing.T) {
	s := newSite()
	planner, gatherer := s.gathered(t)
	go drainWire(gatherer)
	require.NoError(t, gatherer.Send(wire.Message{View: changeOf(11, "a2")}))
	report := await(t, planner, fedBy("gatherer")).Report
	assert.EqualValues(t, 18, report.WithdrawalsSeen)
	_, _, err := s.acquire("a2", waitLimit)
	require.NoError(t, err)

	require.NoError(t, planner.Send(wire.Message{View: changeOf(11, "a3")}), "the same number over the planner's own link")
	require.NoError(t, gatherer.Send(wire.Message{View: changeOf(13, "a4")}), "12 is missing")
	report = await(t, planner, asksForWhole).Report
	assert.EqualValues(t, 18, report.WithdrawalsSeen, "what came after the gap is not acknowledged")
	assert.Empty(t, report.Relay)
	assert.Equal(t, 2, s.control.Status().ResidentCopies)

	whole := wholeOf(13)
	whole.Withdrawals = 20
	require.NoError(t, planner.Send(wire.Message{View: whole}))
	s.waitForStatus(t, "took the whole view", func(status coordinator.Status) bool { return status.ResidentCopies == 1 })
	require.NoError(t, gatherer.Send(wire.Message{View: changeOf(14, "a5")}))
	report = await(t, planner, fedBy("gatherer")).Report
	assert.EqualValues(t, 21, report.WithdrawalsSeen)
	assert.Equal(t, 2, s.control.Status().ResidentCopies, "a1 of the whole view and a5")
}

// TestAnInstanceWhoseGathererIsLostTurnsToThePlanner, at once where its link ends, and after 0.8 s of silence where it stands still: its
// views of endpoints stay within the time for which they can be relied on.
func TestAnInstanceWhoseGathererIsLostTurnsToThePlanner(t *testing.T) {
	for name, lose := range map[string]func(gatherer *wirePeer){
		"its link ends":   func(gatherer *wirePeer) { gatherer.Close() },
		"it stands still": func(*wirePeer) {},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite()
			planner, gatherer := s.gathered(t)
			go drainWire(gatherer)
			require.NoError(t, gatherer.Send(wire.Message{View: changeOf(11, "a2")}))
			await(t, planner, fedBy("gatherer"))
			began := time.Now()
			lose(gatherer)
			await(t, planner, func(m wire.Message) bool { return m.Report != nil && m.Report.NeedsSnapshot && m.Report.Relay == "" })
			assert.Less(t, time.Since(began), 1200*time.Millisecond)
		})
	}
}

// TestABareViewProvesNothingOfEndpoints: it comes from the planner while a gatherer that stands still holds back what changed.
func TestABareViewProvesNothingOfEndpoints(t *testing.T) {
	s := newSite()
	planner, gatherer := s.gathered(t)
	go drainWire(gatherer)
	require.NoError(t, gatherer.Send(wire.Message{View: changeOf(11, "a2")}))
	await(t, planner, fedBy("gatherer"))
	before := s.control.Status().EndpointsAge
	time.Sleep(200 * time.Millisecond)
	bare := &wire.View{Planner: "peer", Term: 4, Bare: true, TermAge: time.Minute + 2*time.Second, Members: 40, Withdrawals: 99, ConfigurationRevision: 50}
	require.NoError(t, planner.Send(wire.Message{View: bare}))
	time.Sleep(50 * time.Millisecond)
	assert.GreaterOrEqual(t, s.control.Status().EndpointsAge, before+200*time.Millisecond)
	assert.EqualValues(t, 18, await(t, planner, fedBy("")).Report.WithdrawalsSeen, "nor is anything acknowledged")
}

func drainWire(stream *wirePeer) {
	for {
		if _, err := stream.Receive(waitLimit, time.Now); err != nil {
			return
		}
	}
}

// offer puts a value into a channel that has room.
func offer[T any](into chan T, value T) {
	select {
	case into <- value:
	default:
	}
}

// member joins the instance as one of a name, which can gather.
func (s *site) member(t *testing.T, name string) *wirePeer {
	t.Helper()
	near, far := net.Pipe()
	s.pipes.incoming <- near
	stream := wireStream(t, far)
	report := &wire.Report{Instance: name, Contact: &wire.Contact{Hall: "hall", Address: wire.Address{AddrPort: gathererAddress}, LinkRate: 1}}
	require.NoError(t, stream.Send(wire.Message{Report: report}))
	return stream
}

// group is the members of a planner that the test plays, and what they were sent.
type group struct {
	members map[string]*wirePeer
	views   map[string]chan *wire.View
	named   chan []wire.Gatherer
	totals  chan *wire.Totals
}

// joinMembers joins members of one hall and reads what they are sent.
func (s *site) joinMembers(t *testing.T, count int) *group {
	t.Helper()
	g := &group{
		members: make(map[string]*wirePeer), views: make(map[string]chan *wire.View),
		named: make(chan []wire.Gatherer, count), totals: make(chan *wire.Totals, 100),
	}
	for i := range count {
		name := fmt.Sprintf("m%d", i)
		g.members[name], g.views[name] = s.member(t, name), make(chan *wire.View, 1000)
		go g.read(g.members[name], g.views[name])
	}
	return g
}

// read takes in what a member is sent until its link ends.
func (g *group) read(stream *wirePeer, seen chan *wire.View) {
	for {
		received, err := stream.Receive(waitLimit, time.Now)
		if err != nil {
			return
		}
		if received.Totals != nil {
			offer(g.totals, received.Totals)
		}
		if received.View != nil {
			offer(seen, received.View)
			if len(received.View.Gatherers) > 0 {
				offer(g.named, received.View.Gatherers)
			}
		}
	}
}

// report lets all members go on reporting until the test ends, one of them that a gatherer feeds it.
func (g *group) report(t *testing.T, fed, gatherer string) {
	t.Helper()
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			for name, stream := range g.members {
				report := &wire.Report{Instance: name}
				if name == fed {
					report.Relay = gatherer
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

// sumFor sends a gatherer's sum again and again for a span.
func (g *group) sumFor(t *testing.T, span time.Duration, sum *wire.Sum) {
	t.Helper()
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		require.NoError(t, g.members[sum.Gatherer].Send(wire.Message{Sum: sum}))
	}
}

// TestAPlannerLeavesMembersToTheirGatherers: in a fleet that needs them it names gatherers, tells those that gather the totals, and sends the
// views of changes no more to who gets them from one, for as long as that one is heard.
func TestAPlannerLeavesMembersToTheirGatherers(t *testing.T) {
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning })
	g := s.joinMembers(t, 17)
	gatherers := next(t, g.named)
	require.Len(t, gatherers, 2, "17 members of one hall")
	gatherer, fed := gatherers[0].Name, "m0"
	if gatherer == fed {
		fed = "m1"
	}
	g.report(t, fed, gatherer)
	sum := &wire.Sum{Gatherer: gatherer, Members: []string{fed}, InFlight: []wire.Count{{ID: "e1", Requests: 3}}}
	g.sumFor(t, time.Second, sum)
	assert.Equal(t, sum.InFlight, next(t, g.totals).InFlight)
	assert.Equal(t, 3, s.control.Status().OthersInFlight)

	views := g.views[fed]
	for len(views) > 0 {
		<-views
	}
	g.sumFor(t, 800*time.Millisecond, sum)
	require.NotEmpty(t, views, "a sign of life")
	for len(views) > 0 {
		assert.True(t, (<-views).Bare)
	}
	for next(t, views).Bare {
		// Until the planner notices that the gatherer is silent.
		continue
	}
	s.waitForStatus(t, "forgets the sum", func(status coordinator.Status) bool { return status.OthersInFlight == 0 })
}

// next takes one value out of a channel.
func next[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(waitLimit):
		require.FailNow(t, "nothing comes")
		panic("not reached")
	}
}

// TestAMemberThatHasReadTheEndpointsGetsAShortWholeView: when all instances start at once each got all endpoints over the planner's link,
// which held up views of endpoints that leave.
func TestAMemberThatHasReadTheEndpointsGetsAShortWholeView(t *testing.T) {
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	for name, test := range map[string]struct {
		read  int64
		short bool
	}{
		"read it all":   {1 << 40, true},
		"read it early": {1, false},
		"read nothing":  {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			s.pipes.incoming <- near
			stream := wireStream(t, far)
			report := &wire.Report{Instance: name, Contact: &wire.Contact{Hall: "hall"}, EndpointsRead: test.read}
			require.NoError(t, stream.Send(wire.Message{Report: report}))
			v := await(t, stream, func(m wire.Message) bool { return m.View != nil }).View
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

// TestAnInstanceSaysThatItReadTheEndpointsUntilItIsToldOfCopies: what a planner told may be other than what the store describes.
func TestAnInstanceSaysThatItReadTheEndpointsUntilItIsToldOfCopies(t *testing.T) {
	s := newSite()
	s.planElsewhere(t)
	s.start(t)
	planner := s.dialed(t)
	first := await(t, planner, func(m wire.Message) bool { return m.Report != nil }).Report
	assert.Positive(t, first.EndpointsRead)
	short := wholeOf(1)
	short.Endpoints, short.Gatherers, short.UnchangedEndpoints = nil, nil, []deployment.EndpointID{"e1"}
	require.NoError(t, planner.Send(wire.Message{View: short}))
	s.waitForStatus(t, "follows", func(status coordinator.Status) bool { return status.Term == 4 })
	assert.Equal(t, 1, s.control.Status().Endpoints, "it stays as it was read")
	planner.Close()
	again := await(t, s.dialed(t), func(m wire.Message) bool { return m.Report != nil }).Report
	assert.Zero(t, again.EndpointsRead)
}
