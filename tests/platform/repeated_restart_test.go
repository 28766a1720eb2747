// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// sentTry is one try of a request, as its caller saw it.
type sentTry struct {
	standin.Answer

	body string
	at   time.Time
}

// tryRecorder records the tries of callers.
type tryRecorder struct {
	site  *site
	stop  chan struct{}
	tasks sync.WaitGroup
	mutex sync.Mutex
	tries []sentTry
}

// startTries has callers send requests, each with a body of its own, until end is called. They send a request again where the answer promises
// that it has not run.
func (s *site) startTries(callers int, pause time.Duration, request call) *tryRecorder {
	r := &tryRecorder{site: s, stop: make(chan struct{})}
	for caller := range callers {
		r.tasks.Go(func() {
			for turn := 0; ; turn++ {
				sent := request
				sent.entry, sent.body = (caller+turn)%len(s.entries), fmt.Sprint("caller ", caller, ", request ", turn)
				for r.send(sent).Status == http.StatusServiceUnavailable && r.pause(pause) {
					sent.entry = (sent.entry + 1) % len(s.entries)
				}
				if !r.pause(pause) {
					return
				}
			}
		})
	}
	return r
}

func (r *tryRecorder) send(request call) standin.Answer {
	try := sentTry{body: request.body, at: time.Now()}
	try.Answer = r.site.do(request)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.tries = append(r.tries, try)
	return try.Answer
}

// pause waits and returns whether the test goes on.
func (r *tryRecorder) pause(span time.Duration) bool {
	select {
	case <-r.stop:
		return false
	case <-time.After(span):
		return true
	}
}

// end waits until the callers have ended and returns their tries.
func (r *tryRecorder) end() []sentTry {
	close(r.stop)
	r.tasks.Wait()
	return r.tries
}

// TestUnsafeRequestsRunOnceOverLossesOfAllInstances guards against a request that may run once and runs again after an answer that promised that
// it had not run.
func TestUnsafeRequestsRunOnceOverLossesOfAllInstances(t *testing.T) {
	for name, request := range map[string]call{
		"plain":  {path: standin.UnsafePrefix + "x?work_ms=150"},
		"stream": {path: standin.StreamPrefix + "x?events=5&pause_ms=30", adapter: "a1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 3)
			for _, worker := range append(slices.Clone(s.plain), s.models...) {
				worker.SetRoom(standin.Room{Slots: 4, Queue: 4})
				worker.SetFaults(standin.WorkerFaults{KeepsQueued: true})
			}
			callers := s.startTries(24, 5*time.Millisecond, request)
			for range restarts {
				time.Sleep(settledAge)
				s.restartAll()
			}
			time.Sleep(settledAge)
			tries := callers.end()
			// A worker may still run what it has in its queue.
			time.Sleep(settledAge)
			runs, promised, broken := make(map[string]int), 0, 0
			for _, try := range tries {
				ran := s.runCount(try.ID)
				runs[try.body] += ran
				switch {
				case try.Err != nil:
					broken++
				case try.Status == http.StatusServiceUnavailable:
					promised++
					assert.Zero(t, ran, "a request ran whose answer promised that it had not")
				}
			}
			for body, count := range runs {
				assert.LessOrEqual(t, count, 1, "%s: runs", body)
			}
			t.Logf("%d tries of %d requests, %d promised not to have run, %d without an answer", len(tries), len(runs), promised, broken)
			assert.Positive(t, promised)
			assert.Positive(t, broken)
		})
	}
}

const (
	// retryWindow is the window of the budget of retries in these tests, so short that all restarts are within two.
	retryWindow = 3 * time.Second
	// retryRatio and extraRetries are the budget of the stand-in's settings.
	retryRatio   = 0.2
	extraRetries = 54
)

// TestRetriesStayWithinBudgetOverLossesOfAllInstances guards against instances that retry anew since they have forgotten how often they did.
func TestRetriesStayWithinBudgetOverLossesOfAllInstances(t *testing.T) {
	t.Parallel()
	s := startSite(t, siteOptions{entries: 3, workers: 6, retryWindow: retryWindow})
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for {
			s.setPlainFaults(standin.WorkerFaults{Resets: 1})
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	callers := s.startTries(12, 50*time.Millisecond, call{path: standin.SafePrefix + "x?work_ms=5"})
	// The extra retries count only after one window.
	time.Sleep(retryWindow + retryWindow/2)
	for range restarts {
		s.restartAll()
		time.Sleep(settledAge)
	}
	tries := callers.end()
	close(stop)
	faults.Wait()
	var sent, repeated []time.Time
	began := make(map[string][]time.Time)
	for _, worker := range s.plain {
		for _, run := range worker.Runs() {
			began[run.ID] = append(began[run.ID], run.Began)
		}
	}
	for _, try := range tries {
		times := began[try.ID]
		if try.Err != nil && len(times) == 0 {
			continue
		}
		sent = append(sent, try.at)
		slices.SortFunc(times, time.Time.Compare)
		if len(times) > 1 {
			repeated = append(repeated, times[1:]...)
		}
	}
	most := 0.0
	for _, until := range repeated {
		in := func(times []time.Time, end time.Time) float64 {
			count := 0.0
			for _, at := range times {
				if at.After(end.Add(-retryWindow)) && !at.After(end) {
					count++
				}
			}
			return count
		}
		requests := max(in(sent, until), in(sent, until.Add(-retryWindow/2)), in(sent, until.Add(-retryWindow)))
		allowed := retryRatio*requests + extraRetries
		most = max(most, in(repeated, until)/allowed)
		assert.LessOrEqual(t, in(repeated, until), allowed, "arrivals beyond the first in a window with %.0f requests", requests)
	}
	t.Logf("%d requests, %d repeated; at most %.2f of the budget in a window", len(sent), len(repeated), most)
	assert.NotEmpty(t, repeated)
}
