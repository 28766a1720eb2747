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
	step      = time.Microsecond
	silence   = 1200 * time.Millisecond
	readAge   = 2500 * time.Millisecond
	heartbeat = 400 * time.Millisecond
	change    = 4 * time.Millisecond
	totals    = 250 * time.Millisecond
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func TestWhichViewsAreKept(t *testing.T) {
	present := view.Arrival{PresentLink: true}
	cases := map[string]struct {
		term    int64
		arrival view.Arrival
		verdict view.Verdict
	}{
		"of the known term":              {4, present, view.Keep},
		"of a later term":                {5, present, view.Keep},
		"of the term just before":        {3, present, view.EarlierTerm},
		"over a link given up since":     {5, view.Arrival{}, view.OtherLink},
		"while this instance plans":      {5, view.Arrival{PresentLink: true, Planning: true}, view.PlansItself},
		"earlier, while it plans itself": {3, view.Arrival{PresentLink: true, Planning: true}, view.EarlierTerm},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			followed := view.Followed{Term: 4}
			assert.Equal(t, one.verdict, followed.Judge(&wire.View{Term: one.term}, one.arrival))
		})
	}
	var unheard view.Followed
	assert.Equal(t, view.Keep, unheard.Judge(&wire.View{Term: 1}, present), "the first view")
}

func TestAViewIsKeptWithItsAges(t *testing.T) {
	var followed view.Followed
	followed.Take(start, &wire.View{Planner: "p", Term: 4, ReadAge: 2, ConfirmedAge: 3, Members: 5, ConfigurationRevision: 6, Withdrawals: 7})
	expected := view.Followed{Planner: "p", Term: 4, ReceivedAt: start, ReadAge: 2, ConfirmedAge: 3, Members: 5, PlannerRevision: 6, Withdrawals: 7}
	assert.Equal(t, expected, followed)
	assert.Equal(t, view.Followed{Members: 5, Term: 4}, followed.Restarted())
}

func TestWithdrawalsAreAcknowledgedOnceAndWholeViewsEachTime(t *testing.T) {
	var followed view.Followed
	assert.False(t, followed.Take(start, &wire.View{Term: 4}).Acknowledge)
	assert.True(t, followed.Take(start, &wire.View{Term: 4, Withdrawals: 1}).Acknowledge)
	assert.False(t, followed.Take(start, &wire.View{Term: 4, Withdrawals: 1}).Acknowledge, "a repeated view")
	assert.True(t, followed.Take(start, &wire.View{Term: 4, Withdrawals: 1, Full: true}).Acknowledge)
	assert.False(t, followed.Take(start, &wire.View{Term: 5}).Acknowledge, "a new planner counts anew")
	assert.True(t, followed.Take(start, &wire.View{Term: 5, Withdrawals: 1}).Acknowledge)
}

func TestAResignationIsNewsOnceInEachTerm(t *testing.T) {
	followed := view.Followed{}
	assert.True(t, followed.Take(start, &wire.View{Term: 4, Resigned: true}).Resigned)
	assert.False(t, followed.Take(start, &wire.View{Term: 4, Resigned: true}).Resigned, "a repeated view")
	assert.False(t, followed.Take(start, &wire.View{Term: 5}).Resigned)
	assert.Equal(t, int64(4), followed.ResignedTerm, "a lost word of the new planner brings no old resignation back")
	assert.True(t, followed.Take(start, &wire.View{Term: 5, Resigned: true}).Resigned)
}

func TestAPlannerIsReliedOnWhileItIsHeardAndSees(t *testing.T) {
	cases := map[string]struct {
		age, read time.Duration
		fresh     bool
	}{
		"just heard":                     {0, 0, true},
		"just below the silence":         {silence - step, 0, true},
		"at the silence":                 {silence, 0, false},
		"a reading just young enough":    {0, readAge - step, true},
		"a reading too old when it came": {0, readAge, false},
		"a reading that has become old":  {time.Second, readAge - time.Second, false},
		"one that is about to":           {time.Second, readAge - time.Second - step, true},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			followed := view.Followed{ReceivedAt: start, ReadAge: one.read}
			assert.Equal(t, one.fresh, followed.Fresh(start.Add(one.age)))
		})
	}
	var unheard view.Followed
	assert.False(t, unheard.Fresh(start))
}

func TestViewsFollowTheirPaces(t *testing.T) {
	for _, members := range []int{1, 32} {
		scale := time.Duration(max(1, members/16))
		var schedule view.Schedule
		assert.Equal(t, view.Now, schedule.Due(start, members), "the first one")
		schedule.Sent(start, false)
		assert.Equal(t, view.NotYet, schedule.Due(start.Add(scale*change-step), members))
		assert.Equal(t, view.OnlyChanges, schedule.Due(start.Add(scale*change), members))
		assert.Equal(t, view.OnlyChanges, schedule.Due(start.Add(heartbeat-step), members))
		assert.Equal(t, view.Now, schedule.Due(start.Add(heartbeat), members), "not stretched with the fleet")
	}
}

