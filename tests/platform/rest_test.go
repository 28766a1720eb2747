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
	// restNotice is after what time an instance must know that an endpoint asked for rest, and restAllowed how many requests it may send it
	// between then and the end of the rest.
	restNotice  = 500 * time.Millisecond
	restAllowed = 2
)

// assertRested checks what arrived at an endpoint within each rest that it asked the only instance for.
func assertRested(t *testing.T, worker *standin.Worker, rest time.Duration) {
	t.Helper()
	arrivals := worker.Arrivals()
	for _, asked := range worker.Rests() {
		within := 0
		for _, at := range arrivals {
			if at.After(asked.Add(restNotice)) && at.Before(asked.Add(rest)) {
				within++
			}
		}
		if !assert.LessOrEqual(t, within, restAllowed, "requests within a rest of %s", rest) {
			return
		}
	}
}

func TestAnEndpointThatAskedForRestGetsNone(t *testing.T) {
	safe, once := call{path: standin.SafePrefix + "x"}, call{path: standin.UnsafePrefix + "x"}
	stream := call{path: standin.StreamPrefix + "x", adapter: "a1"}
	for name, test := range map[string]struct {
		one     call
		rest    time.Duration
		workers func(s *site) []*standin.Worker
	}{
		"one endpoint":                 {safe, 3 * time.Second, func(s *site) []*standin.Worker { return s.plain[:1] }},
		"all endpoints":                {once, 3 * time.Second, func(s *site) []*standin.Worker { return s.plain }},
		"endpoints with models":        {stream, 3 * time.Second, func(s *site) []*standin.Worker { return s.models }},
		"a rest with a part of second": {safe, 1400 * time.Millisecond, func(s *site) []*standin.Worker { return s.plain }},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
			c := s.newCallers(5*time.Millisecond, s.atEach(6, test.one)...)
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

func TestCallersOfEndpointsThatRestAreToldWhenTheyCanComeBack(t *testing.T) {
	s := newSite(t, 1)
	s.eachPlain(standin.WorkerFaults{Says: standin.Notice{Rest: "2"}})
	asked := time.Now()
	for range 3 {
		s.do(call{path: standin.UnsafePrefix + "x"})
	}
	answer := s.do(call{path: standin.UnsafePrefix + "x"})
	assert.Equal(t, http.StatusServiceUnavailable, answer.Status)
	assert.Contains(t, answer.Body, "endpoints rest")
	pause, err := time.ParseDuration(answer.Header.Get("Retry-After") + "s")
	assert.NoError(t, err)
	assert.Greater(t, time.Now().Add(pause), asked.Add(2*time.Second), "not before the rest ends")
	s.eachPlain(standin.WorkerFaults{})
	time.Sleep(pause)
	assert.Equal(t, http.StatusOK, s.do(call{path: standin.UnsafePrefix + "x"}).Status)
}
