// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// callerSilence is a silence of an endpoint that is longer than 2 s, the time for which callers are expected to wait on the routes of
// these tests.
var callerSilence = strings.Repeat(pauseMark, 26)

// TestSilentEndpointDoesNotEndStream guards against a silence timer that closes streams while their endpoint still works on them and
// their callers still wait. The endpoint is silent for as long as callers of the route are expected to wait, 3.2 s, because it
// preempts requests or runs on a busy host; a timer of the same length in the instance ended the exchange and closed the caller's
// connection. It happened beside a new configuration version to streams that may not be resumed, after the head of their response,
// each time at two instances and one endpoint. The instance must not guess how long a caller waits: the caller closes its connection,
// and the deadline limits the request.
//
// With real processes, 80 of 80 streams with an event every 4 s and callers that stayed were closed 3.45 s after an event, with and
// without configuration changes; their log lines named the instance's silence timer.
func TestSilentEndpointDoesNotEndStream(t *testing.T) {
	for name, test := range map[string]struct {
		path, script, body string
	}{
		"between events":                      {"/stream", chunkedResponse(firstEvent) + callerSilence + encodeChunk(secondEvent) + lastChunk, firstEvent + secondEvent},
		"before the first event":              {"/stream", chunkedResponse() + callerSilence + encodeChunk(firstEvent) + lastChunk, firstEvent},
		"before the response head":            {"/stream", callerSilence + chunkedResponse(firstEvent) + lastChunk, firstEvent},
		"resumable, between events":           {"/resumable", chunkedResponse(firstEvent) + callerSilence + encodeChunk(secondEvent) + lastChunk, firstEvent + secondEvent},
		"resumable, before the first event":   {"/resumable", chunkedResponse() + callerSilence + encodeChunk(firstEvent) + lastChunk, firstEvent},
		"resumable, before the response head": {"/resumable", callerSilence + chunkedResponse(firstEvent) + lastChunk, firstEvent},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, server := newTestProxy(t, test.script)
			p.setShortTargets()
			p.retryBudget = 1
			response := sendRequest(t, server, test.path, "")
			assert.Equal(t, callerResponse{http.StatusOK, test.body, "", true}, response)
			assert.Empty(t, (<-p.observations).Reason)
		})
	}
}

// TestSlowCallerIsNotEndpointSilence guards against a silence timer that keeps running while a write to the caller blocks. Nothing is
// read from the endpoint during that time, and the stream was closed although both ends were alive.
func TestSlowCallerIsNotEndpointSilence(t *testing.T) {
	// The kernel buffers some MB for a connection on loopback; the remainder waits for the caller.
	const parts = 64
	part := "id: 1\ndata: " + strings.Repeat("x", 256<<10) + "\n\n"
	script := chunkedResponse() + strings.Repeat(encodeChunk(part), parts) + lastChunk
	for name, path := range map[string]string{"a stream": "/stream", "a resumable stream": "/resumable"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, server := newTestProxy(t, script, "")
			p.setShortTargets()
			p.retryBudget = 10
			request, err := http.NewRequest(http.MethodPost, server.URL+path, http.NoBody)
			require.NoError(t, err)
			request.Host = "h"
			response, err := server.Client().Do(request)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			time.Sleep(time.Duration(len(callerSilence)) * scriptPause)
			content, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			assert.Len(t, content, parts*len(part))
			assert.Equal(t, []string{""}, p.requestedResumeIDs(), "the stream must not be resumed")
		})
	}
}

// TestCallerThatNeverReadsIsReleasedAtDeadline guards against a write to a caller that does not read and blocks until the operating
// system gives up, beyond the request's deadline and the end of the process. The request kept its place at the endpoint, and no log
// line was written. It was seen in a soak test of real processes during a shutdown: a stream that was read slowly ended with its
// process, and without a log line.
func TestCallerThatNeverReadsIsReleasedAtDeadline(t *testing.T) {
	const timeout = 500 * time.Millisecond
	part := "id: 1\ndata: " + strings.Repeat("x", 256<<10) + "\n\n"
	script := chunkedResponse() + strings.Repeat(encodeChunk(part), 64) + lastChunk
	for name, path := range map[string]string{"a stream": "/stream", "a resumable stream": "/resumable", "a large response": "/unsafe"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, server := newTestProxy(t, script, script)
			p.configuration.Match("h", path).Timeout = timeout
			request, err := http.NewRequest(http.MethodPost, server.URL+path, http.NoBody)
			require.NoError(t, err)
			request.Host = "h"
			response, err := server.Client().Do(request)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			select {
			case observation := <-p.observations:
				assert.NotEmpty(t, observation.Reason)
			case <-time.After(20 * timeout):
				assert.Fail(t, "the request did not end after its deadline")
			}
		})
	}
}

// TestWriteDeadlineDoesNotOutliveRequest checks that the write deadline of a request does not apply to the next request on the same
// connection.
func TestWriteDeadlineDoesNotOutliveRequest(t *testing.T) {
	p, server := newTestProxy(t, fixedResponse(http.StatusOK, endpointMarkHeader, "yes"))
	p.configuration.Match("h", "/unsafe").Timeout = scriptPause
	for range 2 {
		assert.Equal(t, callerResponse{http.StatusOK, "yes", "", true}, sendRequest(t, server, "/unsafe", ""))
		<-p.observations
		time.Sleep(scriptPause + 600*time.Millisecond)
	}
}

