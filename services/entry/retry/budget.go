// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package retry

import "time"

// Options are the settings of a Budget.
type Options struct {
	// Ratio is how many retries each request allows; from the settings.
	Ratio float64
	// Extra is how many more retries the whole fleet may make in a window; from the settings.
	Extra float64
	// Window is the length of every span in which the budget must hold; from the settings.
	Window time.Duration
}

// safetyShare is the part of the budget that is used, against requests that are counted at
// the edge of a window. Higher retries more and may break the bound of the whole fleet, which counts windows by
// its own clock. Not measured.
const safetyShare = 0.85

// Budget counts requests and retries for each service over a sliding window. It is not safe
// for concurrent use.
type Budget struct {
	options  Options
	started  time.Time
	members  int
	services map[string]*window
}

type window struct {
	requests []time.Time
	retries  []time.Time
}

// NewBudget makes a budget for a process that started at a time. For one window after that
// only its own requests count, since the retries of the process before it are not known.
func NewBudget(options Options, started time.Time) *Budget {
	return &Budget{options: options, started: started, services: make(map[string]*window)}
}

// SetMembers sets how many instances share the extra retries, by the planner's view; 0 means that it is not known.
func (b *Budget) SetMembers(members int) {
	b.members = members
}

// Request counts one caller's request for a service.
func (b *Budget) Request(now time.Time, service string) {
	w := b.window(now, service)
	w.requests = append(w.requests, now)
}

// Take asks for one retry and counts it if it is granted.
func (b *Budget) Take(now time.Time, service string) bool {
	w := b.window(now, service)
	if float64(len(w.retries)+1) > b.allowance(now, w) {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

func (b *Budget) allowance(now time.Time, w *window) float64 {
	allowed := b.options.Ratio * float64(len(w.requests))
	if b.members > 0 && now.Sub(b.started) >= b.options.Window {
		allowed += b.options.Extra / float64(b.members)
	}
	return allowed * safetyShare
}

func (b *Budget) window(now time.Time, service string) *window {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	oldest := now.Add(-b.options.Window)
	w.requests = dropBefore(w.requests, oldest)
	w.retries = dropBefore(w.retries, oldest)
	return w
}

func dropBefore(times []time.Time, oldest time.Time) []time.Time {
	kept := 0
	for kept < len(times) && times[kept].Before(oldest) {
		kept++
	}
	if kept == 0 {
		return times
	}
	return append(times[:0], times[kept:]...)
}
