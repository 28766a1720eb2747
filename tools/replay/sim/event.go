// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"fmt"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

func (w *world) applyEvent(l Line) {
	now, until := w.now, start.Add(milliseconds(l.UntilMS))
	switch l.Event {
	case EndpointRestart:
		w.restartEndpoint(now, w.engines[l.Endpoint])
	case EndpointLeaving:
		w.engines[l.Endpoint].leavingAt = now
		w.policy.endpointLeaving(now, w.engines[l.Endpoint])
	case LoadFails:
		w.engines[l.Endpoint].failNext += l.Count
	case StoreRate:
		w.setRate(now, l.Rate)
		w.agenda.Add(until, func(now time.Time) { w.setRate(now, w.fleet.WeightStore.LoadsPerSecond) })
	case HallCut:
		w.cut(now, l.Hall, true)
		w.agenda.Add(until, func(now time.Time) { w.cut(now, l.Hall, false) })
	case KVDown:
		w.policy.kvUnavailable(now, until)
	case InstanceLost:
		w.removeInstance(now, l.Instance)
	default:
		panic(fmt.Sprintf("trace event %q is not handled", l.Event))
	}
}

// cut cuts a hall off from the other halls, or ends the cut.
func (w *world) cut(now time.Time, hall string, cut bool) {
	w.cutHalls[hall] = cut
	w.policy.cut(now)
}

func (w *world) setRate(now time.Time, rate float64) {
	w.advanceStore(now)
	w.store.rate = rate
	w.policy.storeRateChanged(now, rate)
	w.advanceStore(now)
}

// restartEndpoint clears an endpoint's state and breaks off its attempts, which are repeated where that is allowed.
func (w *world) restartEndpoint(now time.Time, e *engine) {
	e.incarnation++
	clear(e.resident)
	for _, l := range e.loading {
		l.canceled = true
	}
	clear(e.loading)
	broken := w.attemptsOn(e)
	for _, a := range broken {
		w.removeAttempt(now, a)
	}
	w.policy.endpointRestarted(now, e)
	for _, a := range broken {
		w.broken(now, a)
	}
}

// attemptsOn returns the attempts that run on an endpoint, in the order of the trace.
func (w *world) attemptsOn(e *engine) []*attempt {
	var out []*attempt
	for _, r := range w.requestList {
		if r.run != nil && r.run.engine == e && !r.run.removed {
			out = append(out, r.run)
		}
	}
	return out
}

// broken handles an attempt that broke off: it repeats the request if that is allowed, else its outcome is unknown.
func (w *world) broken(now time.Time, a *attempt) {
	r := a.request
	r.run = nil
	if r.Once || r.Expired(now) {
		// An expired request that runs started before its deadline, so its caller already has a part of the answer.
		w.finishRequest(now, r, fleet.OutcomeUnknown)
		return
	}
	r.Attempt++
	w.requestArrived(now, r)
}

// removeInstance removes an instance. Requests that run through it end with the outcome unknown; those that wait are
// sent again by their callers through another instance.
func (w *world) removeInstance(now time.Time, instance string) {
	w.lostInstances[instance] = true
	var moved []*request
	for _, r := range w.requestList {
		if r.finished() || r.Entry != instance {
			continue
		}
		if r.run == nil {
			moved = append(moved, r)
			continue
		}
		a := r.run
		w.removeAttempt(now, a)
		r.run = nil
		w.finishRequest(now, r, fleet.OutcomeUnknown)
		w.policy.requestEnded(now, r, a.engine)
	}
	w.policy.instanceLost(now, instance)
	for _, r := range moved {
		r.Entry = w.entryInstance(r.ID, r.Hall)
		if r.Entry == "" {
			w.refuseRequest(now, r)
			continue
		}
		w.policy.expired(now, r)
		r.Attempt++
		w.requestArrived(now, r)
	}
}
