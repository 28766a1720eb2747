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
	// crashRetention is how long a crash counts against a request that is not quarantined.
	crashRetention = time.Hour
	// maxRecords is how many crash records are kept, each of some 150 bytes.
	maxRecords = 4096
)

// Crash is the record of an endpoint that ended while it had a request in flight.
type Crash struct {
	Request fingerprint.Fingerprint
	// Endpoint is the name of the incarnation that ended; empty for a record of a claim to make a trial, see Admit.
	Endpoint string
	// Age is how long the record has been known.
	Age time.Duration
	// Answered reports whether the request got a complete response since, so that it was not the cause.
	Answered bool
	// AnsweredBefore reports whether the request had got a complete response shortly before.
	AnsweredBefore bool
	// Ticket is the priority of a claim to make a trial; the lowest one wins. It is 0 for records of crashes.
	Ticket uint64
}

// record is what the table keeps of a Crash for a request.
type record struct {
	endpoint string
	at       time.Time
	answered bool
	// answeredBefore reports whether the request had got a complete response shortly before, by any instance's knowledge.
	answeredBefore bool
	// own reports whether this instance observed the crash itself.
	own bool
}

// suspect is a request that an endpoint had in flight when it ended.
type suspect struct {
	records []record
	// trial is the last trial that was claimed.
	trial trial
}

// endedEndpoint is an endpoint that has ended, with the requests that it had in flight.
type endedEndpoint struct {
	at       time.Time
	requests []fingerprint.Fingerprint
}

// Table holds the crash records. It is not safe for concurrent use.
type Table struct {
	suspects  map[fingerprint.Fingerprint]*suspect
	endpoints map[string]*endedEndpoint
	// unanswered are the requests that endpoints may still be running though their exchange ended, by endpoint.
	unanswered map[string][]unanswered
	answers    answers
	// inFlight is the number of this instance's exchanges in flight, by request.
	inFlight map[fingerprint.Fingerprint]int
	// instance is the name of this instance, and claimDelay the time for which it awaits the claims of others before a trial.
	instance   string
	claimDelay time.Duration
	// ofParts is set if the table holds parts of prompts, which many requests have in common, in place of requests.
	ofParts bool
	// unsent are the records that changed on this instance and were not sent yet.
	unsent []unsent
	size   int
	// changes counts changes of the records.
	changes uint64
}

// unsent is a record to be sent to the other instances, with the time of the recorded event.
type unsent struct {
	crash Crash
	at    time.Time
}

// NewTable returns an empty table of an instance that makes trials without regard to other instances.
func NewTable() *Table {
	return &Table{
		suspects: make(map[fingerprint.Fingerprint]*suspect), endpoints: make(map[string]*endedEndpoint), unanswered: make(map[string][]unanswered),
		answers: newAnswers(), inFlight: make(map[fingerprint.Fingerprint]int),
	}
}

// NewSharedTable returns an empty table of the named instance, which exchanges records with other instances so that all of them together
// make one trial of a request at a time.
func NewSharedTable(instance string) *Table {
	t := NewTable()
	t.instance, t.claimDelay = instance, claimDelay
	return t
}

// NewPartTable returns an empty table like NewSharedTable for parts of prompts, which many requests have in common.
func NewPartTable(instance string) *Table {
	t := NewSharedTable(instance)
	t.ofParts = true
	return t
}

// RecordCrash records that this instance saw an endpoint end while it had a request in flight.
func (t *Table) RecordCrash(now time.Time, request fingerprint.Fingerprint, endpoint string) {
	if r, changed, _ := t.add(Crash{Request: request, Endpoint: endpoint}, now, true); changed {
		t.publish(r.crash(now, request), r.at)
	}
}

// RecordAnswered records a complete response to a request.
func (t *Table) RecordAnswered(now time.Time, request fingerprint.Fingerprint) {
	t.answers.record(now, request)
	known := t.suspects[request]
	if known == nil {
		return
	}
	for i := range known.records {
		if known.records[i].answered {
			continue
		}
		known.records[i].answered = true
		t.changes++
		t.publish(known.records[i].crash(now, request), known.records[i].at)
	}
}

// Merge applies records received from another instance, and queues those that changed for other instances if publish is set. A record to
// which this instance can add that the request was answered is queued in any case.
func (t *Table) Merge(now time.Time, crashes []Crash, publish bool) {
	for _, crash := range crashes {
		if crash.Endpoint == "" {
			t.recordTrial(now.Add(-crash.Age), crash, publish)
			continue
		}
		r, changed, added := t.add(crash, now.Add(-crash.Age), false)
		if changed && publish || added {
			t.publish(r.crash(now, crash.Request), r.at)
		}
	}
}

// add adds one record and returns the resulting record, whether it differs from the one that was known, and whether it contains more than the
// given one by what this instance knows of the request's responses. Records only grow: an answered record stays answered.
func (t *Table) add(crash Crash, at time.Time, own bool) (result record, changed, added bool) {
	known := t.suspects[crash.Request]
	if known == nil {
		known = &suspect{}
		t.suspects[crash.Request] = known
	}
	index := slices.IndexFunc(known.records, func(r record) bool { return r.endpoint == crash.Endpoint })
	if index < 0 {
		index = len(known.records)
		known.records = append(known.records, record{endpoint: crash.Endpoint, at: at})
		t.size++
		t.recordEnd(crash, at)
		changed = true
	}
	r := &t.suspects[crash.Request].records[index]
	former := *r
	if at.Before(r.at) {
		// A record that took less time on its way tells the time of the end better.
		r.at = at
		t.endpoints[crash.Endpoint].lower(at)
	}
	answered, answeredBefore := t.answeredAround(crash.Request, r.at)
	r.answered = r.answered || crash.Answered || answered
	r.answeredBefore = r.answeredBefore || crash.AnsweredBefore || answeredBefore
	r.own = r.own || own
	changed = changed || r.answered != former.answered || r.answeredBefore != former.answeredBefore
	if changed {
		t.changes++
	}
	added = changed && (r.answered && !crash.Answered || r.answeredBefore && !crash.AnsweredBefore)
	return *r, changed, added
}

