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

// month is far longer than any retention time of a node.
const month = 30 * 24 * time.Hour

// A node answers a permit only if it has the sender's address, so the answer shows whether the entry is still stored.
func TestSilentEntryIsRemoved(t *testing.T) {
	permit := fleet.Envelope{From: "j1", Boot: 1, Permit: &fleet.Permit{Pool: "h1/base", ID: 1}}
	n := newNode()
	require.Empty(t, effectsOf[node.Send](n.Handle(begin, permit)), "the sender is unknown")
	n.Handle(begin, fleet.Envelope{From: "j1", Boot: 1, Submit: &fleet.Submit{
		Pool: "h1/base", Request: fleet.Request{ID: "q", Base: "base", Hall: "h2"}, Reply: instance("", 9).Address, Stamp: 1,
	}})
	for now := begin; now.Before(begin.Add(month)); now = now.Add(time.Hour) {
		n.Tick(now)
	}
	require.Empty(t, effectsOf[node.Send](n.Handle(begin.Add(month), permit)), "no message for a month")
}

func TestEntryIsKeptForRetentionTime(t *testing.T) {
	const retention, sweepInterval = 10 * time.Minute, time.Minute
	submit := fleet.Envelope{From: "j1", Boot: 1, Submit: &fleet.Submit{
		Pool: "h1/base", Request: fleet.Request{ID: "q", Base: "base", Hall: "h2"}, Reply: instance("", 9).Address, Stamp: 1,
	}}
	permit := fleet.Envelope{From: "j1", Boot: 1, Permit: &fleet.Permit{Pool: "h1/base", ID: 1}}
	n := newNode()
	n.Handle(begin, submit)
	n.Handle(begin.Add(time.Minute), submit)
	lastMessage := begin.Add(time.Minute)
	for _, row := range []struct {
		silence time.Duration
		known   bool
	}{{retention - 1, true}, {retention, true}, {retention + sweepInterval, false}} {
		now := lastMessage.Add(row.silence)
		n.Tick(now)
		require.Equal(t, row.known, len(effectsOf[node.Send](n.Handle(now, permit))) > 0, "after %v", row.silence)
	}
}

// A removed member that the platform lists again must get recent summaries, not the full ones that it requested before.
func TestSummaryRequestsOfRemovedMemberAreDropped(t *testing.T) {
	const step = 500 * time.Millisecond
	n, now, _ := solePlacer(t)
	requesting := peerHeartbeat()
	requesting.Heartbeat.WantedSummaries = []string{"h1/base"}
	n.Handle(now, requesting)
	fullSummaries := func(until time.Time) []bool {
		var out []bool
		for ; now.Before(until); now = now.Add(step) {
			for _, s := range effectsOf[node.Send](n.Tick(now)) {
				if hb := s.Envelope.Heartbeat; hb != nil && len(hb.Pools) == 1 {
					out = append(out, hb.Pools[0].Full)
				}
			}
		}
		return out
	}
	require.Contains(t, fullSummaries(now.Add(time.Second)), true, "the member requested the full summary")
	fullSummaries(now.Add(15 * time.Minute))
	n.SetListed(now, []fleet.Instance{instance("i2", 2)}, nil)
	again := fullSummaries(now.Add(5 * time.Second))
	require.NotEmpty(t, again)
	require.NotContains(t, again, true)
}
