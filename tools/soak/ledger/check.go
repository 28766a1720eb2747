// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// The names of the checks.
const (
	CheckLost        = "a request that ran got no answer"
	CheckUnexplained = "a connection closed on a request without a reason"
	CheckNotRun      = "not run was not true"
	CheckOnce        = "ran twice"
	CheckWhole       = "not the whole answer of its own"
	CheckHeld        = "held beyond its deadline"
	CheckDenied      = "a proper request was denied"
	CheckDeparted    = "an endpoint that leaves got work"
	CheckVersion     = "ran on a former version"
	CheckPlaces      = "an order beyond an endpoint's places"
	CheckExit        = "an instance ended by itself"
	CheckGrace       = "an instance did not end within its grace"
	CheckBudget      = "more retries than the budget"
	CheckLeak        = "a caller's connection was left open"
	CheckCrashing    = "a request that crashes endpoints was sent on"
	CheckHeldBack    = "a sound request was held back"
	CheckLimit       = "an endpoint got more than the limit that it named"
	CheckLeaving     = "an endpoint that said that it leaves got work"
	CheckRest        = "an endpoint that asked for rest got none"
	CheckEndpoint    = "an endpoint saw a promise broken"
	CheckSoftware    = "streams hold events of two software versions"
	CheckMemory      = "an instance took more memory than it may"
	CheckGoesOn      = "streams that callers take up do not go on"
	CheckHerdMixed   = "streams hold events of two software versions after several instances were killed at once"
	CheckHerdGoesOn  = "streams do not go on after several instances were killed at once"
	CheckHerdUnknown = "a stream refused as unknown ran"
)

// Checks holds the checks of a record by name.
var Checks = map[string]func(*Record) []Finding{
	CheckLost: checkLost, CheckUnexplained: checkUnexplained, CheckNotRun: checkNotRun, CheckOnce: checkOnce, CheckWhole: checkWhole,
	CheckHeld: checkHeld, CheckDenied: checkDenied, CheckDeparted: checkDeparted, CheckVersion: checkVersion, CheckPlaces: checkPlaces,
	CheckExit: checkExit, CheckGrace: checkGrace, CheckBudget: checkBudget, CheckLeak: checkLeak,
	CheckCrashing: checkCrashing, CheckHeldBack: checkHeldBack, CheckLimit: checkLimit, CheckLeaving: checkLeaving, CheckRest: checkRest,
	CheckHerdMixed: checkHerdMixed, CheckHerdGoesOn: checkHerdGoesOn, CheckHerdUnknown: checkHerdUnknown,
	CheckEndpoint: checkEndpoint, CheckSoftware: checkSoftware, CheckGoesOn: checkGoesOn, CheckMemory: checkMemory,
}

// RunChecks runs all checks and returns their findings, ordered by the name of the check.
func RunChecks(r *Record) []Finding {
	names := make([]string, 0, len(Checks))
	for name := range Checks {
		names = append(names, name)
	}
	slices.Sort(names)
	var findings []Finding
	for _, name := range names {
		findings = append(findings, Checks[name](r)...)
	}
	return findings
}

// runs holds the begins and the ends of the runs of one request.
type runs struct {
	began []platformstandin.RunEvent
	ended []platformstandin.RunEvent
}

// canceled returns when the last run that was canceled by its instance ended. It returns the zero time if there is none.
func (r *runs) canceled() time.Time {
	var last time.Time
	for _, event := range r.ended {
		if event.Phase == platformstandin.RunCanceled && event.At.After(last) {
			last = event.At
		}
	}
	return last
}

func (r *Record) runsByRequest() map[string]*runs {
	all := make(map[string]*runs)
	for _, event := range r.Runs {
		one := all[event.ID]
		if one == nil {
			one = &runs{}
			all[event.ID] = one
		}
		if event.Phase == platformstandin.RunBegan {
			one.began = append(one.began, event)
		} else {
			one.ended = append(one.ended, event)
		}
	}
	return all
}

// lag returns the time by which bounds are extended within a span because the host was overloaded.
func (r *Record) lag(from, to time.Time) time.Duration {
	if r.Lag == nil {
		return 0
	}
	return r.Lag(from, to)
}

// disrupted reports whether one of the given kinds of disruption affected the target within a span.
func (r *Record) disrupted(target string, from, to time.Time, troubles ...Fault) bool {
	return slices.ContainsFunc(r.Disruptions, func(d Disruption) bool {
		return d.Target == target && slices.Contains(troubles, d.Fault) && d.overlaps(from, to)
	})
}

