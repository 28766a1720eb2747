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

// month is a time after which nothing needs to be known any more of what has gone.
const month = 30 * 24 * time.Hour

// That a node knows an instance which submitted a request is seen by its answer to a permit.
func TestEntryThatIsLongGoneIsForgotten(t *testing.T) {
	permit := fleet.Envelope{From: "j1", Boot: 1, Permit: &fleet.Permit{Pool: "h1/base", ID: 1}}
	n := newNode()
	require.Empty(t, only[node.Send](n.Handle(begin, permit)), "a stranger")
	n.Handle(begin, fleet.Envelope{From: "j1", Boot: 1, Submit: &fleet.Submit{
		Pool: "h1/base", Request: fleet.Request{ID: "q", Base: "base", Hall: "h2"}, Reply: instance("", 9).Address, Stamp: 1,
	}})
	for now := begin; now.Before(begin.Add(month)); now = now.Add(time.Hour) {
		n.Tick(now)
	}
	require.Empty(t, only[node.Send](n.Handle(begin.Add(month), permit)), "unheard for a month")
}

func TestEntryIsKnownUntilItsSilenceIsLong(t *testing.T) {
	const memory, sweep = 10 * time.Minute, time.Minute
	submit := fleet.Envelope{From: "j1", Boot: 1, Submit: &fleet.Submit{
		Pool: "h1/base", Request: fleet.Request{ID: "q", Base: "base", Hall: "h2"}, Reply: instance("", 9).Address, Stamp: 1,
	}}
	permit := fleet.Envelope{From: "j1", Boot: 1, Permit: &fleet.Permit{Pool: "h1/base", ID: 1}}
	n := newNode()
	n.Handle(begin, submit)
	n.Handle(begin.Add(time.Minute), submit)
	heard := begin.Add(time.Minute)
	for _, row := range []struct {
		silence time.Duration
		known   bool
	}{{memory - 1, true}, {memory, true}, {memory + sweep, false}} {
		now := heard.Add(row.silence)
		n.Tick(now)
		require.Equal(t, row.known, len(only[node.Send](n.Handle(now, permit))) > 0, "after %v", row.silence)
	}
}

// TestWantsOfAMemberThatIsLongGoneAreForgotten looks at the summary that the member gets when the list names it again.
func TestWantsOfAMemberThatIsLongGoneAreForgotten(t *testing.T) {
	const step = 500 * time.Millisecond
	n, now, _ := alone(t)
	wanting := heartbeat()
	wanting.Heartbeat.WantedSummaries = []string{"h1/base"}
	n.Handle(now, wanting)
	whole := func(until time.Time) []bool {
		var out []bool
		for ; now.Before(until); now = now.Add(step) {
			for _, s := range only[node.Send](n.Tick(now)) {
				if hb := s.Envelope.Heartbeat; hb != nil && len(hb.Pools) == 1 {
					out = append(out, hb.Pools[0].Full)
				}
			}
		}
		return out
	}
	require.Contains(t, whole(now.Add(time.Second)), true, "it has asked for it")
	whole(now.Add(15 * time.Minute))
	n.SetListed(now, []fleet.Instance{instance("i2", 2)}, nil)
	again := whole(now.Add(5 * time.Second))
	require.NotEmpty(t, again)
	require.NotContains(t, again, true)
}
