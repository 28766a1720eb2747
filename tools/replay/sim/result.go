// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
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
	ByCaller        map[string]Group `json:"-"`
	BatchEfficiency float64          `json:"batch_efficiency"`
	MakespanMS      float64          `json:"makespan_ms"`
	Violations      map[string]int   `json:"violations"`
	DecideNS        DecideFigures    `json:"decide_ns"`
}

// decisionClock measures the processor time of the policy's decisions.
type decisionClock struct {
	count   int
	total   time.Duration
	buckets [decideBuckets]int
}

const (
	decideBuckets  = 400
	decideBase     = 1.05
	decideFloor    = 20.0
	percentile99   = 0.99
	percentile95   = 0.95
	percentile50   = 0.50
	perMillisecond = float64(time.Millisecond)
)

func (d *decisionClock) measure(decide func()) {
	began := time.Now()
	decide()
	took := time.Since(began)
	d.count++
	d.total += took
	bucket := int(math.Log(math.Max(1, float64(took)/decideFloor)) / math.Log(decideBase))
	d.buckets[min(bucket, decideBuckets-1)]++
}

func (d *decisionClock) figures() DecideFigures {
	if d.count == 0 {
		return DecideFigures{}
	}
	out := DecideFigures{Mean: float64(d.total) / float64(d.count)}
	seen := 0
	for i, n := range d.buckets {
		seen += n
		if float64(seen) >= percentile99*float64(d.count) {
			out.P99 = decideFloor * math.Pow(decideBase, float64(i+1))
			break
		}
	}
	return out
}

func (w *world) result() Result {
	weights := make(map[string]float64)
	for _, c := range w.fleet.Classes {
		weights[c.Name] = c.StallWeight
	}
	byClass := make(map[string][]*request)
	byCaller := make(map[string][]*request)
	for _, r := range w.list {
		byClass[r.Class] = append(byClass[r.Class], r)
		byCaller[r.Caller] = append(byCaller[r.Caller], r)
	}
	out := Result{
		Policy: w.policy.Name, Group: group(w.list, weights), Loads: w.loads, LoadsFailed: w.failed, Evictions: w.evictions,
		ByClass: make(map[string]Group), ByCaller: make(map[string]Group), BatchEfficiency: w.efficiency(),
		MakespanMS: float64(w.lastEnd.Sub(start)) / perMillisecond, Violations: w.violations, DecideNS: w.decisions.figures(),
	}
	for name, list := range byClass {
		out.ByClass[name] = group(list, weights)
	}
	for name, list := range byCaller {
		out.ByCaller[name] = group(list, weights)
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
		case r.refused:
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
	if len(values) == 0 {
		return Figures{}
	}
	slices.Sort(values)
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	at := func(q float64) float64 {
		return values[min(len(values)-1, int(math.Ceil(q*float64(len(values))))-1)]
	}
	return Figures{
		Mean: sum / float64(len(values)), P50: at(percentile50), P95: at(percentile95), P99: at(percentile99),
		Max: values[len(values)-1],
	}
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
