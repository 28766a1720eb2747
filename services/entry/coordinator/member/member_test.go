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
	step    = time.Millisecond
	silence = 1500 * time.Millisecond
	memory  = 20 * time.Second
	trouble = 800 * time.Millisecond
)

var (
	start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	copy1 = wire.Copy{ID: "e1", Model: "base", Name: "a1"}
)

func link(t *testing.T) *member.Link {
	t.Helper()
	near, far := net.Pipe()
	stream := peerstream.New[wire.Message](near)
	t.Cleanup(func() { stream.Close(); _ = far.Close() })
	return stream
}

// table has members that reported just now, without anything to tell.
func table(instances ...string) *member.Table {
	members := member.NewTable()
	for _, instance := range instances {
		members.Join(instance, nil)
		members.Take(start, &wire.Report{Instance: instance})
	}
	return members
}

func uses(count int) *wire.Report {
	return &wire.Report{
		Instance: "a", WithdrawalsSeen: 5, InUse: []wire.CopyCount{{ID: "e1", Model: "base", Name: "a1", Count: count}},
		InFlight: []wire.EndpointCount{{ID: "e1", Count: count, Unread: 100 * count}},
	}
}

func dropLost(members *member.Table, now time.Time) (lost []string) {
	members.DropLost(now, silence, func(instance string) { lost = append(lost, instance) })
	return lost
}

func TestSilenceGrowsWithReportsOfLargeFleets(t *testing.T) {
	cases := map[int]time.Duration{0: silence, 16: silence, 32: silence, 33: 3 * 515625 * time.Microsecond, 64: 3 * time.Second}
	for members, expected := range cases {
		assert.Equal(t, expected, member.SilenceLimit(members), "%d members", members)
	}
}

func TestASilentMemberIsLostOnceAndForgottenLater(t *testing.T) {
	members := table("a")
	assert.Empty(t, dropLost(members, start.Add(silence-step)))
	assert.Empty(t, dropLost(members, start.Add(silence)))
	lost := start.Add(silence + step)
	assert.Equal(t, []string{"a"}, dropLost(members, lost))
	assert.Empty(t, dropLost(members, lost.Add(step)), "told once")
	dropLost(members, lost.Add(memory))
	assert.Equal(t, 2, members.Fleet(), "it still counts in the fleet's shares")
	dropLost(members, lost.Add(memory+step))
	assert.Equal(t, 1, members.Fleet())
}

// TestAMemberThatItsGathererNoLongerHearsIsLostSoon: in a large fleet reports come so rarely that an instance that was cut off or stood
// still counted for 9.1 s, and no copy could be unloaded for as long, since its acknowledgement was waited for.
func TestAMemberThatItsGathererNoLongerHearsIsLostSoon(t *testing.T) {
	const large = 9 * time.Second
	lost := func(members *member.Table, after time.Duration) int {
		count := 0
		members.DropLost(start.Add(after), large, func(string) { count++ })
		return count
	}
	members := table("a", "b")
	members.Heard(start.Add(time.Second), []string{"a", "stranger"})
	assert.Zero(t, lost(members, time.Second+silence), "just within")
	assert.False(t, members.Unused(copy1, 1, 0))
	assert.Equal(t, 1, lost(members, time.Second+silence+step), "only the one that a gatherer told of")
	assert.Equal(t, 1, lost(members, large+step), "the other one by its own reports")
	assert.True(t, members.Unused(copy1, 1, 0))

	members = table("a")
	members.Heard(start, []string{"a"})
	members.Take(start.Add(silence), &wire.Report{Instance: "a"})
	assert.Zero(t, lost(members, 2*silence), "its own report tells as much")
	for at := 2 * silence; at <= large+silence; at += silence {
		members.Heard(start.Add(at), []string{"a"})
	}
	assert.Equal(t, 1, lost(members, silence+large+step), "heard by its gatherer alone, it acknowledges nothing")
}

func TestALostMemberThatReportsAgainIsLostNoMore(t *testing.T) {
	members := table("a")
	dropLost(members, start.Add(time.Minute))
	members.Take(start.Add(time.Minute), &wire.Report{Instance: "a"})
	assert.Empty(t, dropLost(members, start.Add(time.Minute+silence)))
	assert.Equal(t, []string{"a"}, dropLost(members, start.Add(2*time.Minute)))
}

