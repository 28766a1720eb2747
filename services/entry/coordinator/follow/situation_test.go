// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
)

// TestDelegatesKeys guards against store calls that grow with the fleet: without the rule, each change of a key ended the watch of
// each instance, which then started another one.
func TestDelegatesKeys(t *testing.T) {
	for name, test := range map[string]struct {
		situation follow.Situation
		rests     bool
	}{
		"another instance watches":              {follow.Situation{ViewReceivedRecently: true, WatchedNearby: true}, true},
		"no other instance of the hall watches": {follow.Situation{ViewReceivedRecently: true}, false},
		"the planner is silent":                 {follow.Situation{WatchedNearby: true}, false},
		"this instance is the planner":          {follow.Situation{Planning: true, ViewReceivedRecently: true, WatchedNearby: true}, false},
		"keys just below the limit late":        {follow.Situation{ViewReceivedRecently: true, WatchedNearby: true, KeysLag: 600*time.Millisecond - 1}, true},
		"keys missing for the limit":            {follow.Situation{ViewReceivedRecently: true, WatchedNearby: true, KeysLag: 600 * time.Millisecond}, false},
		"no instance watches, no keys missing":  {follow.Situation{KeysLag: 0}, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.rests, test.situation.DelegatesKeys()) })
	}
}
