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
	// Unreached: a refused connection, since nothing listens at the endpoint's address.
	Unreached
	// Ended: the endpoint ended the exchange and refuses connections since, so that its process has ended.
	Ended
	// Neutral: the exchange says nothing of the endpoint, as when the caller left.
	Neutral
)

const (
	// failureWeight is the weight of the newest exchange in the failure rate. Higher notices a failing endpoint after fewer exchanges, with
	// more noise.
	failureWeight = 0.2
	// minimumExchanges is how many exchanges a failure rate needs to count. Fewer eject sooner, also for chance.
	minimumExchanges = 5
	// comparedExchanges is how many exchanges another endpoint's rate needs to be compared with. It is smaller, so that a trouble of the
	// whole service ejects nobody at its begin.
	comparedExchanges = 2
	// consecutiveBroken is how many broken exchanges in a row eject an endpoint without regard to its rate. Fewer find out a dead endpoint
	// sooner and eject sound ones for one lost connection.
	consecutiveBroken = 2
	// firstEjection and longestEjection bound how long an endpoint is avoided before a request tries it again. Longer costs fewer failed
	// trials and leaves a recovered endpoint idle.
	firstEjection   = 800 * time.Millisecond
	longestEjection = 6 * time.Second
	// ejectionGrowth is the factor from one ejection to the next one after a failed trial. Higher tries a dead endpoint less often.
	ejectionGrowth = 2
	// ejectedRate is the failure rate, a share of exchanges, above which an endpoint may be ejected. Lower ejects sooner, and leaves more
	// work to the others.
	ejectedRate = 0.3
	// ejectedRatio is how many times the mean failure rate of the service's other endpoints it must exceed, too, so that an error of the
	// whole service ejects nobody.
	ejectedRatio = 2.5
)

// Health is an endpoint's record at this instance.
type Health struct {
	// rate is the smoothed share of failed exchanges, exchanges how many it was made of; own counts.
	rate      float64
	exchanges int
	// broken is how many exchanges in a row broke, unreached how many of the last of them were refused a connection.
	broken    int
	unreached int
	// until is the end of the ejection; zero for an endpoint that was not ejected since it was restored.
	until time.Time
	// backoff is the length of the last ejection.
	backoff time.Duration
	// trial is set while one request tries an ejected endpoint.
	trial bool
	// ended is set once its process has ended, until an answer tells otherwise.
	ended bool
}

// Ejected reports whether the endpoint gets no requests for now.
func (h *Health) Ejected(now time.Time) bool {
	return now.Before(h.until) || h.trial
}

// Unreached reports whether the endpoint gets no requests for now since it refused the last connections.
func (h *Health) Unreached(now time.Time) bool {
	return h.Ejected(now) && h.unreached >= consecutiveBroken
}

// tries reports whether this instance finds out by trials of its own whether the endpoint is back.
func (h *Health) tries() bool {
	return !h.until.IsZero()
}

// TrialDue reports whether one request may try an ejected endpoint again.
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
	if outcome != Unreached && outcome != Ended && outcome != Neutral {
		h.unreached = 0
	}
	switch outcome {
	case Neutral:
		return
	case Refused:
		if h.ended {
			// The next process at its address refuses what was meant for it.
			h.eject(now)
		}
		return
	case Succeeded:
		h.ended = false
		h.add(0)
		h.broken = 0
		if trial {
			h.restore()
		}
	case Errored:
		h.ended = false
		h.add(1)
		h.broken = 0
	case Broken, Unreached:
		h.add(1)
		h.broken++
	case Ended:
		h.add(1)
		h.noteEnded()
	}
	if outcome == Unreached {
		h.unreached++
	}
	if h.bad(serviceRate) || (trial && outcome != Succeeded) {
		h.eject(now)
	}
}

// noteEnded takes in that the endpoint's process has ended: nothing is left to find out by further exchanges.
func (h *Health) noteEnded() {
	h.ended = true
	h.broken, h.unreached = max(h.broken+1, consecutiveBroken), max(h.unreached, consecutiveBroken)
}

// add takes one exchange into the failure rate; failure is 0 or 1.
func (h *Health) add(failure float64) {
	h.exchanges++
	h.rate += failureWeight * (failure - h.rate)
}

// bad reports whether the endpoint is to be ejected; serviceRate is the mean failure rate of the others.
func (h *Health) bad(serviceRate float64) bool {
	if h.broken >= consecutiveBroken {
		return true
	}
	return h.exchanges >= minimumExchanges && h.rate > ejectedRate && h.rate > ejectedRatio*serviceRate
}

// eject avoids the endpoint, for longer each time.
func (h *Health) eject(now time.Time) {
	if now.Before(h.until) {
		return
	}
	h.backoff = min(max(ejectionGrowth*h.backoff, firstEjection), longestEjection)
	h.until = now.Add(h.backoff)
}

// restore forgets what led to the ejection.
func (h *Health) restore() {
	h.until = time.Time{}
	h.backoff = 0
	h.rate = 0
	h.exchanges = 0
}
