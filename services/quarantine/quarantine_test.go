// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/quarantine"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// crashInterval is the time between two crashes in these tests; it exceeds reportDelay, in which the other instances report.
const crashInterval = time.Second

// request returns the fingerprint of the request with the given number.
func request(number byte) fingerprint.Fingerprint {
	return fingerprint.Fingerprint{number}
}

// fixture is a table with a clock.
type fixture struct {
	*quarantine.Table

	now time.Time
}

func newFixture() *fixture {
	return &fixture{Table: quarantine.NewTable(), now: start}
}

// crash ends an endpoint that has the given requests in flight and advances the clock.
func (s *fixture) crash(endpoint string, requests ...byte) {
	for _, number := range requests {
		s.RecordCrash(s.now, request(number), endpoint)
	}
	s.now = s.now.Add(crashInterval)
}

func (s *fixture) held(number byte) bool {
	_, held := s.Held(s.now, request(number))
	return held
}

func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	s := newFixture()
	s.crash("a", 1)
	s.crash("b", 1)
	assert.False(t, s.held(1))
	s.crash("c", 1)
	hold, held := s.Held(s.now, request(1))
	assert.True(t, held)
	assert.Equal(t, 5*time.Minute-crashInterval, hold.Remaining)
	assert.Equal(t, []string{"a", "b", "c"}, hold.Endpoints)
	assert.False(t, s.held(2), "another request")
}

func TestEndOfEndpointCountsOnce(t *testing.T) {
	s := newFixture()
	s.crash("a", 1)
	s.crash("b", 1, 1, 1)
	s.Merge(s.now, []quarantine.Crash{{Request: request(1), Endpoint: "a"}, {Request: request(1), Endpoint: "b"}}, false)
	assert.False(t, s.held(1))
	assert.Equal(t, 2, s.Size())
}

func TestCompleteAnswerClearsEarlierCrashes(t *testing.T) {
	s := newFixture()
	s.crash("a", 1)
	s.crash("b", 1)
	s.RecordAnswered(s.now, request(1))
	s.crash("c", 1)
	s.crash("d", 1)
	assert.False(t, s.held(1))
	s.crash("e", 1)
	assert.True(t, s.held(1))
	s.RecordAnswered(s.now, request(1))
	assert.False(t, s.held(1))
}

// TestEndCountsAgainstLikeliestRequest: a harmless request that is sent often is in flight at many ends that other requests cause.
func TestEndCountsAgainstLikeliestRequest(t *testing.T) {
	s := newFixture()
	s.crash("a", 1, 9)
	s.crash("b", 1)
	s.crash("c", 2, 9)
	s.crash("d", 2)
	s.crash("e", 1, 9)
	s.crash("f", 2, 9)
	assert.True(t, s.held(1) || s.held(2) || s.held(9), "four ends for the frequent request and three for each of the others")
	s.crash("g", 1)
	s.crash("h", 2)
	s.crash("i", 1)
	s.crash("j", 2)
	assert.True(t, s.held(1))
	assert.True(t, s.held(2))
	assert.False(t, s.held(9), "each end of the frequent request has a likelier cause")
}

// crashTogether ends three endpoints at almost the same time, each with the given request in flight, and advances the clock.
func (s *fixture) crashTogether(name string, number byte) {
	for endpoint := range 3 {
		s.RecordCrash(s.now.Add(time.Duration(endpoint)*10*time.Millisecond), request(number), fmt.Sprint(name, endpoint))
	}
	s.now = s.now.Add(crashInterval)
}

// TestEndsWithCommonCauseDoNotCount: a request that is answered all the time is in flight at all endpoints of a rack that is lost.
func TestEndsWithCommonCauseDoNotCount(t *testing.T) {
	s := newFixture()
	for round := range 3 {
		s.RecordAnswered(s.now, request(1))
		s.crashTogether(fmt.Sprint("round", round), 1)
		assert.False(t, s.held(1), "round %d", round)
	}
	s.RecordAnswered(s.now, request(1))
	for endpoint := range 3 {
		s.crash(fmt.Sprint("alone", endpoint), 1)
	}
	assert.True(t, s.held(1))
}

