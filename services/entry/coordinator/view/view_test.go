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
			followed := view.PlannerState{Term: 4}
			assert.Equal(t, test.verdict, followed.Judge(&wire.View{Term: test.term}, test.arrival))
		})
	}
	var initial view.PlannerState
	assert.Equal(t, view.Accept, initial.Judge(&wire.View{Term: 1}, present), "first view")
}

func TestTakeStoresView(t *testing.T) {
	var followed view.PlannerState
	followed.Apply(start, &wire.View{Planner: "p", Term: 4, ReadAge: 2, ConfirmedAge: 3, Members: 5, ConfigurationRevision: 6, Withdrawals: 7})
	expected := view.PlannerState{Planner: "p", Term: 4, ReceivedAt: start, ReadAge: 2, ConfirmedAge: 3, Members: 5, PlannerRevision: 6, Withdrawals: 7}
	assert.Equal(t, expected, followed)
	assert.Equal(t, view.PlannerState{Members: 5, Term: 4}, followed.Reset())
}

func TestWithdrawalsAreAcknowledgedOnceAndFullViewsEachTime(t *testing.T) {
	var followed view.PlannerState
	assert.False(t, followed.Apply(start, &wire.View{Term: 4}).Acknowledge)
	assert.True(t, followed.Apply(start, &wire.View{Term: 4, Withdrawals: 1}).Acknowledge)
	assert.False(t, followed.Apply(start, &wire.View{Term: 4, Withdrawals: 1}).Acknowledge, "a repeated view")
	assert.True(t, followed.Apply(start, &wire.View{Term: 4, Withdrawals: 1, Full: true}).Acknowledge)
	assert.False(t, followed.Apply(start, &wire.View{Term: 5}).Acknowledge, "a new planner restarts the numbers")
	assert.True(t, followed.Apply(start, &wire.View{Term: 5, Withdrawals: 1}).Acknowledge)
}

func TestResignationIsReportedOncePerTerm(t *testing.T) {
	followed := view.PlannerState{}
	assert.True(t, followed.Apply(start, &wire.View{Term: 4, Resigned: true}).Resigned)
	assert.False(t, followed.Apply(start, &wire.View{Term: 4, Resigned: true}).Resigned, "a repeated view")
	assert.False(t, followed.Apply(start, &wire.View{Term: 5}).Resigned)
	assert.Equal(t, int64(4), followed.ResignedTerm, "the new term does not repeat the resignation of the former one")
	assert.True(t, followed.Apply(start, &wire.View{Term: 5, Resigned: true}).Resigned)
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
			followed := view.PlannerState{ReceivedAt: start, ReadAge: test.read}
			assert.Equal(t, test.fresh, followed.Fresh(start.Add(test.age)))
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
		schedule.Sent(start, false)
		assert.Equal(t, view.NotYet, schedule.Due(start.Add(scale*changeInterval-step), members))
		assert.Equal(t, view.OnlyChanges, schedule.Due(start.Add(scale*changeInterval), members))
		assert.Equal(t, view.OnlyChanges, schedule.Due(start.Add(heartbeatInterval-step), members))
		assert.Equal(t, view.Now, schedule.Due(start.Add(heartbeatInterval), members), "does not grow with the fleet")
	}
}

func TestTotalsFollowReportInterval(t *testing.T) {
	var schedule view.Schedule
	assert.True(t, schedule.TotalsDue(start, 1))
	schedule.Sent(start, true)
	assert.False(t, schedule.TotalsDue(start.Add(totalsInterval-step), 1))
	assert.True(t, schedule.TotalsDue(start.Add(totalsInterval), 1))
	assert.False(t, schedule.TotalsDue(start.Add(2*totalsInterval-step), 32))
	assert.True(t, schedule.TotalsDue(start.Add(2*totalsInterval), 32))
	schedule.Sent(start.Add(totalsInterval), false)
	assert.True(t, schedule.TotalsDue(start.Add(totalsInterval), 1), "a view without totals does not delay them")
}

