// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/work"
)

// Demand is one instance's demand for one adapter.
type Demand struct {
	Adapter deployment.Adapter
	// Software is the only software whose endpoints may run the waiting requests; empty if any may. Arrivals are counted without it.
	Software string
	// Waiting is the number of requests that currently wait for the adapter.
	Waiting int
	// InTime is how much longer the newest waiting request can wait and still be answered in time.
	InTime time.Duration
	// Arrivals is the number of requests since the instance's last report.
	Arrivals int
	// PromptTokens is the total prompt length of those arrivals, in tokens.
	PromptTokens int
}

const (
	// rateTimeConstant is the time constant of the exponentially decaying arrival rates. A longer time estimates
	// rarely used adapters better; a shorter time follows changes of demand sooner.
	rateTimeConstant = 12 * time.Second
	// minTrackedRate is the rate, in requests a second, below which an adapter is no longer tracked. A lower rate
	// takes more memory and search time.
	minTrackedRate = 1e-4
)

// Rate is an exponentially decaying arrival rate.
type Rate struct {
	perSecond float64
	updated   time.Time
}

// Add counts arrivals.
func (r *Rate) Add(now time.Time, count int) {
	r.perSecond = r.PerSecond(now) + float64(count)/rateTimeConstant.Seconds()
	r.updated = now
}

// PerSecond returns the rate at the given time, in requests a second.
func (r *Rate) PerSecond(now time.Time) float64 {
	elapsed := now.Sub(r.updated)
	if elapsed <= 0 || r.perSecond == 0 {
		return r.perSecond
	}
	return r.perSecond * math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
}

// decay advances the rate to now. It changes nothing if the clock went back.
func (r *Rate) decay(now time.Time) {
	if now.After(r.updated) {
		r.perSecond = r.PerSecond(now)
		r.updated = now
	}
}

// adapterDemand is the demand of all instances for one adapter.
type adapterDemand struct {
	// Rate is the arrival rate at all instances; its perSecond is as of the last Add or decay.
	Rate
	// promptTokens is the rate of prompt tokens in those requests, in tokens a second.
	promptTokens Rate
	// burst is the most recent demand, averaged over burstTimeConstant.
	burst   burst
	waiting waitingByInstance
	version int64
}

// waitingByInstance are the waiting requests of each instance that has some.
type waitingByInstance map[string]waitingRequests

type waitingRequests struct {
	count           int
	answerableUntil time.Time
}

// count returns the number of waiting requests, and the number of instances whose newest waiting request can still be
// answered in time after a load that takes loadTime.
func (w waitingByInstance) count(now time.Time, loadTime time.Duration) (waiting, inTime int) {
	for _, part := range w {
		waiting += part.count
		if part.answerableUntil.Sub(now) > loadTime {
			inTime++
		}
	}
	return waiting, inTime
}

// rates returns the arrival rates of requests and of prompt tokens, a second: the average over rateTimeConstant or
// the recent burst, whichever is higher.
func (d *adapterDemand) rates(now time.Time) (requests, tokens float64) {
	requests, tokens = d.burst.significantRates(now)
	return max(requests, d.PerSecond(now)), max(tokens, d.promptTokens.PerSecond(now))
}

// work returns the share of an endpoint's time that the requests take, in seconds a second; speed is the prompt
// reading speed in tokens a second.
func (d *adapterDemand) work(now time.Time, speed float64) float64 {
	requests, tokens := d.rates(now)
	return requests*work.RequestTime.Seconds() + tokens/speed
}

// meanReadTime returns the mean time to read the prompt of one request; speed is the prompt reading speed in tokens a
// second.
func (d *adapterDemand) meanReadTime(now time.Time, speed float64) time.Duration {
	rate := d.PerSecond(now)
	if rate <= 0 {
		return 0
	}
	return time.Duration(d.promptTokens.PerSecond(now) / speed / rate * float64(time.Second))
}

// AddRates adds one instance's arrival rates from before this plan, in requests a second.
func (p *Planner) AddRates(now time.Time, rates map[deployment.Adapter]float64) {
	for adapter, rate := range rates {
		known := p.demandFor(now, adapter)
		known.decay(now)
		known.perSecond += rate
	}
}

// Report replaces the waiting requests of one instance by those in its full demand report and adds its arrivals.
func (p *Planner) Report(now time.Time, instance string, demands []Demand) {
	p.ForgetInstance(instance)
	p.AddArrivals(now, demands)
	for _, demand := range demands {
		if demand.Waiting == 0 {
			continue
		}
		waiting := waitingRequests{count: demand.Waiting, answerableUntil: now.Add(demand.InTime)}
		if demand.Software != "" {
			p.addPinned(instance, wantedCopy{adapter: demand.Adapter, software: demand.Software}, waiting)
			continue
		}
		p.demandFor(now, demand.Adapter).waiting[instance] = waiting
		p.waitingAdapters[instance] = append(p.waitingAdapters[instance], demand.Adapter)
	}
}

// AddArrivals adds arrivals only, from any instances.
func (p *Planner) AddArrivals(now time.Time, demands []Demand) {
	for _, demand := range demands {
		known := p.demandFor(now, demand.Adapter)
		known.Add(now, demand.Arrivals)
		known.promptTokens.Add(now, demand.PromptTokens)
		known.burst.add(now, demand.Arrivals, demand.PromptTokens)
	}
}

// ForgetInstance removes the waiting requests of an instance that is gone.
func (p *Planner) ForgetInstance(instance string) {
	for _, adapter := range p.waitingAdapters[instance] {
		// The entry exists: Sweep removes an adapter only while no requests wait for it.
		delete(p.demand[adapter].waiting, instance)
	}
	delete(p.waitingAdapters, instance)
	p.forgetPinned(instance)
}

// SetVersion sets the version of an adapter that is to be served, unless a newer one was set before.
func (p *Planner) SetVersion(now time.Time, adapter deployment.Adapter, version int64) {
	known := p.demandFor(now, adapter)
	known.version = max(known.version, version)
}

func (p *Planner) demandFor(now time.Time, adapter deployment.Adapter) *adapterDemand {
	known, ok := p.demand[adapter]
	if !ok {
		known = &adapterDemand{Rate: Rate{updated: now}, waiting: make(waitingByInstance)}
		p.demand[adapter] = known
	}
	return known
}
