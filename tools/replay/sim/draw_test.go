// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/shelfledge/shelfledge/tools/replay/sim"
)

// stream is one kind of traffic.
type stream struct {
	class    string
	callers  []string
	halls    int
	prefix   string
	adapters int
	// exponent is that of the Zipf popularity of the adapters.
	exponent float64
	// prompt and output are medians, in tokens; deadline is in milliseconds, 0 for none.
	prompt, output, deadline float64
	// once is the share of requests that must not be repeated.
	once float64
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

// rateSamples is at how many times a stream's greatest rate is looked for.
const rateSamples = 500

// add draws the arrivals of a stream as a Poisson process with a changing rate.
func (b *builder) add(s stream, seconds float64) {
	sums := make([]float64, s.adapters)
	sum := 0.0
	for i := range sums {
		sum += 1 / math.Pow(float64(i+1), s.exponent)
		sums[i] = sum
	}
	before, after := b.random.Perm(s.adapters), b.random.Perm(s.adapters)
	peak := 0.0
	for at := 0.0; at < seconds; at += seconds / rateSamples {
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
		b.request(s, at, order[sort.SearchFloat64s(sums, b.random.Float64()*sum)])
	}
}

func (b *builder) request(s stream, at float64, adapter int) {
	b.count++
	line := sim.Line{
		AtMS: math.Round(at * 1000), ID: fmt.Sprintf("r%d", b.count), Class: s.class,
		Caller: s.callers[b.random.IntN(len(s.callers))], Hall: hall(b.random.IntN(s.halls)),
		Base: bases[adapter%len(bases)], Adapter: fmt.Sprintf("%s-%05d", s.prefix, adapter), Version: 1,
		PromptTokens: b.logNormal(s.prompt, 0.6), OutputTokens: b.logNormal(s.output, 0.5), DeadlineMS: s.deadline,
	}
	line.Once = b.random.Float64() < s.once
	b.lines = append(b.lines, line)
}

// logNormal draws a positive size with the given median and spread, at least one.
func (b *builder) logNormal(median, spread float64) int {
	return max(1, int(median*math.Exp(b.random.NormFloat64()*spread)))
}

// event adds an event at a time in seconds.
func (b *builder) event(at float64, l sim.Line) {
	l.AtMS = at * 1000
	b.lines = append(b.lines, l)
}

func (b *builder) sorted() []sim.Line {
	slices.SortStableFunc(b.lines, func(a, b sim.Line) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return b.lines
}

// tide rises from low to high and falls again, once in the period.
func tide(low, high, period float64) func(float64) float64 {
	return func(at float64) float64 {
		return low + (high-low)*(1-math.Cos(2*math.Pi*at/period))/2
	}
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

func steady(rate float64) func(float64) float64 {
	return between(rate, 0, math.Inf(1))
}
