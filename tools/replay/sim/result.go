// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/tools/stats"
)

// Figures summarizes the values of one measurement.
type Figures struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// Group holds the figures of one class or of all requests.
type Group struct {
	Requests      int     `json:"requests"`
	Answered      int     `json:"answered"`
	RefusedNotRun int     `json:"refused_not_run"`
	Unknown       int     `json:"unknown"`
	Expired       int     `json:"expired"`
	LoadStall     Figures `json:"load_stall_ms"`
	QueueWait     Figures `json:"queue_wait_ms"`
	FirstToken    Figures `json:"first_token_ms"`
	WeightedMean  float64 `json:"weighted_stall_ms"`
}

// DecideFigures summarizes the time of one decision, in nanoseconds.
type DecideFigures struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
}

// Result is the result of a replay.
type Result struct {
	Policy string `json:"policy"`
	Group
	Loads           int              `json:"loads"`
	LoadsFailed     int              `json:"loads_failed"`
	Evictions       int              `json:"evictions"`
	ByClass         map[string]Group `json:"by_class"`
	BatchEfficiency float64          `json:"batch_efficiency"`
	MakespanMS      float64          `json:"makespan_ms"`
	Violations      map[string]int   `json:"violations"`
	DecideNS        DecideFigures    `json:"decide_ns"`
}

const perMillisecond = float64(time.Millisecond)

func (w *world) result(policy string) Result {
	weights := w.fleet.stallWeights()
	byClass := make(map[string][]*request)
	for _, r := range w.requestList {
		byClass[r.Class] = append(byClass[r.Class], r)
	}
	out := Result{
		Policy: policy, Group: newGroup(w.requestList, weights), Loads: w.loads, LoadsFailed: w.failed, Evictions: w.evictions,
		ByClass: make(map[string]Group), BatchEfficiency: w.batchEfficiency(),
		MakespanMS: float64(w.lastFinish.Sub(start)) / perMillisecond, Violations: w.violations,
	}
	for name, requestList := range byClass {
		out.ByClass[name] = newGroup(requestList, weights)
	}
	if len(w.decisions) > 0 {
		out.DecideNS.P99 = float64(stats.Percentile(w.decisions, 0.99))
		for _, duration := range w.decisions {
			out.DecideNS.Mean += float64(duration) / float64(len(w.decisions))
		}
	}
	return out
}

// batchEfficiency returns the number of generated tokens divided by the places of all batch steps taken.
func (w *world) batchEfficiency() float64 {
	places := 0.0
	for _, e := range w.engineList {
		places += float64(e.busy) / float64(milliseconds(e.entry.StepMS)) * float64(e.entry.MaxBatch)
	}
	if places == 0 {
		return 0
	}
	return float64(w.tokens) / places
}

func newGroup(list []*request, weights map[string]float64) Group {
	g := Group{Requests: len(list)}
	var stall, wait, firstToken []float64
	weighted := 0.0
	for _, r := range list {
		switch {
		case r.expired:
			g.Expired++
		case r.outcome == fleet.OutcomeNotRun:
			g.RefusedNotRun++
		case r.outcome == fleet.OutcomeUnknown:
			g.Unknown++
		case r.outcome == fleet.OutcomeAnswered:
			g.Answered++
		}
		ms := float64(r.stall) / perMillisecond
		stall = append(stall, ms)
		weighted += ms * weights[r.Class]
		wait = append(wait, float64(r.wait)/perMillisecond)
		if r.firstToken > 0 {
			firstToken = append(firstToken, float64(r.firstToken)/perMillisecond)
		}
	}
	g.LoadStall, g.QueueWait, g.FirstToken = newFigures(stall), newFigures(wait), newFigures(firstToken)
	if len(list) > 0 {
		g.WeightedMean = weighted / float64(len(list))
	}
	return g
}

func newFigures(values []float64) Figures {
	f := Figures{
		P50: stats.Percentile(values, 0.50), P95: stats.Percentile(values, 0.95), P99: stats.Percentile(values, 0.99),
		Max: stats.Percentile(values, 1),
	}
	for _, v := range values {
		f.Mean += v
	}
	f.Mean /= math.Max(1, float64(len(values)))
	return f
}

// WriteJSON writes the result as one JSON object.
func (r Result) WriteJSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// ViolationCount returns the number of violations of all invariants.
func (r Result) ViolationCount() int {
	sum := 0
	for _, n := range r.Violations {
		sum += n
	}
	return sum
}

// TableHeader returns the header line of the table of results.
func TableHeader() string {
	return fmt.Sprintf("%-12s %8s %8s %7s %7s %7s %7s %9s %9s %9s %9s %9s %6s %5s %7s",
		"policy", "requests", "answered", "refused", "unknown", "expired", "loads", "weighted", "stall", "p95", "p99", "wait p99", "batch", "viol", "ns")
}

// TableLine returns the result as one line of the table of TableHeader; times are in milliseconds.
func (r Result) TableLine() string {
	return fmt.Sprintf("%-12s %8d %8d %7d %7d %7d %7d %9.1f %9.1f %9.0f %9.0f %9.0f %6.3f %5d %7.0f",
		r.Policy, r.Requests, r.Answered, r.RefusedNotRun, r.Unknown, r.Expired, r.Loads, r.WeightedMean,
		r.LoadStall.Mean, r.LoadStall.P95, r.LoadStall.P99, r.QueueWait.P99, r.BatchEfficiency, r.ViolationCount(), r.DecideNS.Mean)
}
