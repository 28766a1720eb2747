// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/lease"
)

const (
	step    = time.Millisecond
	silence = 900 * time.Millisecond
	settled = 300 * time.Millisecond
	trouble = 800 * time.Millisecond
)

// silentHolder is a record of another instance that was not heard for long enough.
func silentHolder(change func(*lease.Sighting)) lease.Sighting {
	sighting := lease.Sighting{
		Self: "self", Record: lease.Record{Holder: "peer", Term: 4, Ordering: true}, Revision: 7, Found: true, Silence: silence,
	}
	if change != nil {
		change(&sighting)
	}
	return sighting
}

func TestASilentHoldersRecordIsTakenOnceItIsSettled(t *testing.T) {
	cases := map[string]struct {
		silence, unchanged time.Duration
		verdict            lease.Verdict
	}{
		"silent and settled":      {silence, settled, lease.TakeWithoutHeartbeat},
		"longer than needed":      {silence + step, settled + step, lease.TakeWithoutHeartbeat},
		"heard a moment ago":      {0, settled, lease.HolderActive},
		"just below the silence":  {silence - step, settled, lease.HolderActive},
		"changed a moment ago":    {silence, 0, lease.Unsettled},
		"just not yet settled":    {silence, settled - step, lease.Unsettled},
		"neither":                 {silence - step, settled - step, lease.HolderActive},
		"silent for a whole hour": {time.Hour, settled - step, lease.Unsettled},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			var candidate lease.Candidate
			sighting := silentHolder(func(s *lease.Sighting) { s.Silence = one.silence })
			candidate.Decide(start, sighting)
			assert.Equal(t, one.verdict, candidate.Decide(start.Add(one.unchanged), sighting))
		})
	}
}

func TestAFirstLookTakesNoLivingRecord(t *testing.T) {
	var candidate lease.Candidate
	assert.Equal(t, lease.Unsettled, candidate.Decide(start, silentHolder(nil)))
	unwritten := silentHolder(func(s *lease.Sighting) { s.Revision = 0 })
	candidate = lease.Candidate{}
	assert.Equal(t, lease.Unsettled, candidate.Decide(start, unwritten), "a revision of zero is no earlier look")
}

func TestAChangedRecordIsSettledAnew(t *testing.T) {
	var candidate lease.Candidate
	candidate.Decide(start, silentHolder(nil))
	changed := silentHolder(func(s *lease.Sighting) { s.Revision = 8 })
	assert.Equal(t, lease.Unsettled, candidate.Decide(start.Add(time.Second), changed))
	assert.Equal(t, lease.TakeWithoutHeartbeat, candidate.Decide(start.Add(time.Second+settled), changed))
	assert.Equal(t, lease.TakeWithoutHeartbeat, candidate.Decide(start.Add(2*time.Second), changed), "the same record read again")
}

func TestAVacantRecordIsTakenAtOnce(t *testing.T) {
	cases := map[string]func(*lease.Sighting){
		"no record": func(s *lease.Sighting) { s.Found, s.Record, s.Revision = false, lease.Record{}, 0 },
		"released":  func(s *lease.Sighting) { s.Record.Released = true },
		"resigned":  func(s *lease.Sighting) { s.Resigned = true },
		"its own":   func(s *lease.Sighting) { s.Record.Holder = "self" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			var candidate lease.Candidate
			assert.Equal(t, lease.Take, candidate.Decide(start, silentHolder(func(s *lease.Sighting) { s.Silence = 0; change(s) })))
		})
	}
}

func TestAWeakInstanceLeavesTheRecordToOthers(t *testing.T) {
	const reluctance = 1200 * time.Millisecond
	weak := func(change func(*lease.Sighting)) lease.Sighting {
		return silentHolder(func(s *lease.Sighting) {
			s.Reluctance = reluctance
			if change != nil {
				change(s)
			}
		})
	}
	t.Run("a silent holder", func(t *testing.T) {
		var candidate lease.Candidate
		candidate.Decide(start, weak(nil))
		assert.Equal(t, lease.LeaveToOthers, candidate.Decide(start.Add(reluctance-step), weak(nil)))
		assert.Equal(t, lease.TakeWithoutHeartbeat, candidate.Decide(start.Add(reluctance), weak(nil)))
	})
	t.Run("a released record, from when it was seen released", func(t *testing.T) {
		var candidate lease.Candidate
		candidate.Decide(start, weak(nil))
		released := weak(func(s *lease.Sighting) { s.Record.Released, s.Revision = true, 8 })
		seen := start.Add(time.Minute)
		assert.Equal(t, lease.LeaveToOthers, candidate.Decide(seen, released))
		assert.Equal(t, lease.LeaveToOthers, candidate.Decide(seen.Add(reluctance-step), released))
		assert.Equal(t, lease.Take, candidate.Decide(seen.Add(reluctance), released))
	})
	t.Run("another term that is vacant begins the wait anew", func(t *testing.T) {
		var candidate lease.Candidate
		resigned := weak(func(s *lease.Sighting) { s.Resigned = true })
		candidate.Decide(start, resigned)
		later := weak(func(s *lease.Sighting) { s.Resigned, s.Record.Term = true, 5 })
		assert.Equal(t, lease.LeaveToOthers, candidate.Decide(start.Add(reluctance), later))
	})
	t.Run("its own earlier process", func(t *testing.T) {
		var candidate lease.Candidate
		assert.Equal(t, lease.Take, candidate.Decide(start, weak(func(s *lease.Sighting) { s.Record.Holder = "self" })))
	})
}

