// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// TestStreamGoesOnAtSoftwareThatBeganIt covers the ways in which an answer goes on at another endpoint: after an interruption, while its endpoint
// is silent, and over several endpoints. An endpoint whose software differs or is unknown never continues it.
func TestStreamGoesOnAtSoftwareThatBeganIt(t *testing.T) {
	const bothEvents = firstEvent + secondEvent
	interrupted := chunkedResponse(firstEvent)
	continued := chunkedResponse(secondEvent) + lastChunk
	wrong := chunkedResponse(numberedEvent(9)) + lastChunk
	silent := interrupted + searchSilence + encodeChunk(secondEvent) + lastChunk
	for name, test := range map[string]struct {
		scripts   []string
		software  []string
		body      string
		resumeIDs []string
	}{
		"interruption, another software comes first": {[]string{interrupted, wrong, continued}, []string{"v1", "v2", "v1"}, bothEvents, []string{"", "1"}},
		"interruption, an unknown software comes first": {
			[]string{interrupted, wrong, continued}, []string{"v1", "", "v1"}, bothEvents, []string{"", "1"},
		},
		"interruption, no other endpoint of the software": {
			[]string{interrupted + nextConnection + continued, wrong}, []string{"v1", "v2"}, bothEvents, []string{"", "1"},
		},
		"interruption, software unknown": {
			[]string{interrupted + nextConnection + interrupted + nextConnection + continued, wrong, wrong}, []string{"", "v1", ""}, firstEvent + bothEvents, []string{"", "1", "1"},
		},
		"silence, another software comes first": {
			[]string{silent + searchSilence, wrong, continued}, []string{"v1", "v2", "v1"}, bothEvents, []string{"", "1"},
		},
		"silence, no other endpoint of the software": {[]string{silent, wrong}, []string{"v1", "v2"}, bothEvents, []string{""}},
		"silence, software unknown":                  {[]string{silent, wrong, wrong}, []string{"", "v1", ""}, bothEvents, []string{""}},
		"interruption before the first event": {
			[]string{chunkedResponse("id: 1\nda"), chunkedResponse(firstEvent), wrong, continued}, []string{"v1", "v2", "v1", "v2"}, bothEvents, []string{"", "", "1"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, server := newTestProxy(t, test.scripts...)
			p.setPauseTarget(scriptPause / 2)
			p.setMaxAttempts(3)
			p.retryBudget = 9
			p.setSoftware(test.software...)
			assert.Equal(t, callerResponse{http.StatusOK, test.body, "", true}, sendRequest(t, server, "/resumable", ""))
			assert.Empty(t, (<-p.observations).Reason)
			p.mutex.Lock()
			defer p.mutex.Unlock()
			assert.Equal(t, test.resumeIDs, p.resumeIDs)
		})
	}
}

// TestStreamOfUnknownSoftwareEndsWithItsEndpoint checks that the attempts in place are bounded although others would be left.
func TestStreamOfUnknownSoftwareEndsWithItsEndpoint(t *testing.T) {
	p, server := newTestProxy(t, chunkedResponse(firstEvent)+nextConnection, chunkedResponse(secondEvent)+lastChunk)
	p.retryBudget = 99
	p.setSoftware("", "v1")
	assert.Equal(t, callerResponse{http.StatusOK, firstEvent, "", false}, sendRequest(t, server, "/resumable", ""))
	assert.Len(t, (<-p.observations).Attempts, 6)
}

// TestRestartedEndpointOfOtherSoftwareDoesNotContinue covers an endpoint that comes back under its own name as another software.
func TestRestartedEndpointOfOtherSoftwareDoesNotContinue(t *testing.T) {
	p, server := newTestProxy(t, chunkedResponse(firstEvent)+nextConnection+chunkedResponse(secondEvent)+lastChunk)
	p.retryBudget = 9
	p.onHead = func() { p.setSoftware("v2") }
	assert.Equal(t, callerResponse{http.StatusOK, firstEvent, "", false}, sendRequest(t, server, "/resumable", ""))
	assert.Equal(t, "stream not resumed", (<-p.observations).Reason)
}

// setSoftware sets the software of the endpoints.
func (p *testProxy) setSoftware(software ...string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.endpoints = append([]deployment.Endpoint(nil), p.endpoints...)
	for i, one := range software {
		p.endpoints[i].Software = one
	}
}

// setMaxAttempts sets the number of endpoints that a request of the resumable route may be sent to.
func (p *testProxy) setMaxAttempts(count int) {
	p.configuration.Match("h", "/resumable").MaxAttempts = count
}
