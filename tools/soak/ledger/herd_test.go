// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

// herdStreams describes streams that are under way when all instances are killed at once, and taken up after that.
type herdStreams struct {
	// count is how many there are, goingOn how many of them go on.
	count, goingOn int
	// lead is how long before the kill they begin; 2 s if it is 0. missing is how many of the two endpoints
	// of their software version do not serve.
	lead    time.Duration
	missing int
	// goesOnAt is the software version at which those that go on do; their own if it is empty.
	goesOnAt string
}

// herdKilled is the time of the herd kill.
const herdKilled = 20 * second

// record returns a record of the streams.
func (s herdStreams) record() *ledger.Record {
	r := validRecord()
	if s.lead == 0 {
		s.lead = 2 * second
	}
	if s.goesOnAt == "" {
		s.goesOnAt = "v1"
	}
	for i := range 2 - s.missing {
		r.Endpoints = append(r.Endpoints, ledger.EndpointSpan{Endpoint: fmt.Sprint("e-", i), Software: "v1", From: at(0)})
	}
	addDisruption(ledger.HerdKill, "", herdKilled, herdKilled)(r)
	addDisruption(ledger.Kill, "a", herdKilled, herdKilled+second)(r)
	for i := range s.count {
		begin := streamTry(fmt.Sprint("s-", i), herdKilled-s.lead, ledger.Closed)
		begin.Ended, begin.Events, begin.Software, begin.Status = at(herdKilled), 3, []string{"v1"}, 200
		dying := streamTry(fmt.Sprint("d-", i), herdKilled+1, ledger.Closed)
		dying.Stream, dying.LastEvent = begin.Stream, 3
		again := streamTry(fmt.Sprint("t-", i), herdKilled+2*second, ledger.Refused)
		again.Stream, again.LastEvent, again.Status, again.Cause = begin.Stream, 3, 503, "beginning of the stream unknown"
		if i < s.goingOn {
			again.Outcome, again.Events, again.Software, again.Status, again.Cause = ledger.Whole, 5, []string{s.goesOnAt}, 200, ""
		}
		r.Attempts = append(r.Attempts, begin, dying, again)
		r.Runs = append(r.Runs, platformstandin.RunEvent{ID: begin.ID, Endpoint: "e-0", Phase: platformstandin.RunBegan, At: begin.Began})
	}
	return r
}

func TestStreamsAreJudgedAfterHerdKill(t *testing.T) {
	const afterKill = herdKilled + 2*second
	for name, test := range map[string]struct {
		streams herdStreams
		change  func(*ledger.Record)
		check   string
	}{
		"all go on":                     {streams: herdStreams{count: 34, goingOn: 34}},
		"nearly all go on":              {streams: herdStreams{count: 34, goingOn: 33}},
		"fewer go on":                   {streams: herdStreams{count: 33, goingOn: 32}, check: ledger.CheckHerdGoesOn},
		"none goes on":                  {streams: herdStreams{count: 12}, check: ledger.CheckHerdGoesOn},
		"few streams":                   {streams: herdStreams{count: 11}},
		"begun half a second before":    {streams: herdStreams{count: 12, lead: second / 2}, check: ledger.CheckHerdGoesOn},
		"begun just before":             {streams: herdStreams{count: 12, lead: second / 4}},
		"one endpoint of their version": {streams: herdStreams{count: 12, missing: 1}},
		"endpoint ends":                 {streams: herdStreams{count: 12}, change: addDisruption(ledger.EndpointEnds, "e-0", afterKill, afterKill)},
		"killed again":                  {streams: herdStreams{count: 12}, change: addDisruption(ledger.Kill, "a", afterKill, afterKill+second)},
		"killed earlier":                {streams: herdStreams{count: 12}, change: addDisruption(ledger.Kill, "a", herdKilled-3*second, herdKilled-2*second), check: ledger.CheckHerdGoesOn},
		"other instance killed again":   {streams: herdStreams{count: 12}, change: addDisruption(ledger.Kill, "b", afterKill, afterKill+second), check: ledger.CheckHerdGoesOn},
		"killed after they went on":     {streams: herdStreams{count: 24, goingOn: 24}, change: addDisruption(ledger.Kill, "a", afterKill, afterKill+second)},
		"store troubled":                {streams: herdStreams{count: 12}, change: addDisruption(ledger.StoreFault, "", herdKilled-2*second, herdKilled-second)},
		"store troubled long before":    {streams: herdStreams{count: 12}, change: addDisruption(ledger.StoreFault, "", herdKilled-9*second, herdKilled-8*second), check: ledger.CheckHerdGoesOn},
		"instance frozen":               {streams: herdStreams{count: 12}, change: addDisruption(ledger.Freeze, "a", afterKill, afterKill)},
		"no herd kill":                  {streams: herdStreams{count: 2, goingOn: 2, goesOnAt: "v2"}, change: removeHerdKills},
		"one goes on at another version": {
			streams: herdStreams{count: 1, goingOn: 1, goesOnAt: "v2"}, check: ledger.CheckHerdMixed,
		},
		"versions joined within one answer": {
			streams: herdStreams{count: 1, goingOn: 1}, check: ledger.CheckHerdMixed, change: func(r *ledger.Record) {
				last := &r.Attempts[len(r.Attempts)-1]
				last.Software = append(last.Software, "v2")
			},
		},
		"versions joined before": {
			streams: herdStreams{count: 1, goingOn: 1}, change: func(r *ledger.Record) {
				begin := &r.Attempts[len(r.Attempts)-3]
				begin.Software = append(begin.Software, "v2")
			},
		},
		"refused as unknown and ran": {
			streams: herdStreams{count: 1}, check: ledger.CheckHerdUnknown, change: func(r *ledger.Record) {
				r.Runs = append(r.Runs, platformstandin.RunEvent{ID: "t-0", Endpoint: "e-0", Phase: platformstandin.RunBegan, At: at(afterKill)})
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := test.streams.record()
			if test.change != nil {
				test.change(r)
			}
			found := make(map[string]bool)
			for _, finding := range ledger.RunChecks(r) {
				found[finding.Check] = true
			}
			if test.check == "" {
				assert.Empty(t, found)
				return
			}
			assert.Equal(t, map[string]bool{test.check: true}, found)
		})
	}
}

