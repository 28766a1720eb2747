// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// leaveLimit is how long an endpoint may still get requests after it has announced in an answer that it leaves. The users' platform sets it.
const leaveLimit = 2 * time.Second

func TestEndpointThatAnnouncesLeavingInAnswerGetsNoRequests(t *testing.T) {
	for name, test := range map[string]struct {
		request call
		workers func(s *site) []*standin.Worker
		// meanwhile is called right after the endpoints have announced that they leave.
		meanwhile func(s *site)
	}{
		"one endpoint of a plain service": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] }, func(*site) {},
		},
		"all endpoints of a plain service": {
			call{path: standin.UnsafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain }, func(*site) {},
		},
		"an endpoint with models": {
			call{path: standin.StreamPrefix + "x", adapter: "a1"}, func(s *site) []*standin.Worker { return s.models[:1] }, func(*site) {},
		},
		"the endpoint is ready in the store": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] },
			func(s *site) { s.plain[0].Describe() },
		},
		"the store and the peers are unreachable": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] },
			func(s *site) {
				for _, entry := range s.entries {
					entry.storeCut.Store(true)
					entry.cutPeers(true)
				}
			},
		},
		"another instance becomes the planner": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] },
			func(s *site) { s.kill(s.planner()) },
		},
		"later answers do not announce it": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] },
			func(s *site) { s.setPlainFaults(standin.WorkerFaults{}) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			workers := test.workers(s)
			c := s.startCallers(5*time.Millisecond, s.callsAtEach(2, test.request)...)
			s.waitFor("requests are served", func() bool { return c.count(http.StatusOK) > 20 })
			for _, worker := range workers {
				worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Leaving: true}})
			}
			// All instances have requests in flight by then.
			time.Sleep(leaveLimit / 4)
			announced := time.Now()
			test.meanwhile(s)
			time.Sleep(2 * leaveLimit)
			c.end()
			for _, worker := range workers {
				assert.Zero(t, maxWithin(worker.Arrivals(), announced.Add(leaveLimit), leaveLimit), "requests later than %s after the announcement", leaveLimit)
			}
		})
	}
}
