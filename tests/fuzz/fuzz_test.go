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

const adapters = 5

// adapterRef draws one of a few adapters, in one of two versions.
func adapterRef(t *rapid.T) fleet.AdapterRef {
	return fleet.AdapterRef{Name: fmt.Sprintf("a%d", rapid.IntRange(0, adapters-1).Draw(t, "adapter")), Version: rapid.IntRange(1, 2).Draw(t, "version")}
}

func (w *world) live() []*fakeNode {
	var out []*fakeNode
	for _, n := range w.sortedNodes() {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}

func (w *world) drawNode(t *rapid.T) *fakeNode {
	live := w.live()
	if len(live) == 0 {
		t.Skip("no node lives")
	}
	return live[rapid.IntRange(0, len(live)-1).Draw(t, "node")]
}

func (w *world) drawEndpoint(t *rapid.T) *fakeEndpoint {
	names := []string{"h1-e1", "h1-e2", "h2-e1"}
	return w.endpoints[names[rapid.IntRange(0, len(names)-1).Draw(t, "endpoint")]]
}

// actions are everything that may happen to a fleet.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":            func(t *rapid.T) { w.check(t) },
		"request":     w.actRequest,
		"requests":    func(t *rapid.T) { w.repeat(t, 3, w.actRequest) },
		"burst":       func(t *rapid.T) { w.repeat(t, 8, w.actRequest) },
		"once":        w.actOnce,
		"once burst":  func(t *rapid.T) { w.repeat(t, 4, w.actOnce) },
		"short time":  func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond) },
		"middle time": func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(300, 3000).Draw(t, "ms")) * time.Millisecond) },
		"long time":   func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(3, 14).Draw(t, "s")) * time.Second) },
		"kill":        w.actKill,
		"start":       w.actStart,
		"stop":        w.actStop,
		"pause":       w.actPause,
		"cut":         w.actCut,
		"cut hall":    w.actCutHall,
		"duel":        w.actDuel,
		"heal":        func(*rapid.T) { clear(w.cuts) },
		"restart":     func(t *rapid.T) { w.drawEndpoint(t).restart() },
		"fail loads":  func(t *rapid.T) { w.drawEndpoint(t).failLoads = rapid.IntRange(1, 3).Draw(t, "count") },
		"kv down":     func(*rapid.T) { w.kv.down = true },
		"kv up":       func(*rapid.T) { w.kv.down = false },
		"kv loses":    func(t *rapid.T) { w.kv.lose = rapid.IntRange(1, 3).Draw(t, "answers") },
		"kv old":      func(t *rapid.T) { w.kv.follow(w.drawNode(t), true) },
		"change":      w.actChange,
		"list":        func(*rapid.T) { w.publishList() },
		"leaving":     w.actLeaving,
		"lossy":       func(t *rapid.T) { w.lossy = rapid.Bool().Draw(t, "lossy") },
	}
}

func (w *world) repeat(t *rapid.T, count int, act func(*rapid.T)) {
	for range count {
		act(t)
	}
}

func (w *world) actRequest(t *rapid.T) {
	n := w.drawNode(t)
	w.submit(n, adapterRef(t), "", time.Duration(rapid.IntRange(20, 4000).Draw(t, "length"))*time.Millisecond)
}

func (w *world) actOnce(t *rapid.T) {
	onceID := fmt.Sprintf("once-%d", rapid.IntRange(0, 5).Draw(t, "once"))
	ref := fleet.AdapterRef{Name: "a0", Version: 1}
	w.submit(w.drawNode(t), ref, onceID, time.Duration(rapid.IntRange(20, 3000).Draw(t, "length"))*time.Millisecond)
}

func (w *world) actKill(t *rapid.T) {
	if len(w.live()) <= 2 {
		t.Skip("too few nodes live")
	}
	w.kill(w.drawNode(t))
}

