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
	// limitSpan is the span in which requests are counted; limitSlack and limitExtra are what the users' platform allows beyond a limit.
	limitSpan  = 4 * time.Second
	limitSlack = 1.5
	limitExtra = 5
	// limitWatched is for how long a test watches a limit once it binds.
	limitWatched = 6 * time.Second
)

// callers send requests at their entries again and again until they are ended.
type callers struct {
	site    *site
	stop    chan struct{}
	tasks   sync.WaitGroup
	mutex   sync.Mutex
	answers []standin.Answer
}

// newCallers starts a caller for each call; each waits for its answer, then for a pause.
func (s *site) newCallers(pause time.Duration, calls ...call) *callers {
	c := &callers{site: s, stop: make(chan struct{})}
	s.t.Cleanup(c.end)
	for _, one := range calls {
		c.tasks.Go(func() { c.repeat(pause, one) })
	}
	return c
}

func (c *callers) repeat(pause time.Duration, one call) {
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
		answer := c.site.do(one)
		c.mutex.Lock()
		c.answers = append(c.answers, answer)
		c.mutex.Unlock()
	}
}

func (c *callers) end() {
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.tasks.Wait()
}

// count gives how many answers have a status.
func (c *callers) count(status int) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for _, answer := range c.answers {
		if answer.Status == status {
			count++
		}
	}
	return count
}

// atEach gives a call for a number of callers at each entry.
func (s *site) atEach(callers int, one call) []call {
	var calls []call
	for i := range s.entries {
		for range callers {
			one.entry = i
			calls = append(calls, one)
		}
	}
	return calls
}

// mostWithin gives the most arrivals within some span that begins after a moment.
func mostWithin(arrivals []time.Time, from time.Time, span time.Duration) int {
	most, first := 0, 0
	for last, at := range arrivals {
		for arrivals[first].Before(from) && first < last || at.Sub(arrivals[first]) >= span {
			first++
		}
		if !at.Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// assertLimitKept checks what arrived from a moment on against what the users' platform allows.
func assertLimitKept(t *testing.T, worker *standin.Worker, from time.Time, perSecond float64) {
	t.Helper()
	allowed := int(limitSlack*perSecond*limitSpan.Seconds() + limitExtra)
	assert.LessOrEqual(t, mostWithin(worker.Arrivals(), from, limitSpan), allowed, "in %s, with a limit of %g a second", limitSpan, perSecond)
}

func TestALimitThatAnEndpointNamesHoldsForAllInstancesTogether(t *testing.T) {
	const perSecond = 1.3
	plain := call{path: standin.SafePrefix + "x?work_ms=5"}
	once := call{path: standin.UnsafePrefix + "x?work_ms=5"}
	stream := call{path: standin.StreamPrefix + "x", adapter: "a1"}
	for name, test := range map[string]struct {
		calls   func(s *site) []call
		workers func(s *site) []*standin.Worker
	}{
		"a plain service, callers everywhere": {
			func(s *site) []call { return append(s.atEach(2, plain), s.atEach(2, once)...) },
			func(s *site) []*standin.Worker { return s.plain[:1] },
		},
		"all endpoints of a plain service": {
			func(s *site) []call { return append(s.atEach(2, plain), s.atEach(2, once)...) },
			func(s *site) []*standin.Worker { return s.plain },
		},
		"one instance has all callers": {
			func(s *site) []call { return append(s.atEach(4, plain), s.atEach(4, once)...)[:4] },
			func(s *site) []*standin.Worker { return s.plain },
		},
		"models": {
			func(s *site) []call { return s.atEach(3, stream) },
			func(s *site) []*standin.Worker { return s.models },
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 4)
			named := time.Now()
			for _, worker := range test.workers(s) {
				worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: fmt.Sprint(perSecond)}})
			}
			c := s.newCallers(5*time.Millisecond, test.calls(s)...)
			time.Sleep(contactTime + limitWatched)
			c.end()
			for _, worker := range test.workers(s) {
				assertLimitKept(t, worker, named.Add(contactTime), perSecond)
			}
			assert.Positive(t, c.count(http.StatusOK))
		})
	}
}

