// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package member_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

const (
	step           = time.Millisecond
	silence        = 1500 * time.Millisecond
	forgetAfter    = 20 * time.Second
	storeReadLimit = 800 * time.Millisecond
)

var (
	start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	copy1 = wire.Copy{ID: "e1", Model: "base", Name: "a1"}
)

// newLink returns a link over an in-memory connection.
func newLink(t *testing.T) *member.Link {
	t.Helper()
	near, far := net.Pipe()
	stream := peerstream.New[wire.Message](near)
	t.Cleanup(func() { stream.Close(); _ = far.Close() })
	return stream
}

// newTable returns a table of members that have just sent an empty report.
func newTable(instances ...string) *member.Table {
	members := member.NewTable()
	for _, instance := range instances {
		members.Join(instance, nil)
		members.ApplyReport(start, &wire.Report{Instance: instance})
	}
	return members
}

// reportUsing returns a report of instance a with a number of requests in flight that use copy1.
func reportUsing(count int) *wire.Report {
	return &wire.Report{
		Instance: "a", WithdrawalsSeen: 5, InUse: []wire.CopyCount{{ID: "e1", Model: "base", Name: "a1", Count: count}},
		InFlight: []wire.EndpointCount{{ID: "e1", Count: count, Unread: 100 * count}},
	}
}

func dropLost(members *member.Table, now time.Time) (lost []string) {
	members.DropLost(now, silence, func(instance string) { lost = append(lost, instance) })
	return lost
}

func TestSilenceLimitGrowsWithLargeFleets(t *testing.T) {
	cases := map[int]time.Duration{0: silence, 16: silence, 32: silence, 33: 3 * 515625 * time.Microsecond, 64: 3 * time.Second}
	for members, expected := range cases {
		assert.Equal(t, expected, member.SilenceLimit(members), "%d members", members)
	}
}

func TestSilentMemberIsReportedLostOnceAndRemovedLater(t *testing.T) {
	members := newTable("a")
	assert.Empty(t, dropLost(members, start.Add(silence-step)))
	assert.Empty(t, dropLost(members, start.Add(silence)))
	lost := start.Add(silence + step)
	assert.Equal(t, []string{"a"}, dropLost(members, lost))
	assert.Empty(t, dropLost(members, lost.Add(step)), "reported once")
	dropLost(members, lost.Add(forgetAfter))
	assert.Equal(t, 2, members.FleetSize(), "a lost member still counts in the shares of the fleet")
	dropLost(members, lost.Add(forgetAfter+step))
	assert.Equal(t, 1, members.FleetSize())
}

// TestMemberIsLostWhenGathererStopsReceivingLoads guards against a late detection of lost members in a large fleet. There, reports
// are so rare that an instance that was cut off or suspended was kept for 9.1 s, and no copy could be unloaded meanwhile, since its
// acknowledgement was awaited.
func TestMemberIsLostWhenGathererStopsReceivingLoads(t *testing.T) {
	const large = 9 * time.Second
	lost := func(members *member.Table, after time.Duration) int {
		count := 0
		members.DropLost(start.Add(after), large, func(string) { count++ })
		return count
	}
	members := newTable("a", "b")
	members.MarkLoadsReceived(start.Add(time.Second), []string{"a", "stranger"})
	assert.Zero(t, lost(members, time.Second+silence), "at the limit")
	assert.False(t, members.IsUnused(copy1, 1, 0))
	assert.Equal(t, 1, lost(members, time.Second+silence+step), "only the member that a gatherer reported")
	assert.Equal(t, 1, lost(members, large+step), "the other member by its missing reports")
	assert.True(t, members.IsUnused(copy1, 1, 0))

	members = newTable("a")
	members.MarkLoadsReceived(start, []string{"a"})
	members.ApplyReport(start.Add(silence), &wire.Report{Instance: "a"})
	assert.Zero(t, lost(members, 2*silence), "its own report counts as well")
	for at := 2 * silence; at <= large+silence; at += silence {
		members.MarkLoadsReceived(start.Add(at), []string{"a"})
	}
	assert.Equal(t, 1, lost(members, silence+large+step), "a member without own reports acknowledges nothing, whatever its gatherer receives")
}

func TestReportRestoresLostMember(t *testing.T) {
	members := newTable("a")
	dropLost(members, start.Add(time.Minute))
	members.ApplyReport(start.Add(time.Minute), &wire.Report{Instance: "a"})
	assert.Empty(t, dropLost(members, start.Add(time.Minute+silence)))
	assert.Equal(t, []string{"a"}, dropLost(members, start.Add(2*time.Minute)))
}

