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

// All are the checks of a record, by name.
var All = map[string]func(*Record) []Finding{
	CheckLost: checkLost, CheckUnexplained: checkUnexplained, CheckNotRun: checkNotRun, CheckOnce: checkOnce, CheckWhole: checkWhole,
	CheckHeld: checkHeld, CheckDenied: checkDenied, CheckDeparted: checkDeparted, CheckVersion: checkVersion, CheckPlaces: checkPlaces,
	CheckExit: checkExit, CheckGrace: checkGrace, CheckBudget: checkBudget, CheckLeak: checkLeak,
	CheckCrashing: checkCrashing, CheckHeldBack: checkHeldBack, CheckLimit: checkLimit, CheckLeaving: checkLeaving, CheckRest: checkRest,
	CheckEndpoint: checkEndpoint,
}

// Judge runs all checks; their order does not matter, that of the findings is by check.
func Judge(r *Record) []Finding {
	names := make([]string, 0, len(All))
	for name := range All {
		names = append(names, name)
	}
	slices.Sort(names)
	var findings []Finding
	for _, name := range names {
		findings = append(findings, All[name](r)...)
	}
	return findings
}

// runs gives the begun runs and their ends by request.
type runs struct {
	began []platformstandin.RunEvent
	ended []platformstandin.RunEvent
}

// canceled is when the last run ended that its instance ended; zero for none.
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

// lag is the allowance for a starved host within a span.
func (r *Record) lag(from, to time.Time) time.Duration {
	if r.Lag == nil {
		return 0
	}
	return r.Lag(from, to)
}

// struck reports whether a process had one of the troubles within a span.
func (r *Record) struck(target string, from, to time.Time, troubles ...Trouble) bool {
	return slices.ContainsFunc(r.Disruptions, func(d Disruption) bool {
		return d.Target == target && slices.Contains(troubles, d.Trouble) && d.overlaps(from, to)
	})
}

const (
	// deadlineSlack is how long before its deadline the end of a request still counts as the deadline's, and noticeSlack how long before
	// the soak noted a kill its effect may be seen.
	deadlineSlack = 150 * time.Millisecond
	noticeSlack   = 50 * time.Millisecond
	// crossing is how near to the idle limit a request and the close of its connection may cross.
	crossing = 100 * time.Millisecond
	// lateStop is how long after the signal of a stop a request may be sent and still be cut off at the end of the grace: the
	// platform's own allowance.
	lateStop = 3 * time.Second
)

// checkLost finds requests that ran and whose connection ended without a whole answer, though neither caller, endpoint nor deadline
// ended them and no process on their way was killed.
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
	case r.struck(a.Instance, from, a.Ended, Kill, LinkBroken):
		return true
	case a.Ended.Sub(a.Began) >= a.Patience-deadlineSlack:
		return true
	case r.cutByGrace(a, run), r.routeTimedOut(a):
		return true
	}
	return r.endpointBroke(a, run)
}

// routeTimedOut reports whether the request lasted for a time-out of its route that may have been in force when it was sent.
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

// cutByGrace reports whether an instance that stopped cut the request off at the end of its grace. A caller that reads slowly sees the end
// later than its endpoint.
func (r *Record) cutByGrace(a Attempt, run *runs) bool {
	ended := a.Ended
	if last := run.canceled(); !last.IsZero() && last.Before(ended) {
		ended = last
	}
	return slices.ContainsFunc(r.Disruptions, func(d Disruption) bool {
		return d.Trouble == Stop && d.Target == a.Instance && a.Sent.Before(r.signalTaken(d).Add(lateStop)) &&
			!ended.Before(d.From.Add(r.Bounds.Grace-r.Bounds.GraceMargin-noticeSlack)) && !ended.After(d.To.Add(time.Second))
	})
}

// signalTaken is when an instance learnt that it was to stop: one that stood still when the signal was sent learns it once it goes on.
func (r *Record) signalTaken(stop Disruption) time.Time {
	taken := stop.From
	for again := true; again; {
		again = false
		for _, d := range r.Disruptions {
			if d.Trouble == Freeze && d.Target == stop.Target && !d.From.After(taken) && d.To.After(taken) {
				taken, again = d.To, true
			}
		}
	}
	return taken
}

// endpointBroke reports whether an endpoint of the request ended its run by itself, or was ended.
func (r *Record) endpointBroke(a Attempt, run *runs) bool {
	for _, ended := range run.ended {
		if ended.Phase == platformstandin.RunFailed {
			return true
		}
	}
	for _, began := range run.began {
		if r.struck(began.Endpoint, a.Began.Add(-noticeSlack), a.Ended, EndpointEnds, LinkBroken) {
			return true
		}
	}
	return false
}

