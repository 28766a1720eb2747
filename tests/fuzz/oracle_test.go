// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// The promises, as the oracle counts them.
const (
	promiseVersion  = "runs on the adapter and version named"
	promiseInUse    = "no unload of an adapter in use"
	promiseOwn      = "one whole answer to its own request"
	promiseNotRun   = "told not run means not run"
	promiseOnce     = "once means at most once"
	promiseLeaving  = "a leaving endpoint gets no new work"
	promiseStop     = "a planned stop cuts off nothing"
	promiseRevision = "a configuration never reverts and comes into force"
)

// oracle judges by what the fake endpoints ran and what the callers were told, and by
// nothing else; it knows neither tickets nor fences nor leases.
type oracle struct {
	stakes     map[string]int
	violations []string
	started    map[string]int
	asked      map[string]string
	once       map[string]int
	told       map[string]string
	revisions  map[string]int64
}

func newOracle() *oracle {
	return &oracle{
		stakes: make(map[string]int), started: make(map[string]int), asked: make(map[string]string), once: make(map[string]int),
		told: make(map[string]string), revisions: make(map[string]int64),
	}
}

func (o *oracle) broken(promise, format string, args ...any) {
	o.violations = append(o.violations, promise+": "+fmt.Sprintf(format, args...))
}

func (o *oracle) stake(promise string) {
	o.stakes[promise]++
}

// requested notes what a caller asked for.
func (o *oracle) requested(id, adapter string) {
	o.asked[id] = adapter
}

// ran notes that an endpoint began to run a request.
func (o *oracle) ran(id, adapter, onceID string) {
	o.stake(promiseVersion)
	if o.asked[id] != adapter {
		o.broken(promiseVersion, "%s asked for %s and ran on %s", id, o.asked[id], adapter)
	}
	o.started[id]++
	if o.told[id] == outcomeNotRun {
		o.broken(promiseNotRun, "%s ran after its caller was told that it was not", id)
	}
	if onceID == "" {
		return
	}
	o.once[onceID]++
	if o.once[onceID] > 1 {
		o.broken(promiseOnce, "%s ran %d times", onceID, o.once[onceID])
	}
}

// unloaded notes an unload and whether the adapter was running.
func (o *oracle) unloaded(endpoint, adapter string, running bool, sinceLast time.Duration) {
	if sinceLast < 5*time.Second {
		o.stake(promiseInUse)
	}
	if running {
		o.broken(promiseInUse, "%s was unloaded on %s while in use", adapter, endpoint)
	}
}

const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
)

// answer notes what a caller was told; from names the request whose answer it got.
func (o *oracle) answer(id, outcome, from string) {
	if former, ok := o.told[id]; ok {
		o.broken(promiseOwn, "%s was told %s after %s", id, outcome, former)
	}
	o.told[id] = outcome
	switch outcome {
	case outcomeAnswered:
		o.stake(promiseOwn)
		if from != id {
			o.broken(promiseOwn, "%s got the answer of %s", id, from)
		}
	case outcomeNotRun:
		o.stake(promiseNotRun)
		if o.started[id] > 0 {
			o.broken(promiseNotRun, "%s ran and its caller was told that it was not", id)
		}
	}
}

// onLeaving notes a start on an endpoint that was shown as leaving for so long.
func (o *oracle) onLeaving(id, endpoint string, shown time.Duration) {
	const few = 6 * time.Second
	if shown > few {
		o.broken(promiseLeaving, "%s was sent to %s, which had been leaving for %s", id, endpoint, shown)
	}
}

// inForce notes the revision in force in one life of a node.
func (o *oracle) inForce(life string, revision int64) {
	if revision < o.revisions[life] {
		o.broken(promiseRevision, "%s went back from %d to %d", life, o.revisions[life], revision)
	}
	if revision > o.revisions[life] {
		o.stake(promiseRevision)
	}
	o.revisions[life] = revision
}

// table prints how often each promise was at stake.
func table(stakes map[string]int) string {
	names := make([]string, 0, len(stakes))
	for name := range stakes {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%9d  %s\n", stakes[name], name)
	}
	return b.String()
}
