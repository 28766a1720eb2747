// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// The messages between instances, written once more with their encoded names: a change of these breaks a
// rolling restart.
type wireMessage struct {
	Report    *wireReport    `msgpack:"r,omitempty"`
	View      *wireView      `msgpack:"v,omitempty"`
	Request   *wireRequest   `msgpack:"q,omitempty"`
	Successor *wireSuccessor `msgpack:"s,omitempty"`
}

type wireRequest struct {
	Instance string `msgpack:"i"`
}

type wireSuccessor struct {
	Term    int64          `msgpack:"t"`
	Address netip.AddrPort `msgpack:"z"`
}

type wireReport struct {
	Instance        string        `msgpack:"i"`
	WithdrawalsSeen uint64        `msgpack:"w"`
	ConfigurationAt int64         `msgpack:"c"`
	InFlight        []wireCount   `msgpack:"f,omitempty"`
	Demands         []wireDemand  `msgpack:"d,omitempty"`
	InUse           []any         `msgpack:"u,omitempty"`
	Leaving         bool          `msgpack:"l,omitempty"`
	StoreReadAge    time.Duration `msgpack:"k"`
	Items           []store.Item  `msgpack:"o,omitempty"`
	FormerLoads     *wireLoads    `msgpack:"b,omitempty"`
}

type wireLoads struct {
	Term  int64         `msgpack:"t"`
	Count int           `msgpack:"n"`
	Age   time.Duration `msgpack:"g"`
}

type wireCount struct {
	ID    string `msgpack:"e"`
	Count int    `msgpack:"n"`
}

type wireDemand struct {
	Service  string        `msgpack:"s"`
	Model    string        `msgpack:"m"`
	Name     string        `msgpack:"a"`
	Waiting  int           `msgpack:"w,omitempty"`
	InTime   time.Duration `msgpack:"t,omitempty"`
	Arrivals int           `msgpack:"n,omitempty"`
}

type wireView struct {
	Planner         string                   `msgpack:"p"`
	Term            int64                    `msgpack:"t"`
	Withdrawals     uint64                   `msgpack:"w"`
	ReadAge         time.Duration            `msgpack:"g"`
	Address         *netip.AddrPort          `msgpack:"z,omitempty"`
	ConfirmedAge    time.Duration            `msgpack:"k"`
	Full            bool                     `msgpack:"x,omitempty"`
	At              int64                    `msgpack:"y,omitempty"`
	Endpoints       []wireEndpoint           `msgpack:"e,omitempty"`
	Heartbeat       bool                     `msgpack:"h,omitempty"`
	Totals          []wireCount              `msgpack:"f,omitempty"`
	Backlogs        map[string]time.Duration `msgpack:"j,omitempty"`
	Members         int                      `msgpack:"n"`
	ConfigurationAt int64                    `msgpack:"c"`
	Items           []store.Item             `msgpack:"o,omitempty"`
	Resigned        bool                     `msgpack:"b,omitempty"`
	RecentLoads     *int                     `msgpack:"a,omitempty"`
	Made            time.Duration            `msgpack:"m,omitempty"`
	AsksForKeys     bool                     `msgpack:"q,omitempty"`
	KeysFrom        string                   `msgpack:"u,omitempty"`
	KeysAge         time.Duration            `msgpack:"r,omitempty"`
}

type wireEndpoint struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	ID       string
	Revision int64
	Service  string
	Address  netip.AddrPort
	Hall     string
	Slots    int
	State    int
	Models   []wireModel
}

type wireModel struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Name     string
	Adapters []wireAdapter
}

type wireAdapter struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // The codec reads this tag by the name of its field.

	Name    string
	Version int64
}

type peer = peerstream.Stream[wireMessage]

// link takes the next connection that the instance dials.
func (s *site) link(t *testing.T) *peer {
	t.Helper()
	select {
	case conn := <-s.pipes.dialed:
		stream := peerstream.New[wireMessage](conn)
		t.Cleanup(stream.Close)
		return stream
	case <-time.After(waitLimit):
		require.FailNow(t, "the instance dials nobody")
		return nil
	}
}

