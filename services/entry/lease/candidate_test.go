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

// silentHolder returns a record of another instance that has been silent for long enough.
func silentHolder(change func(*lease.Observation)) lease.Observation {
	observed := lease.Observation{
		Self: "self", Record: lease.Record{Holder: "peer", Term: 4, Ordering: true}, Revision: 7, Found: true, Silence: silence,
	}
	if change != nil {
		change(&observed)
	}
	return observed
}

func TestSilentHolderReplacedAfterRecordSettled(t *testing.T) {
	cases := map[string]struct {
		silence, unchanged time.Duration
		decision           lease.Decision
	}{
		"silent holder, settled record":       {silence, settled, lease.TakeIfHeartbeatEnded},
		"longer than both limits":             {silence + step, settled + step, lease.TakeIfHeartbeatEnded},
		"view received just now":              {0, settled, lease.HolderActive},
		"just below the silence limit":        {silence - step, settled, lease.HolderActive},
		"record changed just now":             {silence, 0, lease.Unsettled},
		"just before the record is settled":   {silence, settled - step, lease.Unsettled},
		"below both limits":                   {silence - step, settled - step, lease.HolderActive},
		"silent for an hour, not yet settled": {time.Hour, settled - step, lease.Unsettled},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var candidate lease.Candidate
			observed := silentHolder(func(s *lease.Observation) { s.Silence = test.silence })
			candidate.Decide(start, observed)
			assert.Equal(t, test.decision, candidate.Decide(start.Add(test.unchanged), observed))
		})
	}
}

func TestFirstReadOfSilentHoldersRecordIsUnsettled(t *testing.T) {
	var candidate lease.Candidate
	assert.Equal(t, lease.Unsettled, candidate.Decide(start, silentHolder(nil)))
	unwritten := silentHolder(func(s *lease.Observation) { s.Revision = 0 })
	candidate = lease.Candidate{}
	assert.Equal(t, lease.Unsettled, candidate.Decide(start, unwritten), "revision zero does not count as an earlier read")
}

func TestRecordChangeRestartsSettleTime(t *testing.T) {
	var candidate lease.Candidate
	candidate.Decide(start, silentHolder(nil))
	changed := silentHolder(func(s *lease.Observation) { s.Revision = 8 })
	assert.Equal(t, lease.Unsettled, candidate.Decide(start.Add(time.Second), changed))
	assert.Equal(t, lease.TakeIfHeartbeatEnded, candidate.Decide(start.Add(time.Second+settled), changed))
	assert.Equal(t, lease.TakeIfHeartbeatEnded, candidate.Decide(start.Add(2*time.Second), changed), "the unchanged record is read again")
}

func TestVacantRecordTakenAtOnce(t *testing.T) {
	cases := map[string]func(*lease.Observation){
		"no record":  func(s *lease.Observation) { s.Found, s.Record, s.Revision = false, lease.Record{}, 0 },
		"released":   func(s *lease.Observation) { s.Record.Released = true },
		"resigned":   func(s *lease.Observation) { s.Resigned = true },
		"own record": func(s *lease.Observation) { s.Record.Holder = "self" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			var candidate lease.Candidate
			assert.Equal(t, lease.Take, candidate.Decide(start, silentHolder(func(s *lease.Observation) { s.Silence = 0; change(s) })))
		})
	}
}

func TestInstanceWithTakeoverDelayDefersToOthers(t *testing.T) {
	const takeoverDelay = 1200 * time.Millisecond
	delayed := func(change func(*lease.Observation)) lease.Observation {
		return silentHolder(func(s *lease.Observation) {
			s.TakeoverDelay = takeoverDelay
			if change != nil {
				change(s)
			}
		})
	}
	t.Run("silent holder", func(t *testing.T) {
		var candidate lease.Candidate
		candidate.Decide(start, delayed(nil))
		assert.Equal(t, lease.DeferToOthers, candidate.Decide(start.Add(takeoverDelay-step), delayed(nil)))
		assert.Equal(t, lease.TakeIfHeartbeatEnded, candidate.Decide(start.Add(takeoverDelay), delayed(nil)))
	})
	t.Run("released record, from when it was read as released", func(t *testing.T) {
		var candidate lease.Candidate
		candidate.Decide(start, delayed(nil))
		released := delayed(func(s *lease.Observation) { s.Record.Released, s.Revision = true, 8 })
		seen := start.Add(time.Minute)
		assert.Equal(t, lease.DeferToOthers, candidate.Decide(seen, released))
		assert.Equal(t, lease.DeferToOthers, candidate.Decide(seen.Add(takeoverDelay-step), released))
		assert.Equal(t, lease.Take, candidate.Decide(seen.Add(takeoverDelay), released))
	})
	t.Run("another vacant term restarts the delay", func(t *testing.T) {
		var candidate lease.Candidate
		resigned := delayed(func(s *lease.Observation) { s.Resigned = true })
		candidate.Decide(start, resigned)
		later := delayed(func(s *lease.Observation) { s.Resigned, s.Record.Term = true, 5 })
		assert.Equal(t, lease.DeferToOthers, candidate.Decide(start.Add(takeoverDelay), later))
	})
	t.Run("own earlier process", func(t *testing.T) {
		var candidate lease.Candidate
		assert.Equal(t, lease.Take, candidate.Decide(start, delayed(func(s *lease.Observation) { s.Record.Holder = "self" })))
	})
}

