// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/limit"
)

const (
	// limitedEndpoints is the number of endpoints with a limit of limitPerSecond requests per second each. Each instance has demand for
	// all of them, and the limits are allocated once in each allocationInterval.
	limitedEndpoints   = 10
	limitPerSecond     = 10
	allocationInterval = 25 * time.Millisecond
)

// BenchmarkEntryCapacityLimits reports the cost of the planner's allocation of limits: its processing time for one second of allocations,
// and the bytes of grants and limit lists that each member receives in that second.
func BenchmarkEntryCapacityLimits(b *testing.B) {
	for _, instances := range []int{320, 1000} {
		b.Run(fmt.Sprint(instances, " instances"), func(b *testing.B) {
			allocator := limit.NewAllocator()
			now := time.Now()
			granted, bytes := 0, 0
			start := time.Now()
			for b.Loop() {
				grants := allocateSecond(allocator, now, instances)
				now = now.Add(time.Second)
				granted += len(grants)
				bytes += grantBytes(b, grants)
			}
			b.ReportMetric(time.Since(start).Seconds()*1000/float64(b.N), "ms/second")
			b.ReportMetric(float64(granted)/float64(b.N), "grants/second")
			b.ReportMetric(float64(bytes)/float64(b.N), "B/member/second")
		})
	}
}

// allocateSecond returns the grants of one second in which each instance reports its demand once.
func allocateSecond(allocator *limit.Allocator, now time.Time, instances int) []limit.Grant {
	var all []limit.Grant
	var demands []limit.Demand
	for e := range limitedEndpoints {
		demands = append(demands, limit.Demand{Endpoint: limitedEndpointID(e), Waiting: 3})
	}
	for i := range instances {
		allocator.SetDemand(now, fmt.Sprintf("edge-plv-hall-a-%d", i), demands)
	}
	for offset := time.Duration(0); offset < time.Second; offset += allocationInterval {
		for e := range limitedEndpoints {
			all = append(all, allocator.Allocate(now.Add(offset), limitedEndpointID(e), limitPerSecond)...)
		}
	}
	return all
}

func limitedEndpointID(e int) deployment.EndpointID {
	return deployment.EndpointID(fmt.Sprintf("i-%010x", e))
}

// grantBytes returns by how many bytes the given grants and a list of all limits enlarge an encoded view.
func grantBytes(b *testing.B, grants []limit.Grant) int {
	b.Helper()
	empty, err := peerstream.Encode(wire.Message{View: &wire.View{}})
	require.NoError(b, err)
	view := &wire.View{Limits: &wire.LimitList{}}
	for e := range limitedEndpoints {
		view.Limits.Limits = append(view.Limits.Limits, wire.Limit{ID: limitedEndpointID(e), PerSecond: limitPerSecond, Age: time.Second, Waiting: 3})
	}
	for _, grant := range grants {
		view.Grants = append(view.Grants, wire.Grant{ID: grant.Endpoint, Instance: grant.Instance, Count: grant.Count})
	}
	full, err := peerstream.Encode(wire.Message{View: view})
	require.NoError(b, err)
	return len(full) - len(empty)
}