func TestRequestsGoElsewhereBesideAnEndpointWithALimit(t *testing.T) {
	s := newSite(t, 3)
	s.plain[0].SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: "0.5"}})
	c := s.newCallers(5*time.Millisecond, append(s.atEach(2, call{path: standin.SafePrefix + "x"}), s.atEach(2, call{path: standin.UnsafePrefix + "x"})...)...)
	time.Sleep(contactTime)
	c.end()
	assert.Zero(t, c.count(http.StatusServiceUnavailable))
}

func TestALimitEndsWhenTheEndpointNamesNoneAnyMore(t *testing.T) {
	s := newSite(t, 3)
	for _, worker := range s.plain {
		worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: "0"}})
	}
	c := s.newCallers(5*time.Millisecond, s.atEach(2, call{path: standin.SafePrefix + "x"})...)
	s.waitFor("it holds", func() bool { return c.count(http.StatusServiceUnavailable) > 0 })
	s.eachPlain(standin.WorkerFaults{})
	s.waitFor("it is over everywhere", func() bool {
		for i := range s.entries {
			if !s.logged(i, "an endpoint takes requests without a limit again") {
				return false
			}
		}
		return true
	})
	refused := c.count(http.StatusServiceUnavailable)
	served := c.count(http.StatusOK)
	s.waitFor("requests go on", func() bool { return c.count(http.StatusOK) > served+100 })
	assert.LessOrEqual(t, c.count(http.StatusServiceUnavailable)-refused, 100)
}

func TestALimitHoldsBesideAPlannerThatEnds(t *testing.T) {
	const perSecond = 1.3
	s := newSite(t, 4)
	for _, worker := range s.plain {
		worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: fmt.Sprint(perSecond)}})
	}
	planner := s.planner()
	var calls []call
	for _, one := range s.atEach(3, call{path: standin.SafePrefix + "x"}) {
		if one.entry != planner {
			calls = append(calls, one)
		}
	}
	named := time.Now()
	c := s.newCallers(5*time.Millisecond, calls...)
	time.Sleep(contactTime)
	s.kill(planner)
	time.Sleep(limitWatched)
	c.end()
	for _, worker := range s.plain {
		assertLimitKept(t, worker, named.Add(contactTime), perSecond)
	}
}

func TestALimitHoldsBesideACut(t *testing.T) {
	const perSecond = 1.3
	s := newSite(t, 4)
	for _, worker := range s.plain {
		worker.SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: fmt.Sprint(perSecond)}})
	}
	named := time.Now()
	c := s.newCallers(5*time.Millisecond, s.atEach(2, call{path: standin.SafePrefix + "x"})...)
	time.Sleep(contactTime)
	away := s.entries[s.other(s.planner())]
	away.cut.Store(true)
	away.cutPeers(true)
	time.Sleep(limitWatched / 2)
	away.cut.Store(false)
	away.cutPeers(false)
	time.Sleep(limitWatched / 2)
	c.end()
	for _, worker := range s.plain {
		assertLimitKept(t, worker, named.Add(contactTime), perSecond)
	}
}

func TestWhatAnEndpointWithALimitHoldsComesElsewhere(t *testing.T) {
	s := newSite(t, 3)
	one := call{path: standin.StreamPrefix + "x", adapter: "a1"}
	s.waitFor("it is loaded", func() bool { return s.do(one).Status == http.StatusOK })
	holder, other := s.models[0], s.models[1]
	if len(holder.Runs()) == 0 {
		holder, other = other, holder
	}
	holder.SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: "0.2"}})
	c := s.newCallers(20*time.Millisecond, s.atEach(1, one)...)
	s.waitAtMost(contactTime, "another endpoint serves it", func() bool { return len(other.Runs()) > 20 })
	refused := c.count(http.StatusServiceUnavailable)
	time.Sleep(contactTime)
	c.end()
	assert.Zero(t, c.count(http.StatusServiceUnavailable)-refused)
}