func checkNotRun(r *Record) []Finding {
	var findings []Finding
	byRequest := r.runsByRequest()
	for _, a := range r.Attempts {
		if run := byRequest[a.ID]; a.Outcome == Refused && run != nil && a.Kind.RunsOnce() {
			findings = append(findings, Finding{CheckNotRun, a.ID, fmt.Sprintf("%d at %s, but it ran at %s", a.Status, a.Instance, run.began[0].Endpoint)})
		}
	}
	return findings
}

func checkOnce(r *Record) []Finding {
	var findings []Finding
	byRequest := r.runsByRequest()
	for _, a := range r.Attempts {
		if run := byRequest[a.ID]; run != nil && a.Kind.RunsOnce() && len(run.began) > 1 {
			findings = append(findings, Finding{CheckOnce, a.ID, fmt.Sprintf("it ran %d times", len(run.began))})
		}
	}
	return findings
}

// checkWhole finds answers that their caller took for whole and that are not, and broken ones with other bytes than those of their request.
func checkWhole(r *Record) []Finding {
	var findings []Finding
	byRequest := r.runsByRequest()
	for _, a := range r.Attempts {
		if a.Defect != "" && !r.endUnknowable(a, byRequest[a.ID]) {
			findings = append(findings, Finding{CheckWhole, a.ID, fmt.Sprintf("%d from %s, framed by %s: %s", a.Status, a.Instance, a.Framing, a.Defect)})
		}
	}
	return findings
}

// endUnknowable reports whether nobody could tell the end of an answer from a break: the endpoint that ran it last sent it with neither a
// length nor chunks, and was ended between two events. Runs of which bytes without end came in place of an answer gave the caller nothing.
func (r *Record) endUnknowable(a Attempt, run *runs) bool {
	if !a.EndsEarly || run == nil {
		return false
	}
	answered := slices.DeleteFunc(slices.Clone(run.began), run.wasEndless)
	if len(answered) == 0 {
		return false
	}
	last := slices.MaxFunc(answered, func(a, b platformstandin.RunEvent) int { return a.At.Compare(b.At) })
	return last.UntilClose && r.disrupted(last.Endpoint, last.At, a.Ended, EndpointEnds, LinkBroken)
}

// wasEndless reports whether a run that began got bytes without end in place of an answer.
func (r *runs) wasEndless(began platformstandin.RunEvent) bool {
	return slices.ContainsFunc(r.ended, func(ended platformstandin.RunEvent) bool { return ended.Endless && ended.Endpoint == began.Endpoint })
}

// heldSlack is how long after its deadline a request may still be open. The platform allows this time.
const heldSlack = 500 * time.Millisecond

func checkHeld(r *Record) []Finding {
	var findings []Finding
	for _, a := range r.Attempts {
		if a.PlannedClose || a.Outcome != Abandoned {
			continue
		}
		if r.disrupted(a.Instance, a.Began, a.Ended, Freeze, Kill, LinkBroken) {
			continue
		}
		if held := a.Ended.Sub(a.Began); held > a.Timeout+heldSlack+r.lag(a.Began, a.Ended) {
			findings = append(findings, Finding{CheckHeld, a.ID, fmt.Sprintf("%s at %s had no end after %s", a.Path, a.Instance, held)})
		}
	}
	return findings
}

// checkDenied finds well-formed requests that were answered with a client error (4xx), outside the time in which the route of the
// request comes into force.
func checkDenied(r *Record) []Finding {
	var findings []Finding
	for _, a := range r.Attempts {
		clientError := a.Outcome == Failed && a.Status >= 400 && a.Status < 500
		if !clientError || a.Malformed || r.routeChanging(a) {
			continue
		}
		findings = append(findings, Finding{CheckDenied, a.ID, fmt.Sprintf("%d for %s at %s: %s", a.Status, a.Path, a.Instance, a.Cause)})
	}
	return findings
}

// routeChanging reports whether the attempt's route need not have been in force on all instances, because it was added or removed
// around the time of the attempt or because a disruption delayed the configuration.
func (r *Record) routeChanging(a Attempt) bool {
	for _, added := range r.Additions {
		if len(a.Path) < len(added.Prefix) || a.Path[:len(added.Prefix)] != added.Prefix {
			continue
		}
		if r.disrupted("", added.Acknowledged.Add(-contact), a.Ended, StoreFault) || r.disrupted(a.Instance, a.Began.Add(-contact), a.Ended, Freeze, StoreFault) {
			return true
		}
		inForce := added.Acknowledged.Add(r.Bounds.Apply + r.lag(added.Acknowledged, a.Ended))
		return a.Began.Before(inForce) || (!added.Removed.IsZero() && a.Ended.After(added.Removed))
	}
	return false
}

