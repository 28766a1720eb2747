// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func at(after time.Duration) time.Time { return start.Add(after) }

const second = time.Second

// sound is a record in which nothing is broken.
func sound() *ledger.Record {
	return &ledger.Record{
		Attempts: []ledger.Attempt{{
			ID: "r", Kind: ledger.Unsafe, Path: "/hold/x", Instance: "a", Use: 1, Rested: second / 2, Began: at(10 * second), Sent: at(10 * second),
			Ended: at(10*second + second/10), Patience: 4 * second, Outcome: ledger.Whole, Status: 200,
		}},
		Runs: []platformstandin.RunEvent{
			{ID: "r", Endpoint: "e", Adapter: "a1", Version: 2, Phase: platformstandin.RunBegan, At: at(10 * second)},
			{ID: "r", Endpoint: "e", Adapter: "a1", Version: 2, Phase: platformstandin.RunCompleted, At: at(10*second + second/20)},
		},
		Bounds: ledger.Bounds{
			Grace: 8 * second, GraceMargin: second / 2, Drain: 2 * second, Apply: 2 * second, Version: 5 * second, BudgetWindow: 10 * second,
			RetryRatio: 0.2, RetryExtra: 3, IdleLimit: 2 * second,
		},
	}
}

// closed has the request's connection end without an answer.
func closed(r *ledger.Record) { r.Attempts[0].Outcome = ledger.Closed }

// unrun takes the runs out.
func unrun(r *ledger.Record) { r.Runs = nil }

func disrupted(trouble ledger.Trouble, target string, from, to time.Duration) func(*ledger.Record) {
	return func(r *ledger.Record) {
		r.Disruptions = append(r.Disruptions, ledger.Disruption{Trouble: trouble, Target: target, From: at(from), To: at(to)})
	}
}

// lasted has the request end after a time.
func lasted(span time.Duration) func(*ledger.Record) {
	return func(r *ledger.Record) { r.Attempts[0].Ended = r.Attempts[0].Began.Add(span) }
}

// limited has the time-out of the request's route change at a moment.
func limited(timeout, when time.Duration) func(*ledger.Record) {
	return func(r *ledger.Record) {
		r.Limits = append(r.Limits, ledger.Limit{Prefixes: []string{"/hold/"}, Timeout: timeout, Sent: at(when), Acknowledged: at(when)})
	}
}

func rested(span time.Duration) func(*ledger.Record) {
	return func(r *ledger.Record) { r.Attempts[0].Rested = span }
}

