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
