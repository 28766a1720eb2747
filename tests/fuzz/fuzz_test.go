// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// adapterCount is the number of adapters that requests name.
const adapterCount = 5

// drawAdapter draws one of adapterCount adapters in one of two versions.
func drawAdapter(t *rapid.T) fleet.AdapterRef {
	return fleet.AdapterRef{Name: fmt.Sprintf("a%d", rapid.IntRange(0, adapterCount-1).Draw(t, "adapter")), Version: rapid.IntRange(1, 2).Draw(t, "version")}
}

func (s *simulation) liveNodes() []*fakeNode {
	var out []*fakeNode
	for _, n := range s.sortedNodes() {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}

func (s *simulation) drawNode(t *rapid.T) *fakeNode {
	live := s.liveNodes()
	if len(live) == 0 {
		t.Skip("no node is running")
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(t, "node")]
}

func (s *simulation) drawEndpoint(t *rapid.T) *fakeEndpoint {
	names := []string{"h1-e1", "h1-e2", "h2-e1"}
	return s.endpoints[names[rapid.IntRange(0, len(names)-1).Draw(t, "endpoint")]]
}

// actions returns the actions of a history by name; the empty name is the check after each step. rapid draws actions from the sorted names,
// so a changed name changes the histories of a seed.
func (s *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":            func(t *rapid.T) { s.checkStep(t) },
		"request":     s.requestAction,
		"requests":    func(t *rapid.T) { s.repeat(t, 3, s.requestAction) },
		"burst":       func(t *rapid.T) { s.repeat(t, 8, s.requestAction) },
		"once":        s.onceAction,
		"once burst":  func(t *rapid.T) { s.repeat(t, 4, s.onceAction) },
		"short time":  func(t *rapid.T) { s.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond) },
		"middle time": func(t *rapid.T) { s.advance(time.Duration(rapid.IntRange(300, 3000).Draw(t, "ms")) * time.Millisecond) },
		"long time":   func(t *rapid.T) { s.advance(time.Duration(rapid.IntRange(3, 14).Draw(t, "s")) * time.Second) },
		"kill":        s.killAction,
		"start":       s.startAction,
		"stop":        s.stopAction,
		"pause":       s.pauseAction,
		"cut":         s.cutAction,
		"cut hall":    s.cutHallAction,
		"duel":        s.competingPlacersAction,
		"heal":        func(*rapid.T) { clear(s.cutLinks) },
		"restart":     func(t *rapid.T) { s.drawEndpoint(t).restart() },
		"fail loads":  func(t *rapid.T) { s.drawEndpoint(t).failLoads = rapid.IntRange(1, 3).Draw(t, "count") },
		"kv down":     func(*rapid.T) { s.kv.down = true },
		"kv up":       func(*rapid.T) { s.kv.down = false },
		"kv loses":    func(t *rapid.T) { s.kv.answersToLose = rapid.IntRange(1, 3).Draw(t, "answers") },
		"kv old":      func(t *rapid.T) { s.kv.sendConfiguration(s.drawNode(t), true) },
		"change":      s.changeAction,
		"list":        func(*rapid.T) { s.publishList() },
		"leaving":     s.leavingAction,
		"lossy":       func(t *rapid.T) { s.lossy = rapid.Bool().Draw(t, "lossy") },
	}
}

func (s *simulation) repeat(t *rapid.T, count int, act func(*rapid.T)) {
	for range count {
		act(t)
	}
}

func (s *simulation) requestAction(t *rapid.T) {
	n := s.drawNode(t)
	s.submit(n, drawAdapter(t), "", time.Duration(rapid.IntRange(20, 4000).Draw(t, "length"))*time.Millisecond)
}

func (s *simulation) onceAction(t *rapid.T) {
	onceID := fmt.Sprintf("once-%d", rapid.IntRange(0, 5).Draw(t, "once"))
	ref := fleet.AdapterRef{Name: "a0", Version: 1}
	s.submit(s.drawNode(t), ref, onceID, time.Duration(rapid.IntRange(20, 3000).Draw(t, "length"))*time.Millisecond)
}

func (s *simulation) killAction(t *rapid.T) {
	if len(s.liveNodes()) <= 2 {
		t.Skip("two nodes or fewer are running")
	}
	s.kill(s.drawNode(t))
}

func (s *simulation) startAction(t *rapid.T) {
	for _, n := range s.sortedNodes() {
		if n.dead {
			s.startNode(n.id)
			s.publishList()
			return
		}
	}
	t.Skip("all nodes are running")
}