// TestEndsAtOnceCountUnlessRequestWasAnsweredBefore: many callers that send a request at the same moment make it crash several endpoints at
// once, each time that they send it.
func TestEndsAtOnceCountUnlessRequestWasAnsweredBefore(t *testing.T) {
	s := newFixture()
	s.crashTogether("never answered", 1)
	hold, held := s.Held(s.now.Add(-crashInterval/2), request(1))
	assert.True(t, held)
	assert.Less(t, hold.Remaining, time.Second, "a lost rack is possible, so that a trial comes soon")

	s.RecordAnswered(s.now, request(2))
	s.crashTogether("answered before", 2)
	assert.False(t, s.held(2))
	s.crashTogether("not answered since", 2)
	_, held = s.Admit(s.now, request(2))
	assert.True(t, held, "a request may begin to crash endpoints")
}

// TestAnswerAtAnotherInstanceExcusesEndsAtOnce: an instance that has just started remembers no responses.
func TestAnswerAtAnotherInstanceExcusesEndsAtOnce(t *testing.T) {
	s, other := newFixture(), quarantine.NewTable()
	other.RecordAnswered(s.now, request(1))
	s.crashTogether("rack", 1)
	assert.True(t, s.HasUnsent())
	other.Merge(s.now, s.TakeUnsent(s.now), false)
	s.Merge(s.now, other.TakeUnsent(s.now), false)
	s.now = s.now.Add(-crashInterval / 2)
	assert.False(t, s.held(1))
	_, held := s.Admit(s.now, request(1))
	assert.False(t, held)
}

// TestRequestWithOneCrashIsInFlightOnce: before anything is proved against a request, each instance sends it to one endpoint at a time.
func TestRequestWithOneCrashIsInFlightOnce(t *testing.T) {
	s := newFixture()
	s.RecordCrash(s.now, request(1), "a")
	hold, held := s.Admit(s.now, request(1))
	assert.True(t, held, "other instances may be about to report more crashes")
	assert.True(t, hold.Pending)
	s.now = s.now.Add(hold.Remaining)
	_, held = s.Admit(s.now, request(1))
	assert.False(t, held)
	s.RecordSent(request(1))
	hold, held = s.Admit(s.now, request(1))
	assert.True(t, held)
	assert.True(t, hold.Pending)
	s.RecordEnded(request(1))
	_, held = s.Admit(s.now, request(1))
	assert.False(t, held)
	s.RecordSent(request(1))
	s.RecordAnswered(s.now, request(1))
	_, held = s.Admit(s.now, request(1))
	assert.False(t, held, "a complete response lifts the limit")
}

// TestRequestAnsweredBeforeItsCrashIsNotLimited: where endpoints end for other reasons, requests that are repeated often go on without delay.
func TestRequestAnsweredBeforeItsCrashIsNotLimited(t *testing.T) {
	s := newFixture()
	s.RecordAnswered(s.now, request(1))
	s.now = s.now.Add(crashInterval)
	s.RecordSent(request(1))
	s.RecordCrash(s.now, request(1), "a")
	_, held := s.Admit(s.now, request(1))
	assert.False(t, held)
	s.crash("b", 1)
	s.crash("c", 1)
	assert.True(t, s.held(1), "ends one after the other count nevertheless")
}

