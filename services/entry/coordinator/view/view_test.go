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

const (
	step              = time.Microsecond
	silence           = 1200 * time.Millisecond
	readAge           = 2500 * time.Millisecond
	heartbeatInterval = 400 * time.Millisecond
	changeInterval    = 4 * time.Millisecond
	totalsInterval    = 250 * time.Millisecond
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func TestJudgeAcceptsOnlyViewsOfPresentPlanner(t *testing.T) {
	present := view.Arrival{CurrentLink: true}
	cases := map[string]struct {
		term    int64
		arrival view.Arrival
		verdict view.Verdict
	}{
		"known term":                   {4, present, view.Accept},
		"later term":                   {5, present, view.Accept},
		"previous term":                {3, present, view.EarlierTerm},
		"link no longer in use":        {5, view.Arrival{}, view.FormerLink},
		"this instance is the planner": {5, view.Arrival{CurrentLink: true, Planning: true}, view.SelfPlanning},
		"earlier term, this instance is the planner": {3, view.Arrival{CurrentLink: true, Planning: true}, view.EarlierTerm},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			state := view.PlannerState{Term: 4}
			assert.Equal(t, test.verdict, state.Judge(&wire.View{Term: test.term}, test.arrival))
		})
	}
	var initial view.PlannerState
	assert.Equal(t, view.Accept, initial.Judge(&wire.View{Term: 1}, present), "first view")
}

func TestApplyStoresView(t *testing.T) {
	var state view.PlannerState
	state.Apply(start, &wire.View{Planner: "p", Term: 4, ReadAge: 2, ConfirmedAge: 3, Members: 5, ConfigurationRevision: 6, Withdrawals: 7})
	expected := view.PlannerState{Planner: "p", Term: 4, ReceivedAt: start, ReadAge: 2, ConfirmedAge: 3, Members: 5, PlannerRevision: 6, Withdrawals: 7}
	assert.Equal(t, expected, state)
	assert.Equal(t, view.PlannerState{Members: 5, Term: 4}, state.Reset())
}

func TestWithdrawalsAreAcknowledgedOnceAndFullViewsEachTime(t *testing.T) {
	var state view.PlannerState
	assert.False(t, state.Apply(start, &wire.View{Term: 4}).Acknowledge)
	assert.True(t, state.Apply(start, &wire.View{Term: 4, Withdrawals: 1}).Acknowledge)
	assert.False(t, state.Apply(start, &wire.View{Term: 4, Withdrawals: 1}).Acknowledge, "a repeated view")
	assert.True(t, state.Apply(start, &wire.View{Term: 4, Withdrawals: 1, Full: true}).Acknowledge)
	assert.False(t, state.Apply(start, &wire.View{Term: 5}).Acknowledge, "a new planner restarts the numbers")
	assert.True(t, state.Apply(start, &wire.View{Term: 5, Withdrawals: 1}).Acknowledge)
}

func TestResignationIsReportedOncePerTerm(t *testing.T) {
	state := view.PlannerState{}
	assert.True(t, state.Apply(start, &wire.View{Term: 4, Resigned: true}).Resigned)
	assert.False(t, state.Apply(start, &wire.View{Term: 4, Resigned: true}).Resigned, "a repeated view")
	assert.False(t, state.Apply(start, &wire.View{Term: 5}).Resigned)
	assert.Equal(t, int64(4), state.ResignedTerm, "the new term does not repeat the resignation of the former one")
	assert.True(t, state.Apply(start, &wire.View{Term: 5, Resigned: true}).Resigned)
}

func TestFreshRequiresRecentViewAndRecentRead(t *testing.T) {
	cases := map[string]struct {
		age, read time.Duration
		fresh     bool
	}{
		"view just received":                            {0, 0, true},
		"just below the silence limit":                  {silence - step, 0, true},
		"at the silence limit":                          {silence, 0, false},
		"read age just below the limit":                 {0, readAge - step, true},
		"read age at the limit on reception":            {0, readAge, false},
		"read age reaches the limit after reception":    {time.Second, readAge - time.Second, false},
		"read age just below the limit after reception": {time.Second, readAge - time.Second - step, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			state := view.PlannerState{ReceivedAt: start, ReadAge: test.read}
			assert.Equal(t, test.fresh, state.Fresh(start.Add(test.age)))
		})
	}
	var initial view.PlannerState
	assert.False(t, initial.Fresh(start))
}

func TestViewsFollowTheirIntervals(t *testing.T) {
	for _, members := range []int{1, 32} {
		scale := time.Duration(max(1, members/16))
		var schedule view.Schedule
		assert.Equal(t, view.Now, schedule.Due(start, members), "first view")
		schedule.MarkSent(start, false)
		assert.Equal(t, view.NotYet, schedule.Due(start.Add(scale*changeInterval-step), members))
		assert.Equal(t, view.OnlyChanges, schedule.Due(start.Add(scale*changeInterval), members))
		assert.Equal(t, view.OnlyChanges, schedule.Due(start.Add(heartbeatInterval-step), members))
		assert.Equal(t, view.Now, schedule.Due(start.Add(heartbeatInterval), members), "does not grow with the fleet")
	}
}

