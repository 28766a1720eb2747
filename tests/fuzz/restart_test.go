// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// restartSeed is the seed of histories of which the 34th violated a guarantee: an eviction that was ordered before an endpoint's restart was
// detected arrived while a request ran that was granted after the restart.
const restartSeed = "2"

func TestAdapterInUseIsNotUnloadedAfterEndpointRestart(t *testing.T) {
	setRapidFlags(t, restartSeed, historiesPerRun)
	rapid.Check(t, historyProperty(node.Defects{}, trafficDefects{}, make(map[string]int)))
}

// reloadSeed is the seed of histories of which the 21st violated a guarantee: a load of an adapter was ordered while its delayed unload was in
// transit to the same endpoint; the adapter was found resident, and then unloaded while in use.
const reloadSeed = "20261213"

func TestAdapterInUseIsNotUnloadedByDelayedUnload(t *testing.T) {
	setRapidFlags(t, reloadSeed, historiesPerRun)
	rapid.Check(t, historyProperty(node.Defects{}, trafficDefects{}, make(map[string]int)))
}