func TestLeavingMemberIsRemovedWhenSilent(t *testing.T) {
	members := newTable("a")
	members.ApplyReport(start, &wire.Report{Instance: "a", Leaving: true})
	dropLost(members, start.Add(silence))
	assert.Equal(t, 2, members.FleetSize())
	assert.Equal(t, []string{"a"}, dropLost(members, start.Add(silence+step)))
	assert.Equal(t, 1, members.FleetSize())
}

func TestMemberIsLostAfterItsLinkEnds(t *testing.T) {
	members := member.NewTable()
	former, present := newLink(t), newLink(t)
	members.Join("a", former)
	members.ApplyReport(start, &wire.Report{Instance: "a"})
	members.Join("a", present)
	members.LinkEnded(start, former, silence)
	assert.Empty(t, dropLost(members, start.Add(step)), "the member has a new link")
	members.LinkEnded(start, present, silence)
	assert.Nil(t, members.All()["a"].Link)
	assert.Empty(t, dropLost(members, start))
	assert.Equal(t, []string{"a"}, dropLost(members, start.Add(step)))
}

func TestNewLinkNeedsSnapshot(t *testing.T) {
	members := member.NewTable()
	assert.False(t, members.AnyNeedsOwnView())
	first := newLink(t)
	members.Join("a", first)
	assert.True(t, members.AnyNeedsOwnView())
	members.All()["a"].SnapshotDue = false
	members.Join("a", first)
	assert.False(t, members.AnyNeedsOwnView(), "the same link again")
	members.Join("a", newLink(t))
	assert.True(t, members.AnyNeedsOwnView())
	members.All()["a"].Link = nil
	assert.False(t, members.AnyNeedsOwnView(), "a member without a link")
	members.Broadcast(wire.Message{})
	members.FinishLinks()
}

func TestInFlightRequestsFollowLastReport(t *testing.T) {
	members := newTable("a", "b")
	members.ApplyReport(start, reportUsing(2))
	members.ApplyReport(start, reportUsing(2))
	assert.Equal(t, 2, members.Uses(copy1), "a repeated report adds nothing")
	other := reportUsing(3)
	other.Instance = "b"
	members.ApplyReport(start, other)
	assert.Equal(t, 5, members.Uses(copy1))
	sums := map[deployment.EndpointID]member.InFlight{"e1": {Requests: 1, Unread: 10}}
	members.AddInFlight(start, sums, nil)
	assert.Equal(t, map[deployment.EndpointID]member.InFlight{"e1": {Requests: 6, Unread: 510}}, sums)
	members.ApplyReport(start, &wire.Report{Instance: "a"})
	assert.Equal(t, 3, members.Uses(copy1))
	members.ApplyReport(start, &wire.Report{Instance: "stranger", InUse: reportUsing(9).InUse})
	assert.Equal(t, 3, members.Uses(copy1), "only members count")

	dropLost(members, start.Add(silence+step))
	assert.Equal(t, 3, members.Uses(copy1), "a lost member's requests may still run")
	sums = map[deployment.EndpointID]member.InFlight{}
	members.AddInFlight(start, sums, nil)
	assert.Empty(t, sums, "but do not count in the choice of endpoints")
	dropLost(members, start.Add(time.Minute))
	assert.Zero(t, members.Uses(copy1))
}

func TestCopyIsUnusedWhenAllMembersAcknowledgeWithdrawal(t *testing.T) {
	assert.True(t, member.NewTable().IsUnused(copy1, 9, 0), "no members")
	cases := map[string]struct {
		seen, withdrawal uint64
		count            int
		age              time.Duration
		unused           bool
	}{
		"withdrawal not yet seen":                      {seen: 4, withdrawal: 5, unused: false},
		"withdrawal not seen, at the limit":            {seen: 4, withdrawal: 5, age: 255 * time.Millisecond, unused: false},
		"withdrawal not seen within the limit":         {seen: 4, withdrawal: 5, age: 255*time.Millisecond + step, unused: true},
		"withdrawal not seen within the limit, in use": {seen: 4, withdrawal: 5, age: time.Second, count: 1, unused: false},
		"this withdrawal seen":                         {seen: 5, withdrawal: 5, unused: true},
		"later withdrawal seen":                        {seen: 6, withdrawal: 5, unused: true},
		"withdrawal seen, in use":                      {seen: 5, withdrawal: 5, count: 1, unused: false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			members := newTable("a")
			r := reportUsing(test.count)
			r.WithdrawalsSeen = test.seen
			members.ApplyReport(start, r)
			assert.Equal(t, test.unused, members.IsUnused(copy1, test.withdrawal, test.age))
			dropLost(members, start.Add(silence+step))
			assert.True(t, members.IsUnused(copy1, test.withdrawal, test.age), "lost members are ignored")
		})
	}
}

