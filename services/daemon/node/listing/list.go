// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package listing

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// leavingRetention is the time for which an endpoint counts as leaving after it was last reported as leaving. The list lags, and a later read
// may return an older state. A longer time keeps an endpoint idle longer that is no longer leaving; a shorter one sends requests to an
// endpoint that is leaving.
const leavingRetention = 4 * time.Second

// goneRetention is the time for which an instance is kept after the list first omitted it. Meanwhile it can still be contacted when its hall
// becomes reachable again, and the time since which it is gone is available. A longer time finds the instance again after a longer
// partition; a shorter one frees memory sooner and sends less to addresses that may have been reassigned.
const goneRetention = time.Hour

// List is the platform's list as read by this instance.
type List struct {
	known             map[string]fleet.Instance
	listed            map[string]bool
	goneSince         map[string]time.Time
	leavingReportedAt map[string]time.Time
}

// New returns the state before the first read of the list.
func New() *List {
	return &List{
		known: make(map[string]fleet.Instance), listed: make(map[string]bool),
		goneSince: make(map[string]time.Time), leavingReportedAt: make(map[string]time.Time),
	}
}

// SetInstances stores the instances of a read of the list. An instance counts as gone from the
// first read that omits it, if an earlier read contained it or if it is awaited. Awaited are the
// instances for whose end the caller waits. A later read that contains the instance resets this.
// An instance that has been gone for longer than goneRetention is dropped, unless it is awaited.
func (l *List) SetInstances(now time.Time, instances []fleet.Instance, awaited []string) {
	present := make(map[string]bool, len(instances))
	for _, i := range instances {
		present[i.ID] = true
		l.known[i.ID] = i
	}
	missing := func(id string) {
		if !present[id] && l.goneSince[id].IsZero() {
			l.goneSince[id] = now
		}
	}
	for id := range l.listed {
		missing(id)
	}
	for _, id := range awaited {
		missing(id)
	}
	for id := range present {
		delete(l.goneSince, id)
	}
	l.listed = present
	l.dropExpired(now, awaited)
}

// dropExpired drops the instances that have been gone for longer than goneRetention and are not awaited.
func (l *List) dropExpired(now time.Time, awaited []string) {
	for id, since := range l.goneSince {
		if now.Sub(since) > goneRetention && !slices.Contains(awaited, id) {
			delete(l.goneSince, id)
			delete(l.known, id)
		}
	}
}

// SetLeaving stores the endpoints that a read of the list reports as leaving.
func (l *List) SetLeaving(now time.Time, endpoints []string) {
	for _, name := range endpoints {
		l.leavingReportedAt[name] = now
	}
	for name, seen := range l.leavingReportedAt {
		if now.Sub(seen) > leavingRetention {
			delete(l.leavingReportedAt, name)
		}
	}
}

// EndpointLeaving stores an endpoint's own report that it is leaving, which may precede the list.
func (l *List) EndpointLeaving(now time.Time, endpoint string) {
	l.leavingReportedAt[endpoint] = now
}

// Leaving reports whether an endpoint counts as leaving.
func (l *List) Leaving(endpoint string) bool {
	return !l.leavingReportedAt[endpoint].IsZero()
}

// GoneSince returns the time of the first read that omitted an instance. It returns the zero time if the instance is listed,
// was never listed or awaited, or was dropped.
func (l *List) GoneSince(id string) time.Time {
	return l.goneSince[id]
}

// Listed reports whether the last read contained an instance.
func (l *List) Listed(id string) bool {
	return l.listed[id]
}

// Instance returns an instance that some read contained and that has not been dropped.
func (l *List) Instance(id string) (fleet.Instance, bool) {
	i, ok := l.known[id]
	return i, ok
}

// Instances returns all instances that some read contained and that have not been dropped, by identifier. The map must not be
// modified.
func (l *List) Instances() map[string]fleet.Instance {
	return l.known
}
