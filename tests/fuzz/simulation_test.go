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

// simulation runs several real nodes on simulated time and messages, with fakes of the endpoints and of the key-value service.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	events    timeline.Timeline
	oracle    *oracle
	nodes     map[string]*fakeNode
	endpoints map[string]*fakeEndpoint
	kv        *fakeKV
	// cutLinks holds the links that are cut. The key is the two names, joined by "|".
	cutLinks       map[string]bool
	requests       map[string]*fakeRequest
	nodeDefects    node.Defects
	trafficDefects trafficDefects
	// lossy makes messages and calls to endpoints slow, lost or duplicated at random.
	lossy            bool
	bootCount        uint64
	requestCount     int
	leavingEndpoints []string
	history          []string
	publishedLists   []listSnapshot
}

// maxHistory is the number of steps that are kept for the message of a violation.
const maxHistory = 200

// logStep records a step; the last steps are reported with a violation.
func (s *simulation) logStep(format string, args ...any) {
	line := fmt.Sprintf("%9.3f ", s.now.Sub(time.Unix(1000, 0)).Seconds()) + fmt.Sprintf(format, args...)
	s.history = append(s.history, line)
	if len(s.history) > maxHistory {
		s.history = s.history[1:]
	}
}

// trafficDefects enables defects of the simulated request handling, which the oracle must detect.
type trafficDefects struct {
	retryOnce     bool
	unknownNotRun bool
	wrongAnswer   bool
	wrongAdapter  bool
	dropOnStop    bool
}

var hallNames = []string{"h1", "h2"}

// tickInterval is the interval between two ticks of a node.
const tickInterval = 50 * time.Millisecond

func newSimulation(seed uint64, d node.Defects, t trafficDefects) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), oracle: newOracle(), nodes: make(map[string]*fakeNode),
		endpoints: make(map[string]*fakeEndpoint), cutLinks: make(map[string]bool), requests: make(map[string]*fakeRequest), nodeDefects: d, trafficDefects: t,
	}
	s.kv = newFakeKV(s)
	for _, spec := range endpointSpecs() {
		s.endpoints[spec.Name] = &fakeEndpoint{
			sim: s, spec: spec, incarnation: 1, resident: make(map[string]bool), lastRun: make(map[string]time.Time), running: make(map[string]*fakeRun),
		}
	}
	for _, id := range []string{"h1-i1", "h1-i2", "h1-i3", "h2-i1", "h2-i2"} {
		s.startNode(id)
	}
	s.publishList()
	s.advance(4 * time.Second)
	return s
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

func (s *simulation) schedule(at time.Time, run func()) {
	s.events.Add(at, func(time.Time) { run() })
}

// advance runs the events of the next d of simulated time.
func (s *simulation) advance(d time.Duration) {
	s.events.RunUntil(&s.now, s.now.Add(d))
}

func (s *simulation) sortedNodes() []*fakeNode {
	out := make([]*fakeNode, 0, len(s.nodes))
	for _, n := range s.nodes {
		out = append(out, n)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}
