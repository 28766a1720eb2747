// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// makeItems returns count items, each created from its index.
func makeItems[T any](count int, item func(i int) T) []T {
	out := make([]T, 0, count)
	for i := range count {
		out = append(out, item(i))
	}
	return out
}

func TestEnvelopeSizeApproximatesEncodedSize(t *testing.T) {
	const (
		count = 3000
		// minRatio and maxRatio limit the ratio of the estimate to the encoded size.
		minRatio = 0.7
		maxRatio = 1.6
	)
	address := netip.MustParseAddrPort("10.20.30.40:8082")
	instances := makeItems(count, func(i int) fleet.Instance {
		return fleet.Instance{ID: fmt.Sprintf("h1-i%d", i), Hall: "h1", Address: address, Operator: address}
	})
	names := makeItems(count, func(i int) string { return fmt.Sprintf("adapter-%d@3", i) })
	summaries := makeItems(count, func(i int) fleet.PoolSummary {
		return fleet.PoolSummary{Pool: fmt.Sprintf("h1/base-%d", i), Epoch: 1 << 40, Seq: 1 << 20, Base: 1 << 20, Added: names[:3], Free: 3, Places: 9, Slots: 8, Waiting: 70}
	})
	held := makeItems(count, func(i int) fleet.HeldPool { return fleet.HeldPool{Pool: fmt.Sprintf("h1/base-%d", i), Term: 1 << 40} })
	placers := makeItems(count, func(i int) fleet.PoolPlacer {
		return fleet.PoolPlacer{Pool: fmt.Sprintf("h1/base-%d", i), Term: 1 << 40, Instance: instances[i]}
	})
	now := time.Unix(1_800_000_000, 5)
	uses := makeItems(count, func(i int) fleet.TicketUse {
		ref := fleet.AdapterRef{Name: "adapter", Version: 3}
		return fleet.TicketUse{
			Ticket: fleet.Ticket{ID: fmt.Sprint(i), RequestID: "request-12345", Pool: "h1/base-a", Endpoint: "h1-e1", Incarnation: "5", Adapter: ref, Fence: 1 << 40, Placer: "h1-i1", Entry: "h1-i2"},
			Request: fleet.Request{
				ID: "request-12345", Caller: "customer", Class: "kiosk", Hall: "h1", Base: "base-a", Adapter: ref, PromptTokens: 900, OutputTokens: 256,
				Arrived: now, Deadline: now, Prefix: 1 << 60, Entry: "h1-i2",
			},
		}
	})
	for name, e := range map[string]fleet.Envelope{
		"records":       {Records: &fleet.Records{Head: 3, Snapshot: make([]byte, 100_000), Records: makeItems(count, func(int) []byte { return make([]byte, 300) })}},
		"known":         {Heartbeat: &fleet.Heartbeat{Known: instances}},
		"held":          {Heartbeat: &fleet.Heartbeat{HeldPools: held}},
		"pools":         {Heartbeat: &fleet.Heartbeat{Pools: summaries}},
		"wants":         {Heartbeat: &fleet.Heartbeat{WantedSummaries: names}},
		"digest":        {Digest: &fleet.Digest{Instances: instances, Placers: placers, Pools: summaries, WantedSummaries: names}},
		"returned":      {Returned: &fleet.Returned{Tickets: names}},
		"ticket report": {TicketReport: &fleet.TicketReport{Uses: uses}},
		"release":       {Release: &fleet.Release{Uses: uses}},
	} {
		data, err := msgpack.Marshal(&e)
		require.NoError(t, err)
		t.Logf("%s: %d bytes estimated, %d encoded", name, e.Size(), len(data))
		ratio := float64(e.Size()) / float64(len(data))
		require.Truef(t, ratio > minRatio && ratio < maxRatio, "%s: %d bytes estimated, %d encoded", name, e.Size(), len(data))
	}
}

func TestEnvelopeSizeCoversSmallEnvelope(t *testing.T) {
	data, err := msgpack.Marshal(&fleet.Envelope{From: "h1-i1", Boot: 1 << 40, Submit: &fleet.Submit{Pool: "h1/base", Request: fleet.Request{ID: "request"}}})
	require.NoError(t, err)
	require.GreaterOrEqual(t, fleet.Envelope{Submit: &fleet.Submit{}}.Size(), len(data))
}
