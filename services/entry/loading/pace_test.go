// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/loading"
)

const (
	// The store of this test brings 32 adapters at once in 250 ms each, and more in proportionally longer.
	storeTime   = 250 * time.Millisecond
	storeAtOnce = 32
	storeStep   = time.Millisecond
	// lookAgain is the pause between two looks at a load, callTime the longest that one takes.
	lookAgain = 12 * time.Millisecond
	callTime  = 60 * time.Millisecond
)

// storeLoad is a load under way.
type storeLoad struct {
	begun, wanted, looked time.Time
	left                  time.Duration
	// loadingAt is when it was last asked about and went on.
	loadingAt time.Time
}

// loadStore plays a weight store whose loads begin as a pace allows it.
type loadStore struct {
	pace    *loading.Pace
	random  *rand.Rand
	queue   []time.Time
	running []storeLoad
	// took and waited are, of each load that was seen to have ended, from its begin and from when it was wanted.
	took, waited []time.Duration
}

// call is how long a call to an endpoint takes, mostly little.
func (s *loadStore) call() time.Duration {
	part := s.random.Float64()
	return time.Duration(part * part * part * float64(callTime))
}

// step goes on by storeStep.
func (s *loadStore) step(now time.Time) {
	for len(s.queue) > 0 && len(s.running) < s.pace.Concurrency() {
		s.running = append(s.running, storeLoad{begun: now, wanted: s.queue[0], looked: now.Add(s.pace.FirstLook() + s.call()), left: storeTime})
		s.queue = s.queue[1:]
	}
	progress := storeStep * storeAtOnce / time.Duration(max(storeAtOnce, len(s.running)))
	var still []storeLoad
	ran := len(s.running)
	for _, load := range s.running {
		load.left -= progress
		if now.Before(load.looked) {
			still = append(still, load)
			continue
		}
		if load.left > 0 {
			load.loadingAt, load.looked = now, now.Add(lookAgain+s.call())
			still = append(still, load)
			continue
		}
		s.took = append(s.took, now.Sub(load.begun))
		s.waited = append(s.waited, now.Sub(load.wanted))
		if !load.loadingAt.IsZero() {
			s.pace.NoteBeside(now, now.Sub(load.begun), load.loadingAt.Sub(load.begun), ran)
		} else {
			s.pace.NoteQuick(now, now.Sub(load.begun))
		}
	}
	s.running = still
}

// play has loads wanted at a rate for a time.
func (s *loadStore) play(from time.Time, span time.Duration, perSecond int) time.Time {
	wanted := 0
	for passed := time.Duration(0); passed < span; passed += storeStep {
		for ; wanted < int(passed.Seconds()*float64(perSecond)); wanted++ {
			s.queue = append(s.queue, from.Add(passed))
		}
		s.step(from.Add(passed))
	}
	return from.Add(span)
}

func mean(spans []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, span := range spans {
		sum += span
	}
	return sum / time.Duration(max(1, len(spans)))
}

// TestLoadsAfterARushAreSeenAsTheyEnd plays a rush of 200 wanted loads a second for 3 s, more than the store brings, and then short crowds of
// 120 a second between quieter spans of 50. While the shortest load time grew with each load, the rush taught that loads take long: as many
// might run at once as made each other slower, and later each was first asked about after it had ended. From its begin until it was seen to
// have ended a load took 656 ms in the rush and 319 ms after it; with a time that grows by the clock, 382 and 268 ms.
func TestLoadsAfterARushAreSeenAsTheyEnd(t *testing.T) {
	s := &loadStore{pace: loading.NewPace(), random: rand.New(rand.NewPCG(1, 1))}
	now := s.play(start, 3*time.Second, 200)
	rush := mean(s.took)
	now = s.play(now, 4*time.Second, 50)
	s.took, s.waited = nil, nil
	for range 6 {
		now = s.play(now, 400*time.Millisecond, 120)
		now = s.play(now, 600*time.Millisecond, 50)
	}
	t.Logf("in the rush %s, after it %s, from when it was wanted %s, %d at once", rush, mean(s.took), mean(s.waited), s.pace.Concurrency())
	assert.Less(t, rush, 400*time.Millisecond)
	assert.Less(t, mean(s.took), 290*time.Millisecond)
	assert.Less(t, mean(s.waited), 290*time.Millisecond)
	assert.Less(t, s.pace.Concurrency(), 2*storeAtOnce)
}
