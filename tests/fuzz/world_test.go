// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/tools/timeline"
)

// world joins several nodes by a list of messages, with fakes for all else.
type world struct {
	now       time.Time
	random    *rand.Rand
	events    timeline.Timeline
	oracle    *oracle
	nodes     map[string]*fakeNode
	endpoints map[string]*fakeEndpoint
	kv        *fakeKV
	cuts      map[string]bool
	requests  map[string]*fakeRequest
	defects   node.Defects
	traffic   trafficDefects
	lossy     bool
	boots     uint64
	counter   int
	leavers   []string
	history   []string
	lists     []listState
}

const keptHistory = 200

// log keeps the last steps, to be shown with a violation.
func (w *world) log(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", w.now.Sub(time.Unix(1000, 0)).Seconds()) + fmt.Sprintf(format, args...)
	w.history = append(w.history, line)
	if len(w.history) > keptHistory {
		w.history = w.history[1:]
	}
}

// trafficDefects are faults of the traffic side, for the proof that the oracle finds them.
type trafficDefects struct {
	retryOnce     bool
	unknownNotRun bool
	wrongAnswer   bool
	wrongAdapter  bool
	dropOnStop    bool
}

var hallNames = []string{"h1", "h2"}

const tick = 50 * time.Millisecond

func newWorld(seed uint64, d node.Defects, t trafficDefects) *world {
	w := &world{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), oracle: newOracle(), nodes: make(map[string]*fakeNode),
		endpoints: make(map[string]*fakeEndpoint), cuts: make(map[string]bool), requests: make(map[string]*fakeRequest), defects: d, traffic: t,
	}
	w.kv = newFakeKV(w)
	for _, spec := range endpointSpecs() {
		w.endpoints[spec.Name] = &fakeEndpoint{
			world: w, spec: spec, incarnation: 1, resident: make(map[string]bool), lastRun: make(map[string]time.Time), running: make(map[string]*fakeRun),
		}
	}
	for _, id := range []string{"h1-i1", "h1-i2", "h1-i3", "h2-i1", "h2-i2"} {
		w.startNode(id)
	}
	w.publishList()
	w.advance(4 * time.Second)
	return w
}

func endpointSpecs() []fleet.Endpoint {
	spec := func(name, hall string, checks bool) fleet.Endpoint {
		return fleet.Endpoint{
			Name: name, Hall: hall, Kind: fleet.KindEngine, Bases: []string{"base"}, Slots: 2, MaxBatch: 3, Step: 20 * time.Millisecond,
			Load: 300 * time.Millisecond, ChecksFence: checks,
		}
	}
	return []fleet.Endpoint{spec("h1-e1", "h1", true), spec("h1-e2", "h1", false), spec("h2-e1", "h2", true)}
}

func (w *world) at(at time.Time, run func()) {
	w.events.Add(at, func(time.Time) { run() })
}

// advance lets time pass.
func (w *world) advance(d time.Duration) {
	w.events.RunUntil(&w.now, w.now.Add(d))
}

func (w *world) sortedNodes() []*fakeNode {
	out := make([]*fakeNode, 0, len(w.nodes))
	for _, n := range w.nodes {
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}
