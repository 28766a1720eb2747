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

func TestStoppingInstanceTakesRetriesButNoNewRequests(t *testing.T) {
	n := newNode()
	n.Handle(begin, heartbeat(held))
	n.Leave(begin)
	require.Equal(t, []node.Reject{{
		RequestID: "q", Refusal: fleet.Refusal{RequestID: "q", Reason: fleet.ReasonStopping, RetryAfter: time.Second},
	}}, only[node.Reject](n.Submit(begin, fleet.Request{ID: "q", Base: "base"})))
	require.Empty(t, only[node.Reject](n.Submit(begin, fleet.Request{ID: "r", Base: "base", Attempt: 1})))
	require.False(t, n.Idle(), "it stops once the retry has ended")
	n.Abandon(begin, "r")
	require.Empty(t, n.Abandon(begin, "r"), "a repeated withdrawal")
	require.True(t, n.Idle())
}

func TestUnansweredRequestIsAskedForAgainUntilItExpires(t *testing.T) {
	n := newNode()
	n.Handle(begin, heartbeat(held))
	n.Tick(begin)
	asked := func(effects []node.Effect) int {
		count := 0
		for _, s := range only[node.Send](effects) {
			if s.Envelope.Submit != nil {
				count++
			}
		}
		return count
	}
	heard := func(at time.Time) {
		e := heartbeat(held)
		e.Heartbeat.Stamp = at.Sub(begin) + 1
		n.Handle(at, e)
	}
	r := fleet.Request{ID: "q", Base: "base", Adapter: fleet.AdapterRef{Name: "a", Version: 1}, Deadline: begin.Add(2500 * time.Millisecond)}
	require.Equal(t, 1, asked(n.Submit(begin, r)))
	for _, row := range []struct {
		at    time.Duration
		asked int
	}{{500 * time.Millisecond, 0}, {time.Second - 1, 0}, {time.Second, 1}, {1500 * time.Millisecond, 0}, {2 * time.Second, 1}} {
		heard(begin.Add(row.at))
		require.Equal(t, row.asked, asked(n.Tick(begin.Add(row.at))), "at %v", row.at)
	}
	heard(r.Deadline)
	rejects := only[node.Reject](n.Tick(r.Deadline))
	require.Len(t, rejects, 1)
	require.Equal(t, fleet.ReasonExpired, rejects[0].Refusal.Reason)
	require.True(t, n.Idle())
}

func TestEndOfARequestIsToldToItsPlacerOnce(t *testing.T) {
	n := newNode()
	n.Handle(begin, heartbeat(held))
	n.Tick(begin)
	n.Submit(begin, fleet.Request{ID: "q", Base: "base"})
	ticket := fleet.Ticket{ID: "t", RequestID: "q", Pool: "h1/base", Endpoint: "e1", StartWithin: time.Second}
	grant := fleet.Envelope{From: "i2", Boot: 1, Granted: &fleet.Granted{Ticket: ticket}}
	delivered := only[node.Deliver](n.Handle(begin.Add(time.Second), grant))
	require.Equal(t, []node.Deliver{{RequestID: "q", Ticket: ticket, NotAfter: begin.Add(2 * time.Second)}}, delivered)
	require.Empty(t, only[node.Deliver](n.Handle(begin.Add(time.Second), grant)), "a repeated grant")
	sends := only[node.Send](n.Finish(begin.Add(time.Second), "t"))
	require.Len(t, sends, 1)
	require.Equal(t, &fleet.Returned{Pool: "h1/base", Tickets: []string{"t"}}, sends[0].Envelope.Returned)
	require.Empty(t, n.Finish(begin.Add(time.Second), "t"))
}