// TestInstanceWithTakeoverDelayDefersAfterHeartbeatEnded covers an incident with large configurations: instances with a takeover delay
// could take the record of a long-standing planner at once, so that an instance took it whose link could not carry
// the views.
func TestInstanceWithTakeoverDelayDefersAfterHeartbeatEnded(t *testing.T) {
	const takeoverDelay = 2400 * time.Millisecond
	delayed := silentHolder(func(s *lease.Observation) { s.TakeoverDelay = takeoverDelay })
	other := silentHolder(nil)
	lost := start.Add(time.Hour)

	var candidate lease.Candidate
	candidate.Decide(start, other)
	assert.Equal(t, lease.TakeIfHeartbeatEnded, candidate.Decide(lost, other))
	assert.Equal(t, lease.Take, candidate.DecideHeartbeatEnded(lost, other), "an instance without takeover delay takes the record at once")

	candidate = lease.Candidate{}
	candidate.Decide(start, delayed)
	assert.Equal(t, lease.TakeIfHeartbeatEnded, candidate.Decide(lost, delayed))
	assert.Equal(t, lease.DeferToOthers, candidate.DecideHeartbeatEnded(lost, delayed))
	assert.Equal(t, lease.DeferToOthers, candidate.DecideHeartbeatEnded(lost.Add(takeoverDelay-step), delayed))
	assert.Equal(t, lease.Take, candidate.DecideHeartbeatEnded(lost.Add(takeoverDelay), delayed))

	candidate.RecordHeartbeatAlive()
	assert.Equal(t, lease.DeferToOthers, candidate.DecideHeartbeatEnded(lost.Add(takeoverDelay), delayed), "the heartbeat was found alive in between")
	next := delayed
	next.Revision = 9
	assert.Equal(t, lease.DeferToOthers, candidate.DecideHeartbeatEnded(lost.Add(2*takeoverDelay), next), "another holder")
}

func TestReadDue(t *testing.T) {
	next := start
	cases := map[string]struct {
		now                     time.Time
		requested, viewReceived bool
		silence                 time.Duration
		next                    time.Time
		due                     bool
	}{
		"first read":                                 {start, false, false, 0, time.Time{}, true},
		"no view received yet, at the time":          {start, false, false, 0, next, true},
		"no view received yet, just before the time": {start.Add(-step), false, false, silence, next, false},
		"planner not silent":                         {start, false, true, silence - step, next, false},
		"silent planner, at the time":                {start, false, true, silence, next, true},
		"silent planner, just before the time":       {start.Add(-step), false, true, silence, next, false},
		"read requested, before the time":            {start.Add(-step), true, true, 0, next, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.due, lease.ReadDue(test.now, test.requested, test.viewReceived, test.silence, test.next))
		})
	}
}

func TestReadInterval(t *testing.T) {
	const usual = 300 * time.Millisecond
	cases := map[string]struct {
		stretched, takeoverDelay time.Duration
		viewReceived             bool
		pause                    time.Duration
	}{
		"no takeover delay, large fleet":              {4 * time.Second, 0, true, usual},
		"with a takeover delay, large fleet":          {4 * time.Second, step, true, time.Second},
		"with a takeover delay, fleet of medium size": {700 * time.Millisecond, step, true, 700 * time.Millisecond},
		"with a takeover delay, small fleet":          {usual, step, true, usual},
		"with a takeover delay, no view received yet": {4 * time.Second, step, false, usual},
		"no takeover delay, no view received yet":     {4 * time.Second, 0, false, usual},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.pause, lease.ReadInterval(usual, test.stretched, test.takeoverDelay, test.viewReceived))
		})
	}
}

