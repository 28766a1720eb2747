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
	// restartPause is the time between two losses of all instances.
	restartPause = time.Second
	// fleetInstances is the number of instances whose losses are measured.
	fleetInstances = 6
	// lateAnswer is how long an answer takes that tells a limit only when instances count as in touch again.
	lateAnswer = contactTime + time.Second
	// steadyInterval is the time between two requests that do not wait for each other.
	steadyInterval = 20 * time.Millisecond
)

// startSteadyCallers sends requests at equal intervals, to the instances in turn, and does not wait for the answers.
func (s *site) startSteadyCallers(interval time.Duration, request call) *callerPool {
	p := &callerPool{site: s, stop: make(chan struct{})}
	s.t.Cleanup(p.end)
	p.tasks.Go(func() {
		for sent := 0; ; sent++ {
			select {
			case <-p.stop:
				return
			case <-time.After(interval):
			}
			request.entry = sent % len(s.entries)
			p.tasks.Go(func() { p.send(request) })
		}
	})
	return p
}

// restartAllRepeatedly loses all instances several times in a row. It returns the times right before the losses.
func (s *site) restartAllRepeatedly() []time.Time {
	s.t.Helper()
	var lost []time.Time
	for range restarts {
		lost = append(lost, time.Now())
		s.restartAll()
		time.Sleep(restartPause)
	}
	return lost
}

// TestLimitIsKeptAfterAllInstancesRestarted guards against endpoints that get more than they named, since every instance that knew it was lost.
func TestLimitIsKeptAfterAllInstancesRestarted(t *testing.T) {
	t.Parallel()
	const perSecond = 1.3
	for name, test := range map[string]struct {
		path    string
		adapter string
		workers func(s *site) []*standin.Worker
	}{
		"answers at once": {standin.SafePrefix + "x?work_ms=5", "", func(s *site) []*standin.Worker { return s.plain }},
		"slow answers":    {standin.SafePrefix + "x?work_ms=1000", "", func(s *site) []*standin.Worker { return s.plain }},
		"streams":         {standin.StreamPrefix + "x", "a1", func(s *site) []*standin.Worker { return s.models }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, fleetInstances)
			workers := test.workers(s)
			for _, worker := range workers {
				worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: fmt.Sprint(perSecond)}})
			}
			c := s.startCallers(5*time.Millisecond, s.callsAtEach(8, call{path: test.path, adapter: test.adapter})...)
			time.Sleep(propagationLimit)
			lost := s.restartAllRepeatedly()
			served := c.count(http.StatusOK)
			last := lost[len(lost)-1]
			time.Sleep(time.Until(last.Add(contactTime + limitObservation)))
			c.end()
			for _, worker := range workers {
				t.Logf("%s: requests in the first %s after a loss: %d, in %s of all losses: %d", worker.ID(), contactTime,
					maxWithin(worker.Arrivals(), last, contactTime), limitWindow, maxWithin(worker.Arrivals(), lost[0], limitWindow))
				assertLimitKept(t, worker, last.Add(contactTime), perSecond)
			}
			assert.Greater(t, c.count(http.StatusOK), served)
		})
	}
}

// TestLimitInLateAnswersIsKeptAfterAllInstancesRestarted guards against endpoints that get more than they named until their first answer, which comes
// late.
func TestLimitInLateAnswersIsKeptAfterAllInstancesRestarted(t *testing.T) {
	t.Parallel()
	const perSecond = 1.3
	s := newSite(t, fleetInstances)
	for _, worker := range s.plain {
		worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: fmt.Sprint(perSecond)}})
	}
	request := call{path: standin.SafePrefix + fmt.Sprintf("x?work_ms=%d", lateAnswer.Milliseconds())}
	c := s.startSteadyCallers(steadyInterval, request)
	time.Sleep(lateAnswer + propagationLimit)
	lost := s.restartAllRepeatedly()
	last := lost[len(lost)-1]
	time.Sleep(time.Until(last.Add(contactTime + limitObservation)))
	c.end()
	for _, worker := range s.plain {
		t.Logf("%s: requests in the first %s after a loss: %d, in %s of all losses: %d", worker.ID(), contactTime,
			maxWithin(worker.Arrivals(), last, contactTime), limitWindow, maxWithin(worker.Arrivals(), lost[0], limitWindow))
		assertLimitKept(t, worker, last.Add(contactTime), perSecond)
	}
}

// TestLimitThatEndedWhileAllInstancesWereLostIsForgotten guards against a kept limit that stays although the endpoint names none any more.
func TestLimitThatEndedWhileAllInstancesWereLostIsForgotten(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	s.setPlainFaults(standin.WorkerFaults{Says: standin.Notice{Limit: "0"}})
	c := s.startCallers(5*time.Millisecond, s.callsAtEach(2, call{path: standin.SafePrefix + "x"})...)
	time.Sleep(propagationLimit)
	s.killAll()
	s.setPlainFaults(standin.WorkerFaults{})
	lost, served := time.Now(), c.count(http.StatusOK)
	s.startAll()
	s.waitFor("requests are served without a limit", func() bool { return c.count(http.StatusOK) > served+500 })
	t.Logf("500 requests were served %s after the loss", time.Since(lost))
	c.end()
}