func (s *simulation) stopAction(t *rapid.T) {
	if len(s.liveNodes()) <= 2 {
		t.Skip("two nodes or fewer are running")
	}
	n := s.drawNode(t)
	if n.leaving {
		t.Skip("the node is stopping already")
	}
	n.runWhenActive(func() {
		n.leaving = true
		for _, q := range n.openRequests {
			q.atStoppingNode = true
			s.oracle.countCheck(guaranteeStop)
		}
		n.applyEffects(n.node.Leave(n.clock()))
		if s.trafficDefects.dropOnStop {
			n.dead = true
		}
	})
}

func (s *simulation) pauseAction(t *rapid.T) {
	n := s.drawNode(t)
	n.paused = true
	s.schedule(s.now.Add(time.Duration(rapid.IntRange(200, 15000).Draw(t, "ms"))*time.Millisecond), func() {
		if !n.dead {
			n.resume()
		}
	})
}

func (s *simulation) cutAction(t *rapid.T) {
	names := []string{"h1-i1", "h1-i2", "h1-i3", "h2-i1", "h2-i2", "h1-e1", "h1-e2", "h2-e1", "kv"}
	a := names[rapid.IntRange(0, 4).Draw(t, "from")]
	b := names[rapid.IntRange(0, len(names)-1).Draw(t, "to")]
	if a != b {
		s.cutLinks[a+"|"+b] = true
	}
}

// cutHallAction cuts the links of the second hall to the first hall and to the key-value service.
func (s *simulation) cutHallAction(*rapid.T) {
	for _, a := range []string{"h2-i1", "h2-i2"} {
		for _, b := range []string{"h1-i1", "h1-i2", "h1-i3", "kv"} {
			s.cutLinks[a+"|"+b] = true
		}
	}
}

// competingPlacersAction cuts the links of an instance that is a placer to its peers and to the key-value service, but not to the endpoints,
// and lets up to 16 s pass, in which another instance can take over. Then the cut-off placer and the other instances get requests, so that
// two placers may use the same endpoints.
func (s *simulation) competingPlacersAction(t *rapid.T) {
	n := s.placerOf("h1")
	if n == nil {
		t.Skip("no instance is a placer in the hall")
	}
	for _, other := range []string{"h1-i1", "h1-i2", "h1-i3", "h2-i1", "h2-i2", "kv"} {
		if other != n.id {
			s.cutLinks[n.id+"|"+other] = true
		}
	}
	s.advance(time.Duration(rapid.IntRange(1, 16).Draw(t, "s")) * time.Second)
	for range rapid.IntRange(1, 3).Draw(t, "rounds") {
		for range 3 {
			s.submit(n, drawAdapter(t), "", time.Duration(rapid.IntRange(500, 4000).Draw(t, "length"))*time.Millisecond)
		}
		s.repeat(t, 6, s.requestAction)
		s.advance(time.Duration(rapid.IntRange(100, 2500).Draw(t, "ms")) * time.Millisecond)
	}
}

// placerOf returns a running instance of a hall that considers itself the placer of endpoints, or nil.
func (s *simulation) placerOf(hall string) *fakeNode {
	for _, n := range s.liveNodes() {
		if n.hall == hall && !n.paused && len(n.node.Pools(n.clock())) > 0 {
			return n
		}
	}
	return nil
}

func (s *simulation) changeAction(t *rapid.T) {
	s.kv.commit(s.drawNode(t), catalog.Change{Kind: catalog.CreateAdapter, Name: fmt.Sprintf("n%d", len(s.kv.records)), Base: "base"})
}

func (s *simulation) leavingAction(t *rapid.T) {
	e := s.drawEndpoint(t)
	if len(s.leavingEndpoints) > 0 {
		for _, other := range s.endpoints {
			other.leavingSince = time.Time{}
		}
		s.leavingEndpoints = nil
		s.publishList()
		return
	}
	s.leavingEndpoints = []string{e.spec.Name}
	s.publishList()
	if s.faultFree() {
		// Starts are checked only while no fault is active, because an instance that is cut off or paused receives the list late, which is no
		// fault of the entry. The time counts from 1.5 s after the change, the greatest age of the list that a poll returns.
		e.leavingSince = s.now.Add(1500 * time.Millisecond)
	}
}

// faultFree reports whether no node is paused, no link is cut and no message is lost.
func (s *simulation) faultFree() bool {
	for _, n := range s.liveNodes() {
		if n.paused {
			return false
		}
	}
	return len(s.cutLinks) == 0 && !s.lossy
}