// checkUnexplained finds requests that did not run and whose connection closed though nothing was at hand that closes connections: no
// stop, kill or broken link, not the idle limit, and no end that the caller could have seen before it sent.
func checkUnexplained(r *Record) []Finding {
	var findings []Finding
	byRequest := r.runsByRequest()
	for _, a := range r.Attempts {
		if a.Outcome != Closed || byRequest[a.ID] != nil || a.ClosedBefore || a.Malformed {
			continue
		}
		if r.struck(a.Instance, a.Began.Add(-noticeSlack), a.Ended.Add(noticeSlack), Kill, LinkBroken) || r.crossedStop(a) {
			continue
		}
		if a.Use > 0 && a.Rested >= r.Bounds.IdleLimit-crossing {
			continue
		}
		if a.Ended.Sub(a.Began) >= a.Patience-deadlineSlack {
			continue
		}
		findings = append(findings, Finding{CheckUnexplained, a.ID, fmt.Sprintf("%s at %s, use %d after %s of rest: %s", a.Path, a.Instance, a.Use, a.Rested, a.Cause)})
	}
	return findings
}

// stopCrossing is how soon after it was sent a request's connection may close that an instance closes because it stops. One that is open
// longer was taken, and is told of the end.
const stopCrossing = time.Second

// crossedStop reports whether a request crossed with the close of its connection by an instance that stops.
func (r *Record) crossedStop(a Attempt) bool {
	held := a.Ended.Sub(a.Sent) - r.frozen(a.Instance, a.Sent, a.Ended) - r.lag(a.Sent, a.Ended)
	return held < stopCrossing && r.struck(a.Instance, a.Began.Add(-noticeSlack), a.Ended.Add(noticeSlack), Stop)
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
		if a.Wrong != "" {
			findings = append(findings, Finding{CheckWhole, a.ID, fmt.Sprintf("%d from %s: %s", a.Status, a.Instance, a.Wrong)})
		}
	}
	return findings
}

// heldSlack is how long after its deadline a request may still be without an end, as the platform allows.
const heldSlack = 500 * time.Millisecond

func checkHeld(r *Record) []Finding {
	var findings []Finding
	for _, a := range r.Attempts {
		if a.OnPlan || a.Outcome != Left {
			continue
		}
		if r.struck(a.Instance, a.Began, a.Ended, Freeze, Kill, LinkBroken) {
			continue
		}
		if held := a.Ended.Sub(a.Began); held > a.Patience+heldSlack+r.lag(a.Began, a.Ended) {
			findings = append(findings, Finding{CheckHeld, a.ID, fmt.Sprintf("%s at %s had no end after %s", a.Path, a.Instance, held)})
		}
	}
	return findings
}

// checkDenied finds statuses that say that a proper request is none, outside the time in which its route comes into force.
func checkDenied(r *Record) []Finding {
	var findings []Finding
	for _, a := range r.Attempts {
		own := a.Outcome == Failed && a.Status >= 400 && a.Status < 500
		if !own || a.Malformed || r.routeComes(a) {
			continue
		}
		findings = append(findings, Finding{CheckDenied, a.ID, fmt.Sprintf("%d for %s at %s: %s", a.Status, a.Path, a.Instance, a.Cause)})
	}
	return findings
}

// routeComes reports whether the attempt's route was not yet, or no longer, to be in force everywhere.
func (r *Record) routeComes(a Attempt) bool {
	for _, added := range r.Additions {
		if len(a.Path) < len(added.Prefix) || a.Path[:len(added.Prefix)] != added.Prefix {
			continue
		}
		if r.struck("", added.Acknowledged.Add(-contact), a.Ended, StoreTroubled) || r.struck(a.Instance, a.Began.Add(-contact), a.Ended, Freeze, StoreTroubled) {
			return true
		}
		inForce := added.Acknowledged.Add(r.Bounds.Apply + r.lag(added.Acknowledged, a.Ended))
		return a.Began.Before(inForce) || (!added.Removed.IsZero() && a.Ended.After(added.Removed))
	}
	return false
}

// contact is for how long the store and an instance must have been without trouble before a bound from an acknowledgement holds: the
// platform's own.
const contact = 3 * time.Second

