// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestArchiveThatNobodyKeptProvesNothing guards against an empty archive that counts as a proof that no other software served.
func TestArchiveThatNobodyKeptProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		begin(f.services[0], 1, one)
		f.observe("1.0", "2.0")
		time.Sleep(settling)
		f.observe("2.0")
		time.Sleep(settling)
		f.network.store.RevokeLeases()
		f.restartAll(t, "2.0")
		assertNotJoined(t, one, f.services[1], 1)
	})
}

// TestArchiveThatFormerBuildDidNotKeepProvesNothing guards against a first start of this build that takes the archive, of which a former build knows
// nothing, for a proof that no other software served.
func TestArchiveThatFormerBuildDidNotKeepProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{network: newNetwork(), instances: list(6, 3)}
		for _, instance := range f.instances {
			f.services = append(f.services, startWithoutArchive(t, f.network, instance, f.instances))
		}
		defer func() { f.close() }()
		f.observe("1.0")
		time.Sleep(settling)
		begin(f.services[0], 1, one)
		f.observe("1.0", "2.0")
		time.Sleep(settling)
		f.observe("2.0")
		time.Sleep(settling)
		f.restartAll(t, "2.0")
		assertNotJoined(t, one, f.services[1], 1)
	})
}
