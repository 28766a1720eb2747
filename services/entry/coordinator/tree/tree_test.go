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

func nobody(string) bool { return false }

// fleet has instances in halls, the first of each hall with a better link.
func fleet(halls, each int) []tree.Instance {
	var instances []tree.Instance
	for hall := range halls {
		for i := range each {
			one := tree.Instance{Name: fmt.Sprintf("edge-%d-%d", hall, i), Hall: fmt.Sprintf("hall-%d", hall), LinkRate: 2_500_000}
			if i == 0 {
				one.LinkRate = 25_000_000
			}
			instances = append(instances, one)
		}
	}
	return instances
}

func TestASmallFleetNeedsNoGatherer(t *testing.T) {
	assert.Empty(t, tree.Gatherers(nil))
	assert.Empty(t, tree.Gatherers(fleet(4, 4)))
	assert.Len(t, tree.Gatherers(fleet(17, 1)), 17, "one in each hall, also of one instance")
}

func TestOneGathersForEachGroupOfAHallAndTheBestLinksFirst(t *testing.T) {
	gatherers := tree.Gatherers(fleet(5, 39))
	require.Len(t, gatherers, 15)
	halls, best := map[string]int{}, 0
	for _, one := range gatherers {
		halls[one.Hall]++
		if one.LinkRate == 25_000_000 {
			best++
		}
	}
	assert.Equal(t, map[string]int{"hall-0": 3, "hall-1": 3, "hall-2": 3, "hall-3": 3, "hall-4": 3}, halls)
	assert.Equal(t, 5, best)
	assert.Equal(t, gatherers, tree.Gatherers(fleet(5, 39)), "the same for the same fleet")
}

// TestGroupsAreOfLikeSizeAndStayWhenAnotherGathererGoes: who is moved has to dial, and is told old totals until then.
func TestGroupsAreOfLikeSizeAndStayWhenAnotherGathererGoes(t *testing.T) {
	instances := fleet(1, 320)
	gatherers := tree.Gatherers(instances)
	require.Len(t, gatherers, 20)
	lost := gatherers[7].Name
	sizes, moved := map[string]int{}, 0
	for _, one := range instances {
		before, ok := tree.Of(one.Name, one.Hall, gatherers, nobody)
		require.True(t, ok)
		sizes[before.Name]++
		after, ok := tree.Of(one.Name, one.Hall, gatherers, func(name string) bool { return name == lost })
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

func TestAGathererGathersForItselfAndOnlyForItsHall(t *testing.T) {
	gatherers := []tree.Instance{{Name: "a", Hall: "h1"}, {Name: "b", Hall: "h1"}, {Name: "c", Hall: "h2"}}
	own, ok := tree.Of("b", "h1", gatherers, nobody)
	assert.True(t, ok)
	assert.Equal(t, "b", own.Name)
	other, ok := tree.Of("x", "h2", gatherers, nobody)
	assert.True(t, ok)
	assert.Equal(t, "c", other.Name)
	_, ok = tree.Of("x", "h3", gatherers, nobody)
	assert.False(t, ok)
	_, ok = tree.Of("x", "h2", gatherers, func(name string) bool { return name == "c" })
	assert.False(t, ok, "the only one does not answer")
}
