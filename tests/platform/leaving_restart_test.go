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

// downTime is how long no instance runs, in which what lost instances had sent arrives.
const downTime = 100 * time.Millisecond

// TestLeavingEndpointGetsNoRequestsAfterAllInstancesRestarted guards against endpoints that get requests since every instance that knew that they
// leave was lost.
func TestLeavingEndpointGetsNoRequestsAfterAllInstancesRestarted(t *testing.T) {
	t.Parallel()
	announce := func(worker *standin.Worker) {
		worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Leaving: true}})
	}
	for name, test := range map[string]struct {
		request call
		workers func(s *site) []*standin.Worker
		leave   func(*standin.Worker)
		// allowed is how long after a loss the endpoints may still get requests.
		allowed time.Duration
		// whileDown makes the endpoints leave while all instances are lost, and not right before.
		whileDown bool
	}{
		"draining in the store": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] }, (*standin.Worker).Drain, 0, false,
		},
		"the store entry is gone": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] }, (*standin.Worker).Deregister, 0, false,
		},
		"draining in the store while all instances are lost": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] }, (*standin.Worker).Drain, 0, true,
		},
		"the store entry goes while all instances are lost": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] }, (*standin.Worker).Deregister, 0, true,
		},
		"an endpoint with models": {
			call{path: standin.StreamPrefix + "x", adapter: "a1"}, func(s *site) []*standin.Worker { return s.models[:1] }, (*standin.Worker).Drain, 0, false,
		},
		"all endpoints of a plain service": {
			call{path: standin.UnsafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain }, (*standin.Worker).Drain, 0, false,
		},
		"announced in answers": {
			call{path: standin.SafePrefix + "x?work_ms=5"}, func(s *site) []*standin.Worker { return s.plain[:1] }, announce, leaveLimit, false,
		},
		"announced in slow answers": {
			call{path: standin.SafePrefix + "x?work_ms=1000"}, func(s *site) []*standin.Worker { return s.plain[:1] }, announce, leaveLimit, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 3)
			workers := test.workers(s)
			c := s.startCallers(5*time.Millisecond, s.callsAtEach(2, test.request)...)
			s.waitFor("requests are served", func() bool { return c.count(http.StatusOK) > 20 })
			leave := func() {
				for _, worker := range workers {
					test.leave(worker)
				}
			}
			if !test.whileDown {
				leave()
			}
			for loss := range restarts {
				s.killAll()
				if test.whileDown && loss == 0 {
					leave()
				}
				time.Sleep(downTime)
				lost, served := time.Now(), c.count(http.StatusOK)
				s.startAll()
				time.Sleep(test.allowed + restartPause)
				for _, worker := range workers {
					t.Logf("%s: requests after a loss: %d", worker.ID(), maxWithin(worker.Arrivals(), lost, time.Minute))
					assert.Zero(t, maxWithin(worker.Arrivals(), lost.Add(test.allowed), time.Minute), "requests later than %s after a loss", test.allowed)
				}
				if len(workers) == 1 {
					assert.Greater(t, c.count(http.StatusOK), served, "the other endpoint serves")
				}
			}
			c.end()
		})
	}
}

// TestRestingEndpointIsAskedOnceAfterAllInstancesRestarted guards against endpoints that get more than a request of each instance that does not
// know that they asked for rest, since every instance that knew was lost.
func TestRestingEndpointIsAskedOnceAfterAllInstancesRestarted(t *testing.T) {
	t.Parallel()
	const rest = 30 * time.Second
	s := newSite(t, 3)
	c := s.startCallers(5*time.Millisecond, s.callsAtEach(4, call{path: standin.SafePrefix + "x"})...)
	s.waitFor("requests are served", func() bool { return c.count(http.StatusOK) > 20 })
	resting := s.plain[0]
	resting.SetFaults(standin.WorkerFaults{Says: standin.Notice{Rest: fmt.Sprint(rest.Seconds())}})
	for range restarts {
		s.killAll()
		lost := time.Now()
		s.startAll()
		ready := time.Now()
		time.Sleep(restPropagation + restartPause)
		t.Logf("requests after a loss: %d", maxWithin(resting.Arrivals(), lost, time.Minute))
		assert.LessOrEqual(t, maxWithin(resting.Arrivals(), ready.Add(restPropagation), time.Minute), allowedDuringRest*len(s.entries), "requests during a rest")
	}
	c.end()
}
