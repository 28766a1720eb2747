// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	// limitWindow is the window in which requests are counted. The users' platform allows limitFactor times the limit plus limitExtra requests in it.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// limitObservation is how long a test observes requests once a limit applies at all instances.
	limitObservation = 6 * time.Second
)

// callerPool is a set of callers that send requests repeatedly until end is called.
type callerPool struct {
	site    *site
	stop    chan struct{}
	tasks   sync.WaitGroup
	mutex   sync.Mutex
	answers []standin.Answer
}

// startCallers starts a caller for each call. A caller pauses before each request and waits for its answer.
func (s *site) startCallers(pause time.Duration, calls ...call) *callerPool {
	p := &callerPool{site: s, stop: make(chan struct{})}
	s.t.Cleanup(p.end)
	for _, request := range calls {
		p.tasks.Go(func() { p.repeat(pause, request) })
	}
	return p
}

func (p *callerPool) repeat(pause time.Duration, request call) {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(pause):
		}
		p.send(request)
	}
}

// send sends a request and records its answer.
func (p *callerPool) send(request call) {
	answer := p.site.do(request)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.answers = append(p.answers, answer)
}

func (p *callerPool) end() {
	select {
	case <-p.stop:
	default:
		close(p.stop)
	}
	p.tasks.Wait()
}

// count returns how many answers have the status.
func (p *callerPool) count(status int) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	count := 0
	for _, answer := range p.answers {
		if answer.Status == status {
			count++
		}
	}
	return count
}

// callsAtEach returns a call for each of the given number of callers at each instance.
func (s *site) callsAtEach(callers int, request call) []call {
	var calls []call
	for i := range s.entries {
		for range callers {
			request.entry = i
			calls = append(calls, request)
		}
	}
	return calls
}

// maxWithin returns the greatest number of arrivals in any window of the given length that does not begin before from.
func maxWithin(arrivals []time.Time, from time.Time, window time.Duration) int {
	most, first := 0, 0
	for last, arrival := range arrivals {
		for arrivals[first].Before(from) && first < last || arrival.Sub(arrivals[first]) >= window {
			first++
		}
		if !arrival.Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// assertLimitKept checks that the requests which arrived at a worker after from stay within what the users' platform allows.
func assertLimitKept(t *testing.T, worker *standin.Worker, from time.Time, perSecond float64) {
	t.Helper()
	allowed := int(limitFactor*perSecond*limitWindow.Seconds() + limitExtra)
	assert.LessOrEqual(t, maxWithin(worker.Arrivals(), from, limitWindow), allowed, "requests in %s, with a limit of %g requests per second", limitWindow, perSecond)
}

func TestEndpointLimitAppliesToAllInstancesTogether(t *testing.T) {
	const perSecond = 1.3
	plain := call{path: standin.SafePrefix + "x?work_ms=5"}
	unsafe := call{path: standin.UnsafePrefix + "x?work_ms=5"}
	stream := call{path: standin.StreamPrefix + "x", adapter: "a1"}
	for name, test := range map[string]struct {
		calls   func(s *site) []call
		workers func(s *site) []*standin.Worker
	}{
		"one endpoint of a plain service": {
			func(s *site) []call { return append(s.callsAtEach(2, plain), s.callsAtEach(2, unsafe)...) },
			func(s *site) []*standin.Worker { return s.plain[:1] },
		},
		"all endpoints of a plain service": {
			func(s *site) []call { return append(s.callsAtEach(2, plain), s.callsAtEach(2, unsafe)...) },
			func(s *site) []*standin.Worker { return s.plain },
		},
		"a plain service, all callers at one instance": {
			func(s *site) []call { return append(s.callsAtEach(4, plain), s.callsAtEach(4, unsafe)...)[:4] },
			func(s *site) []*standin.Worker { return s.plain },
		},
		"endpoints with models": {
			func(s *site) []call { return s.callsAtEach(3, stream) },
			func(s *site) []*standin.Worker { return s.models },
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 4)
			announced := time.Now()
			for _, worker := range test.workers(s) {
				worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: fmt.Sprint(perSecond)}})
			}
			c := s.startCallers(5*time.Millisecond, test.calls(s)...)
			time.Sleep(propagationLimit + limitObservation)
			c.end()
			for _, worker := range test.workers(s) {
				assertLimitKept(t, worker, announced.Add(propagationLimit), perSecond)
			}
			assert.Positive(t, c.count(http.StatusOK))
		})
	}
}

