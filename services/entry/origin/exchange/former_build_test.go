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

// replaceByFormerBuild replaces an instance by one of a former build, at the same address.
func (f *fleet) replaceByFormerBuild(t *testing.T, i int) {
	t.Helper()
	f.services[i].Close()
	f.services[i] = startWithoutArchive(t, f.network, f.instances[i], f.instances)
	f.services[i].ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
}

// TestStreamOfInstanceOfFormerBuildThatLeftIsNotJoined guards against streams of an instance that stated no use and is no longer in the list.
func TestStreamOfInstanceOfFormerBuildThatLeftIsNotJoined(t *testing.T) {
	testLostStream(t, func(t *testing.T, f *fleet) {
		f.replaceByFormerBuild(t, 3)
		time.Sleep(settling)
		f.services[3].Prepare(t.Context(), two)
	}, func(*testing.T, *fleet) {
		time.Sleep(settledAge)
	})
}

// TestStreamOfFormerBuildBetweenOthersIsNotJoined guards against streams of a former build at an address where an instance of this build stated its
// uses before, and one may serve afterwards.
func TestStreamOfFormerBuildBetweenOthersIsNotJoined(t *testing.T) {
	for name, lose := range map[string]func(t *testing.T, f *fleet){
		"it alone": func(t *testing.T, f *fleet) { f.restart(t, 3, "1.0", "2.0") },
		"who asks as well": func(t *testing.T, f *fleet) {
			f.restart(t, 0, "1.0", "2.0")
			f.restart(t, 3, "1.0", "2.0")
		},
		"it is still listed": func(_ *testing.T, f *fleet) { f.services[3].Close(); f.services[3] = f.services[0] },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleetThatLostStreams(t, "1.0", "2.0")
				defer func() { f.closeOnce() }()
				f.services[3].Prepare(t.Context(), one)
				f.replaceByFormerBuild(t, 3)
				time.Sleep(settling)
				f.network.lose(func(datagram) bool { return true })
				begin(f.services[3], lateKey, two)
				f.network.lose(nil)
				lose(t, f)
				for range 3 {
					time.Sleep(settling)
					for _, service := range f.services {
						assertNotJoined(t, two, service, lateKey)
					}
				}
			})
		})
	}
}

// TestUsesAreReliedOnAgainSomeTimeAfterFormerBuildLeft guards against streams that are refused since an instance of a former build served long ago.
func TestUsesAreReliedOnAgainSomeTimeAfterFormerBuildLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		f.replaceByFormerBuild(t, 3)
		time.Sleep(settling)
		f.restart(t, 3, "1.0", "2.0")
		f.observe("1.0")
		time.Sleep(2*origin.MaxLifetime + settling)
		f.restartAll(t, "1.0", "2.0")
		time.Sleep(settledAge)
		assertFound(t, onlyPossible(one), f.services[0], 1)
	})
}

// TestInstanceThatForgotStreamsIsOfNoFormerBuild guards against streams that are refused since an instance with many streams was lost.
func TestInstanceThatForgotStreamsIsOfNoFormerBuild(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleetThatLostStreams(t, "1.0", "2.0")
		defer func() { f.close() }()
		for key := range origin.Key(maxRecords) + 1 {
			begin(f.services[3], 10*lateKey+key, two)
		}
		time.Sleep(settling)
		f.services[3].Close()
		f.removeFromList(3)
		time.Sleep(settledAge)
		assertFound(t, onlyPossible(one), f.services[0], 1)
	})
}

// TestBuildsAreCheckedOnlyBesideSeveralSoftwares guards against questions that instances ask while one software serves, and bounds those beside two.
func TestBuildsAreCheckedOnlyBesideSeveralSoftwares(t *testing.T) {
	const count, checking, checkInterval = 32, 3, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, count, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		f.network.takeSent()
		time.Sleep(window)
		assert.Empty(t, f.network.takeSent())
		f.observe("1.0", "2.0")
		time.Sleep(settling)
		f.network.takeSent()
		time.Sleep(window)
		sent := f.takeCost()
		t.Logf("%d datagrams, %d bytes in %v", sent.datagrams, sent.bytes, window)
		assert.LessOrEqual(t, sent.datagrams, int(window/checkInterval+1)*checking*2*(count-1))
	})
}

// TestInstanceThatNeverAnswersProvesNothing guards against streams of an instance that is silent and states no uses.
func TestInstanceThatNeverAnswersProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleetThatLostStreams(t, "1.0", "2.0")
		assertFound(t, onlyPossible(one), f.services[0], 1)
		f.services[5].Close()
		f.services = f.services[:5]
		for _, service := range f.services {
			assertFound(t, unknown, service, 1)
		}
		f.close()
	})
}
