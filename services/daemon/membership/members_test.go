// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const hall = "h1"

func instance(id string) fleet.Instance { return fleet.Instance{ID: id, Hall: hall} }

func newState() *membership.State {
	return membership.New(instance("self"), membership.DefaultOptions())
}

func heartbeat(id string, stamp time.Duration) *fleet.Heartbeat {
	return &fleet.Heartbeat{Instance: instance(id), Stamp: stamp}
}

func kinds(changes []membership.Change) []membership.ChangeKind {
	var out []membership.ChangeKind
	for _, c := range changes {
		out = append(out, c.Kind)
	}
	return out
}

// sweepUntil calls Sweep at the interval of the control goroutine, so that no pause of this instance is detected.
func sweepUntil(s *membership.State, from, to time.Time) []membership.Change {
	var changes []membership.Change
	for now := from; !now.After(to); now = now.Add(100 * time.Millisecond) {
		changes = append(changes, s.Sweep(now)...)
	}
	return changes
}

func TestFirstHeartbeatJoinsAndRepeatedHeartbeatChangesNothing(t *testing.T) {
	s := newState()
	require.Equal(t, []membership.ChangeKind{membership.Joined}, kinds(s.Received(start, 1, heartbeat("a", time.Second))))
	require.Empty(t, s.Received(start, 1, heartbeat("a", time.Second)))
	require.Equal(t, []string{"a", "self"}, s.Candidates(false))
}

func TestDelayedHeartbeatDoesNotOverwriteNewerState(t *testing.T) {
	s := newState()
	newer := heartbeat("a", 2*time.Second)
	newer.Leaving = true
	s.Received(start, 1, newer)
	require.Empty(t, s.Received(start.Add(time.Second), 1, heartbeat("a", time.Second)))
	require.True(t, s.Member("a").Leaving)
	require.Equal(t, start, s.Member("a").Received, "a late heartbeat must not count as a sign of life")
}

func TestRestartIsReportedOnceAndFormerBootIsIgnored(t *testing.T) {
	s := newState()
	beforeRestart := heartbeat("a", time.Hour)
	beforeRestart.Revision = 9
	s.Received(start, 7, beforeRestart)
	// The member restarted after its clock was set back: its boot number is lower, and its stamp and revision start from 0.
	require.Equal(t, []membership.ChangeKind{membership.Restarted}, kinds(s.Received(start, 5, heartbeat("a", 0))))
	require.Zero(t, s.Member("a").Revision)
	require.Empty(t, s.Received(start, 7, beforeRestart), "late heartbeat from before the restart")
	require.Equal(t, uint64(5), s.Member("a").Boot)
}

func TestLeavingIsReportedOnceAndEndsCandidacy(t *testing.T) {
	s := newState()
	s.Received(start, 1, heartbeat("a", 1))
	leaving := heartbeat("a", 2)
	leaving.Leaving = true
	require.Equal(t, []membership.ChangeKind{membership.Left}, kinds(s.Received(start, 1, leaving)))
	require.Empty(t, s.Received(start, 1, leaving))
	require.Equal(t, []string{"self"}, s.Candidates(false))
	require.Empty(t, s.Candidates(true))
}

func TestMemberIsLostOnceAfterLostAfter(t *testing.T) {
	s := newState()
	o := membership.DefaultOptions()
	s.Received(start, 1, heartbeat("a", 1))
	require.Empty(t, sweepUntil(s, start, start.Add(o.LostAfter)))
	lost := s.Sweep(start.Add(o.LostAfter + 1))
	require.Equal(t, []membership.ChangeKind{membership.Lost}, kinds(lost))
	require.Empty(t, s.Alive())
	require.Empty(t, s.Sweep(start.Add(o.LostAfter+2)))
	require.Equal(t, []membership.ChangeKind{membership.Joined}, kinds(s.Received(start.Add(o.LostAfter+3), 1, heartbeat("a", 2))))
}

func TestLocalPauseDoesNotMarkMembersLost(t *testing.T) {
	s := newState()
	s.Received(start, 1, heartbeat("a", 1))
	s.Sweep(start)
	require.Empty(t, s.Sweep(start.Add(time.Hour)))
	require.Len(t, s.Alive(), 1)
}

