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

const planning = "planning begins"

// planner gives the entry that began to plan last, among those that run.
func (s *site) planner() int {
	s.t.Helper()
	found := -1
	s.waitFor("an entry plans", func() bool {
		for i, e := range s.entries {
			if !e.ended && s.logged(i, planning) {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

func (s *site) other(than int) int {
	return (than + 1) % len(s.entries)
}

// serves tells whether an adapter that was never asked for gets loaded and served.
func (s *site) serves(entry int, adapter string) bool {
	return s.do(call{entry: entry, path: "/chat/x", adapter: adapter}).Status == http.StatusOK
}

// checkOrders checks, over all workers, that the fencing token never falls, belongs to one
// holder, and that a holder never comes back with an old one.
func (s *site) checkOrders() {
	s.t.Helper()
	holders := make(map[int64]string)
	for _, worker := range s.models {
		orders := worker.Orders()
		sort.SliceStable(orders, func(i, j int) bool { return orders[i].At.Before(orders[j].At) })
		last := int64(0)
		for _, order := range orders {
			assert.GreaterOrEqual(s.t, order.Token, last, "a lower token after a higher one")
			last = order.Token
			if holder, ok := holders[order.Token]; ok {
				assert.Equal(s.t, holder, order.Holder, "two holders with one token")
			}
			holders[order.Token] = order.Holder
		}
		assert.Zero(s.t, worker.Overfull())
	}
}

func TestAPlannedStopHandsTheOwnershipOverAtOnce(t *testing.T) {
	s := newSite(t, 2)
	former := s.planner()
	next := s.other(former)
	require.True(t, s.serves(former, "a1"))
	began := time.Now()
	var stopped sync.WaitGroup
	stopped.Go(s.entries[former].process.Stop)
	s.entries[former].ended = true
	s.waitFor("the other entry plans", func() bool { return s.logged(next, planning) })
	assert.Less(t, time.Since(began), 2*time.Second)
	assert.True(t, s.serves(next, "a2"))
	assert.Less(t, time.Since(began), 4*time.Second)
	stopped.Wait()
	s.checkOrders()
}

func TestAPlannedStopCutsNothingOff(t *testing.T) {
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
	s.waitAtMost(300*time.Millisecond, "it is no longer ready", func() bool { return !s.isReady(0) })
	assert.False(t, s.isReady(0))
	for range 20 {
		callers.Go(func() { results <- s.do(call{path: "/chat/x", adapter: "a1"}) })
	}
	callers.Wait()
	stopping.Wait()
	close(results)
	for got := range results {
		assert.NoError(t, got.Broken)
		assert.Equal(t, http.StatusOK, got.Status)
	}
}

func TestALostPlannerIsReplacedAfterItsTime(t *testing.T) {
	s := newSite(t, 2)
	former := s.planner()
	next := s.other(former)
	require.True(t, s.serves(former, "a1"))
	s.kill(former)
	s.waitFor("the other entry serves a new adapter", func() bool { return s.serves(next, "a2") })
	s.checkOrders()
}

// TestARefusedConnectionIsNoProofThatThePlannerEnded is about the end of a cut, when an entry's connection to the living planner is
// refused: an entry that takes the process for ended would give orders beside it at once.
func TestARefusedConnectionIsNoProofThatThePlannerEnded(t *testing.T) {
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
		assert.Equal(t, i == planner, s.logged(i, planning), "entry %d", i)
	}
	s.checkOrders()
}

// TestAPlannerCutFromTheStoreFollowsItsSuccessor is about callers of a planner that the store answers no
// more: another entry plans, and the former planner could not read who, so that it refused all
// adapters that were loaded since.
func TestAPlannerCutFromTheStoreFollowsItsSuccessor(t *testing.T) {
	s := newSite(t, 3)
	former := s.planner()
	require.True(t, s.serves(former, "a1"))
	s.entries[former].cut.Store(true)
	next := -1
	s.waitFor("another entry plans", func() bool {
		for i := range s.entries {
			if i != former && s.logged(i, planning) {
				next = i
			}
		}
		return next >= 0
	})
	s.waitFor("it loads adapters", func() bool { return s.serves(next, "a2") })
	s.waitFor("the former planner serves what the new one loaded", func() bool { return s.serves(former, "a2") })
	s.waitFor("the former planner gets adapters through the new one", func() bool { return s.serves(former, "a3") })
	s.checkOrders()
}

func TestAPlannerThatStartsAgainGoesOnAtOnce(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	s.kill(0)
	began := time.Now()
	s.entries[0] = s.startEntry(0)
	s.waitFor("a new adapter is served", func() bool { return s.serves(0, "a2") })
	assert.Less(t, time.Since(began), 4*time.Second, "the time of its own former process need not be waited for")
	s.checkOrders()
}

func TestWhatIsLoadedIsServedWhileTheStoreIsDown(t *testing.T) {
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
	s.checkOrders()
}

func TestAConfigurationIsInForceEverywhereWithinItsTime(t *testing.T) {
	s := newSite(t, 3)
	cases := map[string]func(){
		"sound":           func() {},
		"history dropped": func() { s.store.DropHistory() },
		"watches deaf": func() {
			s.store.SetFaults(standin.StoreFaults{Deaf: true})
			time.AfterFunc(time.Second, func() {
				s.store.DropHistory()
				s.store.SetFaults(standin.StoreFaults{})
			})
		},
	}
	version := 1
	for name, trouble := range cases {
		version++
		trouble()
		path := fmt.Sprintf("/new%d/", version)
		s.store.Put("op/config", standin.Configuration(version, map[string]string{path: standin.PlainService}))
		deadline := time.Now().Add(2 * time.Second)
		for i := range s.entries {
			inForce := func() bool { return s.do(call{entry: i, path: path, method: http.MethodGet}).Status == http.StatusOK }
			s.waitAtMost(time.Until(deadline), fmt.Sprintf("%s, entry %d", name, i), inForce)
			assert.True(t, inForce(), "%s, entry %d", name, i)
		}
	}
}

func TestALeavingEndpointGetsNoNewWorkWithinItsTime(t *testing.T) {
	s := newSite(t, 2)
	fresh := standin.NewWorker(s.store, standin.WorkerOptions{ID: "i-plain-new", Service: standin.PlainService, Zone: "h1", Slots: 8})
	s.plain = append(s.plain, fresh)
	s.waitFor("each entry uses the new worker", func() bool {
		s.do(call{entry: len(fresh.Runs()) % 2, path: "/hold/x"})
		return len(fresh.Runs()) > 1
	})
	for _, leave := range []func(*standin.Worker){(*standin.Worker).Drain, (*standin.Worker).Vanish} {
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

func TestRevokedKeysMakeNoSecondPlanner(t *testing.T) {
	s := newSite(t, 3)
	former := s.planner()
	require.True(t, s.serves(former, "a1"))
	for range 3 {
		s.store.RevokeLeases()
		time.Sleep(500 * time.Millisecond)
	}
	require.True(t, s.serves(former, "a2"))
	for i := range s.entries {
		assert.Equal(t, i == former, s.logged(i, planning))
	}
	s.checkOrders()
}

func TestLostAndLateWritesMakeNoSecondHolder(t *testing.T) {
	s := newSite(t, 3)
	former := s.planner()
	require.True(t, s.serves(former, "a1"))
	s.store.SetFaults(standin.StoreFaults{LoseAnswers: 1, LateWrites: 1, LateBy: 1500 * time.Millisecond})
	s.kill(former)
	s.waitFor("another entry serves a new adapter", func() bool { return s.serves(s.other(former), "a2") })
	time.Sleep(2 * time.Second)
	s.waitFor("and another one", func() bool { return s.serves(s.other(former), "a3") })
	s.checkOrders()
}

func TestANamedVersionIsServedWithinItsTime(t *testing.T) {
	s := newSite(t, 2)
	require.True(t, s.serves(0, "a1"))
	for _, worker := range s.models {
		worker.Name("a1", 2)
	}
	s.store.Put("op/version/base.a1", map[string]any{"model": standin.Model, "adapter": "a1", "version": 2})
	time.Sleep(4 * time.Second)
	for i := range 10 {
		got := s.do(call{entry: i % 2, path: "/chat/x", adapter: "a1"})
		require.Equal(t, http.StatusOK, got.Status)
		for _, worker := range s.models {
			for _, run := range worker.Runs() {
				if run.ID == got.ID {
					assert.Equal(t, 2, run.Version)
				}
			}
		}
	}
}

func TestLostOrdersAreSettled(t *testing.T) {
	s := newSite(t, 1)
	s.eachModel(standin.WorkerFaults{LoseOrders: 2})
	for i := range 6 {
		s.waitFor("the adapter is served", func() bool { return s.serves(0, fmt.Sprintf("a%d", i)) })
	}
	s.checkOrders()
}

func TestAllAtOnceStartAgainFromTheStoreAlone(t *testing.T) {
	s := newSite(t, 3)
	require.True(t, s.serves(0, "a1"))
	for i := range s.entries {
		s.kill(i)
	}
	began := time.Now()
	for i := range s.entries {
		s.entries[i] = s.startEntry(i)
	}
	s.waitFor("all entries serve", func() bool {
		for i := range s.entries {
			if !s.serves(i, "a1") {
				return false
			}
		}
		return true
	})
	assert.Less(t, time.Since(began), 12*time.Second)
	s.checkOrders()
}

// TestAnEntryThatStartsWhileTheStoreIsDownLearnsFromItsPeers is about an instance that joins with
// nothing in hand.
func TestAnEntryThatStartsWhileTheStoreIsDownLearnsFromItsPeers(t *testing.T) {
	s := newSite(t, 2)
	require.True(t, s.serves(0, "a1"))
	s.store.SetFaults(standin.StoreFaults{Down: true})
	s.kill(1)
	s.entries[1] = s.startEntry(1)
	s.waitFor("it is ready", func() bool { return s.isReady(1) })
	assert.True(t, s.serves(1, "a1"))
	s.store.SetFaults(standin.StoreFaults{})
	s.waitFor("new adapters are served again", func() bool { return s.serves(1, "a2") })
	s.checkOrders()
}

// TestAStoreOverItsRateDelaysButBreaksNothing lets three entries share a rate that refuses a part of their
// calls.
func TestAStoreOverItsRateDelaysButBreaksNothing(t *testing.T) {
	s := newSite(t, 3)
	require.True(t, s.serves(0, "a1"))
	s.store.SetFaults(standin.StoreFaults{PerSecond: 5})
	time.Sleep(1500 * time.Millisecond)
	for i := range s.entries {
		assert.True(t, s.serves(i, "a1"), "what is loaded is served")
	}
	s.store.Put("op/config", standin.Configuration(2, map[string]string{"/late/": standin.PlainService}))
	for i := range s.entries {
		s.waitFor("the configuration is in force", func() bool {
			return s.do(call{entry: i, path: "/late/x", method: http.MethodGet}).Status == http.StatusOK
		})
	}
	s.store.SetFaults(standin.StoreFaults{})
	s.waitFor("new adapters are served again", func() bool { return s.serves(1, "a2") })
	s.checkOrders()
}

// TestAnEndpointThatLeftDuringACutIsNotUsedAfterIt is about an entry that is cut off while a worker leaves, and then links to the
// planner again: the whole view names the revision of the planner's first reading, and an entry that knows a newer description of
// the worker must not keep it for that.
func TestAnEndpointThatLeftDuringACutIsNotUsedAfterIt(t *testing.T) {
	s := newSite(t, 2)
	follower := s.other(s.planner())
	// The planner reads all endpoints within its first two seconds and follows them by watches from then on.
	time.Sleep(2 * time.Second)
	adapters := []string{"a1", "a2", "a3", "a4"}
	for _, adapter := range adapters {
		require.True(t, s.serves(follower, adapter))
	}
	// The workers describe what they hold now, at revisions after that reading.
	time.Sleep(standin.BeatPace + 200*time.Millisecond)
	entry := s.entries[follower]
	entry.cut.Store(true)
	entry.cutPeers(true)
	gone := s.models[0]
	gone.Vanish()
	time.Sleep(700 * time.Millisecond)
	entry.cutPeers(false)
	time.Sleep(1200 * time.Millisecond)
	before := len(gone.Runs())
	for _, adapter := range adapters {
		s.serves(follower, adapter)
	}
	assert.Len(t, gone.Runs(), before)
}
