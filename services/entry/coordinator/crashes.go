// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/fingerprint"
	"github.com/shelfledge/shelfledge/services/entry/admission"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/quarantine"
)

// recentCrash is up to which age a crash that another instance tells of keeps requests from the endpoint: the store has taken its entry out
// after that.
const recentCrash = 5 * time.Second

// Crashed notes that the endpoint of an exchange has ended while it had the request. The end of an endpoint that was leaving, or is known
// to be gone, was planned and tells nothing of the request.
func (c *Coordinator) Crashed(request *deployment.Request, assignment Assignment) {
	c.loop.Post(func(now time.Time) {
		status := c.directory.Endpoint(assignment.Endpoint.ID)
		if status == nil || status.State == deployment.Draining {
			return
		}
		c.crashes.Crashed(now, request.Fingerprint, string(assignment.Endpoint.ID))
		c.suspects.Store(int64(c.crashes.Size()))
		// The others may be about to send the same request.
		c.tellCrashesSoon(now)
	})
}

// Unanswered notes that an exchange ended without a whole answer while its endpoint went on, as far as was seen. The endpoint may run the
// request all the same, and end under it.
func (c *Coordinator) Unanswered(request *deployment.Request, assignment Assignment) {
	c.loop.Post(func(now time.Time) {
		c.crashes.Unanswered(now, request.Fingerprint, string(assignment.Endpoint.ID))
		c.suspects.Store(int64(c.crashes.Size()))
		c.tellCrashesSoon(now)
	})
}

// Answered notes that a request got a whole answer, so that it crashes no endpoint.
func (c *Coordinator) Answered(request *deployment.Request) {
	if c.suspects.Load() == 0 {
		return
	}
	c.loop.Post(func(now time.Time) {
		c.crashes.Answered(now, request.Fingerprint)
	})
}

// takeCrashes takes in what another instance tells of crashes; tell says that the members must hear of it.
func (c *Coordinator) takeCrashes(now time.Time, told []wire.Crash, tell bool) {
	if len(told) == 0 {
		return
	}
	crashes := make([]quarantine.Crash, 0, len(told))
	for _, one := range told {
		if one.Age < recentCrash && !c.crashes.HasEnded(string(one.Endpoint)) {
			c.directory.MarkEnded(now, one.Endpoint)
		}
		crashes = append(crashes, quarantine.Crash{Request: one.Request, Endpoint: string(one.Endpoint), Age: one.Age, Answered: one.Answered})
	}
	c.crashes.Merge(now, crashes, tell)
	c.suspects.Store(int64(c.crashes.Size()))
}

// reviewCrashes forgets old crashes, and logs which requests are held back, or let go, since the last time.
func (c *Coordinator) reviewCrashes(now time.Time) {
	c.crashes.Sweep(now)
	c.suspects.Store(int64(c.crashes.Size()))
	holding := c.crashes.AllHeld(now)
	for request, hold := range holding {
		if _, known := c.holding[request]; !known {
			c.options.Log.WithFields(logrus.Fields{
				"fingerprint": request.String(), "endpoints": hold.Endpoints, "held_ms": hold.Remaining.Milliseconds(),
			}).Warn("a request is held back, since endpoints ended while they had it")
		}
	}
	for request := range c.holding {
		if _, held := holding[request]; !held {
			c.options.Log.WithField("fingerprint", request.String()).Info("a request is held back no more")
		}
	}
	c.holding = holding
}

// tellCrashesSoon asks for a report, or a view, that tells others of crashes.
func (c *Coordinator) tellCrashesSoon(now time.Time) {
	if !c.crashes.HasUnsent() {
		return
	}
	if c.planning != nil {
		c.plan(now)
		return
	}
	c.reportSoon(now)
}

// crashesToReport gives what the next report tells of crashes; without a link to the planner it is kept for the next one.
func (c *Coordinator) crashesToReport(now time.Time) []wire.Crash {
	switch {
	case c.planning != nil:
		return nil
	case c.following.ratesDue:
		return toldCrashes(c.crashes.OwnRecords(now))
	default:
		return toldCrashes(c.crashes.TakeUnsent(now))
	}
}

// toldCrashes gives records as messages tell them.
func toldCrashes(crashes []quarantine.Crash) []wire.Crash {
	told := make([]wire.Crash, 0, len(crashes))
	for _, one := range crashes {
		told = append(told, wire.Crash{Request: one.Request, Endpoint: deployment.EndpointID(one.Endpoint), Age: one.Age, Answered: one.Answered})
	}
	return told
}

// refusedByQuarantine is the answer to a request that is held back.
func refusedByQuarantine(hold quarantine.Hold) acquired {
	return acquired{err: &Refusal{Reason: admission.Quarantined, RetryAfter: hold.Remaining}}
}

// holdBack refuses a request that waits, if it is held back since.
func (c *Coordinator) holdBack(now time.Time, w *waiter) bool {
	hold, held := c.crashes.Held(now, w.Fingerprint)
	if held {
		w.Result <- refusedByQuarantine(hold)
	}
	return held
}

// HeldRequests gives the requests that are held back.
func (c *Coordinator) HeldRequests() map[fingerprint.Fingerprint]quarantine.Hold {
	var holding map[fingerprint.Fingerprint]quarantine.Hold
	c.loop.Call(func(now time.Time) { holding = c.crashes.AllHeld(now) })
	return holding
}

// ReleaseRequest lets a request go that is held back, here and at all instances; false where none is known.
func (c *Coordinator) ReleaseRequest(request fingerprint.Fingerprint) bool {
	released := false
	c.loop.Call(func(now time.Time) {
		released = c.crashes.Release(now, request)
		c.tellCrashesSoon(now)
	})
	return released
}
