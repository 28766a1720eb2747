// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestArchiveIsReadAgainBeforeItProvesAnythingAfterInterruption guards against a software that came and left while an instance observed nothing,
// and that the archive would tell of.
func TestArchiveIsReadAgainBeforeItProvesAnythingAfterInterruption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		cut := []int{0, 3}
		for _, i := range cut {
			f.services[i].InterruptObservation()
		}
		outside := []int{1, 2, 4, 5}
		for _, i := range outside {
			f.services[i].ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		}
		key := f.keyNotToldTo(1, cut...)
		begin(f.services[1], key, two)
		for _, i := range outside {
			f.services[i].ObserveEndpoints(time.Now(), chat("1.0"))
		}
		time.Sleep(settling)
		for _, i := range outside {
			f.services[i].Close()
		}
		f.network.store.Fail(errDown)
		for _, i := range cut {
			f.services[i].ObserveEndpoints(time.Now(), chat("1.0"))
		}
		assertNotJoined(t, two, f.services[0], key)
		f.network.store.Fail(nil)
		for _, i := range outside {
			f.services[i] = startInstance(t, f.network, f.instances[i], f.instances)
		}
	})
}

// TestSoftwareBetweenReadingAndFirstObservationIsNotMissed guards against a software that came and left after new instances read the archive and
// before they observed the endpoints.
func TestSoftwareBetweenReadingAndFirstObservationIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		late, others := []int{0, 3}, []int{1, 2, 4, 5}
		for _, i := range late {
			f.services[i].Close()
			f.services[i] = startInstance(t, f.network, f.instances[i], f.instances)
		}
		time.Sleep(settledAge)
		for _, i := range others {
			f.services[i].ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		}
		key := f.keyNotToldTo(1, late...)
		begin(f.services[1], key, two)
		for _, i := range others {
			f.services[i].ObserveEndpoints(time.Now(), chat("1.0"))
		}
		time.Sleep(settling)
		for _, i := range others {
			f.services[i].Close()
		}
		for _, i := range late {
			f.services[i].ObserveEndpoints(time.Now(), chat("1.0"))
		}
		assertNotJoined(t, two, f.services[0], key)
		for _, i := range others {
			f.services[i] = startInstance(t, f.network, f.instances[i], f.instances)
		}
	})
}