func TestRequestsOverEndpointLimitAreServedByOtherEndpoints(t *testing.T) {
	s := newSite(t, 3)
	s.plain[0].SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: "0.5"}})
	c := s.startCallers(5*time.Millisecond, append(s.callsAtEach(2, call{path: standin.SafePrefix + "x"}), s.callsAtEach(2, call{path: standin.UnsafePrefix + "x"})...)...)
	time.Sleep(propagationLimit)
	c.end()
	assert.Zero(t, c.count(http.StatusServiceUnavailable))
}

func TestLimitEndsWhenEndpointStopsAnnouncingIt(t *testing.T) {
	s := newSite(t, 3)
	for _, worker := range s.plain {
		worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: "0"}})
	}
	c := s.startCallers(5*time.Millisecond, s.callsAtEach(2, call{path: standin.SafePrefix + "x"})...)
	s.waitFor("the limit applies", func() bool { return c.count(http.StatusServiceUnavailable) > 0 })
	s.setPlainFaults(standin.WorkerFaults{})
	s.waitFor("the limit has ended at all instances", func() bool {
		for i := range s.entries {
			if !s.hasLogged(i, "an endpoint takes requests without a limit again") {
				return false
			}
		}
		return true
	})
	rejected := c.count(http.StatusServiceUnavailable)
	served := c.count(http.StatusOK)
	s.waitFor("further requests are served", func() bool { return c.count(http.StatusOK) > served+100 })
	assert.LessOrEqual(t, c.count(http.StatusServiceUnavailable)-rejected, 100)
}

func TestLimitIsKeptWhenPlannerIsKilled(t *testing.T) {
	const perSecond = 1.3
	s := newSite(t, 4)
	for _, worker := range s.plain {
		worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: fmt.Sprint(perSecond)}})
	}
	planner := s.planner()
	var calls []call
	for _, request := range s.callsAtEach(3, call{path: standin.SafePrefix + "x"}) {
		if request.entry != planner {
			calls = append(calls, request)
		}
	}
	announced := time.Now()
	c := s.startCallers(5*time.Millisecond, calls...)
	time.Sleep(propagationLimit)
	s.kill(planner)
	time.Sleep(limitObservation)
	c.end()
	for _, worker := range s.plain {
		assertLimitKept(t, worker, announced.Add(propagationLimit), perSecond)
	}
}

func TestLimitIsKeptDuringPartition(t *testing.T) {
	const perSecond = 1.3
	s := newSite(t, 4)
	for _, worker := range s.plain {
		worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: fmt.Sprint(perSecond)}})
	}
	announced := time.Now()
	c := s.startCallers(5*time.Millisecond, s.callsAtEach(2, call{path: standin.SafePrefix + "x"})...)
	time.Sleep(propagationLimit)
	isolated := s.entries[s.otherEntry(s.planner())]
	isolated.storeCut.Store(true)
	isolated.cutPeers(true)
	time.Sleep(limitObservation / 2)
	isolated.storeCut.Store(false)
	isolated.cutPeers(false)
	time.Sleep(limitObservation / 2)
	c.end()
	for _, worker := range s.plain {
		assertLimitKept(t, worker, announced.Add(propagationLimit), perSecond)
	}
}

func TestAdapterOfLimitedEndpointIsLoadedAtAnotherEndpoint(t *testing.T) {
	s := newSite(t, 3)
	request := call{path: standin.StreamPrefix + "x", adapter: "a1"}
	s.waitFor("the adapter is loaded", func() bool { return s.do(request).Status == http.StatusOK })
	holder, other := s.models[0], s.models[1]
	if len(holder.Runs()) == 0 {
		holder, other = other, holder
	}
	holder.SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: "0.2"}})
	c := s.startCallers(20*time.Millisecond, s.callsAtEach(1, request)...)
	s.waitWithin(propagationLimit, "another endpoint serves the adapter", func() bool { return len(other.Runs()) > 20 })
	rejected := c.count(http.StatusServiceUnavailable)
	time.Sleep(propagationLimit)
	c.end()
	assert.Zero(t, c.count(http.StatusServiceUnavailable)-rejected)
}
