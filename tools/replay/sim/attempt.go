// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// startAttempt starts an attempt of a request; the request joins the batch at the endpoint's next step.
func (w *world) startAttempt(now time.Time, r *request, e *engine) {
	if r.finished() {
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
	r.runCount++
	e.running[a] = true
	e.runningByAdapter[r.Adapter]++
	w.recordTimings(now, r, e, first)
	w.agenda.Add(first.Add(time.Duration(r.OutputTokens-1)*step), func(at time.Time) { w.completeAttempt(at, a) })
}

// recordTimings sets the wait, stall and time to first token of a request at its first attempt.
func (w *world) recordTimings(now time.Time, r *request, e *engine, firstToken time.Time) {
	if r.runCount > 1 {
		return
	}
	r.wait = now.Sub(r.Arrived)
	r.firstToken = firstToken.Sub(r.Arrived)
	since := e.resident[r.Adapter]
	r.stall = min(max(0, since.Sub(r.Arrived)), r.wait)
}

func (w *world) checkStart(now time.Time, r *request, e *engine) {
	if _, ok := e.resident[r.Adapter]; !ok {
		w.violations[wrongVersion]++
	}
	if r.Once && r.runCount > 0 {
		w.violations[onceRunAgain]++
	}
	if !e.leavingAt.IsZero() && now.Sub(e.leavingAt) > leavingGrace {
		w.violations[workOnLeaving]++
	}
	if len(e.running) >= e.entry.MaxBatch {
		w.violations[capacityExceeded]++
	}
}

func (w *world) completeAttempt(now time.Time, a *attempt) {
	if a.removed {
		return
	}
	r := a.request
	w.removeAttempt(now, a)
	w.tokens += int64(r.OutputTokens)
	r.run = nil
	w.finishRequest(now, r, fleet.OutcomeAnswered)
	w.timeDecision(func() { w.policy.requestEnded(now, r, a.engine) })
}

// removeAttempt frees the resources that an attempt uses at its endpoint.
func (w *world) removeAttempt(now time.Time, a *attempt) {
	e := a.engine
	a.removed = true
	delete(e.running, a)
	e.runningByAdapter[a.request.Adapter]--
	if e.runningByAdapter[a.request.Adapter] <= 0 {
		delete(e.runningByAdapter, a.request.Adapter)
	}
	if len(e.running) == 0 {
		e.busy += now.Sub(e.busySince)
	}
}
