// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package work

import "time"

const (
	// initialSpeed is the assumed reading speed of an endpoint, in tokens a second, until its requests have been
	// observed. A higher speed underestimates long prompts at first; a lower speed distributes them more widely.
	initialSpeed = 20000.0
	// initialWeight is the weight of initialSpeed relative to the observations, in seconds of reading. A higher
	// weight tolerates single slow responses; a lower weight adapts sooner.
	initialWeight = 1.0
	// maxObservedSeconds is the maximum total weight of the observations, in seconds of reading. A longer time is
	// more exact; a shorter time follows an endpoint that became slow.
	maxObservedSeconds = 20.0
	// RequestTime is the cost of a request in flight in addition to its unread prompt, because it makes each step of
	// its endpoint longer. A longer time evens out the numbers of requests on endpoints; a shorter time evens out
	// their prompts.
	RequestTime = 25 * time.Millisecond
)

// Speed is the estimated speed at which an endpoint reads prompts, from observed first events. The zero value has no
// observations.
type Speed struct {
	// tokens were read within seconds; older observations weigh less.
	tokens  float64
	seconds float64
}

// Record records that an endpoint read the given number of tokens, the prompt of a request and those queued before it, in
// the time until the request's first event.
func (s *Speed) Record(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	s.tokens += float64(tokens)
	s.seconds += took.Seconds()
	if s.seconds > maxObservedSeconds {
		s.tokens *= maxObservedSeconds / s.seconds
		s.seconds = maxObservedSeconds
	}
}

// PerSecond returns the estimated number of tokens read in a second.
func (s Speed) PerSecond() float64 {
	return (s.tokens + initialSpeed*initialWeight) / (s.seconds + initialWeight)
}

// ReadTime returns the estimated time to read the given number of tokens.
func (s Speed) ReadTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.PerSecond() * float64(time.Second))
}

// EquivalentRequests returns the number of requests in flight whose cost equals the given reading time.
func EquivalentRequests(backlog time.Duration) float64 {
	return float64(backlog) / float64(RequestTime)
}
