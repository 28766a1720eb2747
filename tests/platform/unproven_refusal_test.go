// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// promisingStatuses are the statuses by which the platform promises callers that their request has not run and will not run.
var promisingStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// TestFailureAfterRunIsNoPromise guards against a caller that books twice, since a worker that failed after it had run the request answered with
// a status that promises that it had not. The worker is reached over an own link and through another instance.
func TestFailureAfterRunIsNoPromise(t *testing.T) {
	s := newCuttableSite(t, 2)
	requests := []call{{path: "/hold/x"}, {path: "/chat/x", adapter: "a1"}}
	for _, request := range requests {
		require.Equal(t, http.StatusOK, s.do(request).Status)
	}
	for _, cut := range []workerCut{noCut, refusingCut} {
		s.entries[0].network.set(cut)
		for _, worker := range append(s.models, s.plain...) {
			worker.CloseOpenConnections()
		}
		for _, request := range requests {
			for _, status := range promisingStatuses {
				for _, size := range []int{0, 100 << 10} {
					t.Run(fmt.Sprintf("cut %d, %s, %d with %d bytes", cut, request.path, status, size), func(t *testing.T) {
						logged := s.assertNoPromise(t, request, standin.WorkerFaults{Errors: 1, ErrorStatus: status, ErrorBytes: size})
						assert.Equal(t, cut != noCut, logged.Attempts[0].Via != "", "reached through the other instance")
					})
				}
			}
		}
	}
}

// assertNoPromise checks that a request which runs and fails is answered without a promise, without the worker's mark, and runs once. It
// returns the log line of the request.
func (s *site) assertNoPromise(t *testing.T, request call, faults standin.WorkerFaults) requestLog {
	t.Helper()
	s.setPlainFaults(faults)
	s.setModelFaults(faults)
	answer := s.do(request)
	require.NoError(t, answer.Err)
	assert.Equal(t, http.StatusBadGateway, answer.Status)
	assert.Empty(t, answer.Header.Get(standin.HeaderSeal), "the worker's mark goes only with its own status")
	assert.Empty(t, answer.Header.Get("Retry-After"))
	assert.Equal(t, 1, s.runCount(answer.ID))
	logged := s.requestLogOf(0, answer.ID)
	assert.Equal(t, "refusal without proof", logged.Reason)
	assert.Equal(t, http.StatusBadGateway, logged.Status)
	require.Len(t, logged.Attempts, 1)
	assert.Equal(t, faults.ErrorStatus, logged.Attempts[0].Status, "the endpoint's own status")
	s.setPlainFaults(standin.WorkerFaults{})
	s.setModelFaults(standin.WorkerFaults{})
	return logged
}

// TestWorkerThatFailsWithPromisesIsFoundOut guards against a worker that keeps its share of the requests although it fails many of them, since its
// failures count as answers.
func TestWorkerThatFailsWithPromisesIsFoundOut(t *testing.T) {
	for _, faults := range []standin.WorkerFaults{
		{ErrorStatus: http.StatusTooManyRequests}, {ErrorStatus: http.StatusRequestTimeout}, {ErrorStatus: http.StatusMisdirectedRequest},
		{ErrorStatus: http.StatusServiceUnavailable, ErrorBytes: 100 << 10}, {ErrorStatus: http.StatusInternalServerError, ErrorBytes: 100 << 10},
	} {
		t.Run(fmt.Sprintf("%d with %d bytes", faults.ErrorStatus, faults.ErrorBytes), func(t *testing.T) {
			t.Parallel()
			const requests = 60
			s := newSite(t, 1)
			faults.Errors = requests
			s.plain[0].SetFaults(faults)
			failed := 0
			for range requests {
				if s.do(call{path: "/hold/x"}).Status >= http.StatusBadRequest {
					failed++
				}
				time.Sleep(10 * time.Millisecond)
			}
			assert.Positive(t, failed)
			assert.Less(t, failed, requests/4, "half of the requests fail if the worker keeps its share")
		})
	}
}

// TestRequestForEndpointWhoseAddressAnotherHasIsRefused checks that the 421 of an endpoint which has the address of a former one is a proof: it is
// retried where the route allows two attempts, and promised to the caller elsewhere.
func TestRequestForEndpointWhoseAddressAnotherHasIsRefused(t *testing.T) {
	s := newSite(t, 1)
	s.store.Put(standin.EndpointKey("i-plain-former"), map[string]any{
		"service": standin.PlainService, "address": s.plain[0].Address(), "zone": "h1", "version": standin.DefaultSoftware, "slots": 8,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1,
	})
	refused := 0
	s.waitFor("the former endpoint is asked", func() bool {
		assert.Equal(t, http.StatusOK, s.do(call{method: http.MethodGet, path: "/status/x"}).Status)
		answer := s.do(call{path: "/hold/x"})
		if answer.Status != http.StatusOK {
			assert.Equal(t, http.StatusServiceUnavailable, answer.Status)
			assert.Zero(t, s.runCount(answer.ID))
			refused++
		}
		return refused > 2
	})
}
