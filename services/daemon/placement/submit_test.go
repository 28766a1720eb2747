// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// placerWithQueueLimits returns a placer whose class has a queue limit of 120 tokens, half
// of which one customer may use. Each request has 20 tokens.
func placerWithQueueLimits() *placement.Placer {
	o := placement.DefaultOptions()
	o.Classes = []fleet.Class{{Name: "c", Priority: 5, StallWeight: 1, MaxQueuedTokens: 120}}
	p := placement.NewPlacer("h1/base", "i1", []fleet.Endpoint{endpoint(1)}, o)
	p.TakeOverEndpoint(begin, placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", StartedAt: begin, Up: true}, 1, begin)
	return p
}

// refusalReason returns the reason of the first refusal among effects, or an empty reason.
func refusalReason(effects []placement.Effect) fleet.Reason {
	for _, r := range effectsOfType[placement.Refuse](effects) {
		return r.Refusal.Reason
	}
	return ""
}

func TestQueueLimitsPerCustomerAndPerClass(t *testing.T) {
	p := placerWithQueueLimits()
	for _, row := range []struct {
		id, customer string
		reason       fleet.Reason
	}{
		{"q1", "x", ""},
		{"q2", "x", ""},
		{"q3", "x", ""},
		{"q4", "x", fleet.ReasonCustomerLimit},
		{"q3", "x", ""},
		{"q5", "y", ""},
		{"q6", "y", ""},
		{"q7", "z", ""},
		{"q8", "z", fleet.ReasonQueueFull},
	} {
		r := request(row.id, "a")
		r.Caller = row.customer
		require.Equal(t, row.reason, refusalReason(p.Submit(at(1), r)), "%+v", row)
	}
	require.Len(t, p.Waiting(), 6, "a repeated request is queued once")
	p.Withdraw(at(2), "q1")
	require.Empty(t, p.Withdraw(at(2), "q1"), "a repeated withdrawal has no effect")
	r := request("q9", "a")
	r.Caller = "x"
	require.Empty(t, refusalReason(p.Submit(at(3), r)), "the tokens of a withdrawn request no longer count")
}

func TestFirstRequestOfCustomerIsAdmittedRegardlessOfSize(t *testing.T) {
	p := placerWithQueueLimits()
	r := request("q1", "a")
	r.OutputTokens = 1000
	require.Empty(t, refusalReason(p.Submit(at(1), r)))
}

func TestRequestThatCannotBeServedIsRefusedOnSubmit(t *testing.T) {
	const load = 300
	for _, row := range []struct {
		name     string
		base     string
		deadline int
		reason   fleet.Reason
	}{
		{"deadline after the load", "base", 1 + load, ""},
		{"deadline before the load ends", "base", load, fleet.ReasonDeadline},
		{"expired", "base", 1, fleet.ReasonExpired},
		{"no deadline", "base", 0, ""},
		{"no endpoint", "other", 0, fleet.ReasonNoEndpoint},
	} {
		r := request("q", "a")
		r.Base = row.base
		if row.deadline > 0 {
			r.Deadline = at(row.deadline)
		}
		require.Equal(t, row.reason, refusalReason(placerWithQueueLimits().Submit(at(1), r)), row.name)
	}
}

func TestWaitingRequestExpiresAtItsDeadline(t *testing.T) {
	p := placerWithQueueLimits()
	r := request("q", "a")
	r.Deadline = at(5000)
	p.Submit(at(1), r)
	require.Empty(t, refusalReason(p.Tick(at(4999))))
	require.Equal(t, fleet.ReasonExpired, refusalReason(p.Tick(at(5000))))
	require.Empty(t, refusalReason(p.Tick(at(5001))), "the request is refused once")
}

func TestRefuseAllRefusesWaitingRequestsInArrivalOrder(t *testing.T) {
	p := placerWithQueueLimits()
	for _, id := range []string{"q2", "q1"} {
		p.Submit(at(1), request(id, "a"))
	}
	refused := effectsOfType[placement.Refuse](p.RefuseAll(at(2), fleet.ReasonNoPlacer, time.Second))
	require.Len(t, refused, 2)
	require.Equal(t, "q2", refused[0].Request.ID)
	require.Equal(t, fleet.Refusal{RequestID: "q1", Reason: fleet.ReasonNoPlacer, RetryAfter: time.Second}, refused[1].Refusal)
	require.Empty(t, p.RefuseAll(at(3), fleet.ReasonNoPlacer, time.Second))
}

func TestRequestWithoutClassUsesUnnamedClass(t *testing.T) {
	for _, row := range []struct {
		classes []fleet.Class
		first   string
	}{
		{[]fleet.Class{{Name: "named", Priority: 2, StallWeight: 1}}, "named"},
		{[]fleet.Class{{Name: "named", Priority: 2, StallWeight: 1}, {Priority: 3, StallWeight: 1}}, "none"},
	} {
		p := newPlacer(endpoint(1))
		p.SetClasses(row.classes)
		named, none := request("named", "a"), request("none", "a")
		named.Class, none.Class = "named", ""
		p.Submit(at(1), none)
		p.Submit(at(1), named)
		orderLoad(t, p, at(3))
		granted := effectsOfType[placement.Grant](p.HandleLoadResult(at(4), "e1", "e1-1", ref("a"), placement.LoadDone, ""))
		require.Len(t, granted, 2)
		require.Equal(t, row.first, granted[0].Request.ID, "%+v", row.classes)
	}
}
