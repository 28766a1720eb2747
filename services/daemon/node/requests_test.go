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

func TestStoppingInstanceAcceptsRetriesOnly(t *testing.T) {
	n := newNode()
	n.Handle(begin, peerHeartbeat(heldByPeer))
	n.Leave(begin)
	require.Equal(t, []node.Reject{{
		RequestID: "q", Refusal: fleet.Refusal{RequestID: "q", Reason: fleet.ReasonStopping, RetryAfter: time.Second},
	}}, effectsOf[node.Reject](n.Submit(begin, fleet.Request{ID: "q", Base: "base"})))
	require.Empty(t, effectsOf[node.Reject](n.Submit(begin, fleet.Request{ID: "r", Base: "base", Attempt: 1})))
	require.False(t, n.Idle(), "the retry is still waiting")
	n.Withdraw(begin, "r")
	require.Empty(t, n.Withdraw(begin, "r"), "a repeated withdrawal")
	require.True(t, n.Idle())
}

func TestUnansweredRequestIsResubmittedUntilDeadline(t *testing.T) {
	n := newNode()
	n.Handle(begin, peerHeartbeat(heldByPeer))
	n.Tick(begin)
	submissions := func(effects []node.Effect) int {
		count := 0
		for _, s := range effectsOf[node.Send](effects) {
			if s.Envelope.Submit != nil {
				count++
			}
		}
		return count
	}
	receiveHeartbeat := func(at time.Time) {
		e := peerHeartbeat(heldByPeer)
		e.Heartbeat.Stamp = at.Sub(begin) + 1
		n.Handle(at, e)
	}
	r := fleet.Request{ID: "q", Base: "base", Adapter: fleet.AdapterRef{Name: "a", Version: 1}, Deadline: begin.Add(2500 * time.Millisecond)}
	require.Equal(t, 1, submissions(n.Submit(begin, r)))
	for _, row := range []struct {
		at          time.Duration
		submissions int
	}{{500 * time.Millisecond, 0}, {time.Second - 1, 0}, {time.Second, 1}, {1500 * time.Millisecond, 0}, {2 * time.Second, 1}} {
		receiveHeartbeat(begin.Add(row.at))
		require.Equal(t, row.submissions, submissions(n.Tick(begin.Add(row.at))), "at %v", row.at)
	}
	receiveHeartbeat(r.Deadline)
	rejects := effectsOf[node.Reject](n.Tick(r.Deadline))
	require.Len(t, rejects, 1)
	require.Equal(t, fleet.ReasonExpired, rejects[0].Refusal.Reason)
	require.True(t, n.Idle())
}

func TestFinishedTicketIsReturnedToPlacerOnce(t *testing.T) {
	n := newNode()
	n.Handle(begin, peerHeartbeat(heldByPeer))
	n.Tick(begin)
	n.Submit(begin, fleet.Request{ID: "q", Base: "base"})
	ticket := fleet.Ticket{ID: "t", RequestID: "q", Pool: "h1/base", Endpoint: "e1", StartWithin: time.Second}
	grant := fleet.Envelope{From: "i2", Boot: 1, Granted: &fleet.Granted{Ticket: ticket}}
	delivered := effectsOf[node.Deliver](n.Handle(begin.Add(time.Second), grant))
	require.Equal(t, []node.Deliver{{RequestID: "q", Ticket: ticket, NotAfter: begin.Add(2 * time.Second)}}, delivered)
	require.Empty(t, effectsOf[node.Deliver](n.Handle(begin.Add(time.Second), grant)), "a repeated grant")
	sends := effectsOf[node.Send](n.ReturnTicket(begin.Add(time.Second), "t"))
	require.Len(t, sends, 1)
	require.Equal(t, &fleet.Returned{Pool: "h1/base", Tickets: []string{"t"}}, sends[0].Envelope.Returned)
	require.Empty(t, n.ReturnTicket(begin.Add(time.Second), "t"))
}
