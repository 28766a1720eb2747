// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

const (
	// defaultRetryAfter is the retry delay of a refused request if the waiting time cannot be estimated: no endpoint accepts requests, or none
	// has a known step time.
	defaultRetryAfter = 2 * time.Second
	// minRetryAfter is the minimum retry delay of a refused request, so that callers do not retry against a short queue again and again.
	minRetryAfter = time.Second
)

// Submit handles a new request: it is granted, queued or refused immediately.
func (p *Placer) Submit(now time.Time, r fleet.Request) []Effect {
	class := classByName(p.classes, r.Class)
	if r.Priority == 0 {
		r.Priority = class.Priority
	}
	if granted, ok := p.ticketByRequest[r.ID]; ok && granted.ticket.Entry == r.Entry && granted.request.Attempt == r.Attempt {
		// The grant is sent again, so its age counts from now.
		granted.grantedAt = now
		return []Effect{Grant{Request: r, Ticket: granted.ticket}}
	}
	if _, ok := p.queue.Find(r.ID); ok {
		return nil
	}
	if !r.Adapter.IsZero() {
		p.setBase(r.Adapter, r.Base)
	}
	if !r.Adapter.IsZero() && r.Attempt == 0 {
		p.arrivalRates.Add(now, r.Adapter, class.StallWeight)
	}
	if !class.Patient {
		p.lastInteractive = now
	}
	if refusal, refused := p.checkAdmission(now, r, class); refused {
		p.refuse(now, r, refusal)
		return p.takeEffects()
	}
	if !p.mustQueue(r, class) {
		if e := p.chooseEndpoint(now, r, class); e != nil {
			p.grant(now, e, r, now, 0)
			return p.takeEffects()
		}
	}
	p.queue.Push(now, r, class, p.options.GatherLimit)
	p.recordEvent(now, fleet.Event{Kind: fleet.EventQueued, Request: r.ID, Adapter: r.Adapter.String(), Cause: p.waitCause(r)})
	p.dispatchAdapter(now, r.Adapter)
	return p.takeEffects()
}

// mustQueue reports whether the request has to be queued: it is patient, or interactive requests already wait for its adapter.
func (p *Placer) mustQueue(r fleet.Request, class fleet.Class) bool {
	if class.Patient {
		return true
	}
	a, ok := p.queue.Adapter(r.Adapter)
	if !ok {
		return false
	}
	return a.HasInteractive()
}

// checkAdmission applies the queue limits of the class and the customer, and refuses requests that cannot be served. The second result is
// true if the request is refused.
func (p *Placer) checkAdmission(now time.Time, r fleet.Request, class fleet.Class) (fleet.Refusal, bool) {
	if r.Expired(now) {
		return fleet.Refusal{Reason: fleet.ReasonExpired}, true
	}
	if !p.anyEndpointServes(r) {
		return fleet.Refusal{Reason: fleet.ReasonNoEndpoint, RetryAfter: defaultRetryAfter}, true
	}
	waiting := p.queue.ClassTokens(class.Name)
	if waiting+r.Tokens() > class.MaxQueuedTokens && waiting > 0 {
		return fleet.Refusal{Reason: fleet.ReasonQueueFull, RetryAfter: p.retryAfter(waiting)}, true
	}
	own := p.queue.CustomerTokens(class.Name, r.Caller)
	if own > 0 && float64(own+r.Tokens()) > p.options.CustomerShare*float64(class.MaxQueuedTokens) {
		return fleet.Refusal{Reason: fleet.ReasonCustomerLimit, RetryAfter: p.retryAfter(own)}, true
	}
	if wait, refused := p.failures.Refuses(now, r.Adapter); refused && len(p.copies[r.Adapter]) == 0 {
		return fleet.Refusal{Reason: fleet.ReasonLoadFailing, RetryAfter: wait}, true
	}
	if !r.Deadline.IsZero() && now.Add(p.minStartDelay(r)).After(r.Deadline) {
		return fleet.Refusal{Reason: fleet.ReasonDeadline, RetryAfter: p.minStartDelay(r)}, true
	}
	return fleet.Refusal{}, false
}

func (p *Placer) anyEndpointServes(r fleet.Request) bool {
	for _, e := range p.endpoints {
		if e.spec.Serves(r.Base) && e.acceptsRequests() {
			return true
		}
	}
	return false
}

// minStartDelay returns a lower bound of the time until the request could start.
func (p *Placer) minStartDelay(r fleet.Request) time.Duration {
	if r.Adapter.IsZero() || len(p.copies[r.Adapter]) > 0 {
		return 0
	}
	for _, e := range p.endpoints {
		if e.spec.Serves(r.Base) && e.acceptsRequests() {
			return e.expectedLoadTime()
		}
	}
	return 0
}

// retryAfter estimates the time until the given number of queued tokens has been processed.
func (p *Placer) retryAfter(tokens int) time.Duration {
	perSecond := 0.0
	for _, e := range p.endpoints {
		if e.acceptsRequests() && e.spec.Step > 0 {
			perSecond += float64(e.spec.MaxBatch) / e.spec.Step.Seconds()
		}
	}
	if perSecond == 0 {
		return defaultRetryAfter
	}
	wait := time.Duration(float64(tokens) / perSecond * float64(time.Second))
	return max(minRetryAfter, wait)
}

// Withdraw removes a waiting request, for example because its caller has disconnected.
func (p *Placer) Withdraw(now time.Time, requestID string) []Effect {
	w, ok := p.queue.Find(requestID)
	if !ok {
		return nil
	}
	p.queue.Remove(w)
	p.bid.valid = false
	if _, still := p.queue.Adapter(w.Request.Adapter); !still {
		p.recordEvent(now, fleet.Event{Kind: fleet.EventLoadGivenUp, Adapter: w.Request.Adapter.String(), Cause: "nobody waits any more"})
	}
	return p.takeEffects()
}

// RefuseAll refuses all waiting requests, for a planned stop or after the pool was lost to another instance.
func (p *Placer) RefuseAll(now time.Time, reason fleet.Reason, retryAfter time.Duration) []Effect {
	for _, w := range p.queue.InArrivalOrder() {
		p.queue.Remove(w)
		p.refuse(now, w.Request, fleet.Refusal{Reason: reason, RetryAfter: retryAfter})
	}
	return p.takeEffects()
}

func (p *Placer) refuse(now time.Time, r fleet.Request, refusal fleet.Refusal) {
	refusal.RequestID = r.ID
	p.effects = append(p.effects, Refuse{Request: r, Refusal: refusal})
	p.recordEvent(now, fleet.Event{Kind: fleet.EventRefused, Request: r.ID, Adapter: r.Adapter.String(), Cause: string(refusal.Reason)})
}
