// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// restartSeed begins histories of which the 34th broke a promise: an eviction that was ordered before an endpoint's
// restart was noticed arrived beside a request that was granted after it.
const restartSeed = "2"

func TestAnAdapterInUseIsKeptBesideARestart(t *testing.T) {
	setFlags(t, restartSeed, shortChecks)
	rapid.Check(t, property(node.Defects{}, trafficDefects{}, make(map[string]int)))
}

// reloadSeed begins histories of which the 21st broke a promise: an adapter was ordered to be loaded while its slow
// unload was on its way to the same endpoint, was found resident, and was unloaded in use.
const reloadSeed = "20261213"

func TestAnAdapterInUseIsKeptBesideItsLateUnload(t *testing.T) {
	setFlags(t, reloadSeed, shortChecks)
	rapid.Check(t, property(node.Defects{}, trafficDefects{}, make(map[string]int)))
}
