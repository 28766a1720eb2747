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

// bounded makes a placer whose class lets 120 tokens wait, half of them of one customer;
// each request has 20.
func bounded() *placement.Placer {
	o := placement.DefaultOptions()
	o.Classes = []fleet.Class{{Name: "c", Priority: 5, StallWeight: 1, MaxQueuedTokens: 120}}
	p := placement.NewPlacer("h1/base", "i1", []fleet.Endpoint{endpoint(1)}, o)
	p.Adopt(begin, placement.Inspection{Endpoint: "e1", Incarnation: "e1-1", Began: begin, Up: true}, 1, begin)
	return p
}

// refusal gives the reason of the only refusal among effects, or none.
func refusal(effects []placement.Effect) fleet.Reason {
	for _, r := range only[placement.Refuse](effects) {
		return r.Refusal.Reason
	}
	return ""
}

func TestQueueIsBoundedByCustomerAndByClass(t *testing.T) {
	p := bounded()
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
		require.Equal(t, row.reason, refusal(p.Submit(at(1), r)), "%+v", row)
	}
	require.Len(t, p.Waiting(), 6, "a repeated request waits once")
	p.Cancel(at(2), "q1")
	require.Empty(t, p.Cancel(at(2), "q1"), "a repeated withdrawal does nothing")
	r := request("q9", "a")
	r.Caller = "x"
	require.Empty(t, refusal(p.Submit(at(3), r)), "the room of a withdrawn request is free again")
}

func TestFirstRequestOfACustomerIsAdmittedWhateverItsSize(t *testing.T) {
	p := bounded()
	r := request("q1", "a")
	r.OutputTokens = 1000
	require.Empty(t, refusal(p.Submit(at(1), r)))
}

func TestRequestThatCannotBeMetIsRefusedAtOnce(t *testing.T) {
	const load = 300
	for _, row := range []struct {
		name     string
		base     string
		deadline int
		reason   fleet.Reason
	}{
		{"in time", "base", 1 + load, ""},
		{"a load too late", "base", load, fleet.ReasonDeadline},
		{"expired", "base", 1, fleet.ReasonExpired},
		{"no deadline", "base", 0, ""},
		{"no endpoint", "other", 0, fleet.ReasonNoEndpoint},
	} {
		r := request("q", "a")
		r.Base = row.base
		if row.deadline > 0 {
			r.Deadline = at(row.deadline)
		}
		require.Equal(t, row.reason, refusal(bounded().Submit(at(1), r)), row.name)
	}
}

func TestWaitingRequestExpiresAtItsDeadline(t *testing.T) {
	p := bounded()
	r := request("q", "a")
	r.Deadline = at(5000)
	p.Submit(at(1), r)
	require.Empty(t, refusal(p.Tick(at(4999))))
	require.Equal(t, fleet.ReasonExpired, refusal(p.Tick(at(5000))))
	require.Empty(t, refusal(p.Tick(at(5001))), "once")
}

func TestAllThatWaitsIsRefusedInItsOrderWhenThePoolIsLetGo(t *testing.T) {
	p := bounded()
	for _, id := range []string{"q2", "q1"} {
		p.Submit(at(1), request(id, "a"))
	}
	refused := only[placement.Refuse](p.RefuseAll(at(2), fleet.ReasonNoPlacer, time.Second))
	require.Len(t, refused, 2)
	require.Equal(t, "q2", refused[0].Request.ID)
	require.Equal(t, fleet.Refusal{RequestID: "q1", Reason: fleet.ReasonNoPlacer, RetryAfter: time.Second}, refused[1].Refusal)
	require.Empty(t, p.RefuseAll(at(3), fleet.ReasonNoPlacer, time.Second))
}

func TestRequestsThatNameNoClassHaveTheOneWithoutAName(t *testing.T) {
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
		load(t, p, at(3))
		granted := only[placement.Grant](p.Loaded(at(4), "e1", "e1-1", ref("a"), placement.LoadDone, ""))
		require.Len(t, granted, 2)
		require.Equal(t, row.first, granted[0].Request.ID, "%+v", row.classes)
	}
}
