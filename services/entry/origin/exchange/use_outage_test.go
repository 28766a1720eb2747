// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestUseThatNoStoreTookBeforeLossOfAllProvesNothing guards against streams that began at a software while the store was down, and go on at another
// one after all instances were lost, since nothing that is left tells that they began there.
func TestUseThatNoStoreTookBeforeLossOfAllProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(2 * window)
		f.observe("1.0", "2.0")
		f.services[0].Prepare(t.Context(), one)
		time.Sleep(settledAge)
		f.network.store.Fail(errDown)
		prepareAndBegin(t, f.services[3], 1000, two)
		time.Sleep(settledAge)
		// An instance that loses power tells nothing.
		f.network.lose(func(datagram) bool { return true })
		f.restartAll(t, "1.0", "2.0")
		f.network.lose(nil)
		f.network.store.Fail(nil)
		time.Sleep(settling)
		for _, service := range f.services {
			assertNotJoined(t, two, service, 1000)
		}
	})
}
