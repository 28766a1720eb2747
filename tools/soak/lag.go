// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"sync"
	"time"
)

const (
	// lagSampleInterval is the interval at which the soak measures its own scheduling delay.
	lagSampleInterval = 10 * time.Millisecond
	// minLag is the shortest delay that is recorded. A host without free processor time for a few milliseconds prolongs the first
	// milliseconds of a process, in which SIGHUP still ends the process. With 24 busy processes on 8 cores, SIGHUP ended 41 of 150
	// processes that had run for 16 ms; on the same host without the busy processes it ended none.
	minLag = time.Millisecond
)

// lagMeter measures the scheduling delay of the soak process, which shows how overloaded the host is.
type lagMeter struct {
	mutex   sync.Mutex
	samples []lagSample
}

// lagSample is one measured delay that exceeded minLag.
type lagSample struct {
	at time.Time
	by time.Duration
}

func newLagMeter() *lagMeter {
	return &lagMeter{}
}

func (m *lagMeter) run(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(lagSampleInterval)
		now := time.Now()
		if by := now.Sub(last) - lagSampleInterval; by > minLag {
			m.mutex.Lock()
			m.samples = append(m.samples, lagSample{at: now, by: by})
			m.mutex.Unlock()
		}
		last = now
	}
}

// maxLag returns the longest delay that overlaps the span.
func (m *lagMeter) maxLag(from, to time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var maxLag time.Duration
	for _, one := range m.samples {
		if !one.at.Before(from) && !one.at.Add(-one.by).After(to) {
			maxLag = max(maxLag, one.by)
		}
	}
	return maxLag
}
