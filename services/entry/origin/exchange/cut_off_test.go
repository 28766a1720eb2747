// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// cutTest cuts instances off from the others, and perhaps from the store, just before a software comes.
type cutTest struct {
	// cut are the instances that are cut off together, withoutStore is set if they do not reach the store either.
	cut          []int
	withoutStore bool
	// loses reports whether what is sent across the cut is lost, by whether it is sent from the inside.
	loses func(fromInside bool) bool
}

// bothWays loses everything that is sent across a cut.
func bothWays(bool) bool { return true }

// apply cuts the instances off.
func (c cutTest) apply(f *fleet) {
	inside := func(sent datagram) (from, to bool) {
		for _, i := range c.cut {
			from = from || sent.from == f.instances[i].Address
			to = to || sent.to == f.instances[i].Address
		}
		return from, to
	}
	f.network.lose(func(sent datagram) bool {
		from, to := inside(sent)
		return from != to && c.loses(from)
	})
	for _, i := range c.cut {
		if c.withoutStore {
			f.network.cutFromStore(f.instances[i].Address)
		}
	}
}

// run lets the others begin streams at a software of which the instances behind the cut see nothing, and take them up there.
func (c cutTest) run(t *testing.T) {
	const streams = 12
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0")
		defer func() { f.close() }()
		time.Sleep(2 * window)
		c.apply(f)
		for i, service := range f.services {
			if !slices.Contains(c.cut, i) {
				service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
			}
		}
		for key := range origin.Key(streams) {
			prepareAndBegin(t, f.services[3], key, two)
		}
		for _, after := range []time.Duration{0, 100 * time.Millisecond, time.Second, 5 * time.Second} {
			time.Sleep(after)
			for key := range origin.Key(streams) {
				assertNotJoined(t, two, f.services[c.cut[int(key)%len(c.cut)]], key)
			}
		}
	})
}

// TestStreamIsNotJoinedBehindCut guards against a stream that goes on at the only software that an instance knows, since it is cut off from the
// others while another software comes and has not noticed yet.
func TestStreamIsNotJoinedBehindCut(t *testing.T) {
	for name, test := range map[string]cutTest{
		"one":                             {cut: []int{0}, loses: bothWays},
		"one, without the store":          {cut: []int{0}, loses: bothWays, withoutStore: true},
		"two of a hall":                   {cut: []int{0, 5}, loses: bothWays},
		"two, without the store":          {cut: []int{0, 5}, loses: bothWays, withoutStore: true},
		"one that is heard":               {cut: []int{0}, loses: func(fromInside bool) bool { return !fromInside }},
		"one that hears":                  {cut: []int{0}, loses: func(fromInside bool) bool { return fromInside }},
		"one that hears, without store":   {cut: []int{0}, loses: func(fromInside bool) bool { return fromInside }, withoutStore: true},
		"one that is heard, without it":   {cut: []int{0}, loses: func(fromInside bool) bool { return !fromInside }, withoutStore: true},
		"nobody, but without the store":   {cut: []int{0}, loses: func(bool) bool { return false }, withoutStore: true},
		"nobody, with the store, a lag":   {cut: []int{0}, loses: func(bool) bool { return false }},
		"half of them":                    {cut: []int{0, 1, 5}, loses: bothWays},
		"half of them, without the store": {cut: []int{0, 1, 5}, loses: bothWays, withoutStore: true},
	} {
		t.Run(name, test.run)
	}
}

// TestStreamOfOnlySoftwareGoesOnBesideLostInstance guards against streams that are refused although they can hold one software only: an instance
// is lost and the others go on, also while the store is down.
func TestStreamOfOnlySoftwareGoesOnBesideLostInstance(t *testing.T) {
	for name, storeError := range map[string]error{"with the store": nil, "without the store": errDown} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, 6, 3, "1.0")
				time.Sleep(2 * window)
				f.network.store.Fail(storeError)
				f.services[5].Close()
				defer func() {
					for _, service := range f.services[:5] {
						service.Close()
					}
				}()
				for key := range origin.Key(60) {
					result, took := find(t, f.services[int(key)%5], key)
					assert.Equal(t, origin.Result{Verdict: origin.Unrestricted, Origin: one}, result, "key %d", key)
					assert.LessOrEqual(t, took, time.Second)
				}
			})
		})
	}
}

// TestStreamOfSoftwareThatComesBackBehindCutIsNotJoined guards against a stream of a software that left a while ago and comes back while an instance
// is cut off: that its use is stated shows nothing new.
func TestStreamOfSoftwareThatComesBackBehindCutIsNotJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer func() { f.close() }()
		time.Sleep(settling)
		f.services[3].Prepare(t.Context(), one)
		f.observe("2.0")
		time.Sleep(2 * window)
		cutTest{cut: []int{0}, loses: bothWays}.apply(f)
		for _, service := range f.services[1:] {
			service.ObserveEndpoints(time.Now(), chat("1.0", "2.0"))
		}
		prepareAndBegin(t, f.services[3], lateKey, one)
		time.Sleep(settledAge)
		assertNotJoined(t, one, f.services[0], lateKey)
	})
}