func TestAMemberThatLeavesIsForgottenAsSoonAsItIsSilent(t *testing.T) {
	members := table("a")
	members.Take(start, &wire.Report{Instance: "a", Leaving: true})
	dropLost(members, start.Add(silence))
	assert.Equal(t, 2, members.Fleet())
	assert.Equal(t, []string{"a"}, dropLost(members, start.Add(silence+step)))
	assert.Equal(t, 1, members.Fleet())
}

func TestAMemberWhoseLinkEndsIsLostAtTheNextLook(t *testing.T) {
	members := member.NewTable()
	former, present := link(t), link(t)
	members.Join("a", former)
	members.Take(start, &wire.Report{Instance: "a"})
	members.Join("a", present)
	members.Unlink(start, former, silence)
	assert.Empty(t, dropLost(members, start.Add(step)), "it has a new link")
	members.Unlink(start, present, silence)
	assert.Nil(t, members.All()["a"].Link)
	assert.Empty(t, dropLost(members, start))
	assert.Equal(t, []string{"a"}, dropLost(members, start.Add(step)))
}

func TestANewLinkNeedsAWholeView(t *testing.T) {
	members := member.NewTable()
	assert.False(t, members.NeedOwn())
	first := link(t)
	members.Join("a", first)
	assert.True(t, members.NeedOwn())
	members.All()["a"].NeedsFull = false
	members.Join("a", first)
	assert.False(t, members.NeedOwn(), "the same link again")
	members.Join("a", link(t))
	assert.True(t, members.NeedOwn())
	members.All()["a"].Link = nil
	assert.False(t, members.NeedOwn(), "nobody is there to be told")
	members.Tell(wire.Message{})
	members.FinishLinks()
}

func TestRequestsInFlightFollowTheLastReport(t *testing.T) {
	members := table("a", "b")
	members.Take(start, uses(2))
	members.Take(start, uses(2))
	assert.Equal(t, 2, members.Uses(copy1), "a repeated report adds nothing")
	other := uses(3)
	other.Instance = "b"
	members.Take(start, other)
	assert.Equal(t, 5, members.Uses(copy1))
	sums := map[deployment.EndpointID]member.InFlight{"e1": {Requests: 1, Unread: 10}}
	members.AddInFlight(start, sums, nil)
	assert.Equal(t, map[deployment.EndpointID]member.InFlight{"e1": {Requests: 6, Unread: 510}}, sums)
	members.Take(start, &wire.Report{Instance: "a"})
	assert.Equal(t, 3, members.Uses(copy1))
	members.Take(start, &wire.Report{Instance: "stranger", InUse: uses(9).InUse})
	assert.Equal(t, 3, members.Uses(copy1), "only members count")

	dropLost(members, start.Add(silence+step))
	assert.Equal(t, 3, members.Uses(copy1), "a lost member's requests may still run")
	sums = map[deployment.EndpointID]member.InFlight{}
	members.AddInFlight(start, sums, nil)
	assert.Empty(t, sums, "but weigh in no choice")
	dropLost(members, start.Add(time.Minute))
	assert.Zero(t, members.Uses(copy1))
}

func TestACopyIsUnusedOnceAllActOnItsWithdrawal(t *testing.T) {
	assert.True(t, member.NewTable().Unused(copy1, 9, 0), "no members")
	cases := map[string]struct {
		seen, withdrawal uint64
		count            int
		age              time.Duration
		unused           bool
	}{
		"the withdrawal not yet seen": {seen: 4, withdrawal: 5, unused: false},
		"not seen, just in time":      {seen: 4, withdrawal: 5, age: 255 * time.Millisecond, unused: false},
		"not seen in time":            {seen: 4, withdrawal: 5, age: 255*time.Millisecond + step, unused: true},
		"not seen in time, in use":    {seen: 4, withdrawal: 5, age: time.Second, count: 1, unused: false},
		"just this one seen":          {seen: 5, withdrawal: 5, unused: true},
		"a later one seen":            {seen: 6, withdrawal: 5, unused: true},
		"seen, but in use":            {seen: 5, withdrawal: 5, count: 1, unused: false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			members := table("a")
			r := uses(one.count)
			r.WithdrawalsSeen = one.seen
			members.Take(start, r)
			assert.Equal(t, one.unused, members.Unused(copy1, one.withdrawal, one.age))
			dropLost(members, start.Add(silence+step))
			assert.True(t, members.Unused(copy1, one.withdrawal, one.age), "a lost member is not asked")
		})
	}
}

