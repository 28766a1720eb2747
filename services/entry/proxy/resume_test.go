// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// quiet is a silence of an endpoint that is far longer than the one after which a stream may go on elsewhere, and far shorter than the
// one after which callers give up.
var quiet = strings.Repeat(pausing, 5)

// TestAResumableStreamIsLostByNothingThatItsEndpointSurvives is about streams that were closed without their end though their endpoint
// would have gone on, or could have been asked again.
//
// What users saw: a stream of a route that may be resumed ended in its middle, while its endpoint worked on it, two to four seconds
// after a change of the configuration or the begin of a stop. The order of events: the endpoint is silent for four pause targets, as one
// that preempts the request; the exchange is given up; only then the fleet's budget is asked for the retry, or another endpoint for a
// place; one of them refuses, and the caller's connection is closed. The cause: what was held was given up before what replaces it was
// had.
//
// The evidence: with real processes, endpoints that broke off and were alone with their adapter were not asked again, and the wait for
// another copy ended after 0 to 0.4 s with 4 s of the deadline left; on played days streams ended after their next endpoint had refused
// them.
func TestAResumableStreamIsLostByNothingThatItsEndpointSurvives(t *testing.T) {
	const goesOn = first + second
	for name, test := range map[string]struct {
		scripts []string
		budget  int
		// laterBudget is granted a while after the begin.
		laterBudget int
		body        string
		resumes     []string
	}{
		"a silence while the budget grants nothing": {
			[]string{events(first) + quiet + chunk(second) + last, events(second) + last}, 0, 0, goesOn, []string{""},
		},
		"a silence while no other endpoint takes it": {
			[]string{events(first) + quiet + chunk(second) + last}, 1, 0, goesOn, []string{""},
		},
		"a silence that another endpoint ends": {
			[]string{events(first) + strings.Repeat(quiet, 6), events(second) + last}, 1, 0, goesOn, []string{"", "1"},
		},
		"an end by the endpoint, which alone could go on": {
			[]string{events(first) + again + events(second) + last}, 1, 0, goesOn, []string{"", "1"},
		},
		"three ends in a row by the endpoint, which alone could go on": {
			[]string{events(first) + again + events() + again + again + events(second) + last}, 9, 0, goesOn, []string{"", "1", "1", "1"},
		},
		"many ends by the endpoint, each after an event": {
			[]string{strings.Join([]string{events(first), events(second), events(third), events(event(4)), events(event(5)), events(event(6)), events(event(7)) + last}, again)},
			9, 0, goesOn + third + event(4) + event(5) + event(6) + event(7), []string{"", "1", "2", "3", "4", "5", "6"},
		},
		"an end by the endpoint while the budget grants nothing yet": {
			[]string{events(first), events(second) + last}, 0, 1, goesOn, []string{"", "1"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, server := newSite(t, test.scripts...)
			s.pauseTarget(scriptPause / 2)
			s.budget = test.budget
			if test.laterBudget > 0 {
				time.AfterFunc(3*scriptPause, func() {
					s.mutex.Lock()
					defer s.mutex.Unlock()
					s.budget = test.laterBudget
				})
			}
			got := ask(t, server, "/resumable", "")
			assert.Equal(t, answered{http.StatusOK, test.body, "", true}, got)
			assert.Equal(t, test.resumes, s.resumes)
			assert.Empty(t, (<-s.observed).Reason)
		})
	}
}

// event is one event of a stream.
func event(id int) string {
	return fmt.Sprintf("id: %d\ndata: e\n\n", id)
}

// chunk is one part of a stream that goes on.
func chunk(part string) string {
	return strings.TrimPrefix(events(part), events())
}

// pauseTarget sets the pause target of the route that may be resumed.
func (s *site) pauseTarget(target time.Duration) {
	s.configuration.Match("h", "/resumable").TargetPause = target
}
