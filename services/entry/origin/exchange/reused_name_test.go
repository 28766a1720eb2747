// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestStreamThatBeganAtSecondTryUnderSameNameIsNotJoined guards against a stream that goes on where an attempt of the same name was sent before, which
// ended without an event.
func TestStreamThatBeganAtSecondTryUnderSameNameIsNotJoined(t *testing.T) {
	const first, second = 0, 4
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		key := f.keyNotToldTo(second, first)
		f.services[first].Prepare(t.Context(), one)
		f.services[first].Expect(time.Now(), key, one, time.Now().Add(window))
		time.Sleep(settledAge)
		prepareAndBegin(t, f.services[second], key, two)
		time.Sleep(settledAge)
		for _, service := range f.services {
			assertNotJoined(t, two, service, key)
		}
	})
}