func (w *world) actStart(t *rapid.T) {
	for _, n := range w.sortedNodes() {
		if n.dead {
			w.startNode(n.id)
			w.publishList()
			return
		}
	}
	t.Skip("all nodes live")
}

func (w *world) actStop(t *rapid.T) {
	if len(w.live()) <= 2 {
		t.Skip("too few nodes live")
	}
	n := w.drawNode(t)
	if n.leaving {
		t.Skip("it leaves already")
	}
	n.enter(func() {
		n.leaving = true
		for _, q := range n.open {
			q.leftBy = true
			w.oracle.stake(promiseStop)
		}
		n.do(n.node.Leave(n.clock()))
		if w.traffic.dropOnStop {
			n.dead = true
		}
	})
}

func (w *world) actPause(t *rapid.T) {
	n := w.drawNode(t)
	n.paused = true
	w.at(w.now.Add(time.Duration(rapid.IntRange(200, 15000).Draw(t, "ms"))*time.Millisecond), func() {
		if !n.dead {
			n.resume()
		}
	})
}

func (w *world) actCut(t *rapid.T) {
	names := []string{"h1-i1", "h1-i2", "h1-i3", "h2-i1", "h2-i2", "h1-e1", "h1-e2", "h2-e1", "kv"}
	a := names[rapid.IntRange(0, 4).Draw(t, "from")]
	b := names[rapid.IntRange(0, len(names)-1).Draw(t, "to")]
	if a != b {
		w.cuts[a+"|"+b] = true
	}
}

// actCutHall cuts the second hall off from the first and from the platform.
func (w *world) actCutHall(*rapid.T) {
	for _, a := range []string{"h2-i1", "h2-i2"} {
		for _, b := range []string{"h1-i1", "h1-i2", "h1-i3", "kv"} {
			w.cuts[a+"|"+b] = true
		}
	}
}

// actDuel cuts an instance that places endpoints off from its peers and from the
// platform, but not from the endpoints, until others have taken over; both sides get work.
func (w *world) actDuel(t *rapid.T) {
	n := w.holder("h1")
	if n == nil {
		t.Skip("nobody places the hall's endpoints")
	}
	for _, other := range []string{"h1-i1", "h1-i2", "h1-i3", "h2-i1", "h2-i2", "kv"} {
		if other != n.id {
			w.cuts[n.id+"|"+other] = true
		}
	}
	w.advance(time.Duration(rapid.IntRange(1, 16).Draw(t, "s")) * time.Second)
	for range rapid.IntRange(1, 3).Draw(t, "rounds") {
		for range 3 {
			w.submit(n, adapterRef(t), "", time.Duration(rapid.IntRange(500, 4000).Draw(t, "length"))*time.Millisecond)
		}
		w.repeat(t, 6, w.actRequest)
		w.advance(time.Duration(rapid.IntRange(100, 2500).Draw(t, "ms")) * time.Millisecond)
	}
}

// holder finds a live instance of a hall that believes to place its endpoints.
func (w *world) holder(hall string) *fakeNode {
	for _, n := range w.live() {
		if n.hall == hall && !n.paused && len(n.node.Pools(n.clock())) > 0 {
			return n
		}
	}
	return nil
}

func (w *world) actChange(t *rapid.T) {
	w.kv.commit(w.drawNode(t), catalog.Change{Kind: catalog.CreateAdapter, Name: fmt.Sprintf("n%d", len(w.kv.records)), Base: "base"})
}

func (w *world) actLeaving(t *rapid.T) {
	e := w.drawEndpoint(t)
	if len(w.leavers) > 0 {
		for _, other := range w.endpoints {
			other.shownAt = time.Time{}
		}
		w.leavers = nil
		w.publishList()
		return
	}
	w.leavers = []string{e.spec.Name}
	w.publishList()
	if w.quiet() {
		// Who is cut off or paused learns of it late, which is not the entry's fault.
		e.shownAt = w.now.Add(1500 * time.Millisecond)
	}
}

