// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limit_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/limit"
)

func TestConnectionsFollowDemand(t *testing.T) {
	for name, test := range map[string]struct {
		connections limit.Connections
		others      int
		kept, inUse int
	}{
		"the only instance":                   {limit.Connections{Accepted: 200, Members: 1}, 0, 100, 200},
		"the others have no requests":         {limit.Connections{Accepted: 200, Members: 30}, 0, 3, 113},
		"the others have some":                {limit.Connections{Accepted: 200, Members: 30}, 50, 3, 63},
		"the others have more than is left":   {limit.Connections{Accepted: 200, Members: 30}, 190, 3, 3},
		"most of 66 instances are idle":       {limit.Connections{Accepted: 510, Members: 66}, 20, 3, 295},
		"few connections, one is kept":        {limit.Connections{Accepted: 10, Members: 8}, 0, 1, 3},
		"fewer connections than instances":    {limit.Connections{Accepted: 2, Members: 8}, 0, 0, 2},
		"fewer connections, all of them used": {limit.Connections{Accepted: 2, Members: 8}, 2, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.kept, test.connections.Kept())
			assert.Equal(t, test.inUse, test.connections.InUse(test.others))
			assert.True(t, test.connections.Admits(test.inUse-1, test.others))
			assert.False(t, test.connections.Admits(test.inUse, test.others))
		})
	}
	assert.True(t, limit.Connections{Members: 1}.Admits(1000, 0), "no limit")
}

// TestConnectionsStayWithinWhatEndpointAccepts draws where callers are, with counts that are known, and lets instances keep all that they may.
func TestConnectionsStayWithinWhatEndpointAccepts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		members := 1 + random.IntN(200)
		connections := limit.Connections{Accepted: members + random.IntN(1000), Members: members}
		inUse := make([]int, members)
		total := 0
		crowded := 1 + random.IntN(members)
		for range 3 * connections.Accepted {
			i := random.IntN(crowded)
			if connections.Admits(inUse[i], total-inUse[i]) {
				inUse[i]++
				total++
			}
		}
		open := 0
		for _, count := range inUse {
			open += max(count, connections.Kept())
		}
		assert.LessOrEqual(t, open, connections.Accepted, "%d instances, %d with requests", members, crowded)
	}
}