func TestSilenceSinceLastConfirmedView(t *testing.T) {
	now := start.Add(10 * time.Second)
	cases := map[string]struct {
		last lease.LastView
		span time.Duration
	}{
		"no view":                           {lease.LastView{Started: start}, 10 * time.Second},
		"view received before the start":    {lease.LastView{Started: start, ReceivedAt: start.Add(-time.Hour)}, 10 * time.Second},
		"view received since the start":     {lease.LastView{Started: start, ReceivedAt: now.Add(-time.Second)}, time.Second},
		"lease confirmed within the window": {lease.LastView{Started: start, ReceivedAt: now, ConfirmedAge: options.Window}, 0},
		"lease confirmed before the window": {lease.LastView{Started: start, ReceivedAt: now, ConfirmedAge: options.Window + step}, options.Window + step},
		"lease confirmed before the start": {
			lease.LastView{Started: now.Add(-time.Second), ReceivedAt: now, ConfirmedAge: time.Hour}, time.Second,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.span, options.Silence(now, test.last))
		})
	}
}

func TestSuccessorRecordNamesLastOrderingHolder(t *testing.T) {
	self := lease.Record{Holder: "self"}
	assert.Equal(t, lease.Record{Holder: "self", Term: 1}, lease.Successor(self, lease.Record{}))
	ordering := lease.Record{Holder: "b", Term: 4, Former: "a", Ordering: true}
	assert.Equal(t, lease.Record{Holder: "self", Term: 5, Former: "b", Earlier: []string{"a"}}, lease.Successor(self, ordering))
	waiting := lease.Record{Holder: "b", Term: 4, Former: "a"}
	assert.Equal(t, lease.Record{Holder: "self", Term: 5, Former: "a"}, lease.Successor(self, waiting))
}

func TestResignationRequiresMemberThatReachesStore(t *testing.T) {
	assert.False(t, lease.IsConfirmationOverdue(trouble-step))
	assert.True(t, lease.IsConfirmationOverdue(trouble))
	cases := map[string]struct {
		member  lease.Member
		reaches bool
	}{
		"member reported and reached the store just now": {lease.Member{}, true},
		"just below the age limits":                      {lease.Member{ReportAge: trouble - step, StoreReadAge: trouble - step}, true},
		"report too old":                                 {lease.Member{ReportAge: trouble}, false},
		"store read too old":                             {lease.Member{StoreReadAge: trouble}, false},
		"member lost":                                    {lease.Member{Lost: true}, false},
		"store never read":                               {lease.Member{StoreReadAge: time.Duration(1 << 62)}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.reaches, test.member.ReachesStore())
		})
	}
}

// TestReturningHolderWaitsForMinReturnDelay covers hand-overs in quick succession: an instance that becomes the holder
// again may send orders only once its earlier orders are as old as Options.MinReturnDelay, however many holders came in
// between.
func TestReturningHolderWaitsForMinReturnDelay(t *testing.T) {
	record := lease.Record{Holder: "self", Term: 1, Ordering: true, Released: true}
	for _, holder := range []string{"b", "c", "d", "e", "f"} {
		record = lease.Successor(lease.Record{Holder: holder}, record)
		assert.Equal(t, options.MinReturnDelay, options.Wait("self", releasedRecord(record), true), "after %s", holder)
		record = releasedRecord(record)
	}
	assert.Zero(t, options.Wait("g", record, true), "an instance that never held the lease need not wait")
	record = lease.Successor(lease.Record{Holder: "g"}, record)
	assert.Equal(t, []string{"e", "d", "c", "b"}, record.Earlier, "more hand-overs than the record covers")
}

func releasedRecord(record lease.Record) lease.Record {
	record.Ordering, record.Released = true, true
	return record
}

func TestRecordDropsEarlierHoldersAfterTheirOrdersExpired(t *testing.T) {
	record := lease.Record{Holder: "a", Term: 7, Former: "b", Earlier: []string{"c"}}
	enough := options.MinReturnDelay + 2*options.OrderTimeout
	assert.Equal(t, record, record.WithoutExpiredHolders(enough-1, options))
	assert.Equal(t, lease.Record{Holder: "a", Term: 7}, record.WithoutExpiredHolders(enough, options))
	assert.Equal(t, "b", record.Former, "the original record is unchanged")
}

func TestFormerHolderDefersVacantRecord(t *testing.T) {
	const takeoverDelay = 300 * time.Millisecond
	vacant := silentHolder(func(s *lease.Observation) { s.Record.Released, s.Record.Earlier = true, []string{"c", "self"} })
	var candidate lease.Candidate
	assert.Equal(t, lease.DeferToOthers, candidate.Decide(start, vacant))
	assert.Equal(t, lease.DeferToOthers, candidate.Decide(start.Add(takeoverDelay-step), vacant))
	assert.Equal(t, lease.Take, candidate.Decide(start.Add(takeoverDelay), vacant))
}