func (w *world) quiet() bool {
	for _, n := range w.live() {
		if n.paused {
			return false
		}
	}
	return len(w.cuts) == 0 && !w.lossy
}

func (w *world) check(t *rapid.T) {
	if !w.quiet() {
		// Who is cut off or paused after the notice learns of it late.
		for _, e := range w.endpoints {
			e.shownAt = time.Time{}
		}
	}
	w.judge(t)
}

// judge fails with the first violation and the steps before it.
func (w *world) judge(t *rapid.T) {
	if len(w.oracle.violations) > 0 {
		t.Fatalf("%s\n%s", w.oracle.violations[0], strings.Join(w.history, "\n"))
	}
}

// heal ends every fault and gives the fleet time; then everything must be settled.
func (w *world) heal(t *rapid.T) {
	clear(w.cuts)
	w.lossy, w.kv.down, w.kv.lose, w.leavers = false, false, 0, nil
	for _, e := range w.endpoints {
		e.shownAt, e.failLoads = time.Time{}, 0
	}
	for _, n := range w.live() {
		if n.paused {
			n.resume()
		}
	}
	for _, n := range w.sortedNodes() {
		if n.dead {
			w.startNode(n.id)
		}
	}
	w.publishList()
	w.advance(60 * time.Second)
	for id, q := range w.requests {
		if q.done {
			continue
		}
		promise := promiseOwn
		if q.leftBy {
			promise = promiseStop
		}
		w.oracle.broken(promise, "%s never got a last word", id)
	}
	for _, n := range w.live() {
		if n.revision() != w.kv.catalog.Revision {
			w.oracle.broken(promiseRevision, "%s has %d in force and not %d", n.id, n.revision(), w.kv.catalog.Revision)
		}
	}
	w.judge(t)
}

// property runs one history.
func property(d node.Defects, traffic trafficDefects, stakes map[string]int) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), d, traffic)
		t.Repeat(w.actions())
		w.heal(t)
		for name, count := range w.oracle.stakes {
			stakes[name] += count
		}
	}
}

const (
	fixedSeed    = "20261202"
	shrinkTime   = "100ms"
	envSeconds   = "SHELFLEDGE_FUZZ_SECONDS"
	envSeed      = "SHELFLEDGE_FUZZ_SEED"
	envSteps     = "SHELFLEDGE_FUZZ_STEPS"
	shortChecks  = "40"
	defaultSteps = "60"
)

func setting(name, usual string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return usual
}

func setFlags(t testing.TB, seed, checks string) {
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.steps": setting(envSteps, defaultSteps), "rapid.nofailfile": "true", "rapid.shrinktime": shrinkTime} {
		require.NoError(t, flag.Set(name, value))
	}
}

// TestFleetKeepsItsPromises is the fuzz test: a short run from a fixed seed, or, with
// SHELFLEDGE_FUZZ_SECONDS set, one after the other until the time is up.
func TestFleetKeepsItsPromises(t *testing.T) {
	seconds, err := strconv.Atoi(setting(envSeconds, "0"))
	require.NoError(t, err)
	seed, err := strconv.ParseUint(setting(envSeed, fixedSeed), 10, 64)
	require.NoError(t, err)
	stakes := make(map[string]int)
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	runs := 0
	for round := uint64(0); round == 0 || time.Now().Before(until); round++ {
		setFlags(t, strconv.FormatUint(seed+round, 10), shortChecks)
		t.Run("seed "+strconv.FormatUint(seed+round, 10), func(t *testing.T) { rapid.Check(t, property(node.Defects{}, trafficDefects{}, stakes)) })
		runs++
		if t.Failed() {
			break
		}
	}
	t.Logf("%d histories; how often each promise was at stake:\n%s", runs*40, table(stakes))
	for _, promise := range []string{promiseVersion, promiseInUse, promiseOwn, promiseNotRun, promiseOnce, promiseLeaving, promiseStop, promiseRevision} {
		require.Positive(t, stakes[promise], "never at stake: %s", promise)
	}
}
