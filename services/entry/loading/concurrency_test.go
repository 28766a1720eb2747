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
	// The simulated store serves 32 loads in parallel in 250 ms each; with more loads, each takes proportionally
	// longer.
	storeTime          = 250 * time.Millisecond
	storeParallelLoads = 32
	storeStep          = time.Millisecond
	// storePollInterval is the pause between two polls of a load; maxCallTime is the longest duration of a call.
	storePollInterval = 12 * time.Millisecond
	maxCallTime       = 60 * time.Millisecond
)

// simulatedLoad is a load in progress.
type simulatedLoad struct {
	startedAt, requestedAt, nextPollAt time.Time
	remaining                          time.Duration
	// lastSeenLoadingAt is when the last poll found the load still running.
	lastSeenLoadingAt time.Time
}

// simulatedStore simulates a weight store whose loads start as the concurrency limit allows.
type simulatedStore struct {
	limiter *loading.LoadLimiter
	random  *rand.Rand
	queue   []time.Time
	running []simulatedLoad
	// For each load whose end was observed, took is the time since its start and waited is the time since it was
	// requested.
	took, waited []time.Duration
}

// callDuration returns the duration of a call to an endpoint, which is usually short.
func (s *simulatedStore) callDuration() time.Duration {
	part := s.random.Float64()
	return time.Duration(part * part * part * float64(maxCallTime))
}

// step advances the simulation by storeStep.
func (s *simulatedStore) step(now time.Time) {
	for len(s.queue) > 0 && len(s.running) < s.limiter.MaxLoads() {
		s.running = append(s.running, simulatedLoad{startedAt: now, requestedAt: s.queue[0], nextPollAt: now.Add(s.limiter.FirstPollDelay() + s.callDuration()), remaining: storeTime})
		s.queue = s.queue[1:]
	}
	progress := storeStep * storeParallelLoads / time.Duration(max(storeParallelLoads, len(s.running)))
	var still []simulatedLoad
	ran := len(s.running)
	for _, load := range s.running {
		load.remaining -= progress
		if now.Before(load.nextPollAt) {
			still = append(still, load)
			continue
		}
		if load.remaining > 0 {
			load.lastSeenLoadingAt, load.nextPollAt = now, now.Add(storePollInterval+s.callDuration())
			still = append(still, load)
			continue
		}
		s.took = append(s.took, now.Sub(load.startedAt))
		s.waited = append(s.waited, now.Sub(load.requestedAt))
		if !load.lastSeenLoadingAt.IsZero() {
			s.limiter.RecordParallel(now, now.Sub(load.startedAt), load.lastSeenLoadingAt.Sub(load.startedAt), ran)
		} else {
			s.limiter.RecordEarlyEnd(now, now.Sub(load.startedAt))
		}
	}
	s.running = still
}

// run requests loads at a constant rate for the given time span and returns its end.
func (s *simulatedStore) run(from time.Time, span time.Duration, perSecond int) time.Time {
	requested := 0
	for passed := time.Duration(0); passed < span; passed += storeStep {
		for ; requested < int(passed.Seconds()*float64(perSecond)); requested++ {
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

// TestLoadEndsDetectedPromptlyAfterOverload requests 200 loads a second for 3 s, more than the store serves, and then
// short bursts of 120 a second between spans of 50. When the shortest load time grew with each load, it grew too long
// during the overload: too many loads ran in parallel, and later each load was first polled after it had ended. The
// mean time from the start of a load until its end was observed was 656 ms during the overload and 319 ms after it;
// with a shortest time that grows with the clock, it is 382 and 268 ms.
func TestLoadEndsDetectedPromptlyAfterOverload(t *testing.T) {
	s := &simulatedStore{limiter: loading.NewLoadLimiter(), random: rand.New(rand.NewPCG(1, 1))}
	now := s.run(start, 3*time.Second, 200)
	overload := mean(s.took)
	now = s.run(now, 4*time.Second, 50)
	s.took, s.waited = nil, nil
	for range 6 {
		now = s.run(now, 400*time.Millisecond, 120)
		now = s.run(now, 600*time.Millisecond, 50)
	}
	t.Logf("load time during the overload %s, after it %s, since the request %s, limit %d", overload, mean(s.took), mean(s.waited), s.limiter.MaxLoads())
	assert.Less(t, overload, 400*time.Millisecond)
	assert.Less(t, mean(s.took), 290*time.Millisecond)
	assert.Less(t, mean(s.waited), 290*time.Millisecond)
	assert.Less(t, s.limiter.MaxLoads(), 2*storeParallelLoads)
}
