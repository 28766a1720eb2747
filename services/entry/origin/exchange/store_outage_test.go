// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// TestStreamThatAnySurvivorKnowsGoesOnDuringStoreOutage guards against streams that are refused during an outage of the store, since the instance
// that knows them holds them for the hall of a lost one and is not asked.
func TestStreamThatAnySurvivorKnowsGoesOnDuringStoreOutage(t *testing.T) {
	const count, lost = 6, 4
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, count, 3, "1.0", "2.0")
		time.Sleep(settling)
		f.network.store.Fail(errDown)
		f.beginAll(archivedStreams)
		time.Sleep(settledAge)
		for _, service := range f.services[:lost] {
			service.Close()
		}
		defer func() {
			for _, service := range f.services[lost:] {
				service.Close()
			}
		}()
		for key := range origin.Key(archivedStreams) {
			began, software := int(key)%count, one
			if key%3 == 0 {
				software = two
			}
			if f.knows(lost, began, key) || f.knows(lost+1, began, key) {
				assertFound(t, known(software), f.services[lost], key)
				assertFound(t, known(software), f.services[lost+1], key)
			}
		}
	})
}

// TestStreamsBegunDuringStoreOutageAreKnownToAllSurvivors guards against streams that are refused since the few that were told of them are lost, and
// the store has not taken them.
func TestStreamsBegunDuringStoreOutageAreKnownToAllSurvivors(t *testing.T) {
	const count, lost = 6, 4
	for first := range count {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, count, 3, "1.0", "2.0")
			time.Sleep(settling)
			f.network.store.Fail(errDown)
			f.beginAll(archivedStreams)
			time.Sleep(settledAge)
			for i := range lost {
				f.services[(first+i)%count].Close()
			}
			for i := lost; i < count; i++ {
				f.assertAllKnown(t, (first+i)%count, archivedStreams)
				defer f.services[(first+i)%count].Close()
			}
		})
	}
}

// TestStreamsBegunDuringStoreOutageOutliveAllInstances guards against streams of two softwares that are refused, since all instances were lost before
// the store was back.
func TestStreamsBegunDuringStoreOutageOutliveAllInstances(t *testing.T) {
	const leastStreams = archivedStreams * 97 / 100
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		f.network.store.Fail(errDown)
		f.beginAll(archivedStreams)
		time.Sleep(settledAge)
		f.restartAll(t, "1.0", "2.0")
		f.network.store.Fail(nil)
		time.Sleep(settling)
		assert.GreaterOrEqual(t, f.countKnown(t, 0, archivedStreams), leastStreams, "of %d", archivedStreams)
	})
}