// TestOneInstanceMakesTrial: instances that want to make a trial of a request at the same time claim it, and one of them makes it.
func TestOneInstanceMakesTrial(t *testing.T) {
	s := newFixture()
	s.crashTogether("rack", 1)
	records := s.TakeUnsent(s.now)
	tables := make([]*quarantine.Table, 6)
	for i := range tables {
		tables[i] = quarantine.NewSharedTable(fmt.Sprint("instance ", i))
		tables[i].Merge(s.now, records, false)
		tables[i].TakeUnsent(s.now)
	}
	s.now = s.now.Add(crashInterval)
	var claims []quarantine.Crash
	for _, table := range tables {
		hold, held := table.Admit(s.now, request(1))
		assert.True(t, held)
		assert.True(t, hold.Pending)
		claims = append(claims, table.TakeUnsent(s.now)...)
	}
	admitted := 0
	for _, table := range tables {
		table.Merge(s.now.Add(50*time.Millisecond), claims, false)
		for range 2 {
			if _, held := table.Admit(s.now.Add(300*time.Millisecond), request(1)); !held {
				admitted++
			}
		}
	}
	assert.Equal(t, 1, admitted)
}

func TestEndCountsAfterReportDelay(t *testing.T) {
	s := newFixture()
	s.crash("a", 1)
	s.crash("b", 1)
	s.RecordCrash(s.now, request(1), "c")
	assert.False(t, s.held(1))
	s.now = s.now.Add(100 * time.Millisecond)
	assert.True(t, s.held(1))
}

// TestRequestsWithSameCrashesAreTriedInTurn: only sending one of them alone shows which request is the cause.
func TestRequestsWithSameCrashesAreTriedInTurn(t *testing.T) {
	for name, cause := range map[string]byte{"the first is the cause": 1, "the second is the cause": 2} {
		t.Run(name, func(t *testing.T) {
			s := newFixture()
			for _, endpoint := range []string{"a", "b", "c"} {
				s.crash(endpoint, 1, 2)
			}
			assert.True(t, s.held(1))
			assert.True(t, s.held(2))
			ends := 0
			for end := s.now.Add(5 * time.Second); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
				for number := byte(1); number <= 2; number++ {
					if _, held := s.Admit(s.now, request(number)); held {
						continue
					}
					if number == cause {
						ends++
						s.crash("d", number)
					} else {
						s.RecordAnswered(s.now, request(number))
					}
				}
			}
			assert.True(t, s.held(cause))
			assert.False(t, s.held(3-cause))
			assert.LessOrEqual(t, ends, 1, "the trials cost at most one endpoint")
		})
	}
}

// TestHoldsGrowAfterFailedTrials: each hold ends with one trial at a time, and each crash in a trial leads to a longer hold.
func TestHoldsGrowAfterFailedTrials(t *testing.T) {
	s := newFixture()
	for _, endpoint := range []string{"a", "b", "c"} {
		s.crash(endpoint, 1)
	}
	for trial, hold := range []time.Duration{5 * time.Minute, time.Hour, 24 * time.Hour, 24 * time.Hour} {
		s.now = s.now.Add(hold - crashInterval - 1)
		assert.True(t, s.held(1), "just before the end of hold %d", trial)
		s.now = s.now.Add(1)
		_, held := s.Admit(s.now, request(1))
		assert.False(t, held, "trial %d", trial)
		other, held := s.Admit(s.now, request(1))
		assert.True(t, held, "a second request during trial %d", trial)
		assert.Equal(t, time.Second, other.Remaining)
		s.Sweep(s.now)
		s.crash(fmt.Sprint("trial", trial), 1)
	}
	s.now = s.now.Add(24 * time.Hour)
	_, held := s.Admit(s.now, request(1))
	assert.False(t, held)
	s.RecordAnswered(s.now, request(1))
	assert.False(t, s.held(1), "a complete response ends the hold")
}

func TestTrialWithoutOutcomeIsRepeatedAfterTimeout(t *testing.T) {
	s := newFixture()
	for _, endpoint := range []string{"a", "b", "c"} {
		s.crash(endpoint, 1)
	}
	other := quarantine.NewTable()
	other.Merge(s.now, s.TakeUnsent(s.now), false)
	s.now = s.now.Add(5 * time.Minute)
	_, held := s.Admit(s.now, request(1))
	assert.False(t, held)
	_, held = s.Admit(s.now.Add(10*time.Second-1), request(1))
	assert.True(t, held)
	other.Merge(s.now, s.TakeUnsent(s.now), false)
	_, held = other.Admit(s.now.Add(10*time.Second-1), request(1))
	assert.True(t, held, "another instance makes no trial at the same time")
	_, held = s.Admit(s.now.Add(10*time.Second), request(1))
	assert.False(t, held)
}

