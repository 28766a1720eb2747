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
	// RetryNotice is how long before the expected retry of a refused caller its adapter is requested again. With a longer time,
	// these requests compete with the loads for new requests.
	RetryNotice = time.Second
	// RetryGrace is how long after the expected time the retry of a refused caller is still expected.
	RetryGrace = 300 * time.Millisecond
	// MinRate is the minimum arrival rate, in requests per second, that is reported to a new planner.
	MinRate = 0.005
)

// Counter counts the demand for adapters at this instance. It is not safe for concurrent use.
type Counter struct {
	// arrivals are the requests since the last report.
	arrivals map[deployment.ServiceAdapter]arrivals
	rates    map[deployment.ServiceAdapter]*loading.Rate
	// expectedRetries are the refused callers that are expected to retry.
	expectedRetries []expectedRetry
}

// arrivals counts received requests.
type arrivals struct {
	requests int
	// promptTokens is the total length of their prompts in tokens.
	promptTokens int
}

// expectedRetry is a refused caller whose response named the time to retry. Its adapter is requested from shortly before until shortly
// after that time.
type expectedRetry struct {
	key deployment.ServiceAdapter
	// software is the only software whose endpoints may run the request; empty if any may.
	software string
	at       time.Time
	target   time.Duration
}

// NewCounter returns a counter without requests.
func NewCounter() *Counter {
	return &Counter{arrivals: make(map[deployment.ServiceAdapter]arrivals), rates: make(map[deployment.ServiceAdapter]*loading.Rate)}
}

// AddArrival counts a received request, with the length of its prompt in tokens.
func (ct *Counter) AddArrival(key deployment.ServiceAdapter, prompt int) {
	known := ct.arrivals[key]
	ct.arrivals[key] = arrivals{requests: known.requests + 1, promptTokens: known.promptTokens + prompt}
}

// ExpectRetry records that a refused caller was asked to retry at a time, with a request that only the endpoints of a software may run, or any
// if that is empty. After the retry, its answer is in time within the target of its route.
func (ct *Counter) ExpectRetry(key deployment.ServiceAdapter, software string, at time.Time, target time.Duration) {
	ct.expectedRetries = append(ct.expectedRetries, expectedRetry{key: key, software: software, at: at, target: target})
}

// TakeArrivals returns the arrivals since they were last collected, without waiting requests, and resets them.
func (ct *Counter) TakeArrivals(now time.Time) []wire.Demand {
	list := make([]wire.Demand, 0, len(ct.arrivals))
	for _, demand := range ct.Collect(now, 0).demands {
		list = append(list, *demand)
	}
	return list
}

// Collection is the demand in one report.
type Collection struct {
	counter *Counter
	now     time.Time
	demands map[deployment.ServiceAdapter]*wire.Demand
	pinned  map[pinnedKey]*wire.PinnedDemand
}

// pinnedKey identifies an adapter of a service at the endpoints of one software.
type pinnedKey struct {
	deployment.ServiceAdapter
	software string
}

// Collect starts the demand of a report with the arrivals since the last one, and resets them. waiting is the expected number of
// calls of AddWaiting.
func (ct *Counter) Collect(now time.Time, waiting int) *Collection {
	c := &Collection{
		counter: ct, now: now, demands: make(map[deployment.ServiceAdapter]*wire.Demand, len(ct.arrivals)+waiting),
		pinned: make(map[pinnedKey]*wire.PinnedDemand),
	}
	for key, arrived := range ct.arrivals {
		if !key.Adapter.IsZero() {
			demand := c.demandOf(key)
			demand.Arrivals, demand.PromptTokens = arrived.requests, arrived.promptTokens
			ct.rate(key).Add(now, arrived.requests)
		}
	}
	clear(ct.arrivals)
	return c
}

// AddWaiting counts a request that is waiting now, for the endpoints of a software, or any if that is empty.
func (c *Collection) AddWaiting(key deployment.ServiceAdapter, request *deployment.Request, software string) {
	if !key.Adapter.IsZero() {
		c.addWaiting(key, software, answerableUntil(request).Sub(c.now))
	}
}

