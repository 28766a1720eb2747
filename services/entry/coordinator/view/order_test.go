// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package view_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/view"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// TestOrderOfViewsFromPlannerAndGatherer guards against applying a view while an earlier one is missing. That would acknowledge
// withdrawals that the instance does not comply with, and a copy that it continues to use could be unloaded.
func TestOrderOfViewsFromPlannerAndGatherer(t *testing.T) {
	known := view.PlannerState{Planner: "p", Term: 4, Sequence: 10}
	for name, test := range map[string]struct {
		state view.PlannerState
		view  wire.View
		order view.Order
	}{
		"next view":                         {known, wire.View{Planner: "p", Term: 4, Sequence: 11}, view.InOrder},
		"last view again":                   {known, wire.View{Planner: "p", Term: 4, Sequence: 10}, view.Duplicate},
		"earlier view":                      {known, wire.View{Planner: "p", Term: 4, Sequence: 3}, view.Duplicate},
		"view after a gap":                  {known, wire.View{Planner: "p", Term: 4, Sequence: 12}, view.Gap},
		"next number, other term":           {known, wire.View{Planner: "p", Term: 5, Sequence: 11}, view.Gap},
		"next number, other planner":        {known, wire.View{Planner: "q", Term: 4, Sequence: 11}, view.Gap},
		"first view without a snapshot":     {view.PlannerState{Planner: "p", Term: 4}, wire.View{Planner: "p", Term: 4, Sequence: 1}, view.Gap},
		"snapshot":                          {known, wire.View{Planner: "p", Term: 4, Sequence: 20, IsSnapshot: true}, view.InOrder},
		"earlier snapshot":                  {known, wire.View{Planner: "p", Term: 4, Sequence: 2, IsSnapshot: true}, view.InOrder},
		"snapshot of another planner":       {known, wire.View{Planner: "q", Term: 5, Sequence: 1, IsSnapshot: true}, view.InOrder},
		"view of a version without numbers": {known, wire.View{Planner: "p", Term: 4}, view.InOrder},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.order, test.state.Order(&test.view)) })
	}
}

func TestBareViewChangesOnlyDelayBound(t *testing.T) {
	var state view.PlannerState
	state.LinkOpened(start)
	first := viewWithTermAge(4, time.Minute)
	first.Sequence, first.IsSnapshot, first.Withdrawals = 3, true, 9
	state.Apply(start.Add(time.Second), first)
	probe, ok := state.NextProbe(start.Add(time.Second))
	assert.True(t, ok, "the bound is loose")
	before := state
	bare := viewWithTermAge(4, time.Minute+10*time.Millisecond)
	bare.Bare, bare.Probe = true, probe
	now := start.Add(1020 * time.Millisecond)
	state.ApplyBare(now, bare)
	assert.Equal(t, before.ReceivedAt, state.ReceivedAt)
	assert.Equal(t, before.Withdrawals, state.Withdrawals)
	assert.Equal(t, before.Sequence, state.Sequence)
	moment, known := state.BareBuiltAfter(now, bare)
	assert.True(t, known)
	assert.Equal(t, start.Add(time.Second), moment, "the view was built after the probe was sent")
	bare.Term = 5
	_, known = state.BareBuiltAfter(now, bare)
	assert.False(t, known)
}
