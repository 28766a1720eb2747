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

func TestNodeRefusesSubmissionsForPoolOfAnotherPlacer(t *testing.T) {
	n := newNode()
	n.Handle(begin, peerHeartbeat(heldByPeer))
	submit := fleet.Envelope{From: "i2", Boot: 1, Submit: &fleet.Submit{
		Pool: "h1/base", Request: fleet.Request{ID: "q", Base: "base", Hall: "h1"}, Reply: instance("i2", 2).Address, Stamp: 1,
	}}
	for range 2 {
		var refused []*fleet.Refused
		for _, s := range effectsOf[node.Send](n.Handle(begin, submit)) {
			if s.Envelope.Refused != nil {
				refused = append(refused, s.Envelope.Refused)
			}
		}
		require.Len(t, refused, 1, "one answer to each submission")
		require.True(t, refused[0].NotPlacer, "the entry must retry and not reject the request")
	}
}

func TestRequestsWaitForTakeoverForLimitedTime(t *testing.T) {
	n, now, _ := solePlacer(t)
	n.Submit(now, fleet.Request{ID: "q", Base: "base", Adapter: fleet.AdapterRef{Name: "a", Version: 1}})
	require.Empty(t, effectsOf[node.Reject](n.Tick(now.Add(400*time.Millisecond))))
	rejects := effectsOf[node.Reject](n.Tick(now.Add(400*time.Millisecond + 1)))
	require.Len(t, rejects, 1, "no endpoint has answered")
	require.Equal(t, fleet.ReasonNoEndpoint, rejects[0].Refusal.Reason)
	rejects = effectsOf[node.Reject](n.Submit(now.Add(time.Second), fleet.Request{ID: "r", Base: "none"}))
	require.Len(t, rejects, 1, "no endpoint serves the base model")
}
