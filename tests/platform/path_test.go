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
	require.NoError(t, got.Broken)
	assert.Equal(t, http.StatusOK, got.Status)
	assert.Equal(t, got.ID, got.Header.Get("X-Attempt-Id"))
	assert.NotEmpty(t, got.Header.Get("X-Server-Seal"))
	assert.Contains(t, got.Body, got.ID+" POST /hold/seat?row=%2F7&x=1 \"hello\"")
	assert.Equal(t, 1, s.runsOf(got.ID))
}

func TestUnknownRoutesGet404AndLargeBodies413(t *testing.T) {
	s := newSite(t, 1)
	assert.Equal(t, http.StatusNotFound, s.do(call{path: "/nowhere/"}).Status)
	assert.Equal(t, http.StatusRequestEntityTooLarge, s.do(call{path: "/hold/x", body: strings.Repeat("x", 2<<20)}).Status)
}

func TestAnAdapterIsLoadedOnDemandAndItsStreamIsWhole(t *testing.T) {
	s := newSite(t, 2)
	for i := range 20 {
		adapter := fmt.Sprintf("a%d", i)
		got := s.do(call{entry: i % 2, path: "/chat/x", adapter: adapter, body: "prompt"})
		require.NoError(t, got.Broken)
		require.Equal(t, http.StatusOK, got.Status, got.Body)
		for event := 1; event <= 5; event++ {
			assert.Contains(t, got.Body, standin.Event(event, got.ID, adapter))
		}
		assert.Equal(t, 1, s.runsOf(got.ID))
	}
	for _, worker := range s.models {
		assert.Zero(t, worker.Overfull())
	}
}

func TestTheDeadlineHandedOnIsWhatIsLeft(t *testing.T) {
	s := newSite(t, 1)
	got := s.do(call{path: "/chat/x", adapter: "a1"})
	require.Equal(t, http.StatusOK, got.Status)
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
		assert.GreaterOrEqual(t, got.Status, 500)
		assert.NotContains(t, []int{503, 429, 408, 421}, got.Status, "these would promise that it did not run")
		assert.Equal(t, 1, s.runsOf(got.ID))
	}
}

func TestARefusalIsTrueAndSaysWhenToComeBack(t *testing.T) {
	s := newSite(t, 1)
	s.eachPlain(standin.WorkerFaults{Sheds: 1})
	got := s.do(call{path: "/hold/x"})
	assert.Equal(t, http.StatusServiceUnavailable, got.Status)
	assert.NotEmpty(t, got.Header.Get("Retry-After"))
	assert.Empty(t, got.Header.Get("X-Server-Seal"))
	assert.Zero(t, s.runsOf(got.ID))
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
	assert.Equal(t, http.StatusBadGateway, first.Status, "both of its attempts failed")
	assert.Equal(t, 2, s.runsOf(first.ID))

	s.plain[0].SetFaults(standin.WorkerFaults{Errors: 50})
	s.plain[1].SetFaults(standin.WorkerFaults{Errors: 50})
	repeats := 0
	for range 10 {
		repeats += s.runsOf(s.do(call{method: http.MethodGet, path: "/status/x"}).ID) - 1
	}
	assert.LessOrEqual(t, repeats+1, 4, "a fifth of the requests may be repeated")
}

func TestASecondAnswerBelongsToNobody(t *testing.T) {
	s := newSite(t, 1)
	s.eachPlain(standin.WorkerFaults{Extras: 2})
	for range 6 {
		got := s.do(call{path: "/hold/x"})
		require.NoError(t, got.Broken)
		require.Equal(t, http.StatusOK, got.Status)
		assert.Equal(t, got.ID, got.Header.Get("X-Attempt-Id"))
	}
}

func TestABrokenStreamNeverLooksWhole(t *testing.T) {
	s := newSite(t, 1)
	s.eachModel(standin.WorkerFaults{Breaks: 1, BreakAfter: 2})
	got := s.do(call{path: "/chat/x", adapter: "a1"})
	assert.Equal(t, http.StatusOK, got.Status)
	assert.Error(t, got.Broken)
	assert.Equal(t, 1, s.runsOf(got.ID))
}

func TestAResumableStreamGoesOnElsewhereWithoutAGap(t *testing.T) {
	s := newSite(t, 1)
	for range 20 {
		require.Equal(t, http.StatusOK, s.do(call{path: "/chat/x", adapter: "a1"}).Status)
	}
	s.models[0].SetFaults(standin.WorkerFaults{Breaks: 1, BreakAfter: 2})
	s.models[1].SetFaults(standin.WorkerFaults{})
	broke := false
	for range 10 {
		got := s.do(call{path: "/digest/x", header: map[string]string{"X-Model": standin.Model}})
		require.NoError(t, got.Broken)
		require.Equal(t, http.StatusOK, got.Status)
		for event := 1; event <= 5; event++ {
			require.Equal(t, 1, strings.Count(got.Body, standin.Event(event, got.ID, "")), got.Body)
		}
		require.NotContains(t, got.Body, "half")
		broke = broke || s.runsOf(got.ID) == 2
	}
	assert.True(t, broke, "one stream was resumed")
}

func TestACallersLeavingReachesTheEndpoint(t *testing.T) {
	s := newSite(t, 1)
	s.eachPlain(standin.WorkerFaults{Hangs: 1})
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan standin.Answer, 1)
	go func() { left <- s.send(ctx, call{path: "/hold/x"}) }()
	s.waitFor("the request runs", func() bool { return len(standin.RunCounts(s.plain...)) > 0 })
	cancel()
	got := <-left
	require.Error(t, got.Broken)
	s.waitFor("the worker's run is canceled", func() bool {
		for _, worker := range s.plain {
			for _, run := range worker.Runs() {
				if run.ID == got.ID && run.Canceled {
					return true
				}
			}
		}
		return false
	})
}

func TestAHangingEndpointIsAnsweredAtTheDeadline(t *testing.T) {
	s := newSite(t, 1)
	s.eachPlain(standin.WorkerFaults{Hangs: 1})
	began := time.Now()
	got := s.do(call{path: "/hold/x", header: map[string]string{"X-Deadline-Ms": "400"}})
	assert.Equal(t, http.StatusGatewayTimeout, got.Status)
	assert.Less(t, time.Since(began), 2*time.Second)
	assert.Equal(t, 1, s.runsOf(got.ID))
}

// TestAHangingEndpointNeverLooksLikeABrokenOne is about CI beside load: the bound on an answer's head fell together with
// the request's deadline, and the one that fired first decided between 504 and 502.
func TestAHangingEndpointNeverLooksLikeABrokenOne(t *testing.T) {
	s := newSite(t, 1)
	s.eachPlain(standin.WorkerFaults{Hangs: 200})
	results := make(chan int, 160)
	for range 4 {
		var callers sync.WaitGroup
		for range 40 {
			callers.Go(func() {
				results <- s.do(call{path: "/hold/x", header: map[string]string{"X-Deadline-Ms": "200"}}).Status
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
		require.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, got.Status, got.Body)
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
	assert.Equal(t, http.StatusOK, s.do(within).Status)
	over := call{path: "/hold/x", header: map[string]string{"X-Note": strings.Repeat("x", 17<<10)}}
	got := s.do(over)
	assert.Equal(t, http.StatusRequestHeaderFieldsTooLarge, got.Status)
	assert.Zero(t, s.runsOf(got.ID))
}
