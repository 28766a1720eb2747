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

func TestLostHolderCostsAtMostTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer f.close()
		for key := range origin.Key(50) {
			begin(f.services[0], key, one)
		}
		time.Sleep(settling)
		for i, instance := range f.instances {
			f.network.lose(func(sent datagram) bool { return sent.to == instance.Address })
			for key := range origin.Key(50) {
				result, took := find(t, f.services[(i+1)%6], key)
				assert.Equal(t, known(one), result)
				assert.LessOrEqual(t, took, resendInterval, "one answer is enough once the others had time")
			}
			_, took := find(t, f.services[(i+1)%6], 99)
			assert.LessOrEqual(t, took, askTimeout)
		}
	})
}

func TestUnreachableInstancesCostTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer f.close()
		f.network.lose(func(datagram) bool { return true })
		result, took := find(t, f.services[0], 1)
		assert.Equal(t, unknown, result)
		assert.Equal(t, askTimeout, took)
	})
}

func TestLostQuestionIsRepeatedToThoseThatAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3, 3, "1.0", "2.0")
		defer f.close()
		time.Sleep(settling)
		lostOnce := false
		f.network.lose(func(sent datagram) bool {
			lost := !lostOnce && sent.to == f.instances[1].Address
			lostOnce = lostOnce || lost
			return lost
		})
		result, took := find(t, f.services[0], 1)
		assert.Equal(t, unknown, result)
		assert.Equal(t, resendInterval+2*latency, took)
		assert.Equal(t, uint64(3), f.services[0].Counters().Asked, "two instances, and one of them again")
	})
}

func TestAllQuestionsLostOnceAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 6, 3, "1.0", "2.0")
		defer f.close()
		begin(f.services[0], 1, two)
		time.Sleep(settling)
		began := time.Now()
		f.network.lose(func(datagram) bool { return time.Since(began) < resendInterval })
		asking := slices.IndexFunc(f.instances, func(instance origin.Instance) bool {
			return !f.knows(slices.Index(f.instances, instance), 0, 1)
		})
		result, took := find(t, f.services[asking], 1)
		assert.Equal(t, known(two), result)
		assert.Equal(t, resendInterval+2*latency, took)
	})
}

func TestThirdOfDatagramsLostLeavesStreamsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12, 4, "1.0", "2.0")
		defer f.close()
		count := 0
		f.network.lose(func(datagram) bool {
			count++
			return count%3 == 0
		})
		const streams = 300
		for key := range origin.Key(streams) {
			begin(f.services[key%12], key, one)
			time.Sleep(latency)
		}
		time.Sleep(settling)
		found := 0
		for key := range origin.Key(streams) {
			result, took := find(t, f.services[(key+5)%12], key)
			assert.LessOrEqual(t, took, askTimeout)
			assert.Contains(t, []origin.Result{known(one), unknown}, result)
			if result == known(one) {
				found++
			}
		}
		t.Logf("%d of %d streams were known", found, streams)
		assert.Greater(t, found, streams*9/10)
	})
}
