// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

const planningMsg = "planning begins"

// planner returns the first running instance that has logged that it became the planner.
func (s *site) planner() int {
	s.t.Helper()
	found := -1
	s.waitFor("an instance is the planner", func() bool {
		for i, e := range s.entries {
			if !e.ended && s.hasLogged(i, planningMsg) {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// otherEntry returns an instance other than the given one.
func (s *site) otherEntry(than int) int {
	return (than + 1) % len(s.entries)
}

// serves reports whether an instance answers a request for an adapter with 200. The adapter is loaded first if it was not used before.
func (s *site) serves(entry int, adapter string) bool {
	return s.do(call{entry: entry, path: "/chat/x", adapter: adapter}).Status == http.StatusOK
}

// assertOrdersConsistent checks that the fencing token of the orders at each worker never decreases, and that each token belongs to one holder.
// So a holder cannot give orders with an older token. It also checks that no worker was loaded beyond its capacity.
func (s *site) assertOrdersConsistent() {
	s.t.Helper()
	holders := make(map[int64]string)
	for _, worker := range s.models {
		orders := worker.Orders()
		sort.SliceStable(orders, func(i, j int) bool { return orders[i].At.Before(orders[j].At) })
		last := int64(0)
		for _, order := range orders {
			assert.GreaterOrEqual(s.t, order.Token, last, "fencing token decreased")
			last = order.Token
			if holder, ok := holders[order.Token]; ok {
				assert.Equal(s.t, holder, order.Holder, "two holders of one fencing token")
			}
			holders[order.Token] = order.Holder
		}
		assert.Zero(s.t, worker.Overfull())
	}
}

func TestPlannedStopHandsOverOwnershipAtOnce(t *testing.T) {
	s := newSite(t, 2)
	former := s.planner()
	next := s.otherEntry(former)
	require.True(t, s.serves(former, "a1"))
	began := time.Now()
	var stopped sync.WaitGroup
	stopped.Go(s.entries[former].process.Stop)
	s.entries[former].ended = true
	s.waitFor("the other instance is the planner", func() bool { return s.hasLogged(next, planningMsg) })
	assert.Less(t, time.Since(began), 2*time.Second)
	assert.True(t, s.serves(next, "a2"))
	assert.Less(t, time.Since(began), 4*time.Second)
	stopped.Wait()
	s.assertOrdersConsistent()
}

func TestPlannedStopInterruptsNoRequests(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	var callers sync.WaitGroup
	results := make(chan standin.Answer, 100)
	for range 20 {
		callers.Go(func() { results <- s.do(call{path: "/chat/x", adapter: "a1"}) })
	}
	s.waitFor("a stream runs", func() bool { return len(standin.RunCounts(s.models...)) > 1 })
	var stopping sync.WaitGroup
	stopping.Go(s.entries[0].process.Stop)
	s.entries[0].ended = true
	s.waitWithin(300*time.Millisecond, "the instance is no longer ready", func() bool { return !s.isReady(0) })
	assert.False(t, s.isReady(0))
	for range 20 {
		callers.Go(func() { results <- s.do(call{path: "/chat/x", adapter: "a1"}) })
	}
	callers.Wait()
	stopping.Wait()
	close(results)
	for answer := range results {
		assert.NoError(t, answer.Err)
		assert.Equal(t, http.StatusOK, answer.Status)
	}
}

func TestKilledPlannerIsReplaced(t *testing.T) {
	s := newSite(t, 2)
	former := s.planner()
	next := s.otherEntry(former)
	require.True(t, s.serves(former, "a1"))
	s.kill(former)
	s.waitFor("the other instance serves a new adapter", func() bool { return s.serves(next, "a2") })
	s.assertOrdersConsistent()
}

// TestRefusedConnectionDoesNotReplacePlanner guards against two planners at the end of a partition, when the connection of an instance to the
// running planner is refused. An instance that took the refusal for the end of the planner's process would give orders at once, beside the
// planner.
func TestRefusedConnectionDoesNotReplacePlanner(t *testing.T) {
	s := newSite(t, 3)
	planner := s.planner()
	require.True(t, s.serves(planner, "a1"))
	for i, entry := range s.entries {
		if i != planner {
			entry.cutPeers(true)
		}
	}
	for number := range 10 {
		s.serves(planner, fmt.Sprintf("a%d", 2+number))
		time.Sleep(200 * time.Millisecond)
	}
	for i := range s.entries {
		assert.Equal(t, i == planner, s.hasLogged(i, planningMsg), "entry %d", i)
	}
	s.assertOrdersConsistent()
}

// TestPlannerWithoutStoreFollowsItsSuccessor guards against a former planner that rejects requests for adapters which its successor has loaded.
// The store stops answering the former planner, so the former planner cannot read which instance is the planner now.
func TestPlannerWithoutStoreFollowsItsSuccessor(t *testing.T) {
	s := newSite(t, 3)
	former := s.planner()
	require.True(t, s.serves(former, "a1"))
	s.entries[former].storeCut.Store(true)
	next := -1
	s.waitFor("another instance is the planner", func() bool {
		for i := range s.entries {
			if i != former && s.hasLogged(i, planningMsg) {
				next = i
			}
		}
		return next >= 0
	})
	s.waitFor("the new planner loads adapters", func() bool { return s.serves(next, "a2") })
	s.waitFor("the former planner serves an adapter that the new planner loaded", func() bool { return s.serves(former, "a2") })
	s.waitFor("the former planner has an adapter loaded by the new planner", func() bool { return s.serves(former, "a3") })
	s.assertOrdersConsistent()
}

func TestRestartedPlannerPlansAtOnce(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	s.kill(0)
	began := time.Now()
	s.entries[0] = s.startEntry(0)
	s.waitFor("a new adapter is served", func() bool { return s.serves(0, "a2") })
	assert.Less(t, time.Since(began), 4*time.Second, "a restarted planner need not wait for the lease of its former process")
	s.assertOrdersConsistent()
}

func TestLoadedAdaptersAreServedWhileStoreIsDown(t *testing.T) {
	s := newSite(t, 2)
	require.True(t, s.serves(0, "a1"))
	for _, faults := range []standin.StoreFaults{{Down: true}, {Silent: true}} {
		s.store.SetFaults(faults)
		for i := range 30 {
			assert.True(t, s.serves(i%2, "a1"))
			time.Sleep(20 * time.Millisecond)
		}
		s.store.SetFaults(standin.StoreFaults{})
	}
	s.waitFor("new adapters are served again", func() bool { return s.serves(0, "a2") })
	s.assertOrdersConsistent()
}

func TestConfigurationTakesEffectAtAllInstancesWithinTwoSeconds(t *testing.T) {
	s := newSite(t, 3)
	cases := map[string]func(){
		"no fault":        func() {},
		"history dropped": func() { s.store.DropHistory() },
		"watch events withheld": func() {
			s.store.SetFaults(standin.StoreFaults{Deaf: true})
			time.AfterFunc(time.Second, func() {
				s.store.DropHistory()
				s.store.SetFaults(standin.StoreFaults{})
			})
		},
	}
	version := 1
	for name, injectFault := range cases {
		version++
		injectFault()
		path := fmt.Sprintf("/new%d/", version)
		s.store.Put("op/config", standin.Configuration(version, map[string]string{path: standin.PlainService}))
		deadline := time.Now().Add(2 * time.Second)
		for i := range s.entries {
			inForce := func() bool { return s.do(call{entry: i, path: path, method: http.MethodGet}).Status == http.StatusOK }
			s.waitWithin(time.Until(deadline), fmt.Sprintf("%s, entry %d", name, i), inForce)
			assert.True(t, inForce(), "%s, entry %d", name, i)
		}
	}
}

func TestLeavingEndpointGetsNoRequestsAfterTwoSeconds(t *testing.T) {
	s := newSite(t, 2)
	added := standin.NewWorker(s.store, standin.WorkerOptions{ID: "i-plain-new", Service: standin.PlainService, Zone: "h1", Slots: 8})
	s.plain = append(s.plain, added)
	s.waitFor("each instance uses the new worker", func() bool {
		s.do(call{entry: len(added.Runs()) % 2, path: "/hold/x"})
		return len(added.Runs()) > 1
	})
	for _, leave := range []func(*standin.Worker){(*standin.Worker).Drain, (*standin.Worker).Deregister} {
		worker := s.plain[0]
		s.plain = s.plain[1:]
		leave(worker)
		time.Sleep(2 * time.Second)
		before := len(worker.Runs())
		for i := range 40 {
			s.do(call{entry: i % 2, path: "/hold/x"})
		}
		assert.Len(t, worker.Runs(), before)
		worker.Close()
	}
}

func TestRevokedLeasesCauseNoSecondPlanner(t *testing.T) {
	s := newSite(t, 3)
	former := s.planner()
	require.True(t, s.serves(former, "a1"))
	for range 3 {
		s.store.RevokeLeases()
		time.Sleep(500 * time.Millisecond)
	}
	require.True(t, s.serves(former, "a2"))
	for i := range s.entries {
		assert.Equal(t, i == former, s.hasLogged(i, planningMsg))
	}
	s.assertOrdersConsistent()
}

func TestLostAnswersAndLateWritesCauseNoSecondTokenHolder(t *testing.T) {
	s := newSite(t, 3)
	former := s.planner()
	require.True(t, s.serves(former, "a1"))
	s.store.SetFaults(standin.StoreFaults{LoseAnswers: 1, LateWrites: 1, LateBy: 1500 * time.Millisecond})
	s.kill(former)
	s.waitFor("another instance serves a new adapter", func() bool { return s.serves(s.otherEntry(former), "a2") })
	time.Sleep(2 * time.Second)
	s.waitFor("the instance serves a second new adapter", func() bool { return s.serves(s.otherEntry(former), "a3") })
	s.assertOrdersConsistent()
}

func TestNamedVersionIsServedWithinFourSeconds(t *testing.T) {
	s := newSite(t, 2)
	require.True(t, s.serves(0, "a1"))
	for _, worker := range s.models {
		worker.SetAdapterVersion("a1", 2)
	}
	s.store.Put("op/version/base.a1", map[string]any{"model": standin.Model, "adapter": "a1", "version": 2})
	time.Sleep(4 * time.Second)
	for i := range 10 {
		answer := s.do(call{entry: i % 2, path: "/chat/x", adapter: "a1"})
		require.Equal(t, http.StatusOK, answer.Status)
		for _, worker := range s.models {
			for _, run := range worker.Runs() {
				if run.ID == answer.ID {
					assert.Equal(t, 2, run.Version)
				}
			}
		}
	}
}

func TestOrdersWithLostAnswersAreResolved(t *testing.T) {
	s := newSite(t, 1)
	s.setModelFaults(standin.WorkerFaults{LoseOrders: 2})
	for i := range 6 {
		s.waitFor("the adapter is served", func() bool { return s.serves(0, fmt.Sprintf("a%d", i)) })
	}
	s.assertOrdersConsistent()
}

func TestAllInstancesRestartFromStore(t *testing.T) {
	s := newSite(t, 3)
	require.True(t, s.serves(0, "a1"))
	for i := range s.entries {
		s.kill(i)
	}
	began := time.Now()
	for i := range s.entries {
		s.entries[i] = s.startEntry(i)
	}
	s.waitFor("all instances serve the adapter", func() bool {
		for i := range s.entries {
			if !s.serves(i, "a1") {
				return false
			}
		}
		return true
	})
	assert.Less(t, time.Since(began), 12*time.Second)
	s.assertOrdersConsistent()
}

// TestInstanceStartedWhileStoreIsDownGetsStateFromPeers covers an instance that joins without any state of its own.
func TestInstanceStartedWhileStoreIsDownGetsStateFromPeers(t *testing.T) {
	s := newSite(t, 2)
	require.True(t, s.serves(0, "a1"))
	s.store.SetFaults(standin.StoreFaults{Down: true})
	s.kill(1)
	s.entries[1] = s.startEntry(1)
	s.waitFor("the restarted instance is ready", func() bool { return s.isReady(1) })
	assert.True(t, s.serves(1, "a1"))
	s.store.SetFaults(standin.StoreFaults{})
	s.waitFor("new adapters are served again", func() bool { return s.serves(1, "a2") })
	s.assertOrdersConsistent()
}

// TestStoreRateLimitDelaysChangesWithoutFailures has the store answer five calls per second and reject the other calls of three instances.
func TestStoreRateLimitDelaysChangesWithoutFailures(t *testing.T) {
	s := newSite(t, 3)
	require.True(t, s.serves(0, "a1"))
	s.store.SetFaults(standin.StoreFaults{PerSecond: 5})
	time.Sleep(1500 * time.Millisecond)
	for i := range s.entries {
		assert.True(t, s.serves(i, "a1"), "a loaded adapter is served")
	}
	s.store.Put("op/config", standin.Configuration(2, map[string]string{"/late/": standin.PlainService}))
	for i := range s.entries {
		s.waitFor("the configuration has taken effect", func() bool {
			return s.do(call{entry: i, path: "/late/x", method: http.MethodGet}).Status == http.StatusOK
		})
	}
	s.store.SetFaults(standin.StoreFaults{})
	s.waitFor("new adapters are served again", func() bool { return s.serves(1, "a2") })
	s.assertOrdersConsistent()
}

// TestEndpointGoneDuringPartitionIsNotUsedAfterwards guards against an instance that sends requests to a worker which left while the instance
// was partitioned. The instance then links to the planner again and receives the complete view, which has the revision of the planner's first
// read of the endpoints. The instance may hold a newer description of the worker, and must not keep the worker because of that.
func TestEndpointGoneDuringPartitionIsNotUsedAfterwards(t *testing.T) {
	s := newSite(t, 2)
	follower := s.otherEntry(s.planner())
	// The planner reads all endpoints within its first two seconds, and follows their changes by watches after that.
	time.Sleep(2 * time.Second)
	adapters := []string{"a1", "a2", "a3", "a4"}
	for _, adapter := range adapters {
		require.True(t, s.serves(follower, adapter))
	}
	// The workers write descriptions of the adapters that they hold, at revisions after that read.
	time.Sleep(standin.HeartbeatInterval + 200*time.Millisecond)
	entry := s.entries[follower]
	entry.storeCut.Store(true)
	entry.cutPeers(true)
	gone := s.models[0]
	gone.Deregister()
	time.Sleep(700 * time.Millisecond)
	entry.cutPeers(false)
	time.Sleep(1200 * time.Millisecond)
	before := len(gone.Runs())
	for _, adapter := range adapters {
		s.serves(follower, adapter)
	}
	assert.Len(t, gone.Runs(), before)
}
