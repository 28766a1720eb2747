// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// start begins an attempt; the request joins the batch at the endpoint's next step.
func (w *world) start(now time.Time, r *request, e *engine) {
	if r.done() {
		return
	}
	w.checkStart(now, r, e)
	if len(e.running) == 0 {
		e.busySince = now
	}
	step := milliseconds(e.entry.StepMS)
	phase := now.Sub(e.busySince) % step
	join := now
	if phase > 0 {
		join = now.Add(step - phase)
	}
	prefill := milliseconds(float64(r.PromptTokens) / e.entry.PrefillTokensPerMS)
	steps := int(math.Ceil(float64(prefill) / float64(step)))
	first := join.Add(time.Duration(steps+1) * step)
	a := &attempt{request: r, engine: e}
	r.run = a
	r.runs++
	e.running[a] = true
	e.using[r.Adapter]++
	w.account(now, r, e, first)
	w.agenda.Add(first.Add(time.Duration(r.OutputTokens-1)*step), func(at time.Time) { w.end(at, a) })
}

func (w *world) account(now time.Time, r *request, e *engine, first time.Time) {
	if r.runs > 1 {
		return
	}
	r.wait = now.Sub(r.Arrived)
	r.first = first.Sub(r.Arrived)
	since := e.resident[r.Adapter]
	r.stall = min(max(0, since.Sub(r.Arrived)), r.wait)
}

func (w *world) checkStart(now time.Time, r *request, e *engine) {
	if _, ok := e.resident[r.Adapter]; !ok {
		w.violations[wrongVersion]++
	}
	if r.Once && r.runs > 0 {
		w.violations[onceRunTwice]++
	}
	if !e.leavingAt.IsZero() && now.Sub(e.leavingAt) > leavingGrace {
		w.violations[workOnLeaving]++
	}
	if len(e.running) >= e.entry.MaxBatch {
		w.violations[beyondCapacity]++
	}
}

func (w *world) end(now time.Time, a *attempt) {
	if a.dead {
		return
	}
	r := a.request
	w.leave(now, a)
	w.tokens += int64(r.OutputTokens)
	r.run = nil
	w.finish(now, r, fleet.OutcomeAnswered)
	w.decide(func() { w.policy.ended(now, r, a.engine) })
}

func (w *world) leave(now time.Time, a *attempt) {
	e := a.engine
	a.dead = true
	delete(e.running, a)
	e.using[a.request.Adapter]--
	if e.using[a.request.Adapter] <= 0 {
		delete(e.using, a.request.Adapter)
	}
	if len(e.running) == 0 {
		e.busy += now.Sub(e.busySince)
	}
}