const (
	// hangupError is the error of a process that SIGHUP ended.
	hangupError = "signal: hangup"
	// signalSetupTime is the longest time that a program takes to install its signal handlers on a host that is not overloaded. Until
	// the program's own code runs, SIGHUP ends any process.
	signalSetupTime = 15 * time.Millisecond
)

func checkExit(r *Record) []Finding {
	var findings []Finding
	for _, e := range r.Exits {
		early := e.Error == hangupError && e.Lifetime < signalSetupTime+r.lag(e.At.Add(-e.Lifetime), e.At)
		if !e.Requested && !early {
			findings = append(findings, Finding{Check: CheckExit, Text: fmt.Sprintf("%s: %s", e.Instance, e.Error)})
		}
	}
	return findings
}

func checkGrace(r *Record) []Finding {
	var findings []Finding
	for _, e := range r.Exits {
		from := e.At.Add(-e.StopTime)
		if e.Requested && e.StopTime > r.Bounds.Grace+r.lag(from, e.At)+r.frozen(e.Instance, from, e.At) {
			findings = append(findings, Finding{Check: CheckGrace, Text: fmt.Sprintf("%s ended after %s", e.Instance, e.StopTime)})
		}
	}
	return findings
}

// frozen returns how long an instance was frozen by the freezes that overlap a span. A frozen instance cannot end.
func (r *Record) frozen(instance string, from, to time.Time) time.Duration {
	var sum time.Duration
	for _, d := range r.Disruptions {
		if d.Fault == Freeze && d.Target == instance && d.overlaps(from, to) {
			sum += d.To.Sub(d.From)
		}
	}
	return sum
}

// checkBudget finds windows, of the length of the retry budget's window, in which more retries began than the budget allows. Every
// begun run of a request but the first is a retry.
func checkBudget(r *Record) []Finding {
	if r.Bounds.BudgetWindow == 0 {
		return nil
	}
	sent, repeated := make(map[int64]int), make(map[int64]int)
	window := func(at time.Time) int64 { return at.UnixNano() / int64(r.Bounds.BudgetWindow) }
	for _, a := range r.Attempts {
		sent[window(a.Began)]++
	}
	for _, run := range r.runsByRequest() {
		for _, again := range run.began[min(1, len(run.began)):] {
			repeated[window(again.At)]++
		}
	}
	var findings []Finding
	for at, count := range repeated {
		allowed := r.Bounds.RetryRatio*float64(max(sent[at], sent[at-1])) + float64(r.Bounds.RetryExtra)
		if float64(count) > allowed {
			findings = append(findings, Finding{Check: CheckBudget, Text: fmt.Sprintf("%d retries in one window, allowed %.0f", count, allowed)})
		}
	}
	return findings
}

// CountCutStreams returns the number of resumable streams that ended early although their callers were still reading. Where the endpoint of
// such a stream is alive, the loss is avoidable.
func CountCutStreams(r *Record) int {
	count := 0
	byRequest := r.runsByRequest()
	for _, a := range r.Attempts {
		if a.Kind == Resumable && a.Outcome == Closed && byRequest[a.ID] != nil && !r.disrupted(a.Instance, a.Began, a.Ended, Kill, Stop) {
			count++
		}
	}
	return count
}

// checkLeak finds instances that still hold connections that their callers have closed.
func checkLeak(r *Record) []Finding {
	var findings []Finding
	for _, u := range r.Usages {
		if u.CallerSockets > 0 {
			findings = append(findings, Finding{Check: CheckLeak, Text: fmt.Sprintf("%s holds %d", u.Instance, u.CallerSockets)})
		}
	}
	return findings
}

// NotRun holds the numbers of requests that did not run and whose connection closed without an answer: of all of them, of those about
// the idle limit and of those during a stop.
type NotRun struct {
	All, Idle, Stop int
}

// CountNotRun counts the requests that did not run and whose connection closed without an answer. Requests that were sent after the close
// of the connection had arrived at the caller are left out, and so are malformed requests.
func CountNotRun(r *Record) NotRun {
	var count NotRun
	byRequest := r.runsByRequest()
	for _, a := range r.Attempts {
		if a.Outcome != Closed || byRequest[a.ID] != nil || a.ClosedBefore || a.Malformed {
			continue
		}
		count.All++
		switch {
		case r.disrupted(a.Instance, a.Began.Add(-noticeSlack), a.Ended.Add(noticeSlack), Stop):
			count.Stop++
		case a.Use > 0 && a.IdleTime >= r.Bounds.IdleLimit-idleCrossing:
			count.Idle++
		}
	}
	return count
}
