// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/entry/admission"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/quarantine"
)

// recentCrashAge is the age up to which a crash that another instance reports keeps requests away from the endpoint. After
// that time the store has removed the endpoint's entry.
const recentCrashAge = 5 * time.Second

// RecordCrash records that the endpoint of an exchange ended while it had the request. The end of an endpoint that was
// draining, or that is known to be gone, was planned and is no evidence against the request.
func (c *Coordinator) RecordCrash(request *deployment.Request, assignment Assignment) {
	c.loop.Post(func(now time.Time) {
		status := c.directory.Endpoint(assignment.Endpoint.ID)
		if status == nil || status.State == deployment.Draining {
			return
		}
		c.crashes.RecordCrash(now, request.Fingerprint, string(assignment.Endpoint.ID))
		for _, part := range request.Parts {
			c.parts.RecordCrash(now, part, string(assignment.Endpoint.ID))
		}
		// The other instances may be about to send the same request.
		c.publishCrashes(now)
	})
}

// RecordUnanswered records that an exchange ended without a complete response while its endpoint kept running, as far
// as this instance can see. The endpoint may still run the request and crash because of it, or begin it on a former version.
func (c *Coordinator) RecordUnanswered(request *deployment.Request, assignment Assignment) {
	c.loop.Post(func(now time.Time) {
		c.pendingStarts.Abandon(assignment.Recall, request.Deadline)
		c.crashes.RecordUnanswered(now, request.Fingerprint, string(assignment.Endpoint.ID))
		for _, part := range request.Parts {
			c.parts.RecordUnanswered(now, part, string(assignment.Endpoint.ID))
		}
		c.publishCrashes(now)
	})
}

// RecordAnswered records that a request got a complete response, so that neither it nor any part of its prompt crashes endpoints. The other
// instances may hold them back until they know.
func (c *Coordinator) RecordAnswered(request *deployment.Request) {
	c.loop.Post(func(now time.Time) {
		c.crashes.RecordAnswered(now, request.Fingerprint)
		for _, part := range request.Parts {
			c.parts.RecordAnswered(now, part)
		}
		c.publishCrashes(now)
	})
}

// mergeCrashes merges the crashes and the claims of trials that another instance reported. If publish is true, they are published to the
// members too.
func (c *Coordinator) mergeCrashes(now time.Time, reported []wire.Crash, details *wire.CrashDetails, publish bool) {
	if len(reported) == 0 && details == nil {
		return
	}
	for _, crash := range reported {
		if crash.Age < recentCrashAge && !c.crashes.HasEnded(string(crash.Endpoint)) {
			c.directory.MarkEnded(now, crash.Endpoint)
		}
	}
	c.crashes.Merge(now, tableCrashes(reported, details), publish)
}

// tableCrashes converts the crashes and claims of a message to crash records.
func tableCrashes(reported []wire.Crash, details *wire.CrashDetails) []quarantine.Crash {
	if details == nil {
		details = &wire.CrashDetails{}
	}
	answeredBefore := make(map[wire.CrashID]bool, len(details.AnsweredBefore))
	for _, id := range details.AnsweredBefore {
		answeredBefore[id] = true
	}
	crashes := make([]quarantine.Crash, 0, len(reported)+len(details.Claims))
	for _, crash := range reported {
		crashes = append(crashes, quarantine.Crash{
			Request: crash.Request, Endpoint: string(crash.Endpoint), Age: crash.Age, Answered: crash.Answered,
			AnsweredBefore: answeredBefore[wire.CrashID{Request: crash.Request, Endpoint: crash.Endpoint}],
		})
	}
	for _, claim := range details.Claims {
		crashes = append(crashes, quarantine.Crash{Request: claim.Request, Ticket: claim.Ticket, Age: claim.Age})
	}
	return crashes
}