// TestEndsReportedTogetherKeepTheirTimes: an instance without a link to the planner reports its records all at once later.
func TestEndsReportedTogetherKeepTheirTimes(t *testing.T) {
	s, other := newFixture(), quarantine.NewTable()
	for _, endpoint := range []string{"a", "b", "c"} {
		s.crash(endpoint, 1)
	}
	other.Merge(s.now, s.TakeUnsent(s.now), false)
	_, held := other.Held(s.now, request(1))
	assert.True(t, held)
}

func TestOldCrashesAreDeleted(t *testing.T) {
	s := newFixture()
	s.crash("a", 1)
	s.crash("b", 1)
	s.now = s.now.Add(time.Hour)
	s.Sweep(s.now)
	assert.Zero(t, s.Size())
	s.crash("c", 1)
	assert.False(t, s.held(1))
}

// TestTableIsBounded: above the limit of records, those of the least suspected requests are deleted.
func TestTableIsBounded(t *testing.T) {
	s := newFixture()
	for _, endpoint := range []string{"a", "b", "c"} {
		s.crash(endpoint, 1)
	}
	for number := range 10_000 {
		s.RecordCrash(s.now, fingerprint.Fingerprint{2, byte(number >> 8), byte(number)}, fmt.Sprint("d", number/64))
	}
	s.Sweep(s.now)
	assert.LessOrEqual(t, s.Size(), 4096)
	assert.True(t, s.held(1))
	assert.LessOrEqual(t, len(s.Snapshot(s.now)), 512)
	assert.Equal(t, request(1), s.Snapshot(s.now)[0].Request, "most suspected request first")
}

// TestInstancesConverge delivers records several times, late and in any order, and some only in a snapshot.
func TestInstancesConverge(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		tables := []*quarantine.Table{quarantine.NewTable(), quarantine.NewTable(), quarantine.NewTable()}
		now := start
		var sent []quarantine.Crash
		for range 30 {
			at := tables[random.IntN(len(tables))]
			if number := request(byte(random.IntN(4))); random.IntN(5) == 0 {
				at.RecordAnswered(now, number)
			} else {
				at.RecordCrash(now, number, fmt.Sprint(random.IntN(20)))
			}
			sent = append(sent, at.TakeUnsent(now)...)
		}
		now = now.Add(crashInterval)
		for _, table := range tables {
			random.Shuffle(len(sent), func(i, j int) { sent[i], sent[j] = sent[j], sent[i] })
			table.Merge(now, sent[:random.IntN(len(sent)+1)], true)
		}
		for _, from := range tables {
			for _, to := range tables {
				to.Merge(now, from.Snapshot(now), false)
			}
		}
		for _, from := range tables {
			for _, to := range tables {
				to.Merge(now, from.Snapshot(now), false)
			}
		}
		for number := range byte(4) {
			first, held := tables[0].Held(now, request(number))
			for _, table := range tables[1:] {
				other, otherHeld := table.Held(now, request(number))
				assert.Equal(t, held, otherHeld, "seed %d", seed)
				assert.ElementsMatch(t, first.Endpoints, other.Endpoints, "seed %d", seed)
			}
		}
	}
}

