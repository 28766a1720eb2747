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

// drainTime is how long after an answer that says so an endpoint may still get requests, as the users' platform allows it.
const drainTime = 2 * time.Second

func TestAnEndpointThatSaysInAnAnswerThatItLeavesGetsNoWork(t *testing.T) {
	for name, test := range map[string]struct {
		one     call
		workers func(s *site) []*standin.Worker
		// meanwhile is what happens while the endpoints leave.
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
		"the store says that it is ready": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] },
			func(s *site) { s.plain[0].Describe() },
		},
		"the store is not reached": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] },
			func(s *site) {
				for _, entry := range s.entries {
					entry.cut.Store(true)
					entry.cutPeers(true)
				}
			},
		},
		"another instance plans": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] },
			func(s *site) { s.kill(s.planner()) },
		},
		"later answers do not say so": {
			call{path: standin.SafePrefix + "x"}, func(s *site) []*standin.Worker { return s.plain[:1] },
			func(s *site) { s.eachPlain(standin.WorkerFaults{}) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3)
			workers := test.workers(s)
			c := s.newCallers(5*time.Millisecond, s.atEach(2, test.one)...)
			s.waitFor("requests are served", func() bool { return c.count(http.StatusOK) > 20 })
			for _, worker := range workers {
				worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Leaving: true}})
			}
			// All instances have requests under way.
			time.Sleep(drainTime / 4)
			said := time.Now()
			test.meanwhile(s)
			time.Sleep(2 * drainTime)
			c.end()
			for _, worker := range workers {
				assert.Zero(t, mostWithin(worker.Arrivals(), said.Add(drainTime), drainTime), "requests later than %s after the word", drainTime)
			}
		})
	}
}
