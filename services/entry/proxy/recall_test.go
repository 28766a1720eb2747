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

// TestRecalledRequest checks that the endpoint's connection is closed at once, that the endpoint's health is not affected, and that
// the request is sent again only if it may run more than once.
func TestRecalledRequest(t *testing.T) {
	response := chunkedResponse(firstEvent, secondEvent) + lastChunk
	for name, test := range map[string]struct {
		path        string
		scripts     []string
		retryBudget int
		response    callerResponse
		reason      string
		results     []attempt.Result
		outcomes    []directory.Outcome
	}{
		"stream": {
			"/stream", []string{scriptQueued, response}, 1, callerResponse{502, "not begun in time\n", "", true}, "not begun in time",
			[]attempt.Result{attempt.Recalled}, []directory.Outcome{directory.Neutral},
		},
		"stream after the response head": {
			"/stream", []string{scriptQueued + chunkedResponse(), response}, 1, callerResponse{502, "not begun in time\n", "", true}, "not begun in time",
			[]attempt.Result{attempt.Recalled}, []directory.Outcome{directory.Neutral},
		},
		"resumable stream": {
			"/resumable", []string{scriptQueued, response}, 1, callerResponse{200, firstEvent + secondEvent, "", true}, "",
			[]attempt.Result{attempt.Recalled, attempt.Finished}, []directory.Outcome{directory.Neutral, directory.Succeeded},
		},
		"resumable stream, retry not granted": {
			"/resumable", []string{scriptQueued, response}, 0, callerResponse{502, "not begun in time\n", "", true}, "not begun in time",
			[]attempt.Result{attempt.Recalled}, []directory.Outcome{directory.Neutral},
		},
		"resumable stream, no other endpoint": {
			"/resumable", []string{scriptQueued}, 1, callerResponse{502, "no endpoint for a repeat\n", "", true}, "no endpoint for a repeat",
			[]attempt.Result{attempt.Recalled}, []directory.Outcome{directory.Neutral},
		},
		"resumed stream, recalled from the second endpoint": {
			"/resumable", []string{chunkedResponse(firstEvent) + nextConnection + chunkedResponse(secondEvent) + lastChunk, scriptQueued}, 2, callerResponse{200, firstEvent + secondEvent, "", true}, "",
			[]attempt.Result{attempt.Interrupted, attempt.Recalled, attempt.Finished},
			[]directory.Outcome{directory.Broken, directory.Neutral, directory.Succeeded},
		},
		"resumed stream, recalled from the second endpoint and refused by the first": {
			"/resumable", []string{chunkedResponse(firstEvent) + nextConnection + fixedResponse(503, notRunHeader+closeHeader, "busy"), scriptQueued}, 4, callerResponse{200, firstEvent, "", false}, "stream broke off",
			[]attempt.Result{attempt.Interrupted, attempt.Recalled, attempt.NotRun, attempt.NotRun},
			[]directory.Outcome{directory.Broken, directory.Neutral, directory.Refused, directory.Refused},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, server := newTestProxy(t, test.scripts...)
			p.retryBudget = test.retryBudget
			started := time.Now()
			assert.Equal(t, test.response, sendRequest(t, server, test.path, "question"))
			assert.Less(t, time.Since(started), 4*time.Second, "no time-out was awaited")
			observation := <-p.observations
			assert.Equal(t, test.reason, observation.Reason)
			var results []attempt.Result
			for _, record := range observation.Attempts {
				results = append(results, record.Result)
			}
			assert.Equal(t, test.results, results)
			assert.Equal(t, test.outcomes, p.outcomes)
			<-p.connectionClosed
		})
	}
}

// TestRunningStreamIsNotRecalled tries to recall the request after its first event was received.
func TestRunningStreamIsNotRecalled(t *testing.T) {
	p, server := newTestProxy(t, chunkedResponse(firstEvent, secondEvent)+lastChunk)
	recall := p.addRecall(p.endpoints[0].ID)
	assert.Equal(t, callerResponse{200, firstEvent + secondEvent, "", true}, sendRequest(t, server, "/stream", "question"))
	assert.False(t, recall.Fire())
	observation := <-p.observations
	assert.Empty(t, observation.Reason)
}

// TestRecallBeforeRequestIsSent checks that a request which was recalled before it was sent goes to another endpoint without
// using a retry.
func TestRecallBeforeRequestIsSent(t *testing.T) {
	p, server := newTestProxy(t, chunkedResponse(firstEvent)+lastChunk, chunkedResponse(secondEvent)+lastChunk)
	p.addRecall(p.endpoints[0].ID).Fire()
	assert.Equal(t, callerResponse{200, secondEvent, "", true}, sendRequest(t, server, "/stream", "question"))
	observation := <-p.observations
	assert.Equal(t, attempt.NotSent, observation.Attempts[0].Result)
	assert.Equal(t, []directory.Outcome{directory.Neutral, directory.Succeeded}, p.outcomes)
}