// TestOwnRecordsIncludeQuarantinedRequests: a new planner gets the records that this instance observed and those of all quarantined
// requests.
func TestOwnRecordsIncludeQuarantinedRequests(t *testing.T) {
	s := newFixture()
	s.crash("a", 1)
	s.Merge(s.now, []quarantine.Crash{
		{Request: request(2), Endpoint: "b"}, {Request: request(3), Endpoint: "c", Age: 3 * crashInterval}, {Request: request(3), Endpoint: "d", Age: 2 * crashInterval},
		{Request: request(3), Endpoint: "e", Age: crashInterval},
	}, false)
	var endpoints []string
	for _, crash := range s.OwnRecords(s.now) {
		endpoints = append(endpoints, crash.Endpoint)
	}
	assert.ElementsMatch(t, []string{"a", "c", "d", "e"}, endpoints)
	assert.False(t, s.HasUnsent())
}

func TestReleaseEndsHold(t *testing.T) {
	s := newFixture()
	assert.False(t, s.Release(s.now, request(1)))
	for _, endpoint := range []string{"a", "b", "c"} {
		s.crash(endpoint, 1)
	}
	assert.Len(t, s.AllHeld(s.now), 1)
	assert.True(t, s.Release(s.now, request(1)))
	assert.Empty(t, s.AllHeld(s.now))
	assert.True(t, s.HasUnsent())
}

// TestEndCountsAgainstUnansweredRequests: an endpoint may still run requests whose callers have left.
func TestEndCountsAgainstUnansweredRequests(t *testing.T) {
	for name, order := range map[string]func(s *fixture, endpoint string){
		"given up before the end is seen": func(s *fixture, endpoint string) {
			s.RecordUnanswered(s.now, request(1), endpoint)
			s.now = s.now.Add(3 * time.Second)
			s.crash(endpoint, 9)
		},
		"given up after the end was seen": func(s *fixture, endpoint string) {
			s.crash(endpoint, 9)
			s.RecordUnanswered(s.now, request(1), endpoint)
		},
		"another instance has seen the end": func(s *fixture, endpoint string) {
			s.RecordUnanswered(s.now, request(1), endpoint)
			s.now = s.now.Add(crashInterval)
			s.Merge(s.now, []quarantine.Crash{{Request: request(9), Endpoint: endpoint}}, false)
			s.now = s.now.Add(crashInterval)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture()
			for _, endpoint := range []string{"a", "b", "c"} {
				order(s, endpoint)
				s.RecordAnswered(s.now, request(9))
			}
			assert.True(t, s.held(1))
			assert.False(t, s.held(9))
			assert.True(t, s.HasUnsent())
		})
	}
}

func TestRequestGivenUpLongBeforeEndDoesNotCount(t *testing.T) {
	s := newFixture()
	for _, endpoint := range []string{"a", "b", "c"} {
		s.RecordUnanswered(s.now, request(1), endpoint)
		s.now = s.now.Add(3*time.Second + 1)
		s.crash(endpoint, 9)
	}
	assert.False(t, s.held(1))
	assert.Equal(t, 3, s.Size())
}

// TestRequestGivenUpAfterRestartDoesNotCount: a request that is given up at a restarted endpoint did not cause the end of its former
// process.
func TestRequestGivenUpAfterRestartDoesNotCount(t *testing.T) {
	s := newFixture()
	for _, endpoint := range []string{"a", "b", "c"} {
		s.crash(endpoint, 9)
	}
	s.now = s.now.Add(time.Minute)
	for _, endpoint := range []string{"a", "b", "c"} {
		s.RecordUnanswered(s.now, request(1), endpoint)
	}
	s.now = s.now.Add(crashInterval)
	assert.False(t, s.held(1))
	assert.Equal(t, 3, s.Size())
}

// TestUnansweredRequestsAreBounded: many callers may leave one endpoint.
func TestUnansweredRequestsAreBounded(t *testing.T) {
	s := newFixture()
	for number := range 100 {
		s.RecordUnanswered(s.now, request(byte(number)), "a")
	}
	s.crash("a", 200)
	assert.Equal(t, 65, s.Size())
	for number := range 100 {
		s.RecordUnanswered(s.now, request(byte(number)), "b")
	}
	s.now = s.now.Add(4 * time.Second)
	s.Sweep(s.now)
	s.crash("b", 200)
	assert.Equal(t, 66, s.Size())
}