// TestAWeakInstanceLeavesALostHoldersRecordToOthers is part of the incident of large configurations: the record of a planner that had
// held it for long was open to weak instances at once, so that one took it whose link could not carry the views.
func TestAWeakInstanceLeavesALostHoldersRecordToOthers(t *testing.T) {
	const reluctance = 2400 * time.Millisecond
	weak := silentHolder(func(s *lease.Sighting) { s.Reluctance = reluctance })
	strong := silentHolder(nil)
	lost := start.Add(time.Hour)

	var candidate lease.Candidate
	candidate.Decide(start, strong)
	assert.Equal(t, lease.TakeWithoutHeartbeat, candidate.Decide(lost, strong))
	assert.Equal(t, lease.Take, candidate.HeartbeatEnded(lost, strong), "a strong instance takes it at once")

	candidate = lease.Candidate{}
	candidate.Decide(start, weak)
	assert.Equal(t, lease.TakeWithoutHeartbeat, candidate.Decide(lost, weak))
	assert.Equal(t, lease.LeaveToOthers, candidate.HeartbeatEnded(lost, weak))
	assert.Equal(t, lease.LeaveToOthers, candidate.HeartbeatEnded(lost.Add(reluctance-step), weak))
	assert.Equal(t, lease.Take, candidate.HeartbeatEnded(lost.Add(reluctance), weak))

	candidate.HeartbeatAlive()
	assert.Equal(t, lease.LeaveToOthers, candidate.HeartbeatEnded(lost.Add(reluctance), weak), "it was alive since")
	next := weak
	next.Revision = 9
	assert.Equal(t, lease.LeaveToOthers, candidate.HeartbeatEnded(lost.Add(2*reluctance), next), "another holder")
}

func TestLooksAtTheRecord(t *testing.T) {
	next := start
	cases := map[string]struct {
		now          time.Time
		asked, heard bool
		silence      time.Duration
		next         time.Time
		due          bool
	}{
		"the first look, before anybody could be silent": {start, false, false, 0, time.Time{}, true},
		"no planner heard yet, at the time":              {start, false, false, 0, next, true},
		"no planner heard yet, just before the time":     {start.Add(-step), false, false, silence, next, false},
		"a planner that is heard":                        {start, false, true, silence - step, next, false},
		"a silent planner, at the time":                  {start, false, true, silence, next, true},
		"a silent planner, just before the time":         {start.Add(-step), false, true, silence, next, false},
		"asked for, before the time":                     {start.Add(-step), true, true, 0, next, true},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, one.due, lease.LookDue(one.now, one.asked, one.heard, one.silence, one.next))
		})
	}
}

func TestThePauseBetweenTwoLooks(t *testing.T) {
	const usual = 300 * time.Millisecond
	cases := map[string]struct {
		stretched, reluctance time.Duration
		heard                 bool
		pause                 time.Duration
	}{
		"a strong instance of a large fleet":         {4 * time.Second, 0, true, usual},
		"a weak one":                                 {4 * time.Second, step, true, time.Second},
		"a weak one of a fleet of medium size":       {700 * time.Millisecond, step, true, 700 * time.Millisecond},
		"a weak one of a small fleet":                {usual, step, true, usual},
		"a weak one that has not heard any planner":  {4 * time.Second, step, false, usual},
		"a strong one that has not heard any either": {4 * time.Second, 0, false, usual},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, one.pause, lease.LookPause(usual, one.stretched, one.reluctance, one.heard))
		})
	}
}

