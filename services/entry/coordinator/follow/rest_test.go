// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
)

// TestWhoLeavesTheOperatorsKeysToThePlanner: each change of a key ended the watch of each instance, which then began another one, so that
// the calls to the store grew with the fleet.
func TestWhoLeavesTheOperatorsKeysToThePlanner(t *testing.T) {
	for name, test := range map[string]struct {
		situation follow.Situation
		rests     bool
	}{
		"another one watches":        {follow.Situation{PlannerHeard: true, WatchedNearby: true}, true},
		"nobody else in the hall":    {follow.Situation{PlannerHeard: true}, false},
		"the planner is silent":      {follow.Situation{WatchedNearby: true}, false},
		"it plans itself":            {follow.Situation{Planning: true, PlannerHeard: true, WatchedNearby: true}, false},
		"keys on their way":          {follow.Situation{PlannerHeard: true, WatchedNearby: true, KeysLag: 600*time.Millisecond - 1}, true},
		"keys that do not come":      {follow.Situation{PlannerHeard: true, WatchedNearby: true, KeysLag: 600 * time.Millisecond}, false},
		"nobody watches, keys there": {follow.Situation{KeysLag: 0}, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.rests, test.situation.Rests()) })
	}
}
