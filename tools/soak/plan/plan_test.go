// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package plan_test

import (
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
