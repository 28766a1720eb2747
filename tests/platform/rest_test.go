// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	// restPropagation is the time within which an instance must stop sending to an endpoint that asked for rest.
	restPropagation = 500 * time.Millisecond
	// allowedDuringRest is how many requests an instance may send to the endpoint between restPropagation and the end of the rest.
	allowedDuringRest = 2
)

// assertRested checks how many requests arrived at an endpoint during each rest that the endpoint asked the only instance for.
func assertRested(t *testing.T, worker *standin.Worker, rest time.Duration) {
	t.Helper()
	arrivals := worker.Arrivals()
	for _, restStart := range worker.Rests() {
		arrived := 0
		for _, arrival := range arrivals {
			if arrival.After(restStart.Add(restPropagation)) && arrival.Before(restStart.Add(rest)) {
				arrived++
			}
		}
		if !assert.LessOrEqual(t, arrived, allowedDuringRest, "requests during a rest of %s", rest) {
			return
		}
	}
}

func TestRestingEndpointGetsNoRequests(t *testing.T) {
	safe, unsafe := call{path: standin.SafePrefix + "x"}, call{path: standin.UnsafePrefix + "x"}
	stream := call{path: standin.StreamPrefix + "x", adapter: "a1"}
	for name, test := range map[string]struct {
		request call
		rest    time.Duration
		workers func(s *site) []*standin.Worker
	}{
		"one endpoint":                     {safe, 3 * time.Second, func(s *site) []*standin.Worker { return s.plain[:1] }},
		"all endpoints":                    {unsafe, 3 * time.Second, func(s *site) []*standin.Worker { return s.plain }},
		"endpoints with models":            {stream, 3 * time.Second, func(s *site) []*standin.Worker { return s.models }},
		"a rest of a fraction of a second": {safe, 1400 * time.Millisecond, func(s *site) []*standin.Worker { return s.plain }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
			c := s.startCallers(5*time.Millisecond, s.callsAtEach(6, test.request)...)
			s.waitFor("requests are served", func() bool { return c.count(http.StatusOK) > 20 })
			for _, worker := range test.workers(s) {
				worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Rest: fmt.Sprint(test.rest.Seconds())}})
			}
			time.Sleep(2*test.rest + time.Second)
			c.end()
			for _, worker := range test.workers(s) {
				assert.NotEmpty(t, worker.Rests())
				assertRested(t, worker, test.rest)
			}
		})
	}
}

func TestRejectionDuringRestHasRetryAfterPastRestEnd(t *testing.T) {
	s := newSite(t, 1)
	s.setPlainFaults(standin.WorkerFaults{Says: standin.Notice{Rest: "2"}})
	restStart := time.Now()
	for range 3 {
		s.do(call{path: standin.UnsafePrefix + "x"})
	}
	answer := s.do(call{path: standin.UnsafePrefix + "x"})
	assert.Equal(t, http.StatusServiceUnavailable, answer.Status)
	assert.Contains(t, answer.Body, "endpoints rest")
	retryAfter, err := time.ParseDuration(answer.Header.Get("Retry-After") + "s")
	assert.NoError(t, err)
	assert.Greater(t, time.Now().Add(retryAfter), restStart.Add(2*time.Second), "Retry-After ends before the rest does")
	s.setPlainFaults(standin.WorkerFaults{})
	time.Sleep(retryAfter)
	assert.Equal(t, http.StatusOK, s.do(call{path: standin.UnsafePrefix + "x"}).Status)
}
