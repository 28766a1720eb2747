// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package retry

import (
	"slices"
	"time"
)

// Options are the settings of a Budget.
type Options struct {
	// Ratio is the number of retries that each request allows, from the settings.
	Ratio float64
	// Extra is the number of additional retries that the whole fleet may make in a window, from the settings.
	Extra float64
	// Window is the length of the sliding window in which the budget must hold, from the settings.
	Window time.Duration
}

// safetyShare is the share of the budget that is used, as a margin for requests that are counted at the edge of a
// window. A higher share allows more retries and may exceed the limit of the whole fleet, which is measured in
// windows of another clock.
const safetyShare = 0.85

// windowParts is the number of parts into which a window is divided. The requests, and the retries, of one part are
// merged into one entry. More parts follow the sliding window more exactly; fewer take less memory. Merged entries
// are counted so that they never grant more retries.
const windowParts = 100

// Budget counts the requests and retries of each service over a sliding window. It is not safe for concurrent use.
type Budget struct {
	options  Options
	started  time.Time
	members  int
	services map[string]*window
	// lastSweepAt is when sweep last removed idle services.
	lastSweepAt time.Time
}

// window holds the recent requests and retries of a service, oldest first.
type window struct {
	requests []batch
	retries  []batch
}

// batch is a number of requests or retries within one part of the window.
type batch struct {
	first, last time.Time
	count       int
}

// NewBudget returns a budget for a process that started at the given time. During the first window only the process's
// own requests count, because the retries of the previous process are unknown.
func NewBudget(options Options, started time.Time) *Budget {
	return &Budget{options: options, started: started, lastSweepAt: started, services: make(map[string]*window)}
}

// SetMembers sets the number of instances that share the extra retries, from the planner's view; 0 means that it is
// unknown.
func (b *Budget) SetMembers(members int) {
	b.members = members
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(now time.Time, service string) {
	w := b.window(now, service)
	w.requests = b.addToBatches(now, w.requests)
}

// Take requests one retry, counts it if it is granted, and reports whether it is.
func (b *Budget) Take(now time.Time, service string) bool {
	w := b.window(now, service)
	if float64(total(w.retries)+1) > b.allowance(now, w) {
		return false
	}
	w.retries = b.addToBatches(now, w.retries)
	return true
}

func (b *Budget) allowance(now time.Time, w *window) float64 {
	allowed := b.options.Ratio * float64(total(w.requests))
	if b.members > 0 && now.Sub(b.started) >= b.options.Window {
		allowed += b.options.Extra / float64(b.members)
	}
	return allowed * safetyShare
}

// addToBatches counts one more entry, merging it with the last batch if both are in the same part of the window.
func (b *Budget) addToBatches(now time.Time, batches []batch) []batch {
	if end := len(batches) - 1; end >= 0 && now.Sub(batches[end].first) < b.options.Window/windowParts {
		batches[end].last = now
		batches[end].count++
		return batches
	}
	return append(batches, batch{first: now, last: now, count: 1})
}

// total returns the number of requests or retries in batches.
func total(batches []batch) int {
	sum := 0
	for _, counted := range batches {
		sum += counted.count
	}
	return sum
}

// window returns the current window of a service. A batch of requests counts until its first request leaves the
// window, a batch of retries until its last retry does.
func (b *Budget) window(now time.Time, service string) *window {
	b.sweep(now)
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	w.prune(now.Add(-b.options.Window))
	return w
}

// sweep removes services without requests or retries in the last window, such as those removed from the configuration.
func (b *Budget) sweep(now time.Time) {
	if now.Sub(b.lastSweepAt) < b.options.Window {
		return
	}
	b.lastSweepAt = now
	for service, w := range b.services {
		w.prune(now.Add(-b.options.Window))
		if len(w.requests) == 0 && len(w.retries) == 0 {
			delete(b.services, service)
		}
	}
}

// prune removes batches from before the oldest time that counts.
func (w *window) prune(oldest time.Time) {
	w.requests = slices.DeleteFunc(w.requests, func(counted batch) bool { return counted.first.Before(oldest) })
	w.retries = slices.DeleteFunc(w.retries, func(counted batch) bool { return counted.last.Before(oldest) })
}
