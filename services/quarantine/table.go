// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

const (
	// crashMemory is for how long a crash counts against a request that is not held back.
	crashMemory = time.Hour
	// mostCrashes is how many records of crashes are kept, each of some 150 bytes.
	mostCrashes = 4096
)

// Crash is the record of an endpoint that ended while it had a request.
type Crash struct {
	Request fingerprint.Fingerprint
	// Endpoint is the name of the incarnation that ended; empty for the begin of a trial, see Admit.
	Endpoint string
	// Age is for how long the record has been known.
	Age time.Duration
	// Answered says that the request got a whole answer since, so that it was not the cause.
	Answered bool
}

// record is what is kept of a Crash with a request.
type record struct {
	endpoint string
	at       time.Time
	answered bool
	// own says that this instance saw it itself.
	own bool
}

// suspect is a request that an endpoint had as it ended.
type suspect struct {
	records []record
	// triedAt is when it was last sent after it had been held back; zero for never.
	triedAt time.Time
}

// ended is an endpoint that has ended.
type ended struct {
	at       time.Time
	requests []fingerprint.Fingerprint
}

// Table holds the records; it is not safe for concurrent use.
type Table struct {
	suspects  map[fingerprint.Fingerprint]*suspect
	endpoints map[string]*ended
	// unanswered are the requests that endpoints may still have, by endpoint.
	unanswered map[string][]unanswered
	// untold are the records that have changed here since they were last taken.
	untold []untold
	size   int
}

// untold is a record that is to be told, with when what it tells was.
type untold struct {
	crash Crash
	at    time.Time
}

// NewTable makes a table without records.
func NewTable() *Table {
	return &Table{
		suspects: make(map[fingerprint.Fingerprint]*suspect), endpoints: make(map[string]*ended), unanswered: make(map[string][]unanswered),
	}
}

// Crashed takes in that an endpoint has ended while it had a request, which this instance has seen.
func (t *Table) Crashed(now time.Time, request fingerprint.Fingerprint, endpoint string) {
	crash := Crash{Request: request, Endpoint: endpoint}
	if t.add(crash, now, true) {
		t.tell(crash, now)
	}
}

// Answered takes in a whole answer to a request.
func (t *Table) Answered(now time.Time, request fingerprint.Fingerprint) {
	known := t.suspects[request]
	if known == nil {
		return
	}
	for i := range known.records {
		if known.records[i].answered {
			continue
		}
		known.records[i].answered = true
		t.tell(known.records[i].crash(now, request), known.records[i].at)
	}
}

// Merge takes in records that another instance told, and tells them on if tell says so.
func (t *Table) Merge(now time.Time, crashes []Crash, tell bool) {
	for _, crash := range crashes {
		if crash.Endpoint == "" {
			t.noteTrial(now.Add(-crash.Age), crash, tell)
			continue
		}
		if t.add(crash, now.Add(-crash.Age), false) && tell {
			t.tell(crash, now.Add(-crash.Age))
		}
	}
}

// noteTrial takes in that another instance tries a request.
func (t *Table) noteTrial(at time.Time, trial Crash, tell bool) {
	known := t.suspects[trial.Request]
	if known == nil || !at.After(known.triedAt) {
		return
	}
	known.triedAt = at
	if tell {
		t.tell(trial, at)
	}
}

// add takes in one record and reports whether it tells anything new. Records only grow: one that has been answered stays so.
func (t *Table) add(crash Crash, at time.Time, own bool) bool {
	known := t.suspects[crash.Request]
	if known == nil {
		known = &suspect{}
		t.suspects[crash.Request] = known
	}
	place := slices.IndexFunc(known.records, func(r record) bool { return r.endpoint == crash.Endpoint })
	if place >= 0 {
		former := known.records[place]
		known.records[place].answered = former.answered || crash.Answered
		known.records[place].own = former.own || own
		return known.records[place].answered != former.answered
	}
	known.records = append(known.records, record{endpoint: crash.Endpoint, at: at, answered: crash.Answered, own: own})
	t.size++
	t.noteEnded(crash, at)
	return true
}