func TestTotalsFollowReportInterval(t *testing.T) {
	var schedule view.Schedule
	assert.True(t, schedule.TotalsDue(start, 1))
	schedule.MarkSent(start, true)
	assert.False(t, schedule.TotalsDue(start.Add(totalsInterval-step), 1))
	assert.True(t, schedule.TotalsDue(start.Add(totalsInterval), 1))
	assert.False(t, schedule.TotalsDue(start.Add(2*totalsInterval-step), 32))
	assert.True(t, schedule.TotalsDue(start.Add(2*totalsInterval), 32))
	schedule.MarkSent(start.Add(totalsInterval), false)
	assert.True(t, schedule.TotalsDue(start.Add(totalsInterval), 1), "a view without totals does not delay them")
}

// viewWithTermAge returns a view that the planner built when it had been planning for the given time.
func viewWithTermAge(term int64, planned time.Duration) *wire.View {
	return &wire.View{Planner: "p", Term: term, TermAge: planned}
}

func TestDelayIsUpperBoundOfTransmissionTime(t *testing.T) {
	var state view.PlannerState
	state.LinkOpened(start)
	state.Apply(start.Add(30*time.Millisecond), viewWithTermAge(4, time.Minute))
	assert.Equal(t, 30*time.Millisecond, state.Delay, "the view was built after the link was opened")
	state.Apply(start.Add(430*time.Millisecond), viewWithTermAge(4, time.Minute+heartbeatInterval))
	assert.Equal(t, 30*time.Millisecond, state.Delay, "the view was delayed no longer than the first")
	state.Apply(start.Add(3*time.Second), viewWithTermAge(4, time.Minute+2*heartbeatInterval))
	assert.Equal(t, 2200*time.Millisecond, state.Delay)
	assert.False(t, state.Fresh(start.Add(3*time.Second)), "the age counts from when the view was built")
	state.Apply(start.Add(3*time.Second), viewWithTermAge(4, time.Minute+2900*time.Millisecond))
	assert.Equal(t, 100*time.Millisecond, state.Delay)
	assert.True(t, state.Fresh(start.Add(3*time.Second)))
}

func TestNewLinkUpdatesDelayBound(t *testing.T) {
	var state view.PlannerState
	state.LinkOpened(start)
	state.Apply(start.Add(time.Second), viewWithTermAge(4, time.Minute))
	state.LinkOpened(start.Add(2 * time.Second))
	state.Apply(start.Add(2*time.Second+10*time.Millisecond), viewWithTermAge(4, time.Minute+1990*time.Millisecond))
	assert.Equal(t, 10*time.Millisecond, state.Delay, "the bound of the new link is tighter")
	state.LinkOpened(start.Add(3 * time.Second))
	state.Apply(start.Add(4*time.Second), viewWithTermAge(4, time.Minute+3500*time.Millisecond))
	assert.Equal(t, 490*time.Millisecond, state.Delay, "the bound of the former link is tighter")
	state.LinkOpened(start.Add(4 * time.Second))
	state.Apply(start.Add(4*time.Second+10*time.Millisecond), viewWithTermAge(5, time.Millisecond))
	assert.Equal(t, 10*time.Millisecond, state.Delay, "another term has another start")
}

// TestBuiltAfterPrecedesCreationOfView checks the time from which the ages in a view count. It must not depend on how long the view
// was delayed.
func TestBuiltAfterPrecedesCreationOfView(t *testing.T) {
	var state view.PlannerState
	_, known := state.BuiltAfter()
	assert.False(t, known)
	state.LinkOpened(start)
	state.Apply(start.Add(30*time.Millisecond), viewWithTermAge(4, time.Minute))
	state.Apply(start.Add(3*time.Second), viewWithTermAge(4, time.Minute+800*time.Millisecond))
	moment, known := state.BuiltAfter()
	assert.True(t, known)
	assert.Equal(t, start.Add(800*time.Millisecond), moment)
	state.Apply(start.Add(4*time.Second), viewWithTermAge(5, time.Millisecond))
	_, known = state.BuiltAfter()
	assert.False(t, known, "no bound is known for the view of a later planner over the same link")
	state.LinkOpened(start.Add(4 * time.Second))
	state.Apply(start.Add(5*time.Second), viewWithTermAge(5, time.Second))
	_, known = state.BuiltAfter()
	assert.True(t, known)
	state.Apply(start.Add(6*time.Second), &wire.View{Planner: "q", Term: 6})
	_, known = state.BuiltAfter()
	assert.False(t, known, "the view has no planning time")
}

func TestViewWithoutPlanningTimeCountsAsUndelayed(t *testing.T) {
	var state view.PlannerState
	state.LinkOpened(start)
	state.Apply(start.Add(time.Second), &wire.View{Planner: "p", Term: 4})
	assert.Zero(t, state.Delay)
	assert.True(t, state.Fresh(start.Add(time.Second)))
}