// join connects to the instance as a peer that follows it.
func (s *site) join(t *testing.T) *peer {
	t.Helper()
	near, far := net.Pipe()
	s.pipes.incoming <- near
	stream := peerstream.New[wireMessage](far)
	t.Cleanup(stream.Close)
	return stream
}

// joinAs joins as a member of that name, which asks for nothing.
func (s *site) joinAs(t *testing.T, instance string) *peer {
	t.Helper()
	member := s.join(t)
	require.NoError(t, member.Send(wireMessage{Report: &wireReport{Instance: instance}}))
	return member
}

func receive(t *testing.T, stream *peer, wanted func(wireMessage) bool) wireMessage {
	t.Helper()
	for {
		received, err := stream.Receive(waitLimit, time.Now)
		require.NoError(t, err)
		if wanted(received) {
			return received
		}
	}
}

// drain reads a stream to its end, since nothing else empties a pipe.
func drain(stream *peer) {
	for {
		if _, err := stream.Receive(waitLimit, time.Now); err != nil {
			return
		}
	}
}

func (s *site) waitForStatus(t *testing.T, what string, wanted func(coordinator.Status) bool) {
	t.Helper()
	require.Eventually(t, func() bool { return wanted(s.control.Status()) }, waitLimit, lookPace, what)
}

func fullView(term int64, adapters ...string) *wireView {
	model := wireModel{Name: "base"}
	for _, name := range adapters {
		model.Adapters = append(model.Adapters, wireAdapter{Name: name, Version: 1})
	}
	return &wireView{
		Planner: "peer", Term: term, Full: true, At: 50, Heartbeat: true, Members: 2, ConfigurationAt: 50,
		Endpoints: []wireEndpoint{{ID: "e1", Revision: 50, Service: service, Address: netip.MustParseAddrPort("127.0.0.1:2001"), Hall: "hall", Slots: 16, Models: []wireModel{model}}},
	}
}

func TestAnInstanceAloneTakesTheRecordLoadsAndServes(t *testing.T) {
	s := newSite()
	s.start(t)
	assignment, request, err := s.acquire("a1", waitLimit)
	require.NoError(t, err)
	assert.EqualValues(t, "e1", assignment.Endpoint.ID)
	assert.Equal(t, 10, assignment.MaxConnections, "80 connections shared by the number of instances that is assumed")
	record, found := s.store.record(t)
	require.True(t, found)
	assert.Equal(t, selfName, record.Holder)
	assert.Equal(t, selfAddress, record.Address)
	assert.EqualValues(t, 1, record.Term)
	assert.True(t, record.Ordering)

	status := s.control.Status()
	assert.True(t, status.Planning)
	assert.Equal(t, 1, status.InFlight)
	s.control.Finish(request, assignment, directory.Succeeded, false)
	assert.Zero(t, s.control.Status().InFlight)

	_, _, err = s.acquire("a1", waitLimit)
	require.NoError(t, err)
	assert.Equal(t, 1, s.engines.loadCount(), "what is resident is not loaded again")
}

func TestAPlannedStopReleasesTheRecordAndTellsTheMembers(t *testing.T) {
	s := newSite()
	s.start(t)
	s.isToldOfTheRelease(t)
	record, _ := s.store.record(t)
	assert.True(t, record.Released)
	assert.False(t, s.control.Ready())
}

// isToldOfTheRelease has the instance plan and stop, and a member be told that the term ends.
func (s *site) isToldOfTheRelease(t *testing.T) {
	t.Helper()
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning })
	s.begins(t, 1)
	member := s.joinAs(t, "peer")
	receive(t, member, func(m wireMessage) bool { return m.View != nil })
	released := make(chan struct{})
	go func() { s.control.Release(context.Background()); close(released) }()
	told := receive(t, member, func(m wireMessage) bool { return m.View != nil && m.View.Resigned })
	assert.EqualValues(t, 1, told.View.Term)
	go drain(member)
	<-released
}

