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

// Figures summarises one measure.
type Figures struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// Group holds the figures of one class, or of all requests.
type Group struct {
	Requests     int     `json:"requests"`
	Answered     int     `json:"answered"`
	RefusedNot   int     `json:"refused_not_run"`
	Unknown      int     `json:"unknown"`
	Expired      int     `json:"expired"`
	LoadStall    Figures `json:"load_stall_ms"`
	QueueWait    Figures `json:"queue_wait_ms"`
	FirstToken   Figures `json:"first_token_ms"`
	WeightedMean float64 `json:"weighted_stall_ms"`
}

// DecideFigures is the processor time of one decision, in nanoseconds.
type DecideFigures struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
}

// Result is what a replay reports.
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
	for _, r := range w.list {
		byClass[r.Class] = append(byClass[r.Class], r)
	}
	out := Result{
		Policy: policy, Group: group(w.list, weights), Loads: w.loads, LoadsFailed: w.failed, Evictions: w.evictions,
		ByClass: make(map[string]Group), BatchEfficiency: w.efficiency(),
		MakespanMS: float64(w.lastEnd.Sub(start)) / perMillisecond, Violations: w.violations,
	}
	for name, list := range byClass {
		out.ByClass[name] = group(list, weights)
	}
	if len(w.decisions) > 0 {
		out.DecideNS.P99 = float64(stats.Percentile(w.decisions, 0.99))
		for _, took := range w.decisions {
			out.DecideNS.Mean += float64(took) / float64(len(w.decisions))
		}
	}
	return out
}

// efficiency is tokens made over the places of the steps taken.
func (w *world) efficiency() float64 {
	places := 0.0
	for _, e := range w.order {
		places += float64(e.busy) / float64(milliseconds(e.entry.StepMS)) * float64(e.entry.MaxBatch)
	}
	if places == 0 {
		return 0
	}
	return float64(w.tokens) / places
}

func group(list []*request, weights map[string]float64) Group {
	g := Group{Requests: len(list)}
	var stall, wait, first []float64
	weighted := 0.0
	for _, r := range list {
		switch {
		case r.expired:
			g.Expired++
		case r.outcome == fleet.OutcomeNotRun:
			g.RefusedNot++
		case r.outcome == fleet.OutcomeUnknown:
			g.Unknown++
		case r.outcome == fleet.OutcomeAnswered:
			g.Answered++
		}
		ms := float64(r.stall) / perMillisecond
		stall = append(stall, ms)
		weighted += ms * weights[r.Class]
		wait = append(wait, float64(r.wait)/perMillisecond)
		if r.first > 0 {
			first = append(first, float64(r.first)/perMillisecond)
		}
	}
	g.LoadStall, g.QueueWait, g.FirstToken = figures(stall), figures(wait), figures(first)
	if len(list) > 0 {
		g.WeightedMean = weighted / float64(len(list))
	}
	return g
}

func figures(values []float64) Figures {
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

// WriteJSON prints the result as one JSON object.
func (r Result) WriteJSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// ViolationCount adds up the violations of all promises.
func (r Result) ViolationCount() int {
	sum := 0
	for _, n := range r.Violations {
		sum += n
	}
	return sum
}

// TableHeader is the first line of the table of results.
func TableHeader() string {
	return fmt.Sprintf("%-12s %8s %8s %7s %7s %7s %7s %9s %9s %9s %9s %9s %6s %5s %7s",
		"policy", "requests", "answered", "refused", "unknown", "expired", "loads", "weighted", "stall", "p95", "p99", "wait p99", "batch", "viol", "ns")
}

// TableLine gives the result as one line under TableHeader; times are in milliseconds.
func (r Result) TableLine() string {
	return fmt.Sprintf("%-12s %8d %8d %7d %7d %7d %7d %9.1f %9.1f %9.0f %9.0f %9.0f %6.3f %5d %7.0f",
		r.Policy, r.Requests, r.Answered, r.RefusedNot, r.Unknown, r.Expired, r.Loads, r.WeightedMean,
		r.LoadStall.Mean, r.LoadStall.P95, r.LoadStall.P99, r.QueueWait.P99, r.BatchEfficiency, r.ViolationCount(), r.DecideNS.Mean)
}
