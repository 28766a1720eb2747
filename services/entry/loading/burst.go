// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loading

import (
	"math"
	"time"
)

// burstTimeConstant is the time constant of the burst rate. A shorter time detects an adapter that has just become
// hot sooner; a longer time mistakes fewer random clusters of requests for a burst.
const burstTimeConstant = time.Second

// burst estimates the most recent demand, averaged over burstTimeConstant. The rate over rateTimeConstant shows only a twelfth of a
// demand that began a second ago, whereas one copy of a hot adapter receives more prompts in that second than its endpoint reads in
// two.
type burst struct {
	requests float64
	// tokens is the total prompt length of the requests.
	tokens  float64
	updated time.Time
}

// add counts requests and their total prompt length in tokens.
func (s *burst) add(now time.Time, requests, tokens int) {
	decayFactor := s.decayFactor(now)
	s.requests = s.requests*decayFactor + float64(requests)
	s.tokens = s.tokens*decayFactor + float64(tokens)
	s.updated = now
}

// decayFactor returns the share of the counted requests that still counts.
func (s *burst) decayFactor(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(s.updated).Seconds()) / burstTimeConstant.Seconds())
}

// significantRates returns the rates of requests and of prompt tokens, a second, that exceed random variation: one
// standard deviation below the count, so that a few requests close together do not count as a burst.
func (s *burst) significantRates(now time.Time) (requests, tokens float64) {
	counted := s.requests * s.decayFactor(now)
	if counted <= 1 {
		return 0, 0
	}
	requests = (counted - math.Sqrt(counted)) / burstTimeConstant.Seconds()
	return requests, requests * s.tokens / s.requests
}