func TestAPlannedStopWaitsForOrdersUnderWay(t *testing.T) {
	s := newSite()
	s.start(t)
	s.begins(t, 1)
	release := s.engines.hold()
	defer release()
	_, _, err := s.acquire("a1", 100*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	released := make(chan struct{})
	go func() { s.control.Release(context.Background()); close(released) }()
	time.Sleep(150 * time.Millisecond)
	record, _ := s.store.record(t)
	assert.False(t, record.Released, "an order is under way")
	release()
	<-released
	record, _ = s.store.record(t)
	assert.True(t, record.Released)
}

func TestAStopThatCannotWaitReleasesNothing(t *testing.T) {
	s := newSite()
	s.start(t)
	s.begins(t, 1)
	release := s.engines.hold()
	defer release()
	_, _, err := s.acquire("a1", 100*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	s.control.Release(ctx)
	record, _ := s.store.record(t)
	assert.False(t, record.Released, "the order may still arrive")
}

func TestAPlannerCutFromTheStoreResignsToAMemberThatReachesIt(t *testing.T) {
	s := newSite()
	s.start(t)
	s.begins(t, 1)
	member := s.join(t)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			_ = member.Send(wireMessage{Report: &wireReport{Instance: "peer"}})
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	sound := receive(t, member, func(m wireMessage) bool { return m.View != nil && m.View.Heartbeat })
	assert.False(t, sound.View.Resigned)
	s.store.setDown(true)
	told := receive(t, member, func(m wireMessage) bool { return m.View != nil && m.View.Resigned })
	assert.GreaterOrEqual(t, told.View.ConfirmedAge, 800*time.Millisecond)
	assert.EqualValues(t, 1, told.View.Term)
	go drain(member)
	assert.True(t, s.control.Status().Planning, "it still tells what it knows")
	s.store.setDown(false)
	s.waitForStatus(t, "a new term", func(status coordinator.Status) bool { return status.Planning && status.Term == 2 })
}

func TestAMemberGetsAWholeViewOnceThenChangesAndHeartbeats(t *testing.T) {
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	member := s.joinAs(t, "peer")
	var items []store.Item
	view := func(m wireMessage) bool {
		if m.View != nil {
			items = append(items, m.View.Items...)
		}
		return m.View != nil
	}
	first := receive(t, member, view)
	assert.True(t, first.View.Full)
	assert.Len(t, first.View.Endpoints, 1)
	assert.Equal(t, selfName, first.View.Planner)
	assert.Equal(t, 2, first.View.Members)

	report := &wireReport{Instance: "peer", Demands: []wireDemand{{Service: service, Model: "base", Name: "a7", Waiting: 1, InTime: time.Second}}}
	require.NoError(t, member.Send(wireMessage{Report: report}))
	require.NoError(t, member.Send(wireMessage{Report: report}), "a repeated report asks for nothing more")
	loaded := receive(t, member, func(m wireMessage) bool {
		return view(m) && len(m.View.Endpoints) == 1 && len(m.View.Endpoints[0].Models[0].Adapters) == 1
	})
	assert.False(t, loaded.View.Full)
	assert.Equal(t, "a7", loaded.View.Endpoints[0].Models[0].Adapters[0].Name)
	assert.Equal(t, 1, s.engines.loadCount())
	// A member that lacks the operators' keys for a while gets them, once.
	for range 3 {
		receive(t, member, func(m wireMessage) bool { return view(m) && m.View.Heartbeat && !m.View.Full })
	}
	require.Len(t, items, 1)
	assert.Equal(t, configurationKey, items[0].Key)
	go drain(member)
}

func TestAPlannerEndsWhenAPeerNamesALaterTerm(t *testing.T) {
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning })
	member := s.joinAs(t, "peer")
	go drain(member)
	require.NoError(t, member.Send(wireMessage{Successor: &wireSuccessor{Term: 1, Address: peerAddress}}))
	time.Sleep(50 * time.Millisecond)
	assert.True(t, s.control.Status().Planning, "its own term ends nothing")
	s.pipes.refuse = true
	require.NoError(t, member.Send(wireMessage{Successor: &wireSuccessor{Term: 9, Address: peerAddress}}))
	s.waitForStatus(t, "ends", func(status coordinator.Status) bool { return !status.Planning })
}