// TestEachCheckFindsWhatItIsFor puts a fault in, and then what excuses it.
func TestEachCheckFindsWhatItIsFor(t *testing.T) {
	type change = func(*ledger.Record)
	exit := func(e ledger.Exit) change { return func(r *ledger.Record) { r.Exits = []ledger.Exit{e} } }
	cases := []struct {
		name  string
		fault []change
		check string
	}{
		{"nothing", nil, ""},
		{"a request that ran got no answer", []change{closed}, ledger.CheckLost},
		{"beside a kill of its instance", []change{closed, disrupted(ledger.Kill, "a", 10*second, 11*second)}, ""},
		{"beside a kill of another", []change{closed, disrupted(ledger.Kill, "b", 10*second, 11*second)}, ledger.CheckLost},
		{"beside a stop", []change{closed, disrupted(ledger.Stop, "a", 9*second, 17*second)}, ledger.CheckLost},
		{"beside a hang-up", []change{closed, disrupted(ledger.Hangup, "a", 10*second, 10*second)}, ledger.CheckLost},
		{"beside a freeze", []change{closed, disrupted(ledger.Freeze, "a", 9*second, 11*second)}, ledger.CheckLost},
		{"at the idle limit", []change{closed, rested(2 * second)}, ledger.CheckLost},
		{"at the end of the grace", []change{closed, disrupted(ledger.Stop, "a", 8*second, 16*second), func(r *ledger.Record) {
			r.Attempts[0].Patience, r.Attempts[0].Ended = 14*second, at(16*second)
		}}, ""},
		{"at the end of the grace, seen late by a slow reader", []change{closed, disrupted(ledger.Stop, "a", 8*second, 16*second), func(r *ledger.Record) {
			r.Attempts[0].Patience, r.Attempts[0].Ended = 14*second, at(18*second)
			r.Runs[1].Phase, r.Runs[1].At = platformstandin.RunCanceled, at(16*second)
		}}, ""},
		{"before the end of the grace, seen at it by a slow reader", []change{closed, disrupted(ledger.Stop, "a", 8*second, 16*second), func(r *ledger.Record) {
			r.Attempts[0].Patience, r.Attempts[0].Ended = 14*second, at(16*second)
			r.Runs[1].Phase, r.Runs[1].At = platformstandin.RunCanceled, at(12*second)
		}}, ledger.CheckLost},
		{"at the end of the grace, but sent late", []change{closed, disrupted(ledger.Stop, "a", 6*second, 14*second), func(r *ledger.Record) {
			r.Attempts[0].Patience, r.Attempts[0].Ended = 14*second, at(14*second)
		}}, ledger.CheckLost},
		{"at the end of the grace, sent late to an instance that stood still at the signal", []change{
			closed, disrupted(ledger.Stop, "a", 6*second, 14*second), disrupted(ledger.Freeze, "a", 5*second, 7*second),
			disrupted(ledger.Freeze, "a", 7*second, 8*second), func(r *ledger.Record) {
				r.Attempts[0].Patience, r.Attempts[0].Ended = 14*second, at(14*second)
			},
		}, ""},
		{"at the end of the grace, sent late to an instance that stood still after the signal", []change{
			closed, disrupted(ledger.Stop, "a", 6*second, 14*second), disrupted(ledger.Freeze, "a", 6*second+1, 8*second), func(r *ledger.Record) {
				r.Attempts[0].Patience, r.Attempts[0].Ended = 14*second, at(14*second)
			},
		}, ledger.CheckLost},
		{"at its deadline", []change{closed, func(r *ledger.Record) { r.Attempts[0].Ended = at(14 * second) }}, ""},
		{"at its route's time-out", []change{closed, lasted(3 * second), limited(3*second, 5*second)}, ""},
		{"before its route's time-out", []change{closed, lasted(2 * second), limited(3*second, 5*second)}, ledger.CheckLost},
		{"at another route's time-out", []change{closed, lasted(3 * second), limited(3*second, 5*second), func(r *ledger.Record) { r.Attempts[0].Path = "/status/x" }}, ledger.CheckLost},
		{"at a former time-out that may be in force", []change{closed, lasted(3 * second), limited(3*second, 5*second), limited(9*second, 9*second)}, ""},
		{"at a former time-out", []change{closed, lasted(3 * second), limited(3*second, 5*second), limited(9*second, 7*second)}, ledger.CheckLost},
		{"at a later time-out", []change{closed, lasted(3 * second), limited(3*second, 11*second)}, ledger.CheckLost},
		{"by its endpoint", []change{closed, func(r *ledger.Record) { r.Runs[1].Phase = platformstandin.RunFailed }}, ""},
		{"by its endpoint's end", []change{closed, disrupted(ledger.EndpointEnds, "e", 10*second, 11*second)}, ""},

		{"closed and not run", []change{closed, unrun}, ledger.CheckUnexplained},
		{"closed and not run, in a stop", []change{closed, unrun, disrupted(ledger.Stop, "a", 9*second, 11*second)}, ""},
		{"closed and not run, long after it came, in a stop", []change{closed, unrun, disrupted(ledger.Stop, "a", 9*second, 13*second), func(r *ledger.Record) {
			r.Attempts[0].Ended = at(12 * second)
		}}, ledger.CheckUnexplained},
		{"the same while the instance stood still", []change{closed, unrun, disrupted(ledger.Stop, "a", 9*second, 13*second), func(r *ledger.Record) {
			r.Attempts[0].Ended = at(12 * second)
			r.Disruptions = append(r.Disruptions, ledger.Disruption{Trouble: ledger.Freeze, Target: "a", From: at(10 * second), To: at(12 * second)})
		}}, ""},
		{"an endpoint saw it", []change{func(r *ledger.Record) { r.Broken = []string{"an adapter was unloaded"} }}, ledger.CheckEndpoint},
		{"closed and not run, at the idle limit", []change{closed, unrun, rested(2 * second)}, ""},
		{"closed and not run, first on its connection", []change{closed, unrun, rested(2 * second), func(r *ledger.Record) { r.Attempts[0].Use = 0 }}, ledger.CheckUnexplained},
		{"closed before it was sent", []change{closed, unrun, func(r *ledger.Record) { r.Attempts[0].ClosedBefore = true }}, ""},

		{"refused, but it ran", []change{func(r *ledger.Record) { r.Attempts[0].Outcome = ledger.Refused }}, ledger.CheckNotRun},
		{"refused, and it did not run", []change{unrun, func(r *ledger.Record) { r.Attempts[0].Outcome = ledger.Refused }}, ""},
		{"ran twice", []change{func(r *ledger.Record) { r.Runs = append(r.Runs, r.Runs[0]) }}, ledger.CheckOnce},
		{"ran twice as it may", []change{func(r *ledger.Record) { r.Runs, r.Attempts[0].Kind = append(r.Runs, r.Runs[0]), ledger.Safe }}, ""},
		{"another's answer", []change{func(r *ledger.Record) { r.Attempts[0].Wrong = "it answers another" }}, ledger.CheckWhole},
		{"held too long", []change{func(r *ledger.Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Ended = ledger.Left, at(14600*time.Millisecond)
		}}, ledger.CheckHeld},
		{"held too long on a starved host", []change{func(r *ledger.Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Ended = ledger.Left, at(14600*time.Millisecond)
			r.Lag = func(time.Time, time.Time) time.Duration { return second }
		}}, ""},
		{"left by plan", []change{func(r *ledger.Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Ended, r.Attempts[0].OnPlan = ledger.Left, at(15*second), true
		}}, ""},
		{"denied", []change{unrun, func(r *ledger.Record) { r.Attempts[0].Outcome, r.Attempts[0].Status = ledger.Failed, 404 }}, ledger.CheckDenied},
		{"denied as it is malformed", []change{unrun, func(r *ledger.Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Status, r.Attempts[0].Malformed = ledger.Failed, 400, true
		}}, ""},
		{"a route that is not yet in force", []change{unrun, func(r *ledger.Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Status = ledger.Failed, 404
			r.Additions = []ledger.Addition{{Prefix: "/hold/", Acknowledged: at(9 * second)}}
		}}, ""},
		{"a route that is late", []change{unrun, func(r *ledger.Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Status = ledger.Failed, 404
			r.Additions = []ledger.Addition{{Prefix: "/hold/", Acknowledged: at(7 * second)}}
		}}, ledger.CheckDenied},
		{"an endpoint that left", []change{func(r *ledger.Record) {
			r.Departures = []ledger.Departure{{Endpoint: "e", Acknowledged: at(7 * second)}}
		}}, ledger.CheckDeparted},
		{"an endpoint that leaves", []change{func(r *ledger.Record) {
			r.Departures = []ledger.Departure{{Endpoint: "e", Acknowledged: at(9 * second)}}
		}}, ""},
		{"an endpoint that left while the store was down", []change{disrupted(ledger.StoreTroubled, "", 8*second, 9*second), func(r *ledger.Record) {
			r.Departures = []ledger.Departure{{Endpoint: "e", Acknowledged: at(7 * second)}}
		}}, ""},
		{"a former version", []change{func(r *ledger.Record) {
			r.Namings = []ledger.Naming{{Adapter: "a1", Version: 3, Acknowledged: at(4 * second)}}
		}}, ledger.CheckVersion},
		{"a former version in its time", []change{func(r *ledger.Record) {
			r.Namings = []ledger.Naming{{Adapter: "a1", Version: 3, Acknowledged: at(6 * second)}}
		}}, ""},
		{"the named version", []change{func(r *ledger.Record) {
			r.Namings = []ledger.Naming{{Adapter: "a1", Version: 2, Acknowledged: at(second)}}
		}}, ""},
		{"an order beyond the places", []change{func(r *ledger.Record) { r.Overfull = 1 }}, ledger.CheckPlaces},
		{"an end of its own", []change{exit(ledger.Exit{Instance: "a", At: at(second)})}, ledger.CheckExit},
		{"an end by a hang-up", []change{exit(ledger.Exit{Instance: "a", At: at(second), Lived: 20 * time.Millisecond, Error: "signal: hangup"})}, ledger.CheckExit},
		{"an end by a hang-up before its own code runs", []change{
			exit(ledger.Exit{Instance: "a", At: at(second), Lived: 3 * time.Millisecond, Error: "signal: hangup"}),
		}, ""},
		{"an end that was asked for", []change{exit(ledger.Exit{Instance: "a", At: at(9 * second), Asked: true, Took: 7 * second})}, ""},
		{"an end after the grace", []change{exit(ledger.Exit{Instance: "a", At: at(9 * second), Asked: true, Took: 9 * second})}, ledger.CheckGrace},
		{"an end after the grace, frozen meanwhile", []change{
			exit(ledger.Exit{Instance: "a", At: at(9 * second), Asked: true, Took: 9 * second}), disrupted(ledger.Freeze, "a", 6*second, 8*second),
		}, ""},
		{"a request that crashes endpoints is sent on", []change{func(r *ledger.Record) { *r = *crashing(6*second+1, 4) }}, ledger.CheckCrashing},
		{"a sound request is held back", []change{func(r *ledger.Record) {
			r.Runs, r.Attempts[0].Outcome, r.Attempts[0].Cause = nil, ledger.Refused, "crashes endpoints"
		}}, ledger.CheckHeldBack},
		{"a limit that is not kept", []change{func(r *ledger.Record) {
			*r = *told(platformstandin.Notice{Limit: "1"}, 120, second/4)
		}}, ledger.CheckLimit},
		{"a leaving that was told in vain", []change{func(r *ledger.Record) {
			*r = *told(platformstandin.Notice{Leaving: true}, 10, second/4)
		}}, ledger.CheckLeaving},
		{"a rest that was asked for in vain", []change{func(r *ledger.Record) {
			*r = *told(platformstandin.Notice{Rest: "3"}, 4, 7*second/10)
		}}, ledger.CheckRest},
		{"a connection left open", []change{func(r *ledger.Record) { r.Usages = []ledger.Usage{{Instance: "a", CallerSockets: 1}} }}, ledger.CheckLeak},
		{"no connection left open", []change{func(r *ledger.Record) { r.Usages = []ledger.Usage{{Instance: "a", Descriptors: 100}} }}, ""},
		{"retries beyond the budget", []change{func(r *ledger.Record) {
			r.Attempts[0].Kind = ledger.Safe
			r.Runs = slices.Repeat(r.Runs, 5)
		}}, ledger.CheckBudget},
	}
	found := make(map[string]bool)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := sound()
			for _, change := range test.fault {
				change(r)
			}
			var checks []string
			for _, finding := range ledger.Judge(r) {
				checks = append(checks, finding.Check)
				found[finding.Check] = true
			}
			if test.check == "" {
				assert.Empty(t, checks)
				return
			}
			assert.Equal(t, []string{test.check}, checks)
		})
	}
	for name := range ledger.All {
		assert.True(t, found[name], "nothing shows that this check can fail: %s", name)
	}
}