func TestAnEndpointIsBadForTwoInstancesOrForTheOnlyOne(t *testing.T) {
	alone := member.NewTable()
	assert.False(t, alone.Bad("e1", false))
	assert.True(t, alone.Bad("e1", true))

	members := table("a", "b")
	bad := []deployment.EndpointID{"e1"}
	assert.Equal(t, bad, members.Take(start, &wire.Report{Instance: "a", Suspects: bad}))
	assert.Empty(t, members.Take(start, &wire.Report{Instance: "a", Suspects: bad}), "the same word again")
	assert.False(t, members.Bad("e1", false))
	assert.True(t, members.Bad("e1", true))
	members.Take(start, &wire.Report{Instance: "b", Suspects: bad})
	assert.True(t, members.Bad("e1", false))
	assert.ElementsMatch(t, []deployment.EndpointID{"e1", "e2"}, members.Take(start, &wire.Report{Instance: "a", Suspects: []deployment.EndpointID{"e2"}}))
	assert.False(t, members.Bad("e1", false))
}

func TestAMemberIsTakenForASuccessorOnlyWhileTheStoreAnswersIt(t *testing.T) {
	cases := map[string]struct {
		age, reportAge time.Duration
		reaches        bool
	}{
		"lately":                {0, 0, true},
		"just in time":          {trouble - step, trouble - step, true},
		"a report too old":      {0, trouble, false},
		"a reading too old":     {trouble, 0, false},
		"lost, with a good age": {0, silence + step, false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			members := table()
			members.Join("a", nil)
			members.Take(start, &wire.Report{Instance: "a", StoreReadAge: one.age})
			now := start.Add(one.reportAge)
			dropLost(members, now)
			assert.Equal(t, one.reaches, members.ReachStore(now))
		})
	}
	assert.False(t, member.NewTable().ReachStore(start))
}

func TestALagCountsFromWhenItWasFirstSeen(t *testing.T) {
	var lag member.Lag
	_, behind := lag.Observe(start, 7, 7)
	assert.False(t, behind)
	span, behind := lag.Observe(start, 6, 7)
	require.True(t, behind)
	assert.Zero(t, span)
	assert.Equal(t, 120*time.Millisecond, member.RelayAfter)
	span, _ = lag.Observe(start.Add(member.RelayAfter), 6, 8)
	assert.Equal(t, member.RelayAfter, span, "a further change does not begin it anew")
	_, behind = lag.Observe(start.Add(time.Second), 9, 8)
	assert.False(t, behind)
	span, behind = lag.Observe(start.Add(time.Minute), 9, 10)
	assert.True(t, behind)
	assert.Zero(t, span)
}

func TestAnEndpointThatRefusesTwoInstancesIsUnreached(t *testing.T) {
	const life = 1500 * time.Millisecond
	ids := func(list ...deployment.EndpointID) []deployment.EndpointID { return list }
	told := func(members *member.Table, instance string, list []deployment.EndpointID) {
		members.Take(start, &wire.Report{Instance: instance, Unreached: list})
	}
	members := table("a", "b")
	told(members, "a", ids("e1", "e2"))
	assert.Empty(t, members.Unreached(start, nil), "one alone may be cut off")
	assert.Equal(t, map[deployment.EndpointID]bool{"e2": true}, members.Unreached(start, ids("e2")), "with the planner")
	told(members, "b", ids("e1"))
	assert.Equal(t, map[deployment.EndpointID]bool{"e1": true}, members.Unreached(start.Add(life), nil))
	assert.Empty(t, members.Unreached(start.Add(life+step), nil), "reports of before")
	told(members, "b", nil)
	assert.Empty(t, members.Unreached(start, nil), "one reaches it again")
}
