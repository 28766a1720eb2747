// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// TestARequestThatIsTakenBack: the endpoint sees the close at once and is not blamed, and only what may run twice is sent again.
func TestARequestThatIsTakenBack(t *testing.T) {
	answer := events(first, second) + last
	for name, test := range map[string]struct {
		path     string
		scripts  []string
		budget   int
		answer   answered
		reason   string
		results  []attempt.Result
		outcomes []directory.Outcome
	}{
		"a stream": {
			"/stream", []string{queues, answer}, 1, answered{502, "not begun in time\n", "", true}, "not begun in time",
			[]attempt.Result{attempt.TakenBack}, []directory.Outcome{directory.Neutral},
		},
		"a stream whose head has come": {
			"/stream", []string{queues + events(), answer}, 1, answered{502, "not begun in time\n", "", true}, "not begun in time",
			[]attempt.Result{attempt.TakenBack}, []directory.Outcome{directory.Neutral},
		},
		"a resumable stream": {
			"/resumable", []string{queues, answer}, 1, answered{200, first + second, "", true}, "",
			[]attempt.Result{attempt.TakenBack, attempt.Finished}, []directory.Outcome{directory.Neutral, directory.Succeeded},
		},
		"a resumable stream, no retry granted": {
			"/resumable", []string{queues, answer}, 0, answered{502, "not begun in time\n", "", true}, "not begun in time",
			[]attempt.Result{attempt.TakenBack}, []directory.Outcome{directory.Neutral},
		},
		"a resumable stream, no other endpoint": {
			"/resumable", []string{queues}, 1, answered{502, "no endpoint for a repeat\n", "", true}, "no endpoint for a repeat",
			[]attempt.Result{attempt.TakenBack}, []directory.Outcome{directory.Neutral},
		},
		"a resumable stream that was to go on there": {
			"/resumable", []string{events(first) + again + events(second) + last, queues}, 2, answered{200, first + second, "", true}, "",
			[]attempt.Result{attempt.BrokenOff, attempt.TakenBack, attempt.Finished},
			[]directory.Outcome{directory.Broken, directory.Neutral, directory.Succeeded},
		},
		"a resumable stream that was to go on there, and that its own endpoint refuses": {
			"/resumable", []string{events(first) + again + whole(503, notRun+closes, "busy"), queues}, 4, answered{200, first, "", false}, "stream broke off",
			[]attempt.Result{attempt.BrokenOff, attempt.TakenBack, attempt.NotRun, attempt.NotRun},
			[]directory.Outcome{directory.Broken, directory.Neutral, directory.Refused, directory.Refused},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, server := newSite(t, test.scripts...)
			s.budget = test.budget
			began := time.Now()
			assert.Equal(t, test.answer, ask(t, server, test.path, "question"))
			assert.Less(t, time.Since(began), 4*time.Second, "it waits for no time-out")
			observation := <-s.observed
			assert.Equal(t, test.reason, observation.Reason)
			var results []attempt.Result
			for _, record := range observation.Attempts {
				results = append(results, record.Result)
			}
			assert.Equal(t, test.results, results)
			assert.Equal(t, test.outcomes, s.outcomes)
			<-s.dropped
		})
	}
}

// TestAStreamThatRunsIsNotTakenBack takes the request back after its first event was seen.
func TestAStreamThatRunsIsNotTakenBack(t *testing.T) {
	s, server := newSite(t, events(first, second)+last)
	recall := s.track(s.endpoints[0].ID)
	assert.Equal(t, answered{200, first + second, "", true}, ask(t, server, "/stream", "question"))
	assert.False(t, recall.Fire())
	observation := <-s.observed
	assert.Empty(t, observation.Reason)
}

// TestARequestThatIsTakenBackBeforeItIsSent is sent nowhere, so that it is no retry to try another endpoint.
func TestARequestThatIsTakenBackBeforeItIsSent(t *testing.T) {
	s, server := newSite(t, events(first)+last, events(second)+last)
	s.track(s.endpoints[0].ID).Fire()
	assert.Equal(t, answered{200, second, "", true}, ask(t, server, "/stream", "question"))
	observation := <-s.observed
	assert.Equal(t, attempt.NotSent, observation.Attempts[0].Result)
	assert.Equal(t, []directory.Outcome{directory.Neutral, directory.Succeeded}, s.outcomes)
}
