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

// These types duplicate the messages between instances with their encoded names. A change of the encoding breaks rolling
// restarts.
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

type rawPeer = peerstream.Stream[wireMessage]

// acceptDial returns the other end of the next connection that the instance dials.
func (f *fixture) acceptDial(t *testing.T) *rawPeer {
	t.Helper()
	select {
	case conn := <-f.network.nextDial:
		stream := peerstream.New[wireMessage](conn)
		t.Cleanup(stream.Close)
		return stream
	case <-time.After(waitLimit):
		require.FailNow(t, "the instance dials no address")
		return nil
	}
}

// connectPeer connects a peer to the instance.
func (f *fixture) connectPeer(t *testing.T) *rawPeer {
	t.Helper()
	near, far := net.Pipe()
	f.network.incoming <- near
	stream := peerstream.New[wireMessage](far)
	t.Cleanup(stream.Close)
	return stream
}

// joinMember connects a member with the given name that reports no demand.
func (f *fixture) joinMember(t *testing.T, instance string) *rawPeer {
	t.Helper()
	member := f.connectPeer(t)
	require.NoError(t, member.Send(wireMessage{Report: &wireReport{Instance: instance}}))
	return member
}

func receiveUntil(t *testing.T, stream *rawPeer, matches func(wireMessage) bool) wireMessage {
	t.Helper()
	for {
		received, err := stream.Receive(waitLimit, time.Now)
		require.NoError(t, err)
		if matches(received) {
			return received
		}
	}
}

// drain reads a stream until it ends, because writes to a pipe block until they are read.
func drain(stream *rawPeer) {
	for {
		if _, err := stream.Receive(waitLimit, time.Now); err != nil {
			return
		}
	}
}

func (f *fixture) waitForStatus(t *testing.T, what string, matches func(coordinator.Status) bool) {
	t.Helper()
	require.Eventually(t, func() bool { return matches(f.instance.Status()) }, waitLimit, pollInterval, what)
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

func TestSingleInstanceTakesLeaseAndServes(t *testing.T) {
	f := newFixture()
	f.start(t)
	assignment, request, err := f.acquire("a1", waitLimit)
	require.NoError(t, err)
	assert.EqualValues(t, "e1", assignment.Endpoint.ID)
	assert.Equal(t, 80, assignment.MaxConnections, "all that the endpoint accepts")
	assert.Equal(t, 5, assignment.MaxKept, "half of 80 connections shared by 8 assumed instances")
	record, found := f.store.record(t)
	require.True(t, found)
	assert.Equal(t, selfName, record.Holder)
	assert.Equal(t, selfAddress, record.Address)
	assert.EqualValues(t, 1, record.Term)
	assert.True(t, record.Ordering)

	status := f.instance.Status()
	assert.True(t, status.Planning)
	assert.Equal(t, 1, status.InFlight)
	f.instance.Finish(request, assignment, directory.Succeeded, false)
	assert.Zero(t, f.instance.Status().InFlight)

	_, _, err = f.acquire("a1", waitLimit)
	require.NoError(t, err)
	assert.Equal(t, 1, f.engine.loadCount(), "a resident adapter is not loaded again")
}

func TestReleaseWritesRecordAndNotifiesMembers(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.checkReleaseAnnounced(t)
	record, _ := f.store.record(t)
	assert.True(t, record.Released)
	assert.False(t, f.instance.Ready())
}

// checkReleaseAnnounced makes the instance the planner, releases its lease, and checks that a view announces the end of
// the term to a member.
func (f *fixture) checkReleaseAnnounced(t *testing.T) {
	t.Helper()
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning })
	f.waitForOrdering(t, 1)
	member := f.joinMember(t, "peer")
	receiveUntil(t, member, func(m wireMessage) bool { return m.View != nil })
	released := make(chan struct{})
	go func() { f.instance.Release(context.Background()); close(released) }()
	announcement := receiveUntil(t, member, func(m wireMessage) bool { return m.View != nil && m.View.Resigned })
	assert.EqualValues(t, 1, announcement.View.Term)
	go drain(member)
	<-released
}

