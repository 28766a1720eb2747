// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ledger

import (
	"fmt"
	"slices"
	"strings"
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
)

// Checks holds the checks of a record by name.
var Checks = map[string]func(*Record) []Finding{
	CheckLost: checkLost, CheckUnexplained: checkUnexplained, CheckNotRun: checkNotRun, CheckOnce: checkOnce, CheckWhole: checkWhole,
	CheckHeld: checkHeld, CheckDenied: checkDenied, CheckDeparted: checkDeparted, CheckVersion: checkVersion, CheckPlaces: checkPlaces,
	CheckExit: checkExit, CheckGrace: checkGrace, CheckBudget: checkBudget, CheckLeak: checkLeak,
	CheckCrashing: checkCrashing, CheckHeldBack: checkHeldBack, CheckLimit: checkLimit, CheckLeaving: checkLeaving, CheckRest: checkRest,
	CheckEndpoint: checkEndpoint,
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

const (
	// deadlineSlack is how long before its deadline a request may end and still count as ended by the deadline. noticeSlack is how long
	// the effect of a disruption may precede the time that the soak recorded for the disruption.
	deadlineSlack = 150 * time.Millisecond
	noticeSlack   = 50 * time.Millisecond
	// idleCrossing is how long before the idle limit a request may be sent and still cross with the close of its idle connection.
	idleCrossing = 100 * time.Millisecond
	// lateStop is how long after the stop signal a request may be sent and still be cut off at the end of the grace. The platform
	// allows this time.
	lateStop = 3 * time.Second
)

// checkLost finds requests that ran and whose connection ended without a whole answer, although none of caller, endpoint and deadline
// ended the request and no process on its path was killed.
func checkLost(r *Record) []Finding {
	var findings []Finding
	byRequest := r.runsByRequest()
	for _, a := range r.Attempts {
		run := byRequest[a.ID]
		if a.Outcome != Closed || run == nil || r.lossExcused(a, run) {
			continue
		}
		findings = append(findings, Finding{CheckLost, a.ID, fmt.Sprintf("%s %s at %s ran at %s and its connection closed: %s",
			a.Kind, a.Path, a.Instance, run.began[0].Endpoint, a.Cause)})
	}
	return findings
}

func (r *Record) lossExcused(a Attempt, run *runs) bool {
	from := a.Began.Add(-noticeSlack)
	switch {
	case r.disrupted(a.Instance, from, a.Ended, Kill, LinkBroken):
		return true
	case a.Ended.Sub(a.Began) >= a.Timeout-deadlineSlack:
		return true
	case r.cutByGrace(a, run), r.routeTimedOut(a):
		return true
	}
	return r.endpointBroke(a, run)
}

// routeTimedOut reports whether the request lasted as long as a time-out of its route that may have been in force when the request was
// sent.
func (r *Record) routeTimedOut(a Attempt) bool {
	for i, limit := range r.Limits {
		if !slices.ContainsFunc(limit.Prefixes, func(prefix string) bool { return strings.HasPrefix(a.Path, prefix) }) {
			continue
		}
		over := i+1 < len(r.Limits) && a.Began.After(r.Limits[i+1].Acknowledged.Add(r.Bounds.Apply+r.lag(r.Limits[i+1].Acknowledged, a.Began)))
		if !over && !a.Sent.Before(limit.Sent) && a.Ended.Sub(a.Began) >= limit.Timeout-deadlineSlack {
			return true
		}
	}
	return false
}

// cutByGrace reports whether a stopping instance cut the request off at the end of its grace. The end of the run at the endpoint counts
// if it is earlier than the end that the caller observed, because a caller that reads slowly observes the end later.
func (r *Record) cutByGrace(a Attempt, run *runs) bool {
	ended := a.Ended
	if last := run.canceled(); !last.IsZero() && last.Before(ended) {
		ended = last
	}
	return slices.ContainsFunc(r.Disruptions, func(d Disruption) bool {
		return d.Fault == Stop && d.Target == a.Instance && a.Sent.Before(r.stopReceived(d).Add(lateStop)) &&
			!ended.Before(d.From.Add(r.Bounds.Grace-r.Bounds.GraceMargin-noticeSlack)) && !ended.After(d.To.Add(time.Second))
	})
}

// stopReceived returns when an instance received a stop signal. An instance that was frozen when the signal was sent receives it when the
// freeze ends.
func (r *Record) stopReceived(stop Disruption) time.Time {
	received := stop.From
	for again := true; again; {
		again = false
		for _, d := range r.Disruptions {
			if d.Fault == Freeze && d.Target == stop.Target && !d.From.After(received) && d.To.After(received) {
				received, again = d.To, true
			}
		}
	}
	return received
}

// endpointBroke reports whether an endpoint of the request broke off the run, or was itself disrupted during the request.
func (r *Record) endpointBroke(a Attempt, run *runs) bool {
	for _, ended := range run.ended {
		if ended.Phase == platformstandin.RunFailed {
			return true
		}
	}
	for _, began := range run.began {
		if r.disrupted(began.Endpoint, a.Began.Add(-noticeSlack), a.Ended, EndpointEnds, LinkBroken) {
			return true
		}
	}
	return false
}

// checkUnexplained finds requests that did not run and whose connection closed without a known reason. Known reasons are a stop, a kill
// or a broken link, the idle limit, the deadline, and a close that the caller could have detected before it sent the request.
func checkUnexplained(r *Record) []Finding {
	var findings []Finding
	byRequest := r.runsByRequest()
	for _, a := range r.Attempts {
		if a.Outcome != Closed || byRequest[a.ID] != nil || a.ClosedBefore || a.Malformed {
			continue
		}
		if r.disrupted(a.Instance, a.Began.Add(-noticeSlack), a.Ended.Add(noticeSlack), Kill, LinkBroken) || r.crossedStop(a) {
			continue
		}
		if a.Use > 0 && a.IdleTime >= r.Bounds.IdleLimit-idleCrossing {
			continue
		}
		if a.Ended.Sub(a.Began) >= a.Timeout-deadlineSlack {
			continue
		}
		findings = append(findings, Finding{CheckUnexplained, a.ID, fmt.Sprintf("%s at %s, use %d after %s of rest: %s", a.Path, a.Instance, a.Use, a.IdleTime, a.Cause)})
	}
	return findings
}

// stopCrossing is how long after a request was sent a stopping instance may close the connection without an answer. A request on a
// connection that stays open longer was accepted, and the instance has to answer it.
const stopCrossing = time.Second

// crossedStop reports whether a request crossed with the close of its connection by a stopping instance.
func (r *Record) crossedStop(a Attempt) bool {
	held := a.Ended.Sub(a.Sent) - r.frozen(a.Instance, a.Sent, a.Ended) - r.lag(a.Sent, a.Ended)
	return held < stopCrossing && r.disrupted(a.Instance, a.Began.Add(-noticeSlack), a.Ended.Add(noticeSlack), Stop)
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

func checkWhole(r *Record) []Finding {
	var findings []Finding
	for _, a := range r.Attempts {
		if a.Defect != "" {
			findings = append(findings, Finding{CheckWhole, a.ID, fmt.Sprintf("%d from %s: %s", a.Status, a.Instance, a.Defect)})
		}
	}
	return findings
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

// contact is how long the store and an instance must have been undisrupted before an acknowledgement for a bound from that
// acknowledgement to hold. The platform uses the same time.
const contact = 3 * time.Second

// boundHolds reports whether a bound from an acknowledgement holds for a run: neither the store nor the instance that sent the run was
// disrupted between contact before the acknowledgement and the run.
func (r *Record) boundHolds(event platformstandin.RunEvent, acknowledged time.Time) bool {
	if r.disrupted("", acknowledged.Add(-contact), event.At, StoreFault) {
		return false
	}
	for _, a := range r.Attempts {
		if a.ID == event.ID {
			return !r.disrupted(a.Instance, acknowledged.Add(-contact), event.At, Freeze, StoreFault)
		}
	}
	return true
}

func checkDeparted(r *Record) []Finding {
	var findings []Finding
	for _, left := range r.Departures {
		for _, event := range r.Runs {
			if event.Phase != platformstandin.RunBegan || event.Endpoint != left.Endpoint {
				continue
			}
			if late := event.At.Sub(left.Acknowledged); late > r.Bounds.Drain+r.lag(left.Acknowledged, event.At) && r.boundHolds(event, left.Acknowledged) {
				findings = append(findings, Finding{CheckDeparted, event.ID, fmt.Sprintf("%s began it %s after it had said that it leaves", event.Endpoint, late)})
			}
		}
	}
	return findings
}

func checkVersion(r *Record) []Finding {
	var findings []Finding
	for _, named := range r.Namings {
		for _, event := range r.Runs {
			if event.Phase != platformstandin.RunBegan || event.Adapter != named.Adapter || event.Version >= named.Version {
				continue
			}
			if late := event.At.Sub(named.Acknowledged); late > r.Bounds.Version+r.lag(named.Acknowledged, event.At) && r.boundHolds(event, named.Acknowledged) {
				findings = append(findings, Finding{CheckVersion, event.ID, fmt.Sprintf("%s began %s@%d %s after version %d was named",
					event.Endpoint, event.Adapter, event.Version, late, named.Version)})
			}
		}
	}
	return findings
}

func checkEndpoint(r *Record) []Finding {
	var findings []Finding
	for _, text := range r.EndpointViolations {
		findings = append(findings, Finding{Check: CheckEndpoint, Text: text})
	}
	return findings
}

func checkPlaces(r *Record) []Finding {
	if r.Overfull == 0 {
		return nil
	}
	return []Finding{{Check: CheckPlaces, Text: fmt.Sprintf("%d orders", r.Overfull)}}
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
