// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/budget"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

// speakerOfH2 creates the speaker of hall h2, whose platform list contains instance i1 of h1.
func speakerOfH2() *node.Node {
	n := node.New(begin, node.Options{
		Self: fleet.Instance{ID: "j1", Hall: "h2", Address: instance("", 9).Address}, Boot: 5, Halls: []string{"h1", "h2"},
		Placement: placement.DefaultOptions(), Routing: routing.DefaultOptions(), Membership: membership.DefaultOptions(),
		Budget: budget.Limits{LoadsPerSecond: 10, AtFullSpeed: 2}, Timing: node.DefaultTiming(),
	})
	n.SetListed(begin, []fleet.Instance{instance("i1", 1)}, nil)
	return n
}

// twoDigests returns two digests of hall h2, created one second apart: the first at revision 0,
// the second at revision 1.
func twoDigests(t *testing.T) (older, newer fleet.Envelope) {
	t.Helper()
	n := speakerOfH2()
	digest := func(at time.Time) fleet.Envelope {
		var out []fleet.Envelope
		for _, s := range effectsOf[node.Send](n.Tick(at)) {
			if s.Envelope.Digest != nil {
				out = append(out, s.Envelope)
			}
		}
		require.Len(t, out, 1)
		return out[0]
	}
	older = digest(begin.Add(2 * time.Second))
	record, err := catalog.EncodeRecord(catalog.Record{Revision: 1, Changes: []catalog.Change{
		{Kind: catalog.CreateAdapter, Name: "a", Base: "base"},
	}})
	require.NoError(t, err)
	n.ApplyRecords(begin.Add(2*time.Second), fleet.Records{Head: 1, Records: [][]byte{record}})
	return older, digest(begin.Add(3 * time.Second))
}

func TestDelayedDigestDoesNotReplaceNewerDigest(t *testing.T) {
	older, newer := twoDigests(t)
	n := newNode()
	now := begin.Add(3 * time.Second)
	n.Handle(now, newer)
	require.EqualValues(t, 1, n.Halls(now)[1].Revision)
	n.Handle(now.Add(time.Millisecond), older)
	require.EqualValues(t, 1, n.Halls(now)[1].Revision, "the hall's revision must not decrease")
}

// A digest older than the last received one must not make a cut-off hall count as reachable.
func TestDelayedDigestDoesNotMakeHallReachable(t *testing.T) {
	older, newer := twoDigests(t)
	n := newNode()
	n.Handle(begin.Add(3*time.Second), newer)
	now := begin.Add(10 * time.Second)
	n.Tick(now)
	require.True(t, n.Halls(now)[1].CutOff, "no digest for 7 s")
	n.Handle(now, older)
	require.True(t, n.Halls(now)[1].CutOff, "the digest was created before the last received one")
}