func TestSilenceCountsFromTheLastWordThatProvedTheHold(t *testing.T) {
	now := start.Add(10 * time.Second)
	cases := map[string]struct {
		last lease.LastView
		span time.Duration
	}{
		"never heard":               {lease.LastView{Started: start}, 10 * time.Second},
		"heard before it looked":    {lease.LastView{Started: start, ReceivedAt: start.Add(-time.Hour)}, 10 * time.Second},
		"heard since":               {lease.LastView{Started: start, ReceivedAt: now.Add(-time.Second)}, time.Second},
		"confirmed in the window":   {lease.LastView{Started: start, ReceivedAt: now, ConfirmedAge: options.Window}, 0},
		"confirmed too long before": {lease.LastView{Started: start, ReceivedAt: now, ConfirmedAge: options.Window + step}, options.Window + step},
		"confirmed before it looked": {
			lease.LastView{Started: now.Add(-time.Second), ReceivedAt: now, ConfirmedAge: time.Hour}, time.Second,
		},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, one.span, options.Silence(now, one.last))
		})
	}
}

func TestASuccessorNamesTheLastHolderThatMayHaveOrdered(t *testing.T) {
	self := lease.Record{Holder: "self"}
	assert.Equal(t, lease.Record{Holder: "self", Term: 1}, lease.Successor(self, lease.Record{}))
	ordering := lease.Record{Holder: "b", Term: 4, Former: "a", Ordering: true}
	assert.Equal(t, lease.Record{Holder: "self", Term: 5, Former: "b", Earlier: []string{"a"}}, lease.Successor(self, ordering))
	waiting := lease.Record{Holder: "b", Term: 4, Former: "a"}
	assert.Equal(t, lease.Record{Holder: "self", Term: 5, Former: "a"}, lease.Successor(self, waiting))
}

func TestAHolderResignsOnlyToAMemberThatTheStoreAnswers(t *testing.T) {
	assert.False(t, lease.InTrouble(trouble-step))
	assert.True(t, lease.InTrouble(trouble))
	cases := map[string]struct {
		member  lease.Member
		reaches bool
	}{
		"heard and answered":              {lease.Member{}, true},
		"just in time":                    {lease.Member{ReportAge: trouble - step, StoreReadAge: trouble - step}, true},
		"an old report":                   {lease.Member{ReportAge: trouble}, false},
		"the store is silent there too":   {lease.Member{StoreReadAge: trouble}, false},
		"lost since":                      {lease.Member{Lost: true}, false},
		"has not read since it was begun": {lease.Member{StoreReadAge: time.Duration(1 << 62)}, false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, one.reaches, one.member.ReachesStore())
		})
	}
}

// TestNoOrdersOfTwoHoldersTakeTurns plays hand-overs that follow each other quickly: an instance whose work comes back may order only
// when its orders of before are a turn old, through however many hands the work went.
func TestNoOrdersOfTwoHoldersTakeTurns(t *testing.T) {
	record := lease.Record{Holder: "self", Term: 1, Ordering: true, Released: true}
	for _, holder := range []string{"b", "c", "d", "e", "f"} {
		record = lease.Successor(lease.Record{Holder: holder}, record)
		assert.Equal(t, options.Turn, options.Wait("self", released(record), true), "after %s", holder)
		record = released(record)
	}
	assert.Zero(t, options.Wait("g", record, true), "one that never held it need not wait")
	record = lease.Successor(lease.Record{Holder: "g"}, record)
	assert.Equal(t, []string{"e", "d", "c", "b"}, record.Earlier, "more hand-overs than a turn has room for")
}

func released(record lease.Record) lease.Record {
	record.Ordering, record.Released = true, true
	return record
}

func TestAHolderForgetsThoseBeforeItWhenTheirOrdersAreOld(t *testing.T) {
	record := lease.Record{Holder: "a", Term: 7, Former: "b", Earlier: []string{"c"}}
	enough := options.Turn + 2*options.OrderTimeout
	assert.Equal(t, record, record.Forget(enough-1, options))
	assert.Equal(t, lease.Record{Holder: "a", Term: 7}, record.Forget(enough, options))
	assert.Equal(t, "b", record.Former, "the record itself stays")
}

func TestOneThatHeldItLatelyLeavesAVacantRecordToOthers(t *testing.T) {
	const reluctance = 300 * time.Millisecond
	vacant := silentHolder(func(s *lease.Sighting) { s.Record.Released, s.Record.Earlier = true, []string{"c", "self"} })
	var candidate lease.Candidate
	assert.Equal(t, lease.LeaveToOthers, candidate.Decide(start, vacant))
	assert.Equal(t, lease.LeaveToOthers, candidate.Decide(start.Add(reluctance-step), vacant))
	assert.Equal(t, lease.Take, candidate.Decide(start.Add(reluctance), vacant))
}