// reviewCrashes removes old crash records, and logs the requests that were quarantined or released since the last review.
func (c *Coordinator) reviewCrashes(now time.Time) {
	c.crashes.Sweep(now)
	held := c.crashes.AllHeld(now)
	for request, hold := range heldAnew(held, c.quarantined) {
		c.options.Log.WithFields(logrus.Fields{
			"fingerprint": request.String(), "endpoints": hold.Endpoints, "held_ms": hold.Remaining.Milliseconds(),
		}).Warn("a request was quarantined, since endpoints ended while it was in flight at them")
	}
	for request := range heldAnew(c.quarantined, held) {
		c.options.Log.WithField("fingerprint", request.String()).Info("a request is no longer quarantined")
	}
	c.quarantined = held
	c.reviewPartCrashes(now)
}

// reviewPartCrashes does the same for parts of prompts.
func (c *Coordinator) reviewPartCrashes(now time.Time) {
	c.parts.Sweep(now)
	held := c.parts.AllHeld(now)
	for part, hold := range heldAnew(held, c.quarantinedParts) {
		c.options.Log.WithFields(logrus.Fields{
			"fingerprint": part.String(), "endpoints": hold.Endpoints, "held_ms": hold.Remaining.Milliseconds(),
		}).Warn("a part of prompts was quarantined, since endpoints ended while requests with it were in flight at them")
	}
	for part := range heldAnew(c.quarantinedParts, held) {
		c.options.Log.WithField("fingerprint", part.String()).Info("a part of prompts is no longer quarantined")
	}
	c.quarantinedParts = held
}

// heldAnew returns the holds that are in one set and not in another one.
func heldAnew(held, former map[fingerprint.Fingerprint]quarantine.Hold) map[fingerprint.Fingerprint]quarantine.Hold {
	anew := maps.Clone(held)
	maps.DeleteFunc(anew, func(key fingerprint.Fingerprint, _ quarantine.Hold) bool {
		_, known := former[key]
		return known
	})
	return anew
}

// publishCrashes sends unpublished crashes to the other instances, in a report or, at the planner, in a view.
func (c *Coordinator) publishCrashes(now time.Time) {
	if !c.hasUnsentCrashes() {
		return
	}
	if c.planner != nil {
		c.plan(now)
		return
	}
	c.requestReport(now)
}

// hasUnsentCrashes reports whether there are crashes that the other instances have not been told of.
func (c *Coordinator) hasUnsentCrashes() bool {
	return c.crashes.HasUnsent() || c.parts.HasUnsent()
}

// crashesToReport returns the crashes of a table for the next report. It returns none at the planner, which publishes them in views.
// Without a link to the planner no report is built, so the crashes are kept for a later one.
func (c *Coordinator) crashesToReport(now time.Time, table *quarantine.Table) ([]wire.Crash, *wire.CrashDetails) {
	switch {
	case c.planner != nil:
		return nil, nil
	case c.follower.ratesDue:
		return wireCrashes(table.OwnRecords(now))
	default:
		return wireCrashes(table.TakeUnsent(now))
	}
}

// wireCrashes converts crash records to messages. The details are nil if there are none.
func wireCrashes(crashes []quarantine.Crash) ([]wire.Crash, *wire.CrashDetails) {
	messages, details := make([]wire.Crash, 0, len(crashes)), wire.CrashDetails{}
	for _, crash := range crashes {
		if crash.Ticket != 0 {
			details.Claims = append(details.Claims, wire.TrialClaim{Request: crash.Request, Ticket: crash.Ticket, Age: crash.Age})
			continue
		}
		endpoint := deployment.EndpointID(crash.Endpoint)
		messages = append(messages, wire.Crash{Request: crash.Request, Endpoint: endpoint, Age: crash.Age, Answered: crash.Answered})
		if crash.AnsweredBefore {
			details.AnsweredBefore = append(details.AnsweredBefore, wire.CrashID{Request: crash.Request, Endpoint: endpoint})
		}
	}
	if len(details.Claims) == 0 && len(details.AnsweredBefore) == 0 {
		return messages, nil
	}
	return messages, &details
}

