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

	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// promisingStatuses are the statuses by which callers are promised that their request has not run and will not run.
var promisingStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// sizesOfRefusals are the sizes of bodies below and above the one that is buffered.
var sizesOfRefusals = []int{0, 10, 100 << 10}

// TestUnprovenRefusalIsNoPromiseToCaller guards against a caller that is promised that its request has not run, and sends it again, although the
// endpoint that answered so may have run it and has given no proof that it did not.
func TestUnprovenRefusalIsNoPromiseToCaller(t *testing.T) {
	for _, path := range []string{"/unsafe", "/stream"} {
		for _, status := range promisingStatuses {
			for _, size := range sizesOfRefusals {
				for name, header := range map[string]string{"with the mark": endpointMarkHeader, "without the mark": ""} {
					t.Run(fmt.Sprintf("%s %d, %d bytes, %s", path, status, size, name), func(t *testing.T) {
						t.Parallel()
						refusal := fixedResponse(status, header+"Retry-After: 1\r\n", strings.Repeat("x", size))
						p, server := newTestProxy(t, refusal, fixedResponse(http.StatusOK, endpointMarkHeader, firstEvent))
						p.retryBudget = 1
						response := sendRequest(t, server, path, "question")
						assert.Equal(t, callerResponse{status: http.StatusBadGateway, body: "refusal without proof\n", complete: true}, response)
						observation := <-p.observations
						assert.Equal(t, http.StatusBadGateway, observation.Status)
						assert.Equal(t, "refusal without proof", observation.Reason)
						assert.Len(t, observation.Attempts, 1, "sent to one endpoint only")
						assert.Equal(t, status, observation.Attempts[0].Status, "the log tells the endpoint's status")
						assert.Equal(t, attempt.RefusedWithoutProof, observation.Attempts[0].Result)
						assert.Nil(t, observation.Attempts[0].Ended, "the endpoint gave an answer")
						assert.Equal(t, []directory.Outcome{directory.Errored}, p.outcomes)
					})
				}
			}
		}
	}
}

// TestUnprovenRefusalAfterProvenOneIsNoPromise guards against a second attempt that is taken for one without effect, since the first was.
func TestUnprovenRefusalAfterProvenOneIsNoPromise(t *testing.T) {
	refusal := fixedResponse(http.StatusServiceUnavailable, notRunHeader, "busy")
	p, server := newTestProxy(t, refusal, fixedResponse(http.StatusServiceUnavailable, endpointMarkHeader, "failed"))
	p.retryBudget = 1
	assert.Equal(t, http.StatusBadGateway, sendRequest(t, server, "/unsafe", "").status)
	observation := <-p.observations
	assert.Equal(t, attempt.NotRun, observation.Attempts[0].Result)
	assert.Equal(t, attempt.RefusedWithoutProof, observation.Attempts[1].Result)
}

// TestUnprovenRefusalIsAnsweredWithoutItsBody guards against a caller that waits for a body that it does not get, since that is silent or has no
// end.
func TestUnprovenRefusalIsAnsweredWithoutItsBody(t *testing.T) {
	head := "HTTP/1.1 503 X\r\n" + endpointMarkHeader + "Content-Length: 1000000000\r\n\r\n"
	for name, body := range map[string]string{
		"silent": "x" + strings.Repeat(pauseMark, 20), "without end": strings.Repeat(strings.Repeat("x", 1<<20)+pauseMark, 20),
	} {
		t.Run(name, func(t *testing.T) {
			_, server := newTestProxy(t, head+body)
			begun := time.Now()
			assert.Equal(t, http.StatusBadGateway, sendRequest(t, server, "/unsafe", "").status)
			assert.Less(t, time.Since(begun), 10*scriptPause)
		})
	}
}

// TestUnprovenRefusalOfRepeatableRequestIsForwarded checks that a request that may run again is sent elsewhere, and that its caller gets the
// endpoint's own answer where that is not possible.
func TestUnprovenRefusalOfRepeatableRequestIsForwarded(t *testing.T) {
	for _, path := range []string{"/safe", "/resumable"} {
		for _, status := range promisingStatuses {
			t.Run(fmt.Sprint(path, status), func(t *testing.T) {
				t.Parallel()
				refusal := fixedResponse(status, endpointMarkHeader+"Retry-After: 1\r\n", "failed")
				p, server := newTestProxy(t, refusal, fixedResponse(http.StatusOK, endpointMarkHeader, firstEvent))
				assert.Equal(t, callerResponse{status, "failed", "1", true}, sendRequest(t, server, path, ""))
				assert.Equal(t, "error of the endpoint", (<-p.observations).Reason)
				assert.Equal(t, []directory.Outcome{directory.Errored}, p.outcomes)
				p.retryBudget = 1
				assert.Equal(t, callerResponse{http.StatusOK, firstEvent, "", true}, sendRequest(t, server, path, ""))
			})
		}
	}
}

// TestLargeFailureCountsAgainstEndpoint guards against an endpoint that is never found out, since its failures have large bodies.
func TestLargeFailureCountsAgainstEndpoint(t *testing.T) {
	const size = 100 << 10
	for _, status := range append(promisingStatuses, http.StatusInternalServerError) {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			p, server := newTestProxy(t, fixedResponse(status, endpointMarkHeader, strings.Repeat("x", size)))
			response := sendRequest(t, server, "/safe", "")
			assert.Equal(t, status, response.status)
			assert.Len(t, response.body, size)
			assert.Equal(t, "error of the endpoint", (<-p.observations).Reason)
			assert.Equal(t, []directory.Outcome{directory.Errored}, p.outcomes)
		})
	}
}

// TestHedgeIsNotWonByRefusal guards against a refusal without proof that takes the place of an answer that the first endpoint would still give.
func TestHedgeIsNotWonByRefusal(t *testing.T) {
	for _, status := range promisingStatuses {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			t.Parallel()
			slow := strings.Repeat(pauseMark, 8) + fixedResponse(http.StatusOK, endpointMarkHeader, "yes")
			p, server := newTestProxy(t, slow, fixedResponse(status, endpointMarkHeader, "failed"))
			p.configuration.Match("h", "/safe").Timeout = 12 * scriptPause
			p.retryBudget = 1
			assert.Equal(t, callerResponse{http.StatusOK, "yes", "", true}, sendRequest(t, server, "/safe", ""))
			assert.Len(t, (<-p.observations).Attempts, 2)
		})
	}
}
