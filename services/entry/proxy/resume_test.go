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

// searchSilence is a silence of an endpoint that is far longer than the one after which another endpoint is searched for a stream,
// and far shorter than the one after which callers are expected to give up.
var searchSilence = strings.Repeat(pauseMark, 5)

// TestResumableStreamSurvivesEndpointInterruption guards against resumable streams that were closed although their endpoint would
// have continued, or could have been asked again. It happened two to four seconds after a configuration change or the start of a
// shutdown: the endpoint is silent for four pause targets, as when it preempts the request, and the exchange is given up before the
// retry budget and another endpoint are asked. If one of them refuses, the caller's connection is closed. The exchange must not be
// given up before its replacement is available.
//
// With real processes, endpoints that interrupted a stream and were the only ones with the adapter were not asked again, and the wait
// for another copy ended after 0 to 0.4 s with 4 s of the deadline left. In simulated days, streams ended after their next endpoint
// had refused them.
func TestResumableStreamSurvivesEndpointInterruption(t *testing.T) {
	const bothEvents = firstEvent + secondEvent
	for name, test := range map[string]struct {
		scripts     []string
		retryBudget int
		// laterBudget is granted some time after the request.
		laterBudget int
		body        string
		resumeIDs   []string
	}{
		"silence, retry not granted": {
			[]string{chunkedResponse(firstEvent) + searchSilence + encodeChunk(secondEvent) + lastChunk, chunkedResponse(secondEvent) + lastChunk}, 0, 0, bothEvents, []string{""},
		},
		"silence, no other endpoint": {
			[]string{chunkedResponse(firstEvent) + searchSilence + encodeChunk(secondEvent) + lastChunk}, 1, 0, bothEvents, []string{""},
		},
		"silence, another endpoint continues": {
			[]string{chunkedResponse(firstEvent) + strings.Repeat(searchSilence, 6), chunkedResponse(secondEvent) + lastChunk}, 1, 0, bothEvents, []string{"", "1"},
		},
		"silence, another endpoint ends right after its head": {
			[]string{chunkedResponse(firstEvent) + strings.Repeat(searchSilence, 2) + encodeChunk(secondEvent) + lastChunk, untilClose()}, 1, 0, bothEvents, []string{"", "1"},
		},
		"interruption by the only endpoint": {
			[]string{chunkedResponse(firstEvent) + nextConnection + chunkedResponse(secondEvent) + lastChunk}, 1, 0, bothEvents, []string{"", "1"},
		},
		"three consecutive interruptions by the only endpoint": {
			[]string{chunkedResponse(firstEvent) + nextConnection + chunkedResponse() + nextConnection + nextConnection + chunkedResponse(secondEvent) + lastChunk}, 9, 0, bothEvents, []string{"", "1", "1", "1"},
		},
		"many interruptions by the only endpoint, each after an event": {
			[]string{strings.Join([]string{chunkedResponse(firstEvent), chunkedResponse(secondEvent), chunkedResponse(thirdEvent), chunkedResponse(numberedEvent(4)), chunkedResponse(numberedEvent(5)), chunkedResponse(numberedEvent(6)), chunkedResponse(numberedEvent(7)) + lastChunk}, nextConnection)},
			9, 0, bothEvents + thirdEvent + numberedEvent(4) + numberedEvent(5) + numberedEvent(6) + numberedEvent(7), []string{"", "1", "2", "3", "4", "5", "6"},
		},
		"interruption, retry granted later": {
			[]string{chunkedResponse(firstEvent), chunkedResponse(secondEvent) + lastChunk}, 0, 1, bothEvents, []string{"", "1"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, server := newTestProxy(t, test.scripts...)
			p.setPauseTarget(scriptPause / 2)
			p.retryBudget = test.retryBudget
			if test.laterBudget > 0 {
				time.AfterFunc(3*scriptPause, func() {
					p.mutex.Lock()
					defer p.mutex.Unlock()
					p.retryBudget = test.laterBudget
				})
			}
			response := sendRequest(t, server, "/resumable", "")
			assert.Equal(t, callerResponse{http.StatusOK, test.body, "", true}, response)
			assert.Equal(t, test.resumeIDs, p.resumeIDs)
			assert.Empty(t, (<-p.observations).Reason)
		})
	}
}

// numberedEvent returns an event with an id.
func numberedEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: e\n\n", id)
}

// encodeChunk returns a further chunk of a response that chunkedResponse started.
func encodeChunk(part string) string {
	return strings.TrimPrefix(chunkedResponse(part), chunkedResponse())
}

// setPauseTarget sets the pause target of the resumable route.
func (p *testProxy) setPauseTarget(target time.Duration) {
	p.configuration.Match("h", "/resumable").TargetPause = target
}