// quarantineRefusal returns the result for a request that is quarantined.
func quarantineRefusal(hold quarantine.Hold) acquireResult {
	return acquireResult{err: &Refusal{Reason: admission.Quarantined, RetryAfter: hold.Remaining}}
}

// admitSuspect decides whether a request may be sent as far as the endpoints that ended under it are concerned. If it returns false, the
// request was refused or waits in c.suspects for the decision. It may claim a trial of the request, which the caller must publish; a plan
// calls this function and must not call itself.
func (c *Coordinator) admitSuspect(now time.Time, w *waiter) bool {
	if !c.admitParts(now, w) {
		return false
	}
	if w.Trial {
		return !c.refuseHeld(now, w)
	}
	hold, held := c.crashes.Admit(now, w.Fingerprint)
	if !held {
		w.Trial = hold.Trial
		return true
	}
	c.holdBack(now, w, hold)
	return false
}

// admitParts decides the same by the parts of the request's prompt. A part is tried only by a request without a part that is held.
func (c *Coordinator) admitParts(now time.Time, w *waiter) bool {
	for _, part := range w.Parts {
		if hold, held := c.parts.Held(now, part); held {
			w.Result <- quarantineRefusal(hold)
			return false
		}
	}
	for _, part := range w.Parts {
		if w.PartTrial {
			return true
		}
		hold, held := c.parts.AdmitPart(now, part)
		if held {
			c.holdBack(now, w, hold)
			return false
		}
		w.PartTrial = hold.Trial
	}
	return true
}

// holdBack refuses a request, or lets it wait in c.suspects for the decision.
func (c *Coordinator) holdBack(now time.Time, w *waiter, hold quarantine.Hold) {
	if !hold.Pending {
		w.Result <- quarantineRefusal(hold)
		return
	}
	decision := admission.Decide(now, admission.Situation{
		Route: w.Route, Arrived: w.Arrived, Deadline: w.Deadline, Suspected: true, SendableAt: now.Add(hold.Remaining),
	})
	if decision.Wait {
		c.suspects.Add(w)
		return
	}
	w.Result <- acquireResult{err: &Refusal{Reason: decision.Reason, RetryAfter: max(hold.Remaining, decision.RetryAfter)}}
}

// reviewSuspects decides on the requests that wait because endpoints ended under them.
func (c *Coordinator) reviewSuspects(now time.Time) {
	if c.suspects.Len() == 0 {
		return
	}
	for _, w := range c.suspects.TakeAll() {
		c.admit(now, w)
	}
}

// refuseHeld refuses a waiting request that has been quarantined since it began to wait, and reports whether it
// did.
func (c *Coordinator) refuseHeld(now time.Time, w *waiter) bool {
	hold, held := c.crashes.Held(now, w.Fingerprint)
	if held {
		w.Result <- quarantineRefusal(hold)
	}
	return held
}

// QuarantinedRequests returns the requests that are quarantined; QuarantinedParts the parts of prompts.
func (c *Coordinator) QuarantinedRequests() map[fingerprint.Fingerprint]quarantine.Hold {
	var holding map[fingerprint.Fingerprint]quarantine.Hold
	c.loop.Call(func(now time.Time) { holding = c.crashes.AllHeld(now) })
	return holding
}

// QuarantinedParts returns the parts of prompts that are quarantined.
func (c *Coordinator) QuarantinedParts() map[fingerprint.Fingerprint]quarantine.Hold {
	var holding map[fingerprint.Fingerprint]quarantine.Hold
	c.loop.Call(func(now time.Time) { holding = c.parts.AllHeld(now) })
	return holding
}

// ReleaseRequest releases a quarantined request or part of prompts, here and at all other instances. It returns false if
// no crash of either is known.
func (c *Coordinator) ReleaseRequest(request fingerprint.Fingerprint) bool {
	released := false
	c.loop.Call(func(now time.Time) {
		released = c.crashes.Release(now, request) || c.parts.Release(now, request)
		c.publishCrashes(now)
	})
	return released
}
