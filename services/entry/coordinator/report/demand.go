// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package report

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/loading"
)

const (
	// ReturnNotice is how long before its time a refused caller's adapter is asked for again: longer competes with the loads of fresh
	// requests.
	ReturnNotice = time.Second
	// ReturnWait is how long after its time a refused caller is still expected.
	ReturnWait = 300 * time.Millisecond
	// LeastRate is the arrival rate, in requests a second, that is worth reporting to a new planner.
	LeastRate = 0.005
)

// Counter counts what is asked for at this instance; it is not safe for concurrent use.
type Counter struct {
	// arrivals are the requests since the last report.
	arrivals map[deployment.ServiceAdapter]arrivals
	rates    map[deployment.ServiceAdapter]*loading.Rate
	// returns are refused callers that are expected to come back.
	returns []expectedReturn
}

// arrivals counts requests that came in.
type arrivals struct {
	requests int
	// prompts sums their prompts, in tokens.
	prompts int
}

// expectedReturn is a refused caller whose answer said when to come back; its adapter is asked for until then.
type expectedReturn struct {
	key    deployment.ServiceAdapter
	at     time.Time
	target time.Duration
}

// NewCounter makes a counter of nothing.
func NewCounter() *Counter {
	return &Counter{arrivals: make(map[deployment.ServiceAdapter]arrivals), rates: make(map[deployment.ServiceAdapter]*loading.Rate)}
}

// Arrived counts a request that came in, with the length of its prompt in tokens.
func (ct *Counter) Arrived(key deployment.ServiceAdapter, prompt int) {
	known := ct.arrivals[key]
	ct.arrivals[key] = arrivals{requests: known.requests + 1, prompts: known.prompts + prompt}
}

// ExpectBack notes that a refused caller was asked to come back at a time; its answer is in time for as long as its
// route's target after that.
func (ct *Counter) ExpectBack(key deployment.ServiceAdapter, at time.Time, target time.Duration) {
	ct.returns = append(ct.returns, expectedReturn{key: key, at: at, target: target})
}

// TakeArrivals gives the arrivals since they were told last, without what waits; they begin anew.
func (ct *Counter) TakeArrivals(now time.Time) []wire.Demand {
	list := make([]wire.Demand, 0, len(ct.arrivals))
	for _, demand := range ct.Collect(now, 0).demands {
		list = append(list, *demand)
	}
	return list
}

// Collection is the demand that one report tells.
type Collection struct {
	counter *Counter
	now     time.Time
	demands map[deployment.ServiceAdapter]*wire.Demand
}

// Collect begins a report's demand with the arrivals since the last one, which begin anew. waiting is the number of
// requests that will be added.
func (ct *Counter) Collect(now time.Time, waiting int) *Collection {
	c := &Collection{counter: ct, now: now, demands: make(map[deployment.ServiceAdapter]*wire.Demand, len(ct.arrivals)+waiting)}
	for key, arrived := range ct.arrivals {
		if !key.Adapter.IsZero() {
			demand := c.demandOf(key)
			demand.Arrivals, demand.Prompts = arrived.requests, arrived.prompts
			ct.rate(key).Add(now, arrived.requests)
		}
	}
	clear(ct.arrivals)
	return c
}

// AddWaiting counts a request that waits now.
func (c *Collection) AddWaiting(key deployment.ServiceAdapter, request *deployment.Request) {
	if !key.Adapter.IsZero() {
		c.wait(key, request.Arrived.Add(request.Route.TargetLatency).Sub(c.now))
	}
}

// List adds the refused callers that will come back soon, forgets those that have or will not, and gives it all.
func (c *Collection) List() []wire.Demand {
	ct := c.counter
	ct.forgetReturns(c.now)
	for _, caller := range ct.returns {
		if caller.at.Sub(c.now) <= ReturnNotice {
			c.wait(caller.key, caller.at.Add(caller.target).Sub(c.now))
		}
	}
	list := make([]wire.Demand, 0, len(c.demands))
	for _, demand := range c.demands {
		list = append(list, *demand)
	}
	return list
}

// wait counts a request that waits and can be answered in time for a span from now; the longest span is reported.
func (c *Collection) wait(key deployment.ServiceAdapter, inTime time.Duration) {
	demand := c.demandOf(key)
	demand.Waiting++
	if demand.Waiting == 1 || inTime > demand.InTime {
		demand.InTime = inTime
	}
}

func (c *Collection) demandOf(key deployment.ServiceAdapter) *wire.Demand {
	demand, ok := c.demands[key]
	if !ok {
		demand = &wire.Demand{Service: key.Service, Model: key.Adapter.Model, Name: key.Adapter.Name}
		c.demands[key] = demand
	}
	return demand
}

func (ct *Counter) rate(key deployment.ServiceAdapter) *loading.Rate {
	rate, ok := ct.rates[key]
	if !ok {
		rate = &loading.Rate{}
		ct.rates[key] = rate
	}
	return rate
}

// Rates gives this instance's arrival rates, for a new planner.
func (ct *Counter) Rates(now time.Time) []wire.Rate {
	ct.Sweep(now)
	var list []wire.Rate
	for key, rate := range ct.rates {
		list = append(list, wire.Rate{Service: key.Service, Model: key.Adapter.Model, Name: key.Adapter.Name, PerSecond: rate.PerSecond(now)})
	}
	return list
}

// Untold takes in, at a time when there is nobody to report to, that the arrivals so far are not told: they stay in the rates,
// which a new planner gets. Callers that should have come back are forgotten.
func (ct *Counter) Untold(now time.Time) {
	for key, arrived := range ct.arrivals {
		if !key.Adapter.IsZero() {
			ct.rate(key).Add(now, arrived.requests)
		}
	}
	clear(ct.arrivals)
	ct.forgetReturns(now)
}

// forgetReturns forgets callers that should have come back.
func (ct *Counter) forgetReturns(now time.Time) {
	ct.returns = slices.DeleteFunc(ct.returns, func(caller expectedReturn) bool { return now.Sub(caller.at) > ReturnWait })
}

// Sweep forgets rates that have become too small.
func (ct *Counter) Sweep(now time.Time) {
	for key, rate := range ct.rates {
		if rate.PerSecond(now) < LeastRate {
			delete(ct.rates, key)
		}
	}
}
