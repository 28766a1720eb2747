// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// The guarantees that the oracle checks.
const (
	guaranteeVersion   = "a request runs on the adapter and version that it names"
	guaranteeInUse     = "no adapter in use is unloaded"
	guaranteeOwnAnswer = "a caller gets one outcome, for its own request"
	guaranteeNotRun    = "a request reported as not run has not run"
	guaranteeOnce      = "a once-request runs at most once"
	guaranteeLeaving   = "a leaving endpoint gets no new requests"
	guaranteeStop      = "a planned stop interrupts no request"
	guaranteeRevision  = "a configuration revision takes effect everywhere and never reverts"
)

// oracle checks the guarantees. It uses only the requests that the fake endpoints ran, the adapters that they unloaded, the outcomes that
// callers received and the revisions in force; it does not depend on tickets, fences or leases.
type oracle struct {
	// checkCounts is how often each guarantee was checked in a situation in which it could be violated.
	checkCounts       map[string]int
	violations        []string
	starts            map[string]int
	requestedAdapters map[string]string
	onceStarts        map[string]int
	outcomes          map[string]string
	revisions         map[string]int64
}

func newOracle() *oracle {
	return &oracle{
		checkCounts: make(map[string]int), starts: make(map[string]int), requestedAdapters: make(map[string]string), onceStarts: make(map[string]int),
		outcomes: make(map[string]string), revisions: make(map[string]int64),
	}
}

func (o *oracle) addViolation(guarantee, format string, args ...any) {
	o.violations = append(o.violations, guarantee+": "+fmt.Sprintf(format, args...))
}

func (o *oracle) countCheck(guarantee string) {
	o.checkCounts[guarantee]++
}

// recordRequest records the adapter that a caller's request names.
func (o *oracle) recordRequest(id, adapter string) {
	o.requestedAdapters[id] = adapter
}

// recordStart records that an endpoint started to run a request, and checks whether it may run there.
func (o *oracle) recordStart(id, adapter, onceID string) {
	o.countCheck(guaranteeVersion)
	if o.requestedAdapters[id] != adapter {
		o.addViolation(guaranteeVersion, "%s requested %s and ran on %s", id, o.requestedAdapters[id], adapter)
	}
	o.starts[id]++
	if o.outcomes[id] == outcomeNotRun {
		o.addViolation(guaranteeNotRun, "%s ran after its caller received the outcome not_run", id)
	}
	if onceID == "" {
		return
	}
	o.onceStarts[onceID]++
	if o.onceStarts[onceID] > 1 {
		o.addViolation(guaranteeOnce, "%s ran %d times", onceID, o.onceStarts[onceID])
	}
}

// recordUnload checks that an unloaded adapter was not running. The check is counted only if the adapter's last request ended less than 5 s
// before the unload, or has not ended yet.
func (o *oracle) recordUnload(endpoint, adapter string, running bool, sinceLastRun time.Duration) {
	if sinceLastRun < 5*time.Second {
		o.countCheck(guaranteeInUse)
	}
	if running {
		o.addViolation(guaranteeInUse, "%s was unloaded on %s while in use", adapter, endpoint)
	}
}

const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
)

// recordOutcome records and checks the outcome that a caller received. from is the request whose answer the caller got.
func (o *oracle) recordOutcome(id, outcome, from string) {
	if previous, ok := o.outcomes[id]; ok {
		o.addViolation(guaranteeOwnAnswer, "%s received outcome %s after %s", id, outcome, previous)
	}
	o.outcomes[id] = outcome
	switch outcome {
	case outcomeAnswered:
		o.countCheck(guaranteeOwnAnswer)
		if from != id {
			o.addViolation(guaranteeOwnAnswer, "%s received the answer of %s", id, from)
		}
	case outcomeNotRun:
		o.countCheck(guaranteeNotRun)
		if o.starts[id] > 0 {
			o.addViolation(guaranteeNotRun, "%s ran, but its caller received the outcome not_run", id)
		}
	}
}

// checkLeaving checks a start of a request on an endpoint that has been listed as leaving for the time listed.
func (o *oracle) checkLeaving(id, endpoint string, listed time.Duration) {
	const limit = 6 * time.Second
	if listed > limit {
		o.addViolation(guaranteeLeaving, "%s started on %s, which had been listed as leaving for %s", id, endpoint, listed)
	}
}

// recordRevision records the revision in force at a node. life identifies the run of the node between a start and its end.
func (o *oracle) recordRevision(life string, revision int64) {
	if revision < o.revisions[life] {
		o.addViolation(guaranteeRevision, "%s reverted from revision %d to %d", life, o.revisions[life], revision)
	}
	if revision > o.revisions[life] {
		o.countCheck(guaranteeRevision)
	}
	o.revisions[life] = revision
}

// formatCounts returns a text table of how often each guarantee was checked.
func formatCounts(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%9d  %s\n", counts[name], name)
	}
	return b.String()
}
