// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

// Outcome is how one exchange with an endpoint ended, as far as the endpoint is to blame.
type Outcome int

// The outcomes of an exchange.
const (
	// Succeeded: a whole answer that is not a server error.
	Succeeded Outcome = iota
	// Errored: a whole answer with a server error.
	Errored
	// Refused: the endpoint said that it did not run the request.
	Refused
	// Broken: no connection, no answer, or an answer that broke off.
	Broken
	// Neutral: the exchange says nothing of the endpoint, as when the caller left.
	Neutral
)

const (
	// failureWeight is the weight of the newest exchange in the failure rate.
	failureWeight = 0.2
	// minimumExchanges is how many exchanges a rate needs to count.
	minimumExchanges = 5
	// comparedExchanges is how many exchanges another endpoint's rate needs to be compared with.
	// It is smaller, so that a trouble of the whole service ejects nobody at its begin.
	comparedExchanges = 2
	// consecutiveBroken ejects an endpoint without regard to its rate.
	consecutiveBroken = 2
	firstEjection     = 800 * time.Millisecond
	longestEjection   = 6 * time.Second
	// ejectedRate and ejectedRatio bound the failure rate, absolutely and against the service's.
	ejectedRate  = 0.3
	ejectedRatio = 2.5
)

// Health is an endpoint's record at this instance.
type Health struct {
	rate      float64
	exchanges int
	broken    int
	until     time.Time
	backoff   time.Duration
	trial     bool
}

// Ejected tells whether the endpoint gets no requests for now.
func (h *Health) Ejected(now time.Time) bool {
	return now.Before(h.until) || h.trial
}

// TrialDue tells whether one request may try an ejected endpoint again.
func (h *Health) TrialDue(now time.Time) bool {
	return !h.until.IsZero() && !now.Before(h.until) && !h.trial
}

// beginTrial marks that a request tries the endpoint.
func (h *Health) beginTrial() {
	h.trial = true
}

// note takes in one outcome; serviceRate is the mean failure rate of the other endpoints.
func (h *Health) note(now time.Time, outcome Outcome, serviceRate float64) {
	trial := h.trial
	h.trial = false
	switch outcome {
	case Neutral, Refused:
		return
	case Succeeded:
		h.add(0)
		h.broken = 0
		if trial {
			h.restore()
		}
	case Errored:
		h.add(1)
		h.broken = 0
	case Broken:
		h.add(1)
		h.broken++
	}
	if h.bad(serviceRate) || (trial && outcome != Succeeded) {
		h.eject(now)
	}
}

func (h *Health) add(failure float64) {
	h.exchanges++
	h.rate += failureWeight * (failure - h.rate)
}

func (h *Health) bad(serviceRate float64) bool {
	if h.broken >= consecutiveBroken {
		return true
	}
	return h.exchanges >= minimumExchanges && h.rate > ejectedRate && h.rate > ejectedRatio*serviceRate
}

func (h *Health) eject(now time.Time) {
	if now.Before(h.until) {
		return
	}
	h.backoff = min(max(2*h.backoff, firstEjection), longestEjection)
	h.until = now.Add(h.backoff)
}

func (h *Health) restore() {
	h.until = time.Time{}
	h.backoff = 0
	h.rate = 0
	h.exchanges = 0
}