// inTouch reports whether a bound from an acknowledgement on holds for a run: neither the store nor the instance that sent it had
// trouble meanwhile.
func (r *Record) inTouch(event platformstandin.RunEvent, acknowledged time.Time) bool {
	if r.struck("", acknowledged.Add(-contact), event.At, StoreTroubled) {
		return false
	}
	for _, a := range r.Attempts {
		if a.ID == event.ID {
			return !r.struck(a.Instance, acknowledged.Add(-contact), event.At, Freeze, StoreTroubled)
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
			if late := event.At.Sub(left.Acknowledged); late > r.Bounds.Drain+r.lag(left.Acknowledged, event.At) && r.inTouch(event, left.Acknowledged) {
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
			if late := event.At.Sub(named.Acknowledged); late > r.Bounds.Version+r.lag(named.Acknowledged, event.At) && r.inTouch(event, named.Acknowledged) {
				findings = append(findings, Finding{CheckVersion, event.ID, fmt.Sprintf("%s began %s@%d %s after version %d was named",
					event.Endpoint, event.Adapter, event.Version, late, named.Version)})
			}
		}
	}
	return findings
}

func checkEndpoint(r *Record) []Finding {
	var findings []Finding
	for _, text := range r.Broken {
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
	// hungUp is how a process ends that SIGHUP ends.
	hungUp = "signal: hangup"
	// takesSignals is after what time a program takes signals at the latest, if its host is not starved: until its own code runs, SIGHUP
	// ends any process.
	takesSignals = 15 * time.Millisecond
)

func checkExit(r *Record) []Finding {
	var findings []Finding
	for _, e := range r.Exits {
		early := e.Error == hungUp && e.Lived < takesSignals+r.lag(e.At.Add(-e.Lived), e.At)
		if !e.Asked && !early {
			findings = append(findings, Finding{Check: CheckExit, Text: fmt.Sprintf("%s: %s", e.Instance, e.Error)})
		}
	}
	return findings
}

func checkGrace(r *Record) []Finding {
	var findings []Finding
	for _, e := range r.Exits {
		from := e.At.Add(-e.Took)
		if e.Asked && e.Took > r.Bounds.Grace+r.lag(from, e.At)+r.frozen(e.Instance, from, e.At) {
			findings = append(findings, Finding{Check: CheckGrace, Text: fmt.Sprintf("%s ended after %s", e.Instance, e.Took)})
		}
	}
	return findings
}

// frozen is for how long an instance stood still within a span: one that is frozen cannot end.
func (r *Record) frozen(instance string, from, to time.Time) time.Duration {
	var sum time.Duration
	for _, d := range r.Disruptions {
		if d.Trouble == Freeze && d.Target == instance && d.overlaps(from, to) {
			sum += d.To.Sub(d.From)
		}
	}
	return sum
}

// checkBudget counts, in windows of the budget's length, the begun runs beyond the first of each request.
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

// CutStreams counts streams that may be resumed and that ended in their middle though their callers still listened: more is lost than
// must be where their endpoint lives.
func CutStreams(r *Record) int {
	count := 0
	byRequest := r.runsByRequest()
	for _, a := range r.Attempts {
		if a.Kind == Resumable && a.Outcome == Closed && byRequest[a.ID] != nil && !r.struck(a.Instance, a.Began, a.Ended, Kill, Stop) {
			count++
		}
	}
	return count
}

// checkLeak finds instances that hold connections whose callers have closed them.
func checkLeak(r *Record) []Finding {
	var findings []Finding
	for _, u := range r.Usages {
		if u.CallerSockets > 0 {
			findings = append(findings, Finding{Check: CheckLeak, Text: fmt.Sprintf("%s holds %d", u.Instance, u.CallerSockets)})
		}
	}
	return findings
}

// Unrun counts requests that did not run and whose connection closed without an answer.
type Unrun struct {
	All, Idle, Stop int
}

// Unanswered counts them, those about the idle limit and those beside a stop each for itself. Callers that had been told before that
// their connection ended are left out.
func Unanswered(r *Record) Unrun {
	var count Unrun
	byRequest := r.runsByRequest()
	for _, a := range r.Attempts {
		if a.Outcome != Closed || byRequest[a.ID] != nil || a.ClosedBefore || a.Malformed {
			continue
		}
		count.All++
		switch {
		case r.struck(a.Instance, a.Began.Add(-noticeSlack), a.Ended.Add(noticeSlack), Stop):
			count.Stop++
		case a.Use > 0 && a.Rested >= r.Bounds.IdleLimit-crossing:
			count.Idle++
		}
	}
	return count
}
