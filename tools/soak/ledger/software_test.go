// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

// takenUpStreams describes streams that begin at software version v1 and that their callers take up once.
type takenUpStreams struct {
	count, goingOn int
	// goesOnAt is the software version at which those that go on do. serving is how many endpoints of version v1 serve.
	goesOnAt string
	serving  int
	// refused is how many further streams are refused at their begin.
	refused int
}

// record returns a record of the streams.
func (s takenUpStreams) record() *ledger.Record {
	r := validRecord()
	for i := range s.serving {
		r.Endpoints = append(r.Endpoints, ledger.EndpointSpan{Endpoint: fmt.Sprint("e-", i), Software: "v1", From: at(0)})
	}
	for i := range s.count {
		begin := streamTry(fmt.Sprint("s-", i), 10*second, ledger.Abandoned)
		begin.PlannedClose, begin.Events, begin.Software = true, 3, []string{"v1"}
		again := streamTry(fmt.Sprint("t-", i), 11*second, ledger.Refused)
		again.Stream, again.LastEvent = begin.Stream, 3
		if i < s.goingOn {
			again.Outcome, again.Events, again.Software = ledger.Whole, 5, []string{s.goesOnAt}
		}
		r.Attempts = append(r.Attempts, begin, again)
	}
	for i := range s.refused {
		r.Attempts = append(r.Attempts, streamTry(fmt.Sprint("n-", i), 10*second, ledger.Refused))
	}
	return r
}

// streamTry returns a try of a stream of its own.
func streamTry(id string, began time.Duration, outcome ledger.Outcome) ledger.Attempt {
	return ledger.Attempt{
		ID: id, Stream: id, Kind: ledger.Resumable, Path: "/digest/x", Instance: "a", Began: at(began), Sent: at(began), Ended: at(began + second),
		Timeout: 4 * second, Outcome: outcome,
	}
}

func TestTakenUpStreamsAreJudged(t *testing.T) {
	for name, test := range map[string]struct {
		streams takenUpStreams
		change  func(*ledger.Record)
		check   string
	}{
		"all go on":                     {streams: takenUpStreams{count: 12, goingOn: 12, goesOnAt: "v1", serving: 2}},
		"half go on":                    {streams: takenUpStreams{count: 12, goingOn: 6, goesOnAt: "v1", serving: 2}},
		"fewer than half go on":         {streams: takenUpStreams{count: 12, goingOn: 5, goesOnAt: "v1", serving: 2}, check: ledger.CheckGoesOn},
		"few go on, few begin":          {streams: takenUpStreams{count: 12, goingOn: 5, goesOnAt: "v1", serving: 2, refused: 12}},
		"few streams":                   {streams: takenUpStreams{count: 11, serving: 2}},
		"one endpoint of their version": {streams: takenUpStreams{count: 12, serving: 1}},
		"instance frozen":               {streams: takenUpStreams{count: 12, serving: 2}, change: addDisruption(ledger.Freeze, "a", 9*second, 10*second)},
		"other instance frozen":         {streams: takenUpStreams{count: 12, serving: 2}, change: addDisruption(ledger.Freeze, "b", 9*second, 10*second), check: ledger.CheckGoesOn},
		"endpoint ends":                 {streams: takenUpStreams{count: 12, serving: 2}, change: addDisruption(ledger.EndpointEnds, "e-0", 11*second, 12*second)},
		"endpoint leaves": {streams: takenUpStreams{count: 12, serving: 2}, change: func(r *ledger.Record) {
			r.Endpoints[0].To = at(11 * second)
		}},
		"two go on at another version":   {streams: takenUpStreams{count: 2, goingOn: 2, goesOnAt: "v2", serving: 2}},
		"three go on at another version": {streams: takenUpStreams{count: 3, goingOn: 3, goesOnAt: "v2", serving: 2}, check: ledger.CheckSoftware},
		"three answers hold two versions": {
			streams: takenUpStreams{count: 3, serving: 2}, change: func(r *ledger.Record) {
				for i := range r.Attempts {
					r.Attempts[i].Software = append(r.Attempts[i].Software, "v2")
				}
			}, check: ledger.CheckSoftware,
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