func TestLostAfterScalesAboveTenInstances(t *testing.T) {
	lostAfter := membership.DefaultOptions().LostAfter
	for count, silence := range map[int]time.Duration{9: lostAfter, 10: lostAfter * 11 / 10, 39: 4 * lostAfter} {
		s := newState()
		for i := range count {
			s.Received(start, 1, heartbeat(fmt.Sprintf("i%02d", i), 1))
		}
		require.Empty(t, sweepUntil(s, start, start.Add(silence)), "%d others", count)
		require.Len(t, s.Sweep(start.Add(silence+1)), count, "%d others", count)
	}
}

func TestDueHeartbeatsUsesProbeIntervalForMembersThatAreNotAlive(t *testing.T) {
	s := newState()
	o := membership.DefaultOptions()
	s.Received(start, 1, heartbeat("alive", 1))
	s.AddInstance(start, instance("silent"))
	require.Len(t, s.DueHeartbeats(start), 2)
	require.Empty(t, s.DueHeartbeats(start.Add(o.HeartbeatInterval-1)))
	due := s.DueHeartbeats(start.Add(o.HeartbeatInterval))
	require.Len(t, due, 1)
	require.Equal(t, "alive", due[0].Instance.ID)
	require.Len(t, s.DueHeartbeats(start.Add(o.ProbeInterval)), 2)
}

func TestSweepForgetsOnlyUnlistedInstances(t *testing.T) {
	s := newState()
	o := membership.DefaultOptions()
	s.SetListed(start, []fleet.Instance{instance("listed"), instance("self")})
	s.AddInstance(start, instance("named"))
	end := start.Add(o.ForgetAfter)
	sweepUntil(s, start, end)
	require.Len(t, s.Known(), 3)
	s.Sweep(end.Add(1))
	require.Equal(t, []fleet.Instance{instance("self"), instance("listed")}, s.Known())
	s.SetListed(end, nil)
	s.Sweep(end.Add(2))
	require.Equal(t, []fleet.Instance{instance("self")}, s.Known())
}

func TestOtherHallsAndSelfAreNotMembers(t *testing.T) {
	s := newState()
	other := heartbeat("b", 1)
	other.Instance.Hall = "h2"
	require.Empty(t, s.Received(start, 1, other))
	require.Empty(t, s.Received(start, 1, heartbeat("self", 1)))
	require.Len(t, s.Known(), 1)
}

func TestKnownInstancesAreAddedAsNotAliveAndChangeHash(t *testing.T) {
	s := newState()
	before := s.Hash()
	hb := heartbeat("a", 1)
	hb.Known = []fleet.Instance{instance("b"), instance("self")}
	s.Received(start, 1, hb)
	require.Equal(t, []string{"a", "self"}, s.Candidates(false), "b is known but not alive")
	require.Len(t, s.Known(), 3)
	require.NotEqual(t, before, s.Hash())
	same := newState()
	same.AddInstance(start, instance("b"))
	same.AddInstance(start, instance("a"))
	require.Equal(t, s.Hash(), same.Hash(), "the hash must not depend on the order of addition")
}

func TestSilentMemberIsReachedAtAddressOfNewerList(t *testing.T) {
	former, newer, own := netip.MustParseAddrPort("10.0.0.1:7200"), netip.MustParseAddrPort("10.0.0.2:7200"), netip.MustParseAddrPort("10.0.0.3:7200")
	listed := func(address netip.AddrPort) []fleet.Instance {
		return []fleet.Instance{{ID: "a", Hall: hall, Address: address}}
	}
	s := newState()
	s.SetListed(start, listed(former))
	s.SetListed(start, listed(newer))
	require.Equal(t, newer, s.Member("a").Instance.Address)
	alive := heartbeat("a", time.Second)
	alive.Instance.Address = own
	s.Received(start, 1, alive)
	s.SetListed(start, listed(newer))
	require.Equal(t, own, s.Member("a").Instance.Address, "a member knows its address better than the list")
	sweepUntil(s, start, start.Add(time.Minute))
	require.False(t, s.Member("a").Alive)
	s.SetListed(start.Add(time.Minute), listed(newer))
	require.Equal(t, newer, s.Member("a").Instance.Address)
}