// TestExchangeIsReplacedOnlyByStartedResponse guards against giving up an exchange for another endpoint that then does not serve the
// request. Resumable streams were closed with the reason "stream not resumed" while their endpoint worked on them: the endpoint is
// silent for four pause targets, another endpoint is assigned and the retry granted, and the exchange is given up; the other endpoint
// then refuses because it does not hold the adapter at the version that it was assumed to hold. A request with a complete response
// was given up after half of its time, before another endpoint was even acquired.
//
// With real processes and a new adapter version every second, three of 95 streams with pauses of 3 s were closed this way, each by an
// endpoint that answered 421, while the stream's own endpoint would have continued a second later.
func TestExchangeIsReplacedOnlyByStartedResponse(t *testing.T) {
	continues := chunkedResponse(firstEvent) + searchSilence + encodeChunk(secondEvent) + lastChunk
	refusal := fixedResponse(http.StatusMisdirectedRequest, notRunHeader, "not here")
	delayedResponse := searchSilence + fixedResponse(http.StatusOK, endpointMarkHeader, "yes")
	for name, test := range map[string]struct {
		path    string
		scripts []string
		// timeout is the time-out of the route; 0 for the default.
		timeout     time.Duration
		retryBudget int
		body        string
		resumeIDs   []string
	}{
		"stream, other endpoint refuses":           {"/resumable", []string{continues, refusal}, 0, 1, firstEvent + secondEvent, []string{"", "1"}},
		"stream, other endpoint fails":             {"/resumable", []string{continues, fixedResponse(500, endpointMarkHeader, "no")}, 0, 1, firstEvent + secondEvent, []string{"", "1"}},
		"stream, other endpoint closes connection": {"/resumable", []string{continues, ""}, 0, 1, firstEvent + secondEvent, []string{"", "1"}},
		"stream, other endpoint is silent":         {"/resumable", []string{continues, callerSilence}, 0, 1, firstEvent + secondEvent, []string{"", "1"}},
		"stream, other endpoint continues":         {"/resumable", []string{chunkedResponse(firstEvent) + callerSilence, chunkedResponse(secondEvent) + lastChunk}, 0, 1, firstEvent + secondEvent, []string{"", "1"}},
		"stream, other endpoint responds late":     {"/resumable", []string{chunkedResponse(firstEvent) + callerSilence, searchSilence + chunkedResponse(secondEvent) + lastChunk}, 0, 1, firstEvent + secondEvent, []string{"", "1"}},
		"response, retry not granted":              {"/safe", []string{delayedResponse, delayedResponse}, 8 * scriptPause, 0, "yes", []string{""}},
		"response, no other endpoint":              {"/safe", []string{delayedResponse}, 8 * scriptPause, 1, "yes", []string{""}},
		"response, other endpoint refuses":         {"/safe", []string{delayedResponse, refusal}, 8 * scriptPause, 1, "yes", []string{"", ""}},
		"response, other endpoint fails":           {"/safe", []string{delayedResponse, fixedResponse(500, endpointMarkHeader, "no")}, 8 * scriptPause, 1, "yes", []string{"", ""}},
		"response, other endpoint is silent":       {"/safe", []string{delayedResponse, callerSilence}, 8 * scriptPause, 1, "yes", []string{"", ""}},
		"response, other endpoint is faster":       {"/safe", []string{callerSilence, fixedResponse(200, endpointMarkHeader, "yes")}, 8 * scriptPause, 1, "yes", []string{"", ""}},
		"response, first endpoint closes connection while the other is asked": {
			"/safe", []string{strings.Repeat(pauseMark, 12), searchSilence + fixedResponse(200, endpointMarkHeader, "yes")}, 20 * scriptPause, 1, "yes", []string{"", ""},
		},
		"response, first endpoint fails while the other is asked": {
			"/safe", []string{strings.Repeat(pauseMark, 12) + fixedResponse(500, endpointMarkHeader, "no"), searchSilence + fixedResponse(200, endpointMarkHeader, "yes")}, 20 * scriptPause, 1, "yes",
			[]string{"", ""},
		},
		"stream, first endpoint closes connection while the other is asked": {
			"/resumable", []string{chunkedResponse(firstEvent) + strings.Repeat(pauseMark, 4), searchSilence + chunkedResponse(secondEvent) + lastChunk}, 0, 1, firstEvent + secondEvent, []string{"", "1"},
		},
		"response, first endpoint closes connection during the search": {"/safe", []string{searchSilence, searchSilence + fixedResponse(200, endpointMarkHeader, "yes")}, 20 * scriptPause, 1, "yes", []string{"", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, server := newTestProxy(t, test.scripts...)
			p.setPauseTarget(scriptPause / 2)
			if test.timeout > 0 {
				p.configuration.Match("h", test.path).Timeout = test.timeout
			}
			p.retryBudget = test.retryBudget
			response := sendRequest(t, server, test.path, "")
			assert.Equal(t, callerResponse{http.StatusOK, test.body, "", true}, response)
			assert.Equal(t, test.resumeIDs, p.requestedResumeIDs())
			assert.Empty(t, (<-p.observations).Reason)
		})
	}
}

// setShortTargets sets targets so short that the minimum silence time-out applies to the streaming routes.
func (p *testProxy) setShortTargets() {
	for _, path := range []string{"/stream", "/resumable"} {
		route := p.configuration.Match("h", path)
		route.TargetLatency, route.TargetPause = scriptPause, scriptPause
	}
}

// requestedResumeIDs returns, for each request to an endpoint, the id of the event after which it asked to resume.
func (p *testProxy) requestedResumeIDs() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]string{}, p.resumeIDs...)
}
