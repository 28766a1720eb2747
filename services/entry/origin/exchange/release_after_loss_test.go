// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// TestStreamsOfOnlySoftwareGoOnIfAnotherComesAfterLossOfAll guards against streams that began while one software served, of which nobody was told,
// and that are refused since another one came after all instances were lost.
func TestStreamsOfOnlySoftwareGoOnIfAnotherComesAfterLossOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(2 * window)
		for key := range origin.Key(archivedStreams) {
			prepareAndBegin(t, f.services[int(key)%len(f.services)], key, one)
		}
		time.Sleep(settledAge)
		f.restartAll(t, "1.0")
		time.Sleep(settledAge)
		f.observe("1.0", "2.0")
		time.Sleep(settledAge)
		for key := range origin.Key(archivedStreams) {
			assertFound(t, onlyPossible(one), f.services[0], key)
		}
	})
}

// TestStreamsTakenUpOneAfterTheOtherGoOn guards against streams that are refused since they are taken up a moment after the reading of the archive
// that lets the first one go on, while the next reading seems to be too far off.
func TestStreamsTakenUpOneAfterTheOtherGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lossy = 40 * time.Millisecond
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(2 * window)
		for key := range origin.Key(archivedStreams) {
			prepareAndBegin(t, f.services[int(key)%len(f.services)], key, one)
		}
		time.Sleep(settledAge)
		f.restartAll(t, "1.0")
		time.Sleep(settledAge)
		for range 3 {
			// Each reading that brings nothing new puts off the next one.
			f.services[0].InterruptObservation()
			f.observe("1.0")
			time.Sleep(window)
		}
		f.observe("1.0", "2.0")
		time.Sleep(settledAge)
		begun := time.Now()
		f.network.lose(func(sent datagram) bool { return sent.to == f.instances[5].Address && time.Since(begun) < lossy })
		var waiting sync.WaitGroup
		for key := range origin.Key(archivedStreams) {
			waiting.Go(func() { assertFound(t, onlyPossible(one), f.services[0], key) })
			time.Sleep(latency)
		}
		waiting.Wait()
	})
}

// TestStreamTakenUpOnceIsKnownWhereItWentOn guards against streams that one instance takes up at the only software, and that are refused at another
// one since a further software came.
func TestStreamTakenUpOnceIsKnownWhereItWentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(2 * window)
		begin(f.services[0], 1, one)
		f.restart(t, 0, "1.0")
		time.Sleep(settledAge)
		assertFound(t, origin.Result{Verdict: origin.Unrestricted, Origin: one}, f.services[1], 1)
		begin(f.services[1], 1, one)
		f.observe("1.0", "2.0")
		time.Sleep(settledAge)
		assertFound(t, known(one), f.services[1], 1)
		assertFound(t, known(one), f.services[2], 1)
	})
}
