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

// trafficStream describes the requests of one class.
type trafficStream struct {
	class    string
	callers  []string
	halls    int
	prefix   string
	adapters int
	// exponent is the exponent of the Zipf distribution of adapter popularity.
	exponent float64
	// prompt and output are median lengths in tokens. deadline is in milliseconds; 0 means none.
	prompt, output, deadline float64
	// once is the share of requests that must not be repeated (0 to 1).
	once float64
	// rate returns the arrivals per second at a time in seconds.
	rate func(at float64) float64
	// flipAt is the time in seconds at which the popularity order changes; 0 means never.
	flipAt float64
}

// traceBuilder collects the lines of a trace.
type traceBuilder struct {
	random *rand.Rand
	lines  []sim.Line
	count  int
}

func newTraceBuilder(seed uint64) *traceBuilder {
	return &traceBuilder{random: rand.New(rand.NewPCG(seed, seed+1))}
}

// peakRateSamples is the number of times at which a stream's rate is sampled to find its maximum.
const peakRateSamples = 500

// addStream adds the arrivals of a stream, drawn from a Poisson process with a varying rate.
func (b *traceBuilder) addStream(s trafficStream, seconds float64) {
	sums := make([]float64, s.adapters)
	sum := 0.0
	for i := range sums {
		sum += 1 / math.Pow(float64(i+1), s.exponent)
		sums[i] = sum
	}
	before, after := b.random.Perm(s.adapters), b.random.Perm(s.adapters)
	peak := 0.0
	for at := 0.0; at < seconds; at += seconds / peakRateSamples {
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
		b.addRequest(s, at, order[sort.SearchFloat64s(sums, b.random.Float64()*sum)])
	}
}

func (b *traceBuilder) addRequest(s trafficStream, at float64, adapter int) {
	b.count++
	line := sim.Line{
		AtMS: math.Round(at * 1000), ID: fmt.Sprintf("r%d", b.count), Class: s.class,
		Caller: s.callers[b.random.IntN(len(s.callers))], Hall: hallName(b.random.IntN(s.halls)),
		Base: bases[adapter%len(bases)], Adapter: fmt.Sprintf("%s-%05d", s.prefix, adapter), Version: 1,
		PromptTokens: b.logNormal(s.prompt, 0.6), OutputTokens: b.logNormal(s.output, 0.5), DeadlineMS: s.deadline,
	}
	line.Once = b.random.Float64() < s.once
	b.lines = append(b.lines, line)
}

// logNormal draws a size of at least 1 from a log-normal distribution with the given median and spread.
func (b *traceBuilder) logNormal(median, spread float64) int {
	return max(1, int(median*math.Exp(b.random.NormFloat64()*spread)))
}

// addEvent adds an event at a time in seconds.
func (b *traceBuilder) addEvent(at float64, l sim.Line) {
	l.AtMS = at * 1000
	b.lines = append(b.lines, l)
}

func (b *traceBuilder) sortedLines() []sim.Line {
	slices.SortStableFunc(b.lines, func(a, b sim.Line) int { return cmp.Compare(a.AtMS, b.AtMS) })
	return b.lines
}

// cosineRate returns a rate that rises from low to high and falls back to low once per period.
func cosineRate(low, high, period float64) func(float64) float64 {
	return func(at float64) float64 {
		return low + (high-low)*(1-math.Cos(2*math.Pi*at/period))/2
	}
}

// constantBetween returns a rate that is constant from one time to another and 0 otherwise.
func constantBetween(rate, from, to float64) func(float64) float64 {
	return func(at float64) float64 {
		if at < from || at >= to {
			return 0
		}
		return rate
	}
}

func constantRate(rate float64) func(float64) float64 {
	return constantBetween(rate, 0, math.Inf(1))
}