func (s *simulation) checkStep(t *rapid.T) {
	if !s.faultFree() {
		// An instance that is cut off or paused after the list has changed receives it late.
		for _, e := range s.endpoints {
			e.leavingSince = time.Time{}
		}
	}
	s.failOnViolation(t)
}

// failOnViolation fails the test with the first violation and the last steps before it.
func (s *simulation) failOnViolation(t *rapid.T) {
	if len(s.oracle.violations) > 0 {
		t.Fatalf("%s\n%s", s.oracle.violations[0], strings.Join(s.history, "\n"))
	}
}

// recoverAndCheck ends all faults and lets 60 s pass. Then every request must have an outcome, and every node must have the last revision
// in force.
func (s *simulation) recoverAndCheck(t *rapid.T) {
	clear(s.cutLinks)
	s.lossy, s.kv.down, s.kv.answersToLose, s.leavingEndpoints = false, false, 0, nil
	for _, e := range s.endpoints {
		e.leavingSince, e.failLoads = time.Time{}, 0
	}
	for _, n := range s.liveNodes() {
		if n.paused {
			n.resume()
		}
	}
	for _, n := range s.sortedNodes() {
		if n.dead {
			s.startNode(n.id)
		}
	}
	s.publishList()
	s.advance(60 * time.Second)
	for id, q := range s.requests {
		if q.done {
			continue
		}
		guarantee := guaranteeOwnAnswer
		if q.atStoppingNode {
			guarantee = guaranteeStop
		}
		s.oracle.addViolation(guarantee, "%s never got an outcome", id)
	}
	for _, n := range s.liveNodes() {
		if n.revision() != s.kv.catalog.Revision {
			s.oracle.addViolation(guaranteeRevision, "%s has revision %d in force, not %d", n.id, n.revision(), s.kv.catalog.Revision)
		}
	}
	s.failOnViolation(t)
}

// historyProperty returns a property that runs one random history, ends all faults and adds the check counts to counts.
func historyProperty(d node.Defects, traffic trafficDefects, counts map[string]int) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), d, traffic)
		t.Repeat(s.actions())
		s.recoverAndCheck(t)
		for name, count := range s.oracle.checkCounts {
			counts[name] += count
		}
	}
}

const (
	// fixedSeed is the seed of the run in the test suite.
	fixedSeed = "20261202"
	// shrinkTime bounds how long rapid shrinks a failing history.
	shrinkTime = "100ms"
	// Environment variables that set the length of the run, its first seed and the mean number of actions in a history.
	envSeconds = "SHELFLEDGE_FUZZ_SECONDS"
	envSeed    = "SHELFLEDGE_FUZZ_SEED"
	envSteps   = "SHELFLEDGE_FUZZ_STEPS"
	// historiesPerRun is the number of histories for each seed.
	historiesPerRun = "40"
	// defaultSteps is the mean number of actions in a history.
	defaultSteps = "60"
)

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func setRapidFlags(t testing.TB, seed, checks string) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.steps": envOr(envSteps, defaultSteps), "rapid.nofailfile": "true", "rapid.shrinktime": shrinkTime} {
		require.NoError(t, flag.Set(name, value))
	}
}

// TestRandomHistoriesKeepGuarantees is the fuzz test. It runs one round of random histories from a fixed seed, or, with
// SHELFLEDGE_FUZZ_SECONDS set, rounds of consecutive seeds until that time is over. Each guarantee must have been checked at least once.
func TestRandomHistoriesKeepGuarantees(t *testing.T) {
	seconds, err := strconv.Atoi(envOr(envSeconds, "0"))
	require.NoError(t, err)
	seed, err := strconv.ParseUint(envOr(envSeed, fixedSeed), 10, 64)
	require.NoError(t, err)
	counts := make(map[string]int)
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	runs := 0
	for round := uint64(0); round == 0 || time.Now().Before(until); round++ {
		setRapidFlags(t, strconv.FormatUint(seed+round, 10), historiesPerRun)
		t.Run("seed "+strconv.FormatUint(seed+round, 10), func(t *testing.T) { rapid.Check(t, historyProperty(node.Defects{}, trafficDefects{}, counts)) })
		runs++
		if t.Failed() {
			break
		}
	}
	t.Logf("%d histories; checks of each guarantee:\n%s", runs*40, formatCounts(counts))
	for _, guarantee := range []string{guaranteeVersion, guaranteeInUse, guaranteeOwnAnswer, guaranteeNotRun, guaranteeOnce, guaranteeLeaving, guaranteeStop, guaranteeRevision} {
		require.Positive(t, counts[guarantee], "guarantee never checked: %s", guarantee)
	}
}
