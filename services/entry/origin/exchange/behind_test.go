// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestInstanceBehindOthersAsksThem guards against a stream that goes on at the only software that an instance has seen, since it lags.
func TestInstanceBehindOthersAsksThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(2 * window)
		for _, service := range f.services[1:] {
			service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		}
		key := f.keyNotToldTo(1, 0)
		begin(f.services[1], key, two)
		time.Sleep(settledAge)
		assertNotJoined(t, two, f.services[0], key)
	})
}
