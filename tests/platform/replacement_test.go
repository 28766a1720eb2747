// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// TestStandInReplacesVersionAfterItsRuns checks that the stand-in endpoint carries out an order for another version of an adapter as the
// platform describes it: the runs on its version go on, requests that have not begun are answered as not run, and the new version is
// resident only after the runs.
func TestStandInReplacesVersionAfterItsRuns(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	worker := s.workerHolding("a1")
	runs := len(worker.Runs())
	running := make(chan standin.Answer, 1)
	go func() { running <- sendToWorker(worker, "run", "?events=100&pause_ms=5") }()
	s.waitFor("a request runs", func() bool { return len(worker.Runs()) > runs })
	worker.SetQueueWait(50 * time.Millisecond)
	queued := make(chan standin.Answer, 1)
	go func() { queued <- sendToWorker(worker, "queued", "") }()
	s.waitFor("a request waits", func() bool { return worker.Queued() == 1 })

	assert.Equal(t, http.StatusAccepted, orderVersion(t, worker, "a1", 2))
	answer := <-queued
	assert.Equal(t, http.StatusServiceUnavailable, answer.Status)
	assert.Equal(t, "1", answer.Header.Get("X-Not-Executed"))
	assert.Equal(t, http.StatusAccepted, orderVersion(t, worker, "a1", 2), "the replacement waits for the run")
	answer = <-running
	assert.Equal(t, http.StatusOK, answer.Status)
	assert.Contains(t, answer.Body, "id: 100\n", "the run goes on to its end")
	s.waitFor("the new version is resident", func() bool { return orderVersion(t, worker, "a1", 2) == http.StatusOK })
	sendToWorker(worker, "later", "")
	last := worker.Runs()[len(worker.Runs())-1]
	assert.Equal(t, "later", last.ID)
	assert.Equal(t, 2, last.Version)
}

// workerHolding returns the endpoint at which the last request for an adapter ran.
func (s *site) workerHolding(adapter string) *standin.Worker {
	s.t.Helper()
	for _, worker := range s.models {
		for _, run := range worker.Runs() {
			if run.Adapter == adapter {
				return worker
			}
		}
	}
	require.FailNow(s.t, "no endpoint ran the adapter")
	return nil
}

// sendToWorker sends a request for adapter a1 to an endpoint directly.
func sendToWorker(worker *standin.Worker, id, query string) standin.Answer {
	request := standin.Call{Method: http.MethodPost, Path: "/chat/x" + query, Adapter: "a1", Header: map[string]string{standin.HeaderRequestID: id}}
	return request.Send(context.Background(), worker.Address())
}

// orderVersion orders an endpoint to load a version of an adapter, and returns the status of the answer.
func orderVersion(t *testing.T, worker *standin.Worker, adapter string, version int) int {
	t.Helper()
	body := fmt.Sprintf(`{"operation":"load","model":%q,"adapter":%q,"version":%d,"holder":"test","fencing_token":99}`, standin.Model, adapter, version)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+worker.Address()+"/-/order", bytes.NewBufferString(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}