func TestTotalsFollowTheStretchedPaceOfReports(t *testing.T) {
	var schedule view.Schedule
	assert.True(t, schedule.TotalsDue(start, 1))
	schedule.Sent(start, true)
	assert.False(t, schedule.TotalsDue(start.Add(totals-step), 1))
	assert.True(t, schedule.TotalsDue(start.Add(totals), 1))
	assert.False(t, schedule.TotalsDue(start.Add(2*totals-step), 32))
	assert.True(t, schedule.TotalsDue(start.Add(2*totals), 32))
	schedule.Sent(start.Add(totals), false)
	assert.True(t, schedule.TotalsDue(start.Add(totals), 1), "a view without totals puts them off no further")
}

// made is a view of a planner that tells for how long it had planned when it made it.
func made(term int64, planned time.Duration) *wire.View {
	return &wire.View{Planner: "p", Term: term, Made: planned}
}

func TestADelayIsTheLongestThatAViewCanHaveWaited(t *testing.T) {
	var f view.Followed
	f.Opened(start)
	f.Take(start.Add(30*time.Millisecond), made(4, time.Minute))
	assert.Equal(t, 30*time.Millisecond, f.Delay, "it was made after the link was opened")
	f.Take(start.Add(430*time.Millisecond), made(4, time.Minute+heartbeat))
	assert.Equal(t, 30*time.Millisecond, f.Delay, "on its way for no longer than the first")
	f.Take(start.Add(3*time.Second), made(4, time.Minute+2*heartbeat))
	assert.Equal(t, 2200*time.Millisecond, f.Delay)
	assert.False(t, f.Fresh(start.Add(3*time.Second)), "it counts from when it was made")
	f.Take(start.Add(3*time.Second), made(4, time.Minute+2900*time.Millisecond))
	assert.Equal(t, 100*time.Millisecond, f.Delay)
	assert.True(t, f.Fresh(start.Add(3*time.Second)))
}

func TestANewLinkBoundsTheDelayAnew(t *testing.T) {
	var f view.Followed
	f.Opened(start)
	f.Take(start.Add(time.Second), made(4, time.Minute))
	f.Opened(start.Add(2 * time.Second))
	f.Take(start.Add(2*time.Second+10*time.Millisecond), made(4, time.Minute+1990*time.Millisecond))
	assert.Equal(t, 10*time.Millisecond, f.Delay, "the new link's bound is the tighter one")
	f.Opened(start.Add(3 * time.Second))
	f.Take(start.Add(4*time.Second), made(4, time.Minute+3500*time.Millisecond))
	assert.Equal(t, 490*time.Millisecond, f.Delay, "the former link's bound is the tighter one")
	f.Opened(start.Add(4 * time.Second))
	f.Take(start.Add(4*time.Second+10*time.Millisecond), made(5, time.Millisecond))
	assert.Equal(t, 10*time.Millisecond, f.Delay, "another term has another begin")
}

// TestAMomentBeforeAViewWasMade: what a view passes on is as old as it says at that moment, however long the view waited on its way.
func TestAMomentBeforeAViewWasMade(t *testing.T) {
	var f view.Followed
	_, known := f.MadeAfter()
	assert.False(t, known)
	f.Opened(start)
	f.Take(start.Add(30*time.Millisecond), made(4, time.Minute))
	f.Take(start.Add(3*time.Second), made(4, time.Minute+800*time.Millisecond))
	moment, known := f.MadeAfter()
	assert.True(t, known)
	assert.Equal(t, start.Add(800*time.Millisecond), moment)
	f.Take(start.Add(4*time.Second), made(5, time.Millisecond))
	_, known = f.MadeAfter()
	assert.False(t, known, "nothing bounds the way of a later planner's view over the same link")
	f.Opened(start.Add(4 * time.Second))
	f.Take(start.Add(5*time.Second), made(5, time.Second))
	_, known = f.MadeAfter()
	assert.True(t, known)
	f.Take(start.Add(6*time.Second), &wire.View{Planner: "q", Term: 6})
	_, known = f.MadeAfter()
	assert.False(t, known, "it tells no time")
}

func TestAPlannerThatTellsNoTimeIsTakenAsBefore(t *testing.T) {
	var f view.Followed
	f.Opened(start)
	f.Take(start.Add(time.Second), &wire.View{Planner: "p", Term: 4})
	assert.Zero(t, f.Delay)
	assert.True(t, f.Fresh(start.Add(time.Second)))
}
