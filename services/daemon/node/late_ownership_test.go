// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// The answer to a call of the first term, whose key is released since, is no ownership
// under the second: when the call of the second fails, the pool is asked for again.
func TestLateOwnershipOfAnEarlierTermIsNotThatOfTheNext(t *testing.T) {
	asksAgain := func(late, done bool) bool {
		n, now, take := alone(t)
		first := fleet.HeldPool{Pool: "h1/base", Term: 1 << 40}
		require.Len(t, only[node.ReleaseOwner](n.Handle(now.Add(time.Millisecond), heartbeat(first))), 1)
		n.Handle(now.Add(2*time.Millisecond), fleet.Envelope{From: "i2", Boot: 1, Release: &fleet.Release{Pool: first.Pool, Term: first.Term}})
		asked := now.Add(3 * time.Millisecond)
		second := only[node.AcquireOwner](n.Tick(asked))
		require.Len(t, second, 1, "the second term asks for itself")
		require.NotEqual(t, take.Term, second[0].Term)
		if late {
			n.Owned(asked, node.OwnerResult{Pool: first.Pool, Term: take.Term, OK: true, Lease: 1, SentAt: now})
		}
		n.Owned(asked.Add(time.Millisecond), node.OwnerResult{Pool: first.Pool, Term: second[0].Term, OK: done, Lease: 1, SentAt: asked})
		return len(only[node.AcquireOwner](n.Tick(asked.Add(node.DefaultTiming().TakeRetry)))) == 1
	}
	require.True(t, asksAgain(false, false), "the call failed")
	require.True(t, asksAgain(true, false), "the call failed, and the other answer was to the first term")
	require.False(t, asksAgain(false, true), "the call was done")
}
