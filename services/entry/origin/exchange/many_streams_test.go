// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

//go:build !race

package exchange_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// TestFleetWithMoreStreamsThanATableGoesOn guards against an archive that holds more streams than an instance remembers.
func TestFleetWithMoreStreamsThanATableGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		const streams = 80_000
		until := time.Now().Add(5 * time.Minute)
		for key := range origin.Key(streams) {
			f.services[int(key)%len(f.services)].Begin(time.Now(), key, one, until)
			time.Sleep(latency)
		}
		time.Sleep(settledAge)
		f.restartAll(t, "1.0", "2.0")
		time.Sleep(settling)
		goesOn := 0
		for key := range origin.Key(streams) {
			if key%100 == 0 {
				if result, _ := find(t, f.services[0], key); result == known(one) {
					goesOn++
				}
			}
		}
		assert.GreaterOrEqual(t, goesOn, streams/100/2)
	})
}
