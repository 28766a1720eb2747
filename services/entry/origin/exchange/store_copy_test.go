// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// TestArchiveIsWrittenAgainAfterStoreCameBackFromCopy guards against an archive whose keys are those of a copy while its leases still last.
func TestArchiveIsWrittenAgainAfterStoreCameBackFromCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		former := f.network.store.Copy()
		f.observe("1.0", "2.0")
		time.Sleep(settling)
		f.beginAll(archivedStreams)
		time.Sleep(settling)
		f.network.store.Return(former)
		time.Sleep(20 * time.Second)
		f.restartAll(t, "1.0")
		for key := range origin.Key(archivedStreams) {
			began := one
			if key%3 == 0 {
				began = two
			}
			assertNotJoined(t, began, f.services[0], key)
		}
	})
}

// TestStreamsAreWrittenAgainAfterStoreCameBackFromCopy guards against streams that are refused since the store came back from a copy.
func TestStreamsAreWrittenAgainAfterStoreCameBackFromCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		begin(f.services[0], 9999, one)
		time.Sleep(settling)
		former := f.network.store.Copy()
		f.beginAll(archivedStreams)
		time.Sleep(settling)
		f.network.store.Return(former)
		time.Sleep(20 * time.Second)
		f.restartAll(t, "1.0", "2.0")
		f.assertAllKnown(t, 0, archivedStreams)
	})
}
