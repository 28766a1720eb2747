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

func TestRequestForATicketAtWhoeverDoesNotHoldThePool(t *testing.T) {
	n := newNode()
	n.Handle(begin, heartbeat(held))
	submit := fleet.Envelope{From: "i2", Boot: 1, Submit: &fleet.Submit{
		Pool: "h1/base", Request: fleet.Request{ID: "q", Base: "base", Hall: "h1"}, Reply: instance("i2", 2).Address, Stamp: 1,
	}}
	for range 2 {
		var refused []*fleet.Refused
		for _, s := range only[node.Send](n.Handle(begin, submit)) {
			if s.Envelope.Refused != nil {
				refused = append(refused, s.Envelope.Refused)
			}
		}
		require.Len(t, refused, 1, "each time it is asked")
		require.True(t, refused[0].NotPlacer, "asks again, rather than refuse the request")
	}
}

func TestRequestsWaitForATakeoverButNotForLong(t *testing.T) {
	n, now, _ := alone(t)
	n.Submit(now, fleet.Request{ID: "q", Base: "base", Adapter: fleet.AdapterRef{Name: "a", Version: 1}})
	require.Empty(t, only[node.Reject](n.Tick(now.Add(400*time.Millisecond))))
	rejects := only[node.Reject](n.Tick(now.Add(400*time.Millisecond + 1)))
	require.Len(t, rejects, 1, "no endpoint has answered")
	require.Equal(t, fleet.ReasonNoEndpoint, rejects[0].Refusal.Reason)
	rejects = only[node.Reject](n.Submit(now.Add(time.Second), fleet.Request{ID: "r", Base: "none"}))
	require.Len(t, rejects, 1, "nothing runs its base")
}
