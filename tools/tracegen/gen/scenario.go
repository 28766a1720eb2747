// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"

	"github.com/shelfledge/shelfledge/tools/replay/sim"
)

// Scenario is a fleet with the lines of its trace.
type Scenario struct {
	Fleet sim.FleetFile
	Lines []sim.Line
}

// stream is one kind of traffic.
type stream struct {
	class    string
	callers  []string
	halls    []string
	prefix   string
	bases    []string
	adapters int
	exponent float64
	prompt   float64
	output   float64
	deadline float64
	once     float64
	// rate gives the arrivals a second at a time in seconds.
	rate func(at float64) float64
	// flipAt is when the popularity order changes, in seconds; zero for never.
	flipAt float64
}

// builder gathers the lines of a trace.
type builder struct {
	random *rand.Rand
	lines  []sim.Line
	count  int
}

func newBuilder(seed uint64) *builder {
	return &builder{random: rand.New(rand.NewPCG(seed, seed+1))}
}

// add draws the arrivals of a stream as a Poisson process with a changing rate.
func (b *builder) add(s stream, seconds float64) {
	ranks := newZipf(s.adapters, s.exponent)
	before := newOrdering(s.adapters, b.random)
	after := newOrdering(s.adapters, b.random)
	peak := 0.0
	for at := 0.0; at < seconds; at += seconds / 500 {
		peak = math.Max(peak, s.rate(at))
	}
	for at := b.random.ExpFloat64() / peak; at < seconds; at += b.random.ExpFloat64() / peak {
		if b.random.Float64()*peak > s.rate(at) {
			continue
		}
		order := before
		if s.flipAt > 0 && at >= s.flipAt {
			order = after
		}
		b.request(s, at, order[ranks.draw(b.random)])
	}
}

func (b *builder) request(s stream, at float64, adapter int) {
	b.count++
	line := sim.Line{
		AtMS: math.Round(at * 1000), ID: fmt.Sprintf("r%d", b.count), Class: s.class,
		Caller: s.callers[b.random.IntN(len(s.callers))], Hall: s.halls[b.random.IntN(len(s.halls))],
		Base: s.bases[adapter%len(s.bases)], Adapter: fmt.Sprintf("%s-%05d", s.prefix, adapter), Version: 1,
		PromptTokens: logNormal(b.random, s.prompt, 0.6), OutputTokens: logNormal(b.random, s.output, 0.5), DeadlineMS: s.deadline,
	}
	line.Once = b.random.Float64() < s.once
	b.lines = append(b.lines, line)
}

func (b *builder) event(at float64, l sim.Line) {
	l.AtMS = at * 1000
	b.lines = append(b.lines, l)
}

func (b *builder) sorted() []sim.Line {
	sort.SliceStable(b.lines, func(i, j int) bool { return b.lines[i].AtMS < b.lines[j].AtMS })
	return b.lines
}

// fleetShape says how large a fleet is.
type fleetShape struct {
	halls       int
	instances   int
	endpoints   int
	bases       []string
	slots       int
	batch       int
	stepMS      float64
	prefill     float64
	loadMS      float64
	rate        float64
	atFullSpeed int
}

func (s fleetShape) build(classes []sim.ClassEntry) sim.FleetFile {
	f := sim.FleetFile{
		WeightStore: sim.WeightStore{LoadsPerSecond: s.rate, AtFullSpeed: s.atFullSpeed},
		Classes:     classes,
	}
	for h := 1; h <= s.halls; h++ {
		hall := sim.HallEntry{Name: fmt.Sprintf("h%d", h)}
		for i := 1; i <= s.instances; i++ {
			hall.Instances = append(hall.Instances, fmt.Sprintf("h%d-i%d", h, i))
		}
		f.Halls = append(f.Halls, hall)
	}
	for n := 0; n < s.endpoints; n++ {
		hall := n%s.halls + 1
		base := s.bases[n/s.halls%len(s.bases)]
		f.Endpoints = append(f.Endpoints, sim.EndpointEntry{
			Name: fmt.Sprintf("h%d-e%d", hall, n/s.halls+1), Hall: fmt.Sprintf("h%d", hall), Bases: []string{base},
			Slots: s.slots, MaxBatch: s.batch, StepMS: s.stepMS, PrefillTokensPerMS: s.prefill, LoadMS: s.loadMS,
			ChecksFence: n%4 != 3,
		})
	}
	return f
}

func hallNames(count int) []string {
	out := make([]string, 0, count)
	for h := 1; h <= count; h++ {
		out = append(out, fmt.Sprintf("h%d", h))
	}
	return out
}

func names(prefix string, count int) []string {
	out := make([]string, 0, count)
	for i := 1; i <= count; i++ {
		out = append(out, fmt.Sprintf("%s-%02d", prefix, i))
	}
	return out
}

// tide rises from low to high and falls again, once in the period.
func tide(low, high, period float64) func(float64) float64 {
	return func(at float64) float64 {
		return low + (high-low)*(1-math.Cos(2*math.Pi*at/period))/2
	}
}

func steady(rate float64) func(float64) float64 {
	return func(float64) float64 { return rate }
}

// between is a steady rate from one time to another, and nothing outside.
func between(rate, from, to float64) func(float64) float64 {
	return func(at float64) float64 {
		if at < from || at >= to {
			return 0
		}
		return rate
	}
}
