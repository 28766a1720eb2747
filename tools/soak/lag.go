// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"sync"
	"time"
)

const (
	// lagPace is how often the soak looks at its own clock.
	lagPace = 10 * time.Millisecond
	// leastLag is the shortest lateness that counts: a host that is starved for a few milliseconds delays the first ones of a process, in
	// which SIGHUP still ends it. Beside 24 busy processes on 8 cores it ended 41 of 150 that had run for 16 ms, on the same host without
	// them none.
	leastLag = time.Millisecond
)

// lagMeter measures by how much the soak itself is late, as a measure of how starved its host is.
type lagMeter struct {
	mutex sync.Mutex
	late  []lateness
}

// lateness is one look that came late.
type lateness struct {
	at time.Time
	by time.Duration
}

func newLagMeter() *lagMeter {
	return &lagMeter{}
}

func (m *lagMeter) run(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(lagPace)
		now := time.Now()
		if by := now.Sub(last) - lagPace; by > leastLag {
			m.mutex.Lock()
			m.late = append(m.late, lateness{at: now, by: by})
			m.mutex.Unlock()
		}
		last = now
	}
}

// most gives by how much the soak was late at most within a span.
func (m *lagMeter) most(from, to time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var most time.Duration
	for _, one := range m.late {
		if !one.at.Before(from) && !one.at.Add(-one.by).After(to) {
			most = max(most, one.by)
		}
	}
	return most
}