// noteEnded keeps which requests an endpoint had as it ended.
func (t *Table) noteEnded(crash Crash, at time.Time) {
	one := t.endpoints[crash.Endpoint]
	if one == nil {
		one = &ended{at: at}
		t.endpoints[crash.Endpoint] = one
	}
	if at.Before(one.at) {
		one.at = at
	}
	one.requests = append(one.requests, crash.Request)
	t.addUnanswered(crash.Endpoint, at)
}

// crash gives a record as it is told to other instances.
func (r record) crash(now time.Time, request fingerprint.Fingerprint) Crash {
	return Crash{Request: request, Endpoint: r.endpoint, Age: now.Sub(r.at), Answered: r.answered}
}

// HasEnded reports whether the end of an endpoint is known.
func (t *Table) HasEnded(endpoint string) bool {
	return t.endpoints[endpoint] != nil
}

// Untold reports whether there are records to be told.
func (t *Table) Untold() bool {
	return len(t.untold) > 0
}

// TakeUntold gives the records that have changed here since the last call.
func (t *Table) TakeUntold(now time.Time) []Crash {
	taken := make([]Crash, 0, len(t.untold))
	for _, one := range t.untold {
		// What waited to be told is older than as it was noted: ends at different times must not look like one.
		one.crash.Age = now.Sub(one.at)
		taken = append(taken, one.crash)
	}
	t.untold = nil
	return taken
}

// tell keeps a record until it is told.
func (t *Table) tell(crash Crash, at time.Time) {
	t.untold = append(t.untold, untold{crash: crash, at: at})
}

// Own gives the records that this instance saw itself, and those of requests that are held back, for a planner that may have heard of
// neither.
func (t *Table) Own(now time.Time) []Crash {
	t.untold = nil
	var told []Crash
	for request, known := range t.suspects {
		_, held := t.Held(now, request)
		for _, r := range known.records {
			if r.own || held {
				told = append(told, r.crash(now, request))
			}
		}
	}
	return told
}

// wholeRecords is how many records an instance is told that starts or lacks some.
const wholeRecords = 512

// Snapshot gives the records of the requests with the most of them, for an instance that may have none.
func (t *Table) Snapshot(now time.Time) []Crash {
	var told []Crash
	for _, request := range t.byWeight() {
		known := t.suspects[request]
		if len(told)+len(known.records) > wholeRecords {
			break
		}
		for _, r := range known.records {
			told = append(told, r.crash(now, request))
		}
	}
	return told
}

// byWeight gives the requests that are suspected, those with the most crashes first, and the latest first of those with as many.
func (t *Table) byWeight() []fingerprint.Fingerprint {
	requests := make([]fingerprint.Fingerprint, 0, len(t.suspects))
	for request := range t.suspects {
		requests = append(requests, request)
	}
	slices.SortFunc(requests, func(a, b fingerprint.Fingerprint) int {
		first, second := t.suspects[a], t.suspects[b]
		return cmp.Or(cmp.Compare(second.open(), first.open()), second.last().Compare(first.last()), slices.Compare(a[:], b[:]))
	})
	return requests
}

// Sweep forgets what no longer counts, and the least suspected requests where there are too many records.
func (t *Table) Sweep(now time.Time) {
	t.sweepUnanswered(now)
	for request, known := range t.suspects {
		if now.Sub(known.last()) > t.memory(now, request) {
			t.forget(request)
		}
	}
	if t.size <= mostCrashes {
		return
	}
	for _, request := range slices.Backward(t.byWeight()) {
		if t.size <= mostCrashes {
			return
		}
		t.forget(request)
	}
}

// memory is for how long the records of a request are kept.
func (t *Table) memory(now time.Time, request fingerprint.Fingerprint) time.Duration {
	if evidence := t.evidence(now, request); evidence != nil {
		// A trial may come some time after the hold.
		span := t.span(request, evidence)
		return max(crashMemory, span+span)
	}
	return crashMemory
}

func (t *Table) forget(request fingerprint.Fingerprint) {
	for _, r := range t.suspects[request].records {
		one := t.endpoints[r.endpoint]
		one.requests = slices.DeleteFunc(one.requests, func(other fingerprint.Fingerprint) bool { return other == request })
		if len(one.requests) == 0 {
			delete(t.endpoints, r.endpoint)
		}
		t.size--
	}
	delete(t.suspects, request)
}

// Size is the number of records.
func (t *Table) Size() int {
	return t.size
}