// removeHerdKills removes the herd kills, but not the kills of their instances.
func removeHerdKills(r *ledger.Record) {
	var kept []ledger.Disruption
	for _, d := range r.Disruptions {
		if d.Fault != ledger.HerdKill {
			kept = append(kept, d)
		}
	}
	r.Disruptions = kept
}

func TestStreamsAfterHerdKillsAreCounted(t *testing.T) {
	r := herdStreams{count: 5, goingOn: 3}.record()
	assert.Equal(t, ledger.AfterHerds{Kills: 1, TakenUp: 5, Streams: 5, GoneOn: 3, Unknown: 2}, ledger.CountAfterHerds(r))
	addDisruption(ledger.HerdKill, "", herdKilled+second/2, herdKilled+second/2)(r)
	addDisruption(ledger.Kill, "a", herdKilled+second/2, herdKilled+second)(r)
	assert.Equal(t, ledger.AfterHerds{Kills: 2, TakenUp: 5, GoneOn: 3, Streams: 3, Unknown: 2}, ledger.CountAfterHerds(r), "killed again before two went on")
	addDisruption(ledger.HerdKill, "", herdKilled+5*second/2, herdKilled+5*second/2)(r)
	for i := range 3 {
		again := streamTry(fmt.Sprint("u-", i), herdKilled+4*second, ledger.Whole)
		again.Stream, again.LastEvent, again.Status, again.Events, again.Software = fmt.Sprint("s-", i), 8, 200, 2, []string{"v1"}
		r.Attempts = append(r.Attempts, again)
	}
	count := ledger.CountAfterHerds(r)
	assert.Equal(t, 3, count.Kills)
	assert.Equal(t, 8, count.TakenUp, "a stream that went on counts for the next kill as well")
	assert.Equal(t, 6, count.GoneOn)
	removeHerdKills(r)
	assert.Zero(t, ledger.CountAfterHerds(r))
	assert.Empty(t, ledger.CountAfterHerds(r).String())
}

// TestTriesAtDyingInstancesTakeNothingUp guards against streams that count although no instance was there to take them up.
func TestTriesAtDyingInstancesTakeNothingUp(t *testing.T) {
	r := herdStreams{count: 1}.record()
	r.Attempts = r.Attempts[:len(r.Attempts)-1]
	assert.Zero(t, ledger.CountAfterHerds(r).TakenUp)
}
