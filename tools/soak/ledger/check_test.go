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

// validRecord returns a record without violations.
func validRecord() *ledger.Record {
	return &ledger.Record{
		Attempts: []ledger.Attempt{{
			ID: "r", Kind: ledger.Unsafe, Path: "/hold/x", Instance: "a", Use: 1, IdleTime: second / 2, Began: at(10 * second), Sent: at(10 * second),
			Ended: at(10*second + second/10), Timeout: 4 * second, Outcome: ledger.Whole, Status: 200,
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

// closeConnection makes the connection of the request end without an answer.
func closeConnection(r *ledger.Record) { r.Attempts[0].Outcome = ledger.Closed }

// removeRuns removes all runs, so that the request did not run.
func removeRuns(r *ledger.Record) { r.Runs = nil }

func addDisruption(trouble ledger.Fault, target string, from, to time.Duration) func(*ledger.Record) {
	return func(r *ledger.Record) {
		r.Disruptions = append(r.Disruptions, ledger.Disruption{Fault: trouble, Target: target, From: at(from), To: at(to)})
	}
}

// setDuration returns a change that makes the request last for the span.
func setDuration(span time.Duration) func(*ledger.Record) {
	return func(r *ledger.Record) { r.Attempts[0].Ended = r.Attempts[0].Began.Add(span) }
}

// addRouteTimeout returns a change that sets the time-out of the request's route at the given time after start.
func addRouteTimeout(timeout, when time.Duration) func(*ledger.Record) {
	return func(r *ledger.Record) {
		r.Limits = append(r.Limits, ledger.Limit{Prefixes: []string{"/hold/"}, Timeout: timeout, Sent: at(when), Acknowledged: at(when)})
	}
}

// endEarly returns a change that ends the answer between two events, as if it were whole.
func endEarly(untilClose bool) func(*ledger.Record) {
	return func(r *ledger.Record) {
		r.Attempts[0].Kind, r.Runs[0].UntilClose = ledger.Streaming, untilClose
		r.Attempts[0].Defect, r.Attempts[0].EndsEarly = "8 bytes in place of 16", true
	}
}

// hedgeBreaks returns a change that has another endpoint run the request later and break its answer off, or send bytes without end in place
// of one.
func hedgeBreaks(endless bool) func(*ledger.Record) {
	return func(r *ledger.Record) {
		r.Attempts[0].Kind = ledger.Resumable
		began := platformstandin.RunEvent{ID: "r", Endpoint: "f", Phase: platformstandin.RunBegan, At: at(10500 * time.Millisecond)}
		ended := began
		ended.Phase, ended.Endless = platformstandin.RunFailed, endless
		r.Runs = append(r.Runs, began, ended)
	}
}

func setIdleTime(span time.Duration) func(*ledger.Record) {
	return func(r *ledger.Record) { r.Attempts[0].IdleTime = span }
}

// findingCounts holds how many findings a check has in its cases, where it is not one.
var findingCounts = map[string]int{ledger.CheckSoftware: 3}

// TestChecksFindFaults applies changes to a valid record: a fault alone, which its check must find, and the fault with a reason that
// excuses it, which no check may report.
func TestChecksFindFaults(t *testing.T) {
	type change = func(*ledger.Record)
	exit := func(e ledger.Exit) change { return func(r *ledger.Record) { r.Exits = []ledger.Exit{e} } }
	cases := []struct {
		name  string
		fault []change
		check string
	}{
		{"no fault", nil, ""},
		{"ran and closed", []change{closeConnection}, ledger.CheckLost},
		{"ran and closed, instance killed", []change{closeConnection, addDisruption(ledger.Kill, "a", 10*second, 11*second)}, ""},
		{"ran and closed, other instance killed", []change{closeConnection, addDisruption(ledger.Kill, "b", 10*second, 11*second)}, ledger.CheckLost},
		{"ran and closed, instance stopping", []change{closeConnection, addDisruption(ledger.Stop, "a", 9*second, 17*second)}, ledger.CheckLost},
		{"ran and closed, SIGHUP to instance", []change{closeConnection, addDisruption(ledger.Hangup, "a", 10*second, 10*second)}, ledger.CheckLost},
		{"ran and closed, instance frozen", []change{closeConnection, addDisruption(ledger.Freeze, "a", 9*second, 11*second)}, ledger.CheckLost},
		{"ran and closed, idle limit reached", []change{closeConnection, setIdleTime(2 * second)}, ledger.CheckLost},
		{"ran and closed, grace ended", []change{closeConnection, addDisruption(ledger.Stop, "a", 8*second, 16*second), func(r *ledger.Record) {
			r.Attempts[0].Timeout, r.Attempts[0].Ended = 14*second, at(16*second)
		}}, ""},
		{"ran and closed, grace ended, slow reader sees it late", []change{closeConnection, addDisruption(ledger.Stop, "a", 8*second, 16*second), func(r *ledger.Record) {
			r.Attempts[0].Timeout, r.Attempts[0].Ended = 14*second, at(18*second)
			r.Runs[1].Phase, r.Runs[1].At = platformstandin.RunCanceled, at(16*second)
		}}, ""},
		{"ran and canceled before end of grace, slow reader sees it at end of grace", []change{closeConnection, addDisruption(ledger.Stop, "a", 8*second, 16*second), func(r *ledger.Record) {
			r.Attempts[0].Timeout, r.Attempts[0].Ended = 14*second, at(16*second)
			r.Runs[1].Phase, r.Runs[1].At = platformstandin.RunCanceled, at(12*second)
		}}, ledger.CheckLost},
		{"ran and closed, grace ended, sent late after stop signal", []change{closeConnection, addDisruption(ledger.Stop, "a", 6*second, 14*second), func(r *ledger.Record) {
			r.Attempts[0].Timeout, r.Attempts[0].Ended = 14*second, at(14*second)
		}}, ledger.CheckLost},
		{"ran and closed, grace ended, sent late, instance frozen at stop signal", []change{
			closeConnection, addDisruption(ledger.Stop, "a", 6*second, 14*second), addDisruption(ledger.Freeze, "a", 5*second, 7*second),
			addDisruption(ledger.Freeze, "a", 7*second, 8*second), func(r *ledger.Record) {
				r.Attempts[0].Timeout, r.Attempts[0].Ended = 14*second, at(14*second)
			},
		}, ""},
		{"ran and closed, grace ended, sent late, instance frozen after stop signal", []change{
			closeConnection, addDisruption(ledger.Stop, "a", 6*second, 14*second), addDisruption(ledger.Freeze, "a", 6*second+1, 8*second), func(r *ledger.Record) {
				r.Attempts[0].Timeout, r.Attempts[0].Ended = 14*second, at(14*second)
			},
		}, ledger.CheckLost},
		{"ran and closed, deadline reached", []change{closeConnection, func(r *ledger.Record) { r.Attempts[0].Ended = at(14 * second) }}, ""},
		{"ran and closed, route timed out", []change{closeConnection, setDuration(3 * second), addRouteTimeout(3*second, 5*second)}, ""},
		{"ran and closed, before time-out of route", []change{closeConnection, setDuration(2 * second), addRouteTimeout(3*second, 5*second)}, ledger.CheckLost},
		{"ran and closed, time-out of other route", []change{closeConnection, setDuration(3 * second), addRouteTimeout(3*second, 5*second), func(r *ledger.Record) { r.Attempts[0].Path = "/status/x" }}, ledger.CheckLost},
		{"ran and closed, previous time-out possibly in force", []change{closeConnection, setDuration(3 * second), addRouteTimeout(3*second, 5*second), addRouteTimeout(9*second, 9*second)}, ""},
		{"ran and closed, previous time-out no longer in force", []change{closeConnection, setDuration(3 * second), addRouteTimeout(3*second, 5*second), addRouteTimeout(9*second, 7*second)}, ledger.CheckLost},
		{"ran and closed, time-out set after request", []change{closeConnection, setDuration(3 * second), addRouteTimeout(3*second, 11*second)}, ledger.CheckLost},
		{"ran and closed, endpoint broke off", []change{closeConnection, func(r *ledger.Record) { r.Runs[1].Phase = platformstandin.RunFailed }}, ""},
		{"ran and closed, endpoint ended", []change{closeConnection, addDisruption(ledger.EndpointEnds, "e", 10*second, 11*second)}, ""},

		{"not run and closed", []change{closeConnection, removeRuns}, ledger.CheckUnexplained},
		{"not run and closed, instance stopping", []change{closeConnection, removeRuns, addDisruption(ledger.Stop, "a", 9*second, 11*second)}, ""},
		{"not run and closed late, instance stopping", []change{closeConnection, removeRuns, addDisruption(ledger.Stop, "a", 9*second, 13*second), func(r *ledger.Record) {
			r.Attempts[0].Ended = at(12 * second)
		}}, ledger.CheckUnexplained},
		{"not run and closed late, instance stopping and frozen", []change{closeConnection, removeRuns, addDisruption(ledger.Stop, "a", 9*second, 13*second), func(r *ledger.Record) {
			r.Attempts[0].Ended = at(12 * second)
			r.Disruptions = append(r.Disruptions, ledger.Disruption{Fault: ledger.Freeze, Target: "a", From: at(10 * second), To: at(12 * second)})
		}}, ""},
		{"violation detected by endpoint", []change{func(r *ledger.Record) { r.EndpointViolations = []string{"an adapter was unloaded"} }}, ledger.CheckEndpoint},
		{"not run and closed, idle limit reached", []change{closeConnection, removeRuns, setIdleTime(2 * second)}, ""},
		{"not run and closed, first request of connection", []change{closeConnection, removeRuns, setIdleTime(2 * second), func(r *ledger.Record) { r.Attempts[0].Use = 0 }}, ledger.CheckUnexplained},
		{"not run, connection closed before request", []change{closeConnection, removeRuns, func(r *ledger.Record) { r.Attempts[0].ClosedBefore = true }}, ""},

		{"refused and ran", []change{func(r *ledger.Record) { r.Attempts[0].Outcome = ledger.Refused }}, ledger.CheckNotRun},
		{"refused and not run", []change{removeRuns, func(r *ledger.Record) { r.Attempts[0].Outcome = ledger.Refused }}, ""},
		{"unsafe request ran twice", []change{func(r *ledger.Record) { r.Runs = append(r.Runs, r.Runs[0]) }}, ledger.CheckOnce},
		{"safe request ran twice", []change{func(r *ledger.Record) { r.Runs, r.Attempts[0].Kind = append(r.Runs, r.Runs[0]), ledger.Safe }}, ""},
		{"answer to another request", []change{func(r *ledger.Record) { r.Attempts[0].Defect = "it answers another" }}, ledger.CheckWhole},
		{"stream ends early", []change{endEarly(true)}, ledger.CheckWhole},
		{"stream ends early, endpoint ended", []change{endEarly(true), addDisruption(ledger.EndpointEnds, "e", 10*second, 11*second)}, ""},
		{"stream ends early, other endpoint ended", []change{endEarly(true), addDisruption(ledger.EndpointEnds, "f", 10*second, 11*second)}, ledger.CheckWhole},
		{"stream ends early, endpoint that frames answers ended", []change{endEarly(false), addDisruption(ledger.EndpointEnds, "e", 10*second, 11*second)}, ledger.CheckWhole},
		{"stream ends early, former endpoint ended", []change{
			endEarly(true), addDisruption(ledger.EndpointEnds, "e", 10*second, 11*second), func(r *ledger.Record) {
				r.Attempts[0].Kind = ledger.Resumable
				r.Runs = append(r.Runs, platformstandin.RunEvent{ID: "r", Endpoint: "f", Phase: platformstandin.RunBegan, UntilClose: true, At: at(11 * second)})
			},
		}, ledger.CheckWhole},
		{"stream ends early, endpoint ended after a hedge without an answer", []change{
			endEarly(true), addDisruption(ledger.EndpointEnds, "e", 10*second, 11*second), hedgeBreaks(true),
		}, ""},
		{"stream ends early, endpoint ended after a hedge that broke off", []change{
			endEarly(true), addDisruption(ledger.EndpointEnds, "e", 10*second, 11*second), hedgeBreaks(false),
		}, ledger.CheckWhole},
		{"stream ends inside an event, endpoint ended", []change{
			endEarly(true), addDisruption(ledger.EndpointEnds, "e", 10*second, 11*second),
			func(r *ledger.Record) { r.Attempts[0].EndsEarly = false },
		}, ledger.CheckWhole},
		{"too much memory", []change{func(r *ledger.Record) {
			r.Bounds.MemoryKB, r.Usages = 1000, []ledger.Usage{{Instance: "a", PeakKB: 1001}}
		}}, ledger.CheckMemory},
		{"memory without a bound", []change{func(r *ledger.Record) {
			r.Usages = []ledger.Usage{{Instance: "a", PeakKB: 1001}}
		}}, ""},
		{"open after deadline", []change{func(r *ledger.Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Ended = ledger.Abandoned, at(14600*time.Millisecond)
		}}, ledger.CheckHeld},
		{"open after deadline, host overloaded", []change{func(r *ledger.Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Ended = ledger.Abandoned, at(14600*time.Millisecond)
			r.Lag = func(time.Time, time.Time) time.Duration { return second }
		}}, ""},
		{"left as planned", []change{func(r *ledger.Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Ended, r.Attempts[0].PlannedClose = ledger.Abandoned, at(15*second), true
		}}, ""},
		{"well-formed request denied", []change{removeRuns, func(r *ledger.Record) { r.Attempts[0].Outcome, r.Attempts[0].Status = ledger.Failed, 404 }}, ledger.CheckDenied},
		{"malformed request denied", []change{removeRuns, func(r *ledger.Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Status, r.Attempts[0].Malformed = ledger.Failed, 400, true
		}}, ""},
		{"denied, route not yet in force", []change{removeRuns, func(r *ledger.Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Status = ledger.Failed, 404
			r.Additions = []ledger.Addition{{Prefix: "/hold/", Acknowledged: at(9 * second)}}
		}}, ""},
		{"denied, route in force", []change{removeRuns, func(r *ledger.Record) {
			r.Attempts[0].Outcome, r.Attempts[0].Status = ledger.Failed, 404
			r.Additions = []ledger.Addition{{Prefix: "/hold/", Acknowledged: at(7 * second)}}
		}}, ledger.CheckDenied},
		{"run begun long after departure of endpoint", []change{func(r *ledger.Record) {
			r.Departures = []ledger.Departure{{Endpoint: "e", Acknowledged: at(7 * second)}}
		}}, ledger.CheckDeparted},
		{"run begun soon after departure of endpoint", []change{func(r *ledger.Record) {
			r.Departures = []ledger.Departure{{Endpoint: "e", Acknowledged: at(9 * second)}}
		}}, ""},
		{"run begun long after departure of endpoint, store down", []change{addDisruption(ledger.StoreFault, "", 8*second, 9*second), func(r *ledger.Record) {
			r.Departures = []ledger.Departure{{Endpoint: "e", Acknowledged: at(7 * second)}}
		}}, ""},
		{"run with previous version, long after new version", []change{func(r *ledger.Record) {
			r.Namings = []ledger.Naming{{Adapter: "a1", Version: 3, Acknowledged: at(4 * second)}}
		}}, ledger.CheckVersion},
		{"run with previous version, soon after new version", []change{func(r *ledger.Record) {
			r.Namings = []ledger.Naming{{Adapter: "a1", Version: 3, Acknowledged: at(6 * second)}}
		}}, ""},
		{"run with new version", []change{func(r *ledger.Record) {
			r.Namings = []ledger.Naming{{Adapter: "a1", Version: 2, Acknowledged: at(second)}}
		}}, ""},
		{"order beyond places of endpoint", []change{func(r *ledger.Record) { r.Overfull = 1 }}, ledger.CheckPlaces},
		{"unrequested exit", []change{exit(ledger.Exit{Instance: "a", At: at(second)})}, ledger.CheckExit},
		{"exit on SIGHUP", []change{exit(ledger.Exit{Instance: "a", At: at(second), Lifetime: 20 * time.Millisecond, Error: "signal: hangup"})}, ledger.CheckExit},
		{"exit on SIGHUP before signal handlers are installed", []change{
			exit(ledger.Exit{Instance: "a", At: at(second), Lifetime: 3 * time.Millisecond, Error: "signal: hangup"}),
		}, ""},
		{"requested exit within grace", []change{exit(ledger.Exit{Instance: "a", At: at(9 * second), Requested: true, StopTime: 7 * second})}, ""},
		{"requested exit after grace", []change{exit(ledger.Exit{Instance: "a", At: at(9 * second), Requested: true, StopTime: 9 * second})}, ledger.CheckGrace},
		{"requested exit after grace, instance frozen", []change{
			exit(ledger.Exit{Instance: "a", At: at(9 * second), Requested: true, StopTime: 9 * second}), addDisruption(ledger.Freeze, "a", 6*second, 8*second),
		}, ""},
		{"crashing request forwarded again", []change{func(r *ledger.Record) { *r = *crashingRecord(6*second+1, 4) }}, ledger.CheckCrashing},
		{"harmless request held back", []change{func(r *ledger.Record) {
			r.Runs, r.Attempts[0].Outcome, r.Attempts[0].Cause = nil, ledger.Refused, "crashes endpoints"
		}}, ledger.CheckHeldBack},
		{"announced limit exceeded", []change{func(r *ledger.Record) {
			*r = *noticeRecord(platformstandin.Notice{Limit: "1"}, 120, second/4)
		}}, ledger.CheckLimit},
		{"request to endpoint after leave notice", []change{func(r *ledger.Record) {
			*r = *noticeRecord(platformstandin.Notice{Leaving: true}, 10, second/4)
		}}, ledger.CheckLeaving},
		{"requests within announced rest", []change{func(r *ledger.Record) {
			*r = *noticeRecord(platformstandin.Notice{Rest: "3"}, 4, 7*second/10)
		}}, ledger.CheckRest},
		{"caller connection left open", []change{func(r *ledger.Record) { r.Usages = []ledger.Usage{{Instance: "a", CallerSockets: 1}} }}, ledger.CheckLeak},
		{"no caller connection left open", []change{func(r *ledger.Record) { r.Usages = []ledger.Usage{{Instance: "a", Descriptors: 100}} }}, ""},
		{"streams of two software versions", []change{func(r *ledger.Record) {
			*r = *takenUpStreams{count: 3, goingOn: 3, goesOnAt: "v2", serving: 2}.record()
		}}, ledger.CheckSoftware},
		{"taken-up streams do not go on", []change{func(r *ledger.Record) {
			*r = *takenUpStreams{count: 12, serving: 2}.record()
		}}, ledger.CheckGoesOn},
		{"streams of two software versions after herd kill", []change{func(r *ledger.Record) {
			*r = *herdStreams{count: 1, goingOn: 1, goesOnAt: "v2"}.record()
		}}, ledger.CheckHerdMixed},
		{"streams do not go on after herd kill", []change{func(r *ledger.Record) {
			*r = *herdStreams{count: 12, goingOn: 11}.record()
		}}, ledger.CheckHerdGoesOn},
		{"stream refused as unknown after herd kill ran", []change{func(r *ledger.Record) {
			*r = *herdStreams{count: 1}.record()
			r.Runs = append(r.Runs, platformstandin.RunEvent{ID: "t-0", Endpoint: "e-0", Phase: platformstandin.RunBegan, At: at(herdKilled)})
		}}, ledger.CheckHerdUnknown},
		{"retries beyond the budget", []change{func(r *ledger.Record) {
			r.Attempts[0].Kind = ledger.Safe
			r.Runs = slices.Repeat(r.Runs, 5)
		}}, ledger.CheckBudget},
	}
	found := make(map[string]bool)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := validRecord()
			for _, change := range test.fault {
				change(r)
			}
			var checks []string
			for _, finding := range ledger.RunChecks(r) {
				checks = append(checks, finding.Check)
				found[finding.Check] = true
			}
			if test.check == "" {
				assert.Empty(t, checks)
				return
			}
			assert.Equal(t, slices.Repeat([]string{test.check}, max(1, findingCounts[test.check])), checks)
		})
	}
	for name := range ledger.Checks {
		assert.True(t, found[name], "no case makes this check report a finding: %s", name)
	}
}
