// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"math"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// engine is the model of one endpoint.
type engine struct {
	entry            EndpointEntry
	incarnation      int
	resident         map[fleet.AdapterRef]time.Time
	loading          map[fleet.AdapterRef]*load
	running          map[*attempt]bool
	runningByAdapter map[fleet.AdapterRef]int
	leavingAt        time.Time
	failNext         int
	busySince        time.Time
	busy             time.Duration
}

// holds reports whether an adapter is resident or being loaded.
func (e *engine) holds(ref fleet.AdapterRef) bool {
	_, resident := e.resident[ref]
	return resident || e.loading[ref] != nil
}

// attempt is one run of a request on an endpoint.
type attempt struct {
	request *request
	engine  *engine
	removed bool
}

// load is a queued or running load at the weight store; remaining is in seconds at full speed.
type load struct {
	engine    *engine
	adapter   fleet.AdapterRef
	remaining float64
	canceled  bool
}

// store models the weight store. It limits the rate at which loads start; loads beyond the number that can run at
// full speed share the bandwidth.
type store struct {
	rate        float64
	atFullSpeed int
	tokens      float64
	advancedTo  time.Time
	waiting     []*load
	active      []*load
	generation  int
}

// speed returns the fraction of full speed at which each active load runs.
func (s *store) speed() float64 {
	return math.Min(1, float64(s.atFullSpeed)/float64(len(s.active)))
}

// A remainder below these values, in seconds of a load or in tokens, is a rounding error and counts as zero.
const (
	loadTolerance  = 1e-7
	tokenTolerance = 1e-9
)

// advance advances the active loads, starts waiting loads as the rate allows, and returns the loads that have ended.
func (s *store) advance(now time.Time) []*load {
	elapsed := now.Sub(s.advancedTo).Seconds()
	s.advancedTo = now
	done := elapsed * s.speed()
	var ended []*load
	kept := s.active[:0]
	for _, l := range s.active {
		l.remaining -= done
		if l.remaining <= loadTolerance || l.canceled {
			ended = append(ended, l)
			continue
		}
		kept = append(kept, l)
	}
	s.active = kept
	s.tokens = math.Min(1, s.tokens+elapsed*s.rate)
	for len(s.waiting) > 0 && s.tokens >= 1-tokenTolerance {
		l := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !l.canceled {
			s.tokens--
			s.active = append(s.active, l)
		}
	}
	return ended
}

// nextChange returns the time of the store's next change, and false if none is due.
func (s *store) nextChange(now time.Time) (time.Time, bool) {
	seconds := math.Inf(1)
	for _, l := range s.active {
		seconds = math.Min(seconds, math.Max(0, l.remaining)/s.speed())
	}
	if len(s.waiting) > 0 {
		seconds = math.Min(seconds, math.Max(0, 1-s.tokens)/s.rate)
	}
	if math.IsInf(seconds, 1) {
		return time.Time{}, false
	}
	return now.Add(time.Duration(math.Ceil(seconds * float64(time.Second)))), true
}
