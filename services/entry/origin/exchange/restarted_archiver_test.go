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

// TestStreamsBegunWhileAnInstanceWasDownOutliveAllInstances guards against streams that the one that writes them never hears of, since it was
// down when they were told and is back under its address.
func TestStreamsBegunWhileAnInstanceWasDownOutliveAllInstances(t *testing.T) {
	for down := range 6 {
		synctest.Test(t, func(t *testing.T) {
			f := startFleetWhereOneIsDown(t, down)
			defer func() { f.close() }()
			f.services[down] = startInstance(t, f.network, f.instances[down], f.instances)
			f.services[down].ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
			time.Sleep(2 * time.Second)
			f.restartAll(t, "1.0", "2.0")
			assert.Equal(t, 20, f.countOfOne(t, 20), "instance %d was down", down)
		})
	}
}

// TestStreamsOfInstancesThatArchiverLearnsOfOneByOneOutliveAllInstances guards against an instance that writes, is back, and asks for what it has missed
// while it knows itself alone, as one that plans does.
func TestStreamsOfInstancesThatArchiverLearnsOfOneByOneOutliveAllInstances(t *testing.T) {
	for down := range 6 {
		synctest.Test(t, func(t *testing.T) {
			f := startFleetWhereOneIsDown(t, down)
			defer func() { f.close() }()
			f.services[down] = startInstance(t, f.network, f.instances[down], f.instances[down:down+1])
			f.services[down].ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
			seen := []origin.Instance{f.instances[down]}
			for i := range 5 {
				time.Sleep(50 * time.Millisecond)
				seen = append(seen, f.instances[(down+1+i)%6])
				f.services[down].SetInstances(seen)
			}
			time.Sleep(settledAge)
			f.restartAll(t, "1.0", "2.0")
			assert.Equal(t, 20, f.countOfOne(t, 20), "instance %d was down", down)
		})
	}
}

// TestStreamsThatOthersHoldOfLostInstanceOutliveAllInstances guards against streams that are not written before the instance that began them and the
// one that writes them are lost together: the latter is back, and others know the streams.
func TestStreamsThatOthersHoldOfLostInstanceOutliveAllInstances(t *testing.T) {
	for down := range 6 {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, 6, 3, "1.0", "2.0")
			defer func() { f.close() }()
			time.Sleep(settling)
			lost := (down + 1) % 6
			// The next batch is due some time after this one.
			begin(f.services[lost], 100, one)
			time.Sleep(2 * latency)
			for key := range origin.Key(7) {
				begin(f.services[lost], key, one)
			}
			time.Sleep(2 * latency)
			f.restart(t, lost, "1.0", "2.0")
			f.restart(t, down, "1.0", "2.0")
			time.Sleep(settledAge)
			f.restartAll(t, "1.0", "2.0")
			assert.Equal(t, 7, f.countOfOne(t, 7), "instance %d was down", down)
		})
	}
}

// startFleetWhereOneIsDown starts a fleet of which one instance is closed, and lets another one begin 20 streams after that.
func startFleetWhereOneIsDown(t *testing.T, down int) *fleet {
	t.Helper()
	f := startFleet(t, 6, 3, "1.0", "2.0")
	time.Sleep(settling)
	f.services[down].Close()
	for key := range origin.Key(20) {
		begin(f.services[(down+1)%6], key, one)
		time.Sleep(50 * time.Millisecond)
	}
	return f
}

// countOfOne returns how many streams of the software one are known.
func (f *fleet) countOfOne(t *testing.T, streams origin.Key) int {
	t.Helper()
	count := 0
	for key := range streams {
		if result, _ := find(t, f.services[0], key); result == known(one) {
			count++
		}
	}
	return count
}