// answeredAround reports whether this instance remembers a complete response to a request after the given time, or shortly before it.
func (t *Table) answeredAround(request fingerprint.Fingerprint, at time.Time) (after, before bool) {
	last := t.answers.last(request)
	if last.IsZero() {
		return false, false
	}
	return last.After(at), !last.After(at) && at.Sub(last) <= answerRetention
}

// lower sets the time of the end if the given one is earlier.
func (e *endedEndpoint) lower(at time.Time) {
	if at.Before(e.at) {
		e.at = at
	}
}

// recordEnd records that an endpoint ended while it had a request in flight.
func (t *Table) recordEnd(crash Crash, at time.Time) {
	known := t.endpoints[crash.Endpoint]
	if known == nil {
		known = &endedEndpoint{at: at}
		t.endpoints[crash.Endpoint] = known
	}
	known.lower(at)
	known.requests = append(known.requests, crash.Request)
	t.countUnanswered(crash.Endpoint, at)
}

// crash returns the record in the form in which it is sent to other instances.
func (r record) crash(now time.Time, request fingerprint.Fingerprint) Crash {
	return Crash{Request: request, Endpoint: r.endpoint, Age: now.Sub(r.at), Answered: r.answered, AnsweredBefore: r.answeredBefore}
}

// HasEnded reports whether an endpoint is recorded as ended.
func (t *Table) HasEnded(endpoint string) bool {
	return t.endpoints[endpoint] != nil
}

// HasUnsent reports whether there are records to be sent.
func (t *Table) HasUnsent() bool {
	return len(t.unsent) > 0
}

// TakeUnsent returns the records that changed on this instance since the last call.
func (t *Table) TakeUnsent(now time.Time) []Crash {
	crashes := make([]Crash, 0, len(t.unsent))
	for _, entry := range t.unsent {
		// The age grows while a record waits to be sent. Otherwise ends at different times would look simultaneous to the receiver.
		entry.crash.Age = now.Sub(entry.at)
		crashes = append(crashes, entry.crash)
	}
	t.unsent = nil
	return crashes
}

// publish queues a record to be sent to the other instances.
func (t *Table) publish(crash Crash, at time.Time) {
	t.unsent = append(t.unsent, unsent{crash: crash, at: at})
}

// OwnRecords returns the records that this instance observed itself and those of requests that are quarantined, for a new planner that may
// have received neither.
func (t *Table) OwnRecords(now time.Time) []Crash {
	t.unsent = nil
	var sent []Crash
	for request, known := range t.suspects {
		_, held := t.Held(now, request)
		for _, r := range known.records {
			if r.own || held {
				sent = append(sent, r.crash(now, request))
			}
		}
	}
	return sent
}

// maxSnapshotRecords is how many records are sent to an instance that starts or lacks some.
const maxSnapshotRecords = 512

// Snapshot returns the records of the most suspected requests, for an instance that may have none.
func (t *Table) Snapshot(now time.Time) []Crash {
	var sent []Crash
	for _, request := range t.bySuspicion() {
		known := t.suspects[request]
		if len(sent)+len(known.records) > maxSnapshotRecords {
			break
		}
		for _, r := range known.records {
			sent = append(sent, r.crash(now, request))
		}
	}
	return sent
}

// bySuspicion returns the suspected requests, those with the most crashes first; among equals, the latest crash first.
func (t *Table) bySuspicion() []fingerprint.Fingerprint {
	requests := make([]fingerprint.Fingerprint, 0, len(t.suspects))
	for request := range t.suspects {
		requests = append(requests, request)
	}
	slices.SortFunc(requests, func(a, b fingerprint.Fingerprint) int {
		first, second := t.suspects[a], t.suspects[b]
		return cmp.Or(cmp.Compare(second.openCrashes(), first.openCrashes()), second.lastCrash().Compare(first.lastCrash()), slices.Compare(a[:], b[:]))
	})
	return requests
}

// Sweep deletes records whose retention is over, and those of the least suspected requests where there are too many records.
func (t *Table) Sweep(now time.Time) {
	t.sweepUnanswered(now)
	for request, known := range t.suspects {
		if now.Sub(known.lastCrash()) > t.retention(now, request) {
			t.forget(request)
		}
	}
	if t.size <= maxRecords {
		return
	}
	for _, request := range slices.Backward(t.bySuspicion()) {
		if t.size <= maxRecords {
			return
		}
		t.forget(request)
	}
}

// retention returns how long the records of a request are kept.
func (t *Table) retention(now time.Time, request fingerprint.Fingerprint) time.Duration {
	if evidence := t.evidence(now, request); evidence != nil {
		// The next trial may come some time after the hold.
		holdDuration := t.holdDuration(request, evidence)
		return max(crashRetention, holdDuration+holdDuration)
	}
	return crashRetention
}

func (t *Table) forget(request fingerprint.Fingerprint) {
	for _, r := range t.suspects[request].records {
		ended := t.endpoints[r.endpoint]
		ended.requests = slices.DeleteFunc(ended.requests, func(other fingerprint.Fingerprint) bool { return other == request })
		if len(ended.requests) == 0 {
			delete(t.endpoints, r.endpoint)
		}
		t.size--
	}
	delete(t.suspects, request)
	t.changes++
}

// Size returns the number of records.
func (t *Table) Size() int {
	return t.size
}
