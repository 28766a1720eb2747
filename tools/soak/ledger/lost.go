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
