// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tools/soak/plan"
)

var options = plan.Options{Span: 5 * time.Minute, Instances: 4, Endpoints: 6}

func TestDrawIsDeterministic(t *testing.T) {
	assert.Equal(t, plan.Draw(7, options), plan.Draw(7, options))
	assert.NotEqual(t, plan.Draw(7, options), plan.Draw(8, options))
}

func TestDrawKeepsBounds(t *testing.T) {
	steps := plan.Draw(7, options)
	require.NotEmpty(t, steps)
	assert.True(t, slices.IsSortedFunc(steps, func(a, b plan.Step) int { return int(a.At - b.At) }))
	for _, step := range steps {
		assert.GreaterOrEqual(t, step.At, 3*time.Second, "callers start before the first step")
		assert.Less(t, step.At, options.Span, "the run goes on after the last step")
		assert.Less(t, step.Target, options.Endpoints)
		assert.Contains(t, plan.Kinds(), step.Kind)
	}
}

func TestDrawUsesOnlyAllowedKinds(t *testing.T) {
	only := options
	only.Only = []plan.Kind{plan.Hangup, plan.SetIdle}
	drawn := make(map[plan.Kind]bool)
	for _, step := range plan.Draw(7, only) {
		drawn[step.Kind] = true
	}
	assert.Equal(t, map[plan.Kind]bool{plan.Hangup: true, plan.SetIdle: true}, drawn)
	only.Only = []plan.Kind{"no such kind"}
	assert.Empty(t, plan.Draw(7, only))
}

func TestLongPlanContainsEachKind(t *testing.T) {
	long := options
	long.Span = time.Hour
	drawn := make(map[plan.Kind]bool)
	for _, step := range plan.Draw(7, long) {
		drawn[step.Kind] = true
	}
	for _, kind := range plan.Kinds() {
		assert.True(t, drawn[kind], kind)
	}
}

func TestHerdKillsLeaveOtherStepsAsTheyAre(t *testing.T) {
	herd := options
	herd.Herds, herd.HerdShare, herd.Halls = plan.Herds(), 0.6, 3
	assert.Equal(t, plan.Draw(7, options), plan.Draw(7, herd))
	assert.Equal(t, plan.DrawReleases(7, options), plan.DrawReleases(7, herd))
	assert.Equal(t, plan.DrawHerd(7, herd), plan.DrawHerd(7, herd))
	assert.Empty(t, plan.DrawHerd(7, options))
}

func TestHerdKillsKillWhatWasChosen(t *testing.T) {
	herd := options
	herd.Instances, herd.HerdShare, herd.Halls = 8, 0.6, 3
	for choice, expected := range map[plan.Herd][][]int{
		plan.HerdAll: {{0, 1, 2, 3, 4, 5, 6, 7}}, plan.HerdHall: {{0, 3, 6}, {1, 4, 7}, {2, 5}}, plan.HerdMost: nil,
	} {
		herd.Herds = []plan.Herd{choice}
		seen := make(map[string]bool)
		pairs, before := 0, time.Duration(0)
		for _, step := range plan.DrawHerd(7, herd) {
			if step.Kind != plan.HerdKill {
				assert.Equal(t, plan.SoftwareLeaves, step.Kind)
				continue
			}
			if before > 0 && step.At-before <= 3*time.Second {
				pairs++
			}
			before = step.At
			seen[fmt.Sprint(step.Targets)] = true
			if expected == nil {
				assert.Len(t, step.Targets, 5, "0.6 of 8, rounded up")
				continue
			}
			assert.Contains(t, expected, step.Targets)
		}
		assert.Positive(t, pairs, "some kills follow within 3 s")
		if expected != nil {
			assert.Len(t, seen, len(expected))
		}
	}
}
