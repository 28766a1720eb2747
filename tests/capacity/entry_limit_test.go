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
	// limitedEndpoints have a limit of limitPerSecond each, all of which is asked for by each instance; a plan comes each limitPlan.
	limitedEndpoints = 10
	limitPerSecond   = 10
	limitPlan        = 25 * time.Millisecond
)

// BenchmarkEntryCapacityLimits prints what the planner's allocation of limits costs: its time for a second, and the bytes of the grants and lists
// that each member gets in that second.
func BenchmarkEntryCapacityLimits(b *testing.B) {
	for _, instances := range []int{320, 1000} {
		b.Run(fmt.Sprint(instances, " instances"), func(b *testing.B) {
			allocator := limit.NewAllocator()
			now := time.Now()
			granted, bytes := 0, 0
			began := time.Now()
			for b.Loop() {
				grants := allocateSecond(allocator, now, instances)
				now = now.Add(time.Second)
				granted += len(grants)
				bytes += grantBytes(b, grants)
			}
			b.ReportMetric(time.Since(began).Seconds()*1000/float64(b.N), "ms/second")
			b.ReportMetric(float64(granted)/float64(b.N), "grants/second")
			b.ReportMetric(float64(bytes)/float64(b.N), "B/member/second")
		})
	}
}

// allocateSecond allocates for a second in which each instance reports once.
func allocateSecond(allocator *limit.Allocator, now time.Time, instances int) []limit.Grant {
	var all []limit.Grant
	var wants []limit.Demand
	for e := range limitedEndpoints {
		wants = append(wants, limit.Demand{Endpoint: limitedName(e), Waiting: 3})
	}
	for i := range instances {
		allocator.SetDemand(now, fmt.Sprintf("edge-plv-hall-a-%d", i), wants)
	}
	for at := time.Duration(0); at < time.Second; at += limitPlan {
		for e := range limitedEndpoints {
			all = append(all, allocator.Allocate(now.Add(at), limitedName(e), limitPerSecond)...)
		}
	}
	return all
}

func limitedName(e int) deployment.EndpointID {
	return deployment.EndpointID(fmt.Sprintf("i-%010x", e))
}

// grantBytes is what views take with grants, and with a list of limits, beyond what they take without them.
func grantBytes(b *testing.B, grants []limit.Grant) int {
	b.Helper()
	bare, err := peerstream.Encode(wire.Message{View: &wire.View{}})
	require.NoError(b, err)
	told := &wire.View{Limits: &wire.LimitList{}}
	for e := range limitedEndpoints {
		told.Limits.Limits = append(told.Limits.Limits, wire.Limit{ID: limitedName(e), PerSecond: limitPerSecond, Age: time.Second, Waiting: 3})
	}
	for _, grant := range grants {
		told.Grants = append(told.Grants, wire.Grant{ID: grant.Endpoint, Instance: grant.Instance, Count: grant.Count})
	}
	full, err := peerstream.Encode(wire.Message{View: told})
	require.NoError(b, err)
	return len(full) - len(bare)
}