// answerableUntil returns until when a request can be answered in time. The target of the route is for the first event: a stream that goes on
// has had that, and loses all that it has brought if it ends here.
func answerableUntil(request *deployment.Request) time.Time {
	if request.Software != "" {
		return request.Deadline
	}
	return request.Arrived.Add(request.Route.TargetLatency)
}

// List adds the refused callers that are expected to retry soon, removes those whose time has passed, and returns the whole
// demand, apart from that of requests that only the endpoints of one software may run.
func (c *Collection) List() []wire.Demand {
	c.addRetries(func(caller expectedRetry) bool { return caller.software == "" })
	list := make([]wire.Demand, 0, len(c.demands))
	for _, demand := range c.demands {
		list = append(list, *demand)
	}
	return list
}

// Pinned is List for the requests that only the endpoints of one software may run.
func (c *Collection) Pinned() []wire.PinnedDemand {
	c.addRetries(func(caller expectedRetry) bool { return caller.software != "" })
	list := make([]wire.PinnedDemand, 0, len(c.pinned))
	for _, demand := range c.pinned {
		list = append(list, *demand)
	}
	return list
}

// addRetries adds those of the selected refused callers that are expected to retry soon.
func (c *Collection) addRetries(selected func(expectedRetry) bool) {
	ct := c.counter
	ct.removeExpiredRetries(c.now)
	for _, caller := range ct.expectedRetries {
		if selected(caller) && caller.at.Sub(c.now) <= RetryNotice {
			c.addWaiting(caller.key, caller.software, caller.at.Add(caller.target).Sub(c.now))
		}
	}
}

// addWaiting counts a waiting request that can be answered in time within a duration from now.
func (c *Collection) addWaiting(key deployment.ServiceAdapter, software string, inTime time.Duration) {
	if software != "" {
		demand := c.pinnedDemandOf(pinnedKey{ServiceAdapter: key, software: software})
		demand.Waiting, demand.InTime = addWaiting(demand.Waiting, demand.InTime, inTime)
		return
	}
	demand := c.demandOf(key)
	demand.Waiting, demand.InTime = addWaiting(demand.Waiting, demand.InTime, inTime)
}

// addWaiting adds a request that can be answered in time within a duration to a number of others. The longest duration of all is reported.
func addWaiting(others int, longest, inTime time.Duration) (int, time.Duration) {
	if others == 0 || inTime > longest {
		longest = inTime
	}
	return others + 1, longest
}

func (c *Collection) pinnedDemandOf(key pinnedKey) *wire.PinnedDemand {
	demand, ok := c.pinned[key]
	if !ok {
		demand = &wire.PinnedDemand{Service: key.Service, Model: key.Adapter.Model, Name: key.Adapter.Name, Software: key.software}
		c.pinned[key] = demand
	}
	return demand
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

// Rates returns the arrival rates of this instance, for a new planner.
func (ct *Counter) Rates(now time.Time) []wire.Rate {
	ct.Sweep(now)
	var list []wire.Rate
	for key, rate := range ct.rates {
		list = append(list, wire.Rate{Service: key.Service, Model: key.Adapter.Model, Name: key.Adapter.Name, PerSecond: rate.PerSecond(now)})
	}
	return list
}

// FlushToRates processes the arrivals while there is no planner to report to: they are added to the rates, which a new planner receives,
// and reset. Callers that should have retried by now are removed.
func (ct *Counter) FlushToRates(now time.Time) {
	for key, arrived := range ct.arrivals {
		if !key.Adapter.IsZero() {
			ct.rate(key).Add(now, arrived.requests)
		}
	}
	clear(ct.arrivals)
	ct.removeExpiredRetries(now)
}

// removeExpiredRetries removes the callers that should have retried by now.
func (ct *Counter) removeExpiredRetries(now time.Time) {
	ct.expectedRetries = slices.DeleteFunc(ct.expectedRetries, func(caller expectedRetry) bool { return now.Sub(caller.at) > RetryGrace })
}

// Sweep removes the rates below MinRate.
func (ct *Counter) Sweep(now time.Time) {
	for key, rate := range ct.rates {
		if rate.PerSecond(now) < MinRate {
			delete(ct.rates, key)
		}
	}
}