func TestEndpointIsSuspectForTwoInstancesOrTheOnlyInstance(t *testing.T) {
	alone := member.NewTable()
	assert.False(t, alone.IsSuspect("e1", false))
	assert.True(t, alone.IsSuspect("e1", true))

	members := newTable("a", "b")
	bad := []deployment.EndpointID{"e1"}
	assert.Equal(t, bad, members.ApplyReport(start, &wire.Report{Instance: "a", Suspects: bad}))
	assert.Empty(t, members.ApplyReport(start, &wire.Report{Instance: "a", Suspects: bad}), "unchanged suspects")
	assert.False(t, members.IsSuspect("e1", false))
	assert.True(t, members.IsSuspect("e1", true))
	members.ApplyReport(start, &wire.Report{Instance: "b", Suspects: bad})
	assert.True(t, members.IsSuspect("e1", false))
	assert.ElementsMatch(t, []deployment.EndpointID{"e1", "e2"}, members.ApplyReport(start, &wire.Report{Instance: "a", Suspects: []deployment.EndpointID{"e2"}}))
	assert.False(t, members.IsSuspect("e1", false))
}

func TestMemberReachesStoreOnlyWithRecentReportAndRead(t *testing.T) {
	cases := map[string]struct {
		age, reportAge time.Duration
		reaches        bool
	}{
		"recent report and read":         {0, 0, true},
		"just below both limits":         {storeReadLimit - step, storeReadLimit - step, true},
		"report too old":                 {0, storeReadLimit, false},
		"read too old":                   {storeReadLimit, 0, false},
		"lost member with a recent read": {0, silence + step, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			members := newTable()
			members.Join("a", nil)
			members.ApplyReport(start, &wire.Report{Instance: "a", StoreReadAge: test.age})
			now := start.Add(test.reportAge)
			dropLost(members, now)
			assert.Equal(t, test.reaches, members.AnyReachesStore(now))
		})
	}
	assert.False(t, member.NewTable().AnyReachesStore(start))
}

func TestLagStartsWhenFirstObserved(t *testing.T) {
	var lag member.Lag
	_, behind := lag.Observe(start, 7, 7)
	assert.False(t, behind)
	span, behind := lag.Observe(start, 6, 7)
	require.True(t, behind)
	assert.Zero(t, span)
	assert.Equal(t, 120*time.Millisecond, member.RelayDelay)
	span, _ = lag.Observe(start.Add(member.RelayDelay), 6, 8)
	assert.Equal(t, member.RelayDelay, span, "a further change does not restart the lag")
	_, behind = lag.Observe(start.Add(time.Second), 9, 8)
	assert.False(t, behind)
	span, behind = lag.Observe(start.Add(time.Minute), 9, 10)
	assert.True(t, behind)
	assert.Zero(t, span)
}

func TestEndpointIsUnreachableWhenTwoInstancesAreRefused(t *testing.T) {
	const life = 1500 * time.Millisecond
	ids := func(list ...deployment.EndpointID) []deployment.EndpointID { return list }
	report := func(members *member.Table, instance string, list []deployment.EndpointID) {
		members.ApplyReport(start, &wire.Report{Instance: instance, Unreachable: list})
	}
	members := newTable("a", "b")
	report(members, "a", ids("e1", "e2"))
	assert.Empty(t, members.Unreachable(start, nil), "a single instance may be cut off itself")
	assert.Equal(t, map[deployment.EndpointID]bool{"e2": true}, members.Unreachable(start, ids("e2")), "with the planner")
	report(members, "b", ids("e1"))
	assert.Equal(t, map[deployment.EndpointID]bool{"e1": true}, members.Unreachable(start.Add(life), nil))
	assert.Empty(t, members.Unreachable(start.Add(life+step), nil), "the reports have expired")
	report(members, "b", nil)
	assert.Empty(t, members.Unreachable(start, nil), "one instance reaches the endpoint again")
}
