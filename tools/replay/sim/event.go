// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"fmt"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

func (w *world) event(l Line) {
	now, until := w.now, start.Add(milliseconds(l.UntilMS))
	switch l.Event {
	case EndpointRestart:
		w.restart(now, w.engines[l.Endpoint])
	case EndpointLeaving:
		w.engines[l.Endpoint].leavingAt = now
		w.policy.leaving(now, w.engines[l.Endpoint])
	case LoadFails:
		w.engines[l.Endpoint].failNext += l.Count
	case StoreRate:
		w.setRate(now, l.Rate)
		w.agenda.Add(until, func(now time.Time) { w.setRate(now, w.fleet.WeightStore.LoadsPerSecond) })
	case HallCut:
		w.cut(now, l.Hall, true)
		w.agenda.Add(until, func(now time.Time) { w.cut(now, l.Hall, false) })
	case KVDown:
		w.policy.kvDown(now, until)
	case InstanceLost:
		w.lose(now, l.Instance)
	default:
		panic(fmt.Sprintf("event %q passed the check", l.Event))
	}
}

func (w *world) cut(now time.Time, hall string, cut bool) {
	w.cutHalls[hall] = cut
	w.policy.cut(now)
}

func (w *world) setRate(now time.Time, rate float64) {
	w.moveStore(now)
	w.store.rate = rate
	w.policy.storeRate(now, rate)
	w.moveStore(now)
}

// restart empties an endpoint; what ran there is repeated unless it must not be.
func (w *world) restart(now time.Time, e *engine) {
	e.incarnation++
	clear(e.resident)
	for _, l := range e.loading {
		l.dead = true
	}
	clear(e.loading)
	broken := w.attemptsOn(e)
	for _, a := range broken {
		w.leave(now, a)
	}
	w.policy.restarted(now, e)
	for _, a := range broken {
		w.broken(now, a)
	}
}

// attemptsOn lists the attempts of an endpoint in the order of the trace.
func (w *world) attemptsOn(e *engine) []*attempt {
	var out []*attempt
	for _, r := range w.list {
		if r.run != nil && r.run.engine == e && !r.run.dead {
			out = append(out, r.run)
		}
	}
	return out
}

func (w *world) broken(now time.Time, a *attempt) {
	r := a.request
	r.run = nil
	if r.Once || r.Expired(now) {
		// A caller beyond its deadline has a part of the answer already.
		w.finish(now, r, fleet.OutcomeUnknown)
		return
	}
	r.Attempt++
	w.arrive(now, r)
}

// lose takes an instance away: the streams through it end unknown, and what waited
// there is asked for again by its caller at another instance.
func (w *world) lose(now time.Time, instance string) {
	w.lost[instance] = true
	var moved []*request
	for _, r := range w.list {
		if r.done() || r.Entry != instance {
			continue
		}
		if r.run == nil {
			moved = append(moved, r)
			continue
		}
		a := r.run
		w.leave(now, a)
		r.run = nil
		w.finish(now, r, fleet.OutcomeUnknown)
		w.policy.ended(now, r, a.engine)
	}
	w.policy.instanceLost(now, instance)
	for _, r := range moved {
		r.Entry = w.entryFor(r.ID, r.Hall)
		if r.Entry == "" {
			w.refuse(now, r)
			continue
		}
		w.policy.expired(now, r)
		r.Attempt++
		w.arrive(now, r)
	}
}