func TestReleaseWaitsForOrdersInFlight(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForOrdering(t, 1)
	release := f.engine.blockLoads()
	defer release()
	_, _, err := f.acquire("a1", 100*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	released := make(chan struct{})
	go func() { f.instance.Release(context.Background()); close(released) }()
	time.Sleep(150 * time.Millisecond)
	record, _ := f.store.record(t)
	assert.False(t, record.Released, "an order is in flight")
	release()
	<-released
	record, _ = f.store.record(t)
	assert.True(t, record.Released)
}

func TestReleaseTimeoutLeavesRecordUnreleased(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForOrdering(t, 1)
	release := f.engine.blockLoads()
	defer release()
	_, _, err := f.acquire("a1", 100*time.Millisecond)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	f.instance.Release(ctx)
	record, _ := f.store.record(t)
	assert.False(t, record.Released, "the order may still arrive")
}

func TestPlannerWithoutStoreResignsIfMemberReachesStore(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForOrdering(t, 1)
	member := f.connectPeer(t)
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
	heartbeat := receiveUntil(t, member, func(m wireMessage) bool { return m.View != nil && m.View.Heartbeat })
	assert.False(t, heartbeat.View.Resigned)
	f.store.setDown(true)
	resignation := receiveUntil(t, member, func(m wireMessage) bool { return m.View != nil && m.View.Resigned })
	assert.GreaterOrEqual(t, resignation.View.ConfirmedAge, 800*time.Millisecond)
	assert.EqualValues(t, 1, resignation.View.Term)
	go drain(member)
	assert.True(t, f.instance.Status().Planning, "a resigned planner still sends views")
	f.store.setDown(false)
	f.waitForStatus(t, "a new term", func(status coordinator.Status) bool { return status.Planning && status.Term == 2 })
}

func TestMemberGetsSnapshotThenChangesAndHeartbeats(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	member := f.joinMember(t, "peer")
	var items []store.Item
	view := func(m wireMessage) bool {
		if m.View != nil {
			items = append(items, m.View.Items...)
		}
		return m.View != nil
	}
	first := receiveUntil(t, member, view)
	assert.True(t, first.View.Full)
	assert.Len(t, first.View.Endpoints, 1)
	assert.Equal(t, selfName, first.View.Planner)
	assert.Equal(t, 2, first.View.Members)

	report := &wireReport{Instance: "peer", Demands: []wireDemand{{Service: service, Model: "base", Name: "a7", Waiting: 1, InTime: time.Second}}}
	require.NoError(t, member.Send(wireMessage{Report: report}))
	require.NoError(t, member.Send(wireMessage{Report: report}), "a repeated report adds no demand")
	loaded := receiveUntil(t, member, func(m wireMessage) bool {
		return view(m) && len(m.View.Endpoints) == 1 && len(m.View.Endpoints[0].Models[0].Adapters) == 1
	})
	assert.False(t, loaded.View.Full)
	assert.Equal(t, "a7", loaded.View.Endpoints[0].Models[0].Adapters[0].Name)
	assert.Equal(t, 1, f.engine.loadCount())
	// A member that has lacked the operators' keys for some time receives them once.
	for range 3 {
		receiveUntil(t, member, func(m wireMessage) bool { return view(m) && m.View.Heartbeat && !m.View.Full })
	}
	require.Len(t, items, 1)
	assert.Equal(t, configurationKey, items[0].Key)
	go drain(member)
}

func TestPlannerStopsAfterSuccessorWithLaterTerm(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning })
	member := f.joinMember(t, "peer")
	go drain(member)
	require.NoError(t, member.Send(wireMessage{Successor: &wireSuccessor{Term: 1, Address: peerAddress}}))
	time.Sleep(50 * time.Millisecond)
	assert.True(t, f.instance.Status().Planning, "a successor message with the own term is ignored")
	f.network.refuseDials = true
	require.NoError(t, member.Send(wireMessage{Successor: &wireSuccessor{Term: 9, Address: peerAddress}}))
	f.waitForStatus(t, "stops planning", func(status coordinator.Status) bool { return !status.Planning })
}
