// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

const (
	// maxDisturbances is the number of disturbances in one simulation of the exhaustive search; they occur within its
	// first searchedChoices choices.
	maxDisturbances = 2
	searchedChoices = 26
	// randomSimulations is the number of random simulations, each with more disturbances.
	randomSimulations = 2000
	// recoveryTime is the time within which each endpoint must accept an order after the last disturbance. The place
	// of an unanswered load is reserved for 13 s, and an incorrect sequence is kept for less.
	recoveryTime = 20 * time.Second
	recoveryStep = 100 * time.Millisecond
	// recoveryDemandTime is how long each adapter is in demand during the recovery. There are more adapters than
	// places.
	recoveryDemandTime = 500 * time.Millisecond
	recoveryAdapters   = 6
	// parallelSearches is the number of searches that run at once. maxReplays is how often a simulation with a
	// violation is repeated to record its trace.
	parallelSearches = 4
	maxReplays       = 30
)

// disturbanceShares are the shares of random choices that are disturbances.
var disturbanceShares = []float64{0.05, 0.15, 0.3}

// allVariants returns all interpretations of the platform's documentation.
func allVariants() []protocolVariant {
	var list []protocolVariant
	for bits := range 8 {
		list = append(list, protocolVariant{countsNoopUnloads: bits&1 != 0, noopBeforeSequenceCheck: bits&2 != 0, countsModelAtEnd: bits&4 != 0})
	}
	return list
}

// searchResult counts the violations of each kind and holds one trace for each.
type searchResult struct {
	simulations int
	count       map[string]int
	examples    map[string]string
}

func newSearchResult() *searchResult {
	return &searchResult{count: make(map[string]int), examples: make(map[string]string)}
}

// run runs a simulation and records its violations. A simulation with a new kind of violation is repeated
// to record its trace. The planner iterates over its endpoints in random order, so the same choices need not give the
// same result.
func (r *searchResult) run(name string, begin func() *simulation, end func(*simulation) []string) *simulation {
	s := begin()
	violations := end(s)
	r.simulations++
	for _, violation := range violations {
		r.count[violation]++
		if r.examples[violation] == "" {
			r.examples[violation] = name + traceViolation(violation, begin, end)
		}
	}
	return s
}

// traceViolation repeats a simulation until the violation recurs and returns its trace.
func traceViolation(violation string, begin func() *simulation, end func(*simulation) []string) string {
	for range maxReplays {
		s := begin()
		s.traced = true
		if slices.Contains(end(s), violation) {
			return "\n  " + strings.Join(s.trace, "\n  ")
		}
	}
	return fmt.Sprintf(", which did not recur in %d simulations", maxReplays)
}

// merge adds another result.
func (r *searchResult) merge(other *searchResult) {
	r.simulations += other.simulations
	for violation, count := range other.count {
		r.count[violation] += count
		r.examples[violation] = other.examples[violation]
	}
}

// searchVariants runs a search for each protocol variant, parallelSearches at once, and fails the test if there are
// violations.
func searchVariants(t *testing.T, run func(index int, variant protocolVariant) *searchResult) {
	t.Helper()
	all := allVariants()
	results := make(chan *searchResult)
	for first := range parallelSearches {
		go func() {
			for index := first; index < len(all); index += parallelSearches {
				results <- run(index, all[index])
			}
		}()
	}
	total := newSearchResult()
	for range all {
		total.merge(<-results)
	}
	t.Logf("%d simulations", total.simulations)
	for violation, count := range total.count {
		t.Errorf("%s: in %d of %d simulations, such as %s", violation, count, total.simulations, total.examples[violation])
	}
}

// TestInvariantHoldsInExhaustiveSearch runs every simulation with up to maxDisturbances disturbances within the first
// searchedChoices choices: late or lost replies, outdated reports, late descriptions, restarts and takeovers.
// Invariant: the adapters that an endpoint holds, is loading and was ordered to load, unless the order is known to
// have failed, never exceed its places and its memory. No adapter is unloaded while it is loading or in use.
func TestInvariantHoldsInExhaustiveSearch(t *testing.T) {
	searchVariants(t, func(_ int, variant protocolVariant) *searchResult {
		found := newSearchResult()
		explore(found, variant, nil, maxDisturbances)
		return found
	})
}

// explore runs a script and, for each later choice, the scripts that differ from it in that choice.
func explore(found *searchResult, variant protocolVariant, script []int, depth int) {
	begin := func() *simulation { return newSimulation(variant, &chooser{script: script}) }
	s := found.run(fmt.Sprintf("%+v, script %v", variant, script), begin, (*simulation).run)
	if depth == 0 {
		return
	}
	for position := len(script); position < min(len(s.alternatives), searchedChoices); position++ {
		for choice := 1; choice < s.alternatives[position]; choice++ {
			explore(found, variant, append(slices.Clone(s.choices[:position]), choice), depth-1)
		}
	}
}

// TestInvariantHoldsInRandomSimulations runs simulations with more disturbances, followed by a recovery phase in
// which each endpoint must accept orders, whatever sequence the planner assumed.
func TestInvariantHoldsInRandomSimulations(t *testing.T) {
	searchVariants(t, func(index int, variant protocolVariant) *searchResult {
		found := newSearchResult()
		for seed := range uint64(randomSimulations / len(allVariants())) {
			begin := func() *simulation {
				random := rand.New(rand.NewPCG(seed, uint64(index)))
				return newSimulation(variant, &chooser{random: random, share: disturbanceShares[seed%uint64(len(disturbanceShares))]})
			}
			found.run(fmt.Sprintf("%+v, seed %d", variant, seed), begin, func(s *simulation) []string {
				s.run()
				return s.runRecovery()
			})
		}
		return found
	})
}

// runRecovery runs the simulation without disturbances. It returns the violations, including endpoints that accept no
// order in this phase.
func (s *simulation) runRecovery() []string {
	s.undisturbed = true
	s.tracef("recovery")
	before := make(map[deployment.EndpointID]int64)
	for _, e := range s.endpoints {
		before[e.id] = e.sequence
	}
	steps := int(recoveryTime / recoveryStep)
	for step := range steps {
		s.advance(recoveryStep)
		turn := step * int(recoveryStep) / int(recoveryDemandTime) % recoveryAdapters
		s.reportDemand(simAdapter(turn), simAdapter((turn+1)%recoveryAdapters))
		s.runPlanner()
	}
	var idle []string
	for _, e := range s.endpoints {
		if e.sequence == before[e.id] && slices.Contains(e.models, "base") {
			s.tracef("%s accepts no orders", e.id)
			idle = append(idle, "an endpoint accepts no orders")
		}
	}
	return uniqueViolations(append(idle, s.violations()...))
}

// uniqueViolations returns the kinds of violations, each once.
func uniqueViolations(violations []string) []string {
	slices.Sort(violations)
	return slices.Compact(violations)
}