// made returns a view that the planner built when it had been planning for the given time.
func made(term int64, planned time.Duration) *wire.View {
	return &wire.View{Planner: "p", Term: term, TermAge: planned}
}

func TestDelayIsUpperBoundOfTransmissionTime(t *testing.T) {
	var f view.PlannerState
	f.LinkOpened(start)
	f.Apply(start.Add(30*time.Millisecond), made(4, time.Minute))
	assert.Equal(t, 30*time.Millisecond, f.Delay, "the view was built after the link was opened")
	f.Apply(start.Add(430*time.Millisecond), made(4, time.Minute+heartbeatInterval))
	assert.Equal(t, 30*time.Millisecond, f.Delay, "the view was delayed no longer than the first")
	f.Apply(start.Add(3*time.Second), made(4, time.Minute+2*heartbeatInterval))
	assert.Equal(t, 2200*time.Millisecond, f.Delay)
	assert.False(t, f.Fresh(start.Add(3*time.Second)), "the age counts from when the view was built")
	f.Apply(start.Add(3*time.Second), made(4, time.Minute+2900*time.Millisecond))
	assert.Equal(t, 100*time.Millisecond, f.Delay)
	assert.True(t, f.Fresh(start.Add(3*time.Second)))
}

func TestNewLinkUpdatesDelayBound(t *testing.T) {
	var f view.PlannerState
	f.LinkOpened(start)
	f.Apply(start.Add(time.Second), made(4, time.Minute))
	f.LinkOpened(start.Add(2 * time.Second))
	f.Apply(start.Add(2*time.Second+10*time.Millisecond), made(4, time.Minute+1990*time.Millisecond))
	assert.Equal(t, 10*time.Millisecond, f.Delay, "the bound of the new link is tighter")
	f.LinkOpened(start.Add(3 * time.Second))
	f.Apply(start.Add(4*time.Second), made(4, time.Minute+3500*time.Millisecond))
	assert.Equal(t, 490*time.Millisecond, f.Delay, "the bound of the former link is tighter")
	f.LinkOpened(start.Add(4 * time.Second))
	f.Apply(start.Add(4*time.Second+10*time.Millisecond), made(5, time.Millisecond))
	assert.Equal(t, 10*time.Millisecond, f.Delay, "another term has another start")
}

// TestMadeAfterPrecedesCreationOfView checks the time from which the ages in a view count. It must not depend on how long the view
// was delayed.
func TestMadeAfterPrecedesCreationOfView(t *testing.T) {
	var f view.PlannerState
	_, known := f.BuiltAfter()
	assert.False(t, known)
	f.LinkOpened(start)
	f.Apply(start.Add(30*time.Millisecond), made(4, time.Minute))
	f.Apply(start.Add(3*time.Second), made(4, time.Minute+800*time.Millisecond))
	moment, known := f.BuiltAfter()
	assert.True(t, known)
	assert.Equal(t, start.Add(800*time.Millisecond), moment)
	f.Apply(start.Add(4*time.Second), made(5, time.Millisecond))
	_, known = f.BuiltAfter()
	assert.False(t, known, "no bound is known for the view of a later planner over the same link")
	f.LinkOpened(start.Add(4 * time.Second))
	f.Apply(start.Add(5*time.Second), made(5, time.Second))
	_, known = f.BuiltAfter()
	assert.True(t, known)
	f.Apply(start.Add(6*time.Second), &wire.View{Planner: "q", Term: 6})
	_, known = f.BuiltAfter()
	assert.False(t, known, "the view has no planning time")
}

func TestViewWithoutPlanningTimeCountsAsUndelayed(t *testing.T) {
	var f view.PlannerState
	f.LinkOpened(start)
	f.Apply(start.Add(time.Second), &wire.View{Planner: "p", Term: 4})
	assert.Zero(t, f.Delay)
	assert.True(t, f.Fresh(start.Add(time.Second)))
}
