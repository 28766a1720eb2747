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

// TestStreamsNobodyCanDecideAboutLeaveOthers guards against streams that are refused since readings of the archive for others, of which nobody knows
// anything, bring nothing.
func TestStreamsNobodyCanDecideAboutLeaveOthers(t *testing.T) {
	const (
		tries = 3
		pause = 250 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		f := startFleetThatLostStreams(t, "1.0", "2.0")
		defer func() { f.close() }()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for range 600 {
				_, _ = findAmong(t, f.services[0], lateKey, "other")
				time.Sleep(pause)
			}
		}()
		wentOn := 0
		for key := range origin.Key(20) {
			time.Sleep(5 * time.Second)
			for range tries {
				if result, _ := find(t, f.services[0], key); result == onlyPossible(one) {
					wentOn++
					break
				}
				time.Sleep(pause)
			}
		}
		assert.Equal(t, 20, wentOn)
		<-ended
	})
}

// TestReadingsForExclusionAreFewInLargeFleet guards against a store that all instances of a large fleet read for streams that nobody can decide about.
func TestReadingsForExclusionAreFewInLargeFleet(t *testing.T) {
	const (
		span    = 30 * time.Second
		longest = 1600 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 32, 4, "1.0", "2.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		f.services[3].Prepare(t.Context(), one)
		time.Sleep(settledAge)
		before := f.network.store.Counts().Reads
		for began := time.Now(); time.Since(began) < span; time.Sleep(100 * time.Millisecond) {
			_, _ = find(t, f.services[0], lateKey)
		}
		assert.LessOrEqual(t, f.network.store.Counts().Reads-before, int(span/longest)+4)
	})
}
