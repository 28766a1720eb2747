// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package tree_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/tree"
)

func avoidNone(string) bool { return false }

// fleet returns instances in halls. The first instance of each hall has a faster link.
func fleet(halls, each int) []tree.Instance {
	var instances []tree.Instance
	for hall := range halls {
		for i := range each {
			instance := tree.Instance{Name: fmt.Sprintf("edge-%d-%d", hall, i), Hall: fmt.Sprintf("hall-%d", hall), LinkRate: 2_500_000}
			if i == 0 {
				instance.LinkRate = 25_000_000
			}
			instances = append(instances, instance)
		}
	}
	return instances
}

func TestSmallFleetNeedsNoGatherers(t *testing.T) {
	assert.Empty(t, tree.Gatherers(nil))
	assert.Empty(t, tree.Gatherers(fleet(4, 4)))
	assert.Len(t, tree.Gatherers(fleet(17, 1)), 17, "one gatherer in each hall, even in a hall with one instance")
}

func TestGatherersPerHallPreferBestLinks(t *testing.T) {
	gatherers := tree.Gatherers(fleet(5, 39))
	require.Len(t, gatherers, 15)
	halls, best := map[string]int{}, 0
	for _, instance := range gatherers {
		halls[instance.Hall]++
		if instance.LinkRate == 25_000_000 {
			best++
		}
	}
	assert.Equal(t, map[string]int{"hall-0": 3, "hall-1": 3, "hall-2": 3, "hall-3": 3, "hall-4": 3}, halls)
	assert.Equal(t, 5, best)
	assert.Equal(t, gatherers, tree.Gatherers(fleet(5, 39)), "the result depends only on the fleet")
}

// TestGroupsAreBalancedAndStableWhenGathererLeaves checks that few instances change their gatherer: each of them has to dial the
// new one and has outdated totals until then.
func TestGroupsAreBalancedAndStableWhenGathererLeaves(t *testing.T) {
	instances := fleet(1, 320)
	gatherers := tree.Gatherers(instances)
	require.Len(t, gatherers, 20)
	lost := gatherers[7].Name
	sizes, moved := map[string]int{}, 0
	for _, instance := range instances {
		before, ok := tree.GathererOf(instance.Name, instance.Hall, gatherers, avoidNone)
		require.True(t, ok)
		sizes[before.Name]++
		after, ok := tree.GathererOf(instance.Name, instance.Hall, gatherers, func(name string) bool { return name == lost })
		require.True(t, ok)
		assert.NotEqual(t, lost, after.Name)
		if after != before {
			assert.Equal(t, lost, before.Name)
			moved++
		}
	}
	assert.Equal(t, sizes[lost], moved)
	for name, size := range sizes {
		assert.Less(t, size, 2*tree.GroupSize, name)
	}
}

func TestGathererServesItselfAndOnlyItsHall(t *testing.T) {
	gatherers := []tree.Instance{{Name: "a", Hall: "h1"}, {Name: "b", Hall: "h1"}, {Name: "c", Hall: "h2"}}
	own, ok := tree.GathererOf("b", "h1", gatherers, avoidNone)
	assert.True(t, ok)
	assert.Equal(t, "b", own.Name)
	other, ok := tree.GathererOf("x", "h2", gatherers, avoidNone)
	assert.True(t, ok)
	assert.Equal(t, "c", other.Name)
	_, ok = tree.GathererOf("x", "h3", gatherers, avoidNone)
	assert.False(t, ok)
	_, ok = tree.GathererOf("x", "h2", gatherers, func(name string) bool { return name == "c" })
	assert.False(t, ok, "the only gatherer of the hall is avoided")
}
