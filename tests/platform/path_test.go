// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

func TestAnswersArePassedOnUnchanged(t *testing.T) {
	s := newSite(t, 1)
	got := s.do(call{path: "/hold/seat?row=%2F7&x=1", body: "hello"})
	require.NoError(t, got.broken)
	assert.Equal(t, http.StatusOK, got.status)
	assert.Equal(t, got.id, got.header.Get("X-Attempt-Id"))
	assert.NotEmpty(t, got.header.Get("X-Server-Seal"))
	assert.Contains(t, got.body, got.id+" POST /hold/seat?row=%2F7&x=1 \"hello\"")
	assert.Equal(t, 1, s.runsOf(got.id))
}

func TestUnknownRoutesGet404AndLargeBodies413(t *testing.T) {
	s := newSite(t, 1)
	assert.Equal(t, http.StatusNotFound, s.do(call{path: "/nowhere/"}).status)
	assert.Equal(t, http.StatusRequestEntityTooLarge, s.do(call{path: "/hold/x", body: strings.Repeat("x", 2<<20)}).status)
}

func TestAnAdapterIsLoadedOnDemandAndItsStreamIsWhole(t *testing.T) {
	s := newSite(t, 2)
	for i := range 20 {
		adapter := fmt.Sprintf("a%d", i)
		got := s.do(call{entry: i % 2, path: "/chat/x", adapter: adapter, body: "prompt"})
		require.NoError(t, got.broken)
		require.Equal(t, http.StatusOK, got.status, got.body)
		for event := 1; event <= 5; event++ {
			assert.Contains(t, got.body, fmt.Sprintf("id: %d\ndata: %s.%s.%d\n\n", event, got.id, adapter, event))
		}
		assert.Equal(t, 1, s.runsOf(got.id))
	}
	for _, worker := range s.models {
		assert.Zero(t, worker.Overfull())
	}
}

func TestTheDeadlineHandedOnIsWhatIsLeft(t *testing.T) {
	s := newSite(t, 1)
	got := s.do(call{path: "/chat/x", adapter: "a1"})
	require.Equal(t, http.StatusOK, got.status)
	for _, worker := range s.models {
		for _, run := range worker.Runs() {
			left := 0
			_, err := fmt.Sscan(run.Deadline, &left)
			require.NoError(t, err)
			assert.Less(t, left, 5000, "the wait for the adapter is taken off")
			assert.Greater(t, left, 1000)
		}
	}
}

func TestARequestThatMayHaveRunIsNeverSentAgain(t *testing.T) {
	s := newSite(t, 1)
	for _, faults := range []standin.WorkerFaults{{Resets: 1}, {Errors: 1}, {Unsealed: 1}} {
		s.eachPlain(faults)
		got := s.do(call{path: "/hold/x"})
		assert.GreaterOrEqual(t, got.status, 500)
		assert.NotContains(t, []int{503, 429, 408, 421}, got.status, "these would promise that it did not run")
		assert.Equal(t, 1, s.runsOf(got.id))
	}
}

func TestARefusalIsTrueAndSaysWhenToComeBack(t *testing.T) {
	s := newSite(t, 1)
	s.eachPlain(standin.WorkerFaults{Sheds: 1})
	got := s.do(call{path: "/hold/x"})
	assert.Equal(t, http.StatusServiceUnavailable, got.status)
	assert.NotEmpty(t, got.header.Get("Retry-After"))
	assert.Empty(t, got.header.Get("X-Server-Seal"))
	assert.Zero(t, s.runsOf(got.id))
}

func TestASafeRequestIsRepeatedWithinItsAttemptsAndTheBudget(t *testing.T) {
	s := newSite(t, 1)
	for range 10 {
		s.do(call{method: http.MethodGet, path: "/status/x"})
	}
	for _, worker := range s.plain {
		worker.SetFaults(standin.WorkerFaults{Resets: 1})
	}
	first := s.do(call{method: http.MethodGet, path: "/status/x"})
	assert.Equal(t, http.StatusBadGateway, first.status, "both of its attempts failed")
	assert.Equal(t, 2, s.runsOf(first.id))

	s.plain[0].SetFaults(standin.WorkerFaults{Errors: 50})
	s.plain[1].SetFaults(standin.WorkerFaults{Errors: 50})
	repeats := 0
	for range 10 {
		repeats += s.runsOf(s.do(call{method: http.MethodGet, path: "/status/x"}).id) - 1
	}
	assert.LessOrEqual(t, repeats+1, 4, "a fifth of the requests may be repeated")
}

func TestASecondAnswerBelongsToNobody(t *testing.T) {
	s := newSite(t, 1)
	s.eachPlain(standin.WorkerFaults{Extras: 2})
	for range 6 {
		got := s.do(call{path: "/hold/x"})
		require.NoError(t, got.broken)
		require.Equal(t, http.StatusOK, got.status)
		assert.Equal(t, got.id, got.header.Get("X-Attempt-Id"))
	}
}

