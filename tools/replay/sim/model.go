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
	entry       EndpointEntry
	incarnation int
	resident    map[fleet.AdapterRef]time.Time
	loading     map[fleet.AdapterRef]*load
	running     map[*attempt]bool
	using       map[fleet.AdapterRef]int
	leavingAt   time.Time
	failNext    int
	busySince   time.Time
	busy        time.Duration
}

// holds tells whether an adapter is resident or being loaded.
func (e *engine) holds(ref fleet.AdapterRef) bool {
	_, resident := e.resident[ref]
	return resident || e.loading[ref] != nil
}

// attempt is one run of a request on an endpoint.
type attempt struct {
	request *request
	engine  *engine
	dead    bool
}

// load is one load under way at the weight store; left is in seconds at full speed.
type load struct {
	engine  *engine
	adapter fleet.AdapterRef
	left    float64
	dead    bool
}

// store is the model of the weight store: a rate of starts, and a speed that
// loads share beyond the number that run at full speed.
type store struct {
	rate    float64
	atFull  int
	tokens  float64
	moved   time.Time
	waiting []*load
	active  []*load
	version int
}

// speed gives the part of full speed at which each active load runs.
func (s *store) speed() float64 {
	return math.Min(1, float64(s.atFull)/float64(len(s.active)))
}

// Rounding leaves that much of a load, in seconds, or of a token; it counts as none.
const (
	loadRest  = 1e-7
	tokenRest = 1e-9
)

// advance moves the active loads on, starts waiting ones as the rate allows, and returns those
// that have ended.
func (s *store) advance(now time.Time) []*load {
	elapsed := now.Sub(s.moved).Seconds()
	s.moved = now
	done := elapsed * s.speed()
	var ended []*load
	kept := s.active[:0]
	for _, l := range s.active {
		l.left -= done
		if l.left <= loadRest || l.dead {
			ended = append(ended, l)
			continue
		}
		kept = append(kept, l)
	}
	s.active = kept
	s.tokens = math.Min(1, s.tokens+elapsed*s.rate)
	for len(s.waiting) > 0 && s.tokens >= 1-tokenRest {
		l := s.waiting[0]
		s.waiting = s.waiting[1:]
		if !l.dead {
			s.tokens--
			s.active = append(s.active, l)
		}
	}
	return ended
}

// next gives the time of the store's next change, if any.
func (s *store) next(now time.Time) (time.Time, bool) {
	seconds := math.Inf(1)
	for _, l := range s.active {
		seconds = math.Min(seconds, math.Max(0, l.left)/s.speed())
	}
	if len(s.waiting) > 0 {
		seconds = math.Min(seconds, math.Max(0, 1-s.tokens)/s.rate)
	}
	if math.IsInf(seconds, 1) {
		return time.Time{}, false
	}
	return now.Add(time.Duration(math.Ceil(seconds * float64(time.Second)))), true
}
