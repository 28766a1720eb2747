// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"cmp"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// maxQueuedForecasts is how many adapters whose load has not started get a forecast of their own; all others get the
// backlog's. A higher number makes refusals more exact and heartbeats longer.
const maxQueuedForecasts = 100

// throughputWindow is the time window in which load starts are counted. A longer window gives steadier forecasts; a
// shorter one follows changes in free places sooner.
const throughputWindow = time.Second

// Forecast is the expected time until an adapter becomes resident.
type Forecast struct {
	Adapter deployment.Adapter
	// Remaining is the time from now until the adapter is resident.
	Remaining time.Duration
}

// TypicalLoadTime returns the typical duration of an adapter load.
func (p *Planner) TypicalLoadTime() time.Duration {
	return p.loadLimiter.typicalLoadTime
}

// Forecasts returns forecasts for the adapters that are loading, followed by those that requests wait for, most
// valuable first. backlog is the forecast for an adapter that has not been requested yet.
func (p *Planner) Forecasts(now time.Time) (list []Forecast, backlog time.Duration) {
	list = p.loadingForecasts(now)
	queued := p.queuedAdapters(now)
	count := len(queued) + p.queuedPinned()
	interval := p.loadInterval(now, count)
	for i, adapter := range queued {
		if i < maxQueuedForecasts {
			list = append(list, Forecast{Adapter: adapter, Remaining: p.loadLimiter.typicalLoadTime + time.Duration(i)*interval})
		}
	}
	return list, p.loadLimiter.typicalLoadTime + time.Duration(count)*interval
}

// loadInterval returns the expected time between the starts of two loads while the given number of adapters is
// queued. It is the interval that the weight store allows. Once adapters have been queued for throughputWindow, it is
// at least the interval observed in that window, because the adapters may be waiting for free places.
func (p *Planner) loadInterval(now time.Time, queued int) time.Duration {
	interval := p.loadLimiter.typicalLoadTime / time.Duration(p.maxParallelLoads())
	if queued == 0 {
		p.queuedSince = time.Time{}
		return interval
	}
	if p.queuedSince.IsZero() {
		p.queuedSince = now
	}
	if now.Sub(p.queuedSince) < throughputWindow {
		return interval
	}
	p.recentLoadStarts = slices.DeleteFunc(p.recentLoadStarts, func(at time.Time) bool { return now.Sub(at) > throughputWindow })
	return max(interval, throughputWindow/time.Duration(max(1, len(p.recentLoadStarts))))
}

// maxParallelLoads returns how many loads can run at once.
func (p *Planner) maxParallelLoads() int {
	open := 0
	for _, plan := range p.endpoints {
		if plan.endpoint.State == deployment.Ready && !plan.suspect && !plan.nearlySaturated && len(plan.endpoint.Models) > 0 {
			open++
		}
	}
	return max(1, min(open*maxPendingLoads, p.loadLimiter.maxLoads()))
}

// queuedAdapters returns the adapters that requests wait for and that are not being loaded, most valuable first.
func (p *Planner) queuedAdapters(now time.Time) []deployment.Adapter {
	p.countCopies()
	values := make(map[deployment.Adapter]float64)
	var queued []deployment.Adapter
	for adapter, known := range p.demand {
		count := p.copyCounts[adapter]
		if len(known.waiting) == 0 || count.loading > 0 || count.free > 0 {
			continue
		}
		known.decay(now)
		values[adapter] = p.copyNeed(now, adapter, known, &workDistribution{speed: p.meanSpeed()}).Value()
		queued = append(queued, adapter)
	}
	slices.SortFunc(queued, func(a, b deployment.Adapter) int { return cmp.Compare(values[b], values[a]) })
	return queued
}

func (p *Planner) loadingForecasts(now time.Time) []Forecast {
	var list []Forecast
	for _, plan := range p.endpoints {
		for adapter, c := range plan.copies {
			if c.state == copyLoading {
				list = append(list, Forecast{Adapter: adapter, Remaining: max(0, c.since.Add(p.loadLimiter.typicalLoadTime).Sub(now))})
			}
		}
	}
	return list
}