func TestABrokenStreamNeverLooksWhole(t *testing.T) {
	s := newSite(t, 1)
	s.eachModel(standin.WorkerFaults{Breaks: 1, BreakAfter: 2})
	got := s.do(call{path: "/chat/x", adapter: "a1"})
	assert.Equal(t, http.StatusOK, got.status)
	assert.Error(t, got.broken)
	assert.Equal(t, 1, s.runsOf(got.id))
}

func TestAResumableStreamGoesOnElsewhereWithoutAGap(t *testing.T) {
	s := newSite(t, 1)
	for range 20 {
		require.Equal(t, http.StatusOK, s.do(call{path: "/chat/x", adapter: "a1"}).status)
	}
	s.models[0].SetFaults(standin.WorkerFaults{Breaks: 1, BreakAfter: 2})
	s.models[1].SetFaults(standin.WorkerFaults{})
	broke := false
	for range 10 {
		got := s.do(call{path: "/digest/x", header: map[string]string{"X-Model": standin.Model}})
		require.NoError(t, got.broken)
		require.Equal(t, http.StatusOK, got.status)
		for event := 1; event <= 5; event++ {
			require.Equal(t, 1, strings.Count(got.body, fmt.Sprintf("id: %d\ndata: %s..%d\n\n", event, got.id, event)), got.body)
		}
		require.NotContains(t, got.body, "half")
		broke = broke || s.runsOf(got.id) == 2
	}
	assert.True(t, broke, "one stream was resumed")
}

func TestACallersLeavingReachesTheWorker(t *testing.T) {
	s := newSite(t, 1)
	s.eachPlain(standin.WorkerFaults{Hangs: 1})
	request, id := s.request(call{path: "/hold/x"})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		time.Sleep(100 * time.Millisecond)
		cancel()
	}()
	_, err := callersClient.Do(request.WithContext(ctx))
	require.Error(t, err)
	s.waitFor("the worker's run is canceled", func() bool {
		for _, worker := range s.plain {
			for _, run := range worker.Runs() {
				if run.ID == id && run.Canceled {
					return true
				}
			}
		}
		return false
	})
}

func TestAHangingWorkerIsAnsweredAtTheDeadline(t *testing.T) {
	s := newSite(t, 1)
	s.eachPlain(standin.WorkerFaults{Hangs: 1})
	began := time.Now()
	got := s.do(call{path: "/hold/x", header: map[string]string{"X-Deadline-Ms": "400"}})
	assert.Equal(t, http.StatusGatewayTimeout, got.status)
	assert.Less(t, time.Since(began), 2*time.Second)
	assert.Equal(t, 1, s.runsOf(got.id))
}

// TestAHangingWorkerNeverLooksLikeABrokenOne is about CI beside load: the bound on an answer's head fell together with
// the request's deadline, and the one that fired first decided between 504 and 502.
func TestAHangingWorkerNeverLooksLikeABrokenOne(t *testing.T) {
	s := newSite(t, 1)
	s.eachPlain(standin.WorkerFaults{Hangs: 200})
	results := make(chan int, 160)
	for range 4 {
		var callers sync.WaitGroup
		for range 40 {
			callers.Go(func() {
				results <- s.do(call{path: "/hold/x", header: map[string]string{"X-Deadline-Ms": "200"}}).status
			})
		}
		callers.Wait()
	}
	close(results)
	counts := make(map[int]int)
	for status := range results {
		counts[status]++
	}
	assert.Zero(t, counts[http.StatusBadGateway], "%v", counts)
	assert.NotZero(t, counts[http.StatusGatewayTimeout], "%v", counts)
}

func TestCapacityIsKeptWhileManyAdaptersComeAndGo(t *testing.T) {
	s := newSite(t, 2)
	for i := range 60 {
		got := s.do(call{entry: i % 2, path: "/chat/x", adapter: fmt.Sprintf("a%d", i%40)})
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, got.status, got.body)
	}
	unloads := 0
	for _, worker := range s.models {
		assert.Zero(t, worker.Overfull())
		for _, order := range worker.Orders() {
			if order.Operation == "unload" {
				unloads++
			}
		}
	}
	assert.NotZero(t, unloads)
}

func TestAHeadOverTheConfiguredLimitIsRefused(t *testing.T) {
	s := newSite(t, 1)
	within := call{path: "/hold/x", header: map[string]string{"X-Note": strings.Repeat("x", 12<<10)}}
	assert.Equal(t, http.StatusOK, s.do(within).status)
	over := call{path: "/hold/x", header: map[string]string{"X-Note": strings.Repeat("x", 17<<10)}}
	got := s.do(over)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, got.status)
	assert.Zero(t, s.runsOf(got.id))
}
