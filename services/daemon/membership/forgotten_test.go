// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
)

// TestInstancesDoNotReintroduceForgottenInstanceToEachOther has two instances receive the last heartbeat of a third instance at
// slightly different times, and therefore forget it at different times. As long as their hashes differ, they send each other
// the instances that they know. Without the record of forgotten instances, each would add the third instance again.
func TestInstancesDoNotReintroduceForgottenInstanceToEachOther(t *testing.T) {
	const step = 100 * time.Millisecond
	o := membership.DefaultOptions()
	a, b := membership.New(instance("a"), o), membership.New(instance("b"), o)
	a.Received(start, 1, heartbeat("gone", 1))
	b.Received(start.Add(3*step), 1, heartbeat("gone", 2))
	send := func(now time.Time, id string, from, to *membership.State) {
		hb := heartbeat(id, now.Sub(start)+1)
		if from.Hash() != to.Hash() {
			hb.Known = from.Known()
		}
		to.Received(now, 1, hb)
	}
	end := start.Add(3 * o.ForgetAfter)
	for now := start.Add(3 * step); now.Before(end); now = now.Add(step) {
		a.Sweep(now)
		b.Sweep(now)
		send(now, "a", a, b)
		send(now, "b", b, a)
	}
	require.Equal(t, []fleet.Instance{instance("a"), instance("b")}, a.Known())
	require.Equal(t, []fleet.Instance{instance("b"), instance("a")}, b.Known())
}

func TestForgottenInstanceIsAddedAgainOnHeartbeatOrListing(t *testing.T) {
	o := membership.DefaultOptions()
	for name, addAgain := range map[string]func(now time.Time, s *membership.State){
		"heartbeat": func(now time.Time, s *membership.State) { s.Received(now, 2, heartbeat("b", 1)) },
		"listed":    func(now time.Time, s *membership.State) { s.SetListed(now, []fleet.Instance{instance("b")}) },
	} {
		s := newState()
		s.Received(start, 1, heartbeat("b", 1))
		now := start.Add(o.ForgetAfter + o.HeartbeatInterval)
		sweepUntil(s, start, now)
		listing := heartbeat("a", 1)
		listing.Known = []fleet.Instance{instance("b"), instance("c")}
		s.Received(now, 1, listing)
		require.Nil(t, s.Member("b"), name)
		require.NotNil(t, s.Member("c"), "an instance that was never forgotten must be added")
		addAgain(now, s)
		require.NotNil(t, s.Member("b"), name)
	}
}

func TestForgottenInstanceIsAcceptedFromPeersAfterForgetAfter(t *testing.T) {
	o := membership.DefaultOptions()
	s := newState()
	s.AddInstance(start, instance("b"))
	forgotten := start.Add(o.ForgetAfter + 100*time.Millisecond)
	sweepUntil(s, start, forgotten)
	require.Nil(t, s.Member("b"))
	for _, c := range []struct {
		after time.Duration
		known bool
	}{{o.ForgetAfter, false}, {o.ForgetAfter + 1, true}} {
		now := forgotten.Add(c.after)
		s.Sweep(now)
		listing := heartbeat("a", c.after)
		listing.Known = []fleet.Instance{instance("b")}
		s.Received(now, 1, listing)
		require.Equal(t, c.known, s.Member("b") != nil, "%v after the instance was forgotten", c.after)
	}
}
