// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package work_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/work"
)

func TestInitialSpeed(t *testing.T) {
	var speed work.Speed
	assert.InDelta(t, 20000, speed.PerSecond(), 1e-9)
	assert.Equal(t, 500*time.Millisecond, speed.ReadTime(10000))
	assert.Zero(t, speed.ReadTime(0))
}

func TestSpeedFollowsObservations(t *testing.T) {
	var speed work.Speed
	for range 100 {
		speed.Record(4000, 100*time.Millisecond)
	}
	assert.InDelta(t, 40000, speed.PerSecond(), 2000)
	for range 1000 {
		speed.Record(1000, 100*time.Millisecond)
	}
	assert.InDelta(t, 10000, speed.PerSecond(), 1000, "the speed follows an endpoint that became slow")
}

func TestInvalidObservationsIgnored(t *testing.T) {
	var speed work.Speed
	speed.Record(0, time.Second)
	speed.Record(100, 0)
	speed.Record(-100, time.Second)
	speed.Record(100, -time.Second)
	assert.Equal(t, work.Speed{}, speed)
}

func TestEquivalentRequests(t *testing.T) {
	assert.InDelta(t, 4, work.EquivalentRequests(100*time.Millisecond), 1e-9)
	assert.Zero(t, work.EquivalentRequests(0))
}

// TestUrgencyBoundaries uses two ranks of five levels each: four levels of 0.2 s of slack, and a last level for late
// requests.
func TestUrgencyBoundaries(t *testing.T) {
	first, second := work.Rank{Position: 0, Total: 2}, work.Rank{Position: 1, Total: 2}
	for slack, level := range map[time.Duration]int{
		-time.Hour: 4, -1: 4, 0: 0, 200*time.Millisecond - 1: 0, 200 * time.Millisecond: 1, 600*time.Millisecond - 1: 2,
		600 * time.Millisecond: 3, time.Hour: 3,
	} {
		assert.Equal(t, level, first.Urgency(slack), "slack %s", slack)
		assert.Equal(t, level+5, second.Urgency(slack), "slack %s", slack)
	}
}

func TestRanksDoNotOverlap(t *testing.T) {
	for total := 1; total <= 12; total++ {
		for position := 1; position < total; position++ {
			late := work.Rank{Position: position - 1, Total: total}.Urgency(-1)
			urgent := work.Rank{Position: position, Total: total}.Urgency(0)
			assert.LessOrEqual(t, late, urgent, "rank %d of %d", position, total)
			assert.Less(t, work.Rank{Position: position, Total: total}.Urgency(-1), work.UrgencyLevels)
		}
	}
	assert.Equal(t, 9, work.Rank{}.Urgency(-1), "a service with unknown routes has one rank")
}
