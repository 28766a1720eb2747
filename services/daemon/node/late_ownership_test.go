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

// A late answer to the ownership request of the first term, whose key has been released
// since, must not count as ownership under the second term: if the second request fails,
// the node requests the pool again.
func TestLateOwnerResultOfEarlierTermIsIgnored(t *testing.T) {
	requestsAgain := func(late, succeeded bool) bool {
		n, now, take := solePlacer(t)
		first := fleet.HeldPool{Pool: "h1/base", Term: 1 << 40}
		require.Len(t, effectsOf[node.ReleaseOwner](n.Handle(now.Add(time.Millisecond), peerHeartbeat(first))), 1)
		n.Handle(now.Add(2*time.Millisecond), fleet.Envelope{From: "i2", Boot: 1, Release: &fleet.Release{Pool: first.Pool, Term: first.Term}})
		asked := now.Add(3 * time.Millisecond)
		second := effectsOf[node.AcquireOwner](n.Tick(asked))
		require.Len(t, second, 1, "the second term sends its own request")
		require.NotEqual(t, take.Term, second[0].Term)
		if late {
			n.HandleOwnerResult(asked, node.OwnerResult{Pool: first.Pool, Term: take.Term, OK: true, Lease: 1, SentAt: now})
		}
		n.HandleOwnerResult(asked.Add(time.Millisecond), node.OwnerResult{Pool: first.Pool, Term: second[0].Term, OK: succeeded, Lease: 1, SentAt: asked})
		return len(effectsOf[node.AcquireOwner](n.Tick(asked.Add(node.DefaultTiming().TakeoverRetry)))) == 1
	}
	require.True(t, requestsAgain(false, false), "the second request failed")
	require.True(t, requestsAgain(true, false), "the second request failed, and the late answer belongs to the first term")
	require.False(t, requestsAgain(false, true), "the second request succeeded")
}
