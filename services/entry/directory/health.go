// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

// Outcome is how one exchange with an endpoint ended, as far as it concerns the endpoint's health.
type Outcome int

// The outcomes of an exchange.
const (
	// Succeeded: a complete response that is not a server error.
	Succeeded Outcome = iota
	// Errored: a complete response with a server error.
	Errored
	// Refused: the endpoint answered that it did not run the request.
	Refused
	// Broken: no connection, no response, or an incomplete response.
	Broken
	// Unreachable: the connection was refused, since nothing listens at the endpoint's address.
	Unreachable
	// Ended: the endpoint closed the exchange and has refused connections since, so its process has ended.
	Ended
	// Neutral: the exchange shows nothing about the endpoint, as when the caller disconnected.
	Neutral
)

const (
	// failureWeight is the weight of the newest exchange in the failure rate. A higher value detects a failing endpoint after fewer
	// exchanges, with more noise.
	failureWeight = 0.2
	// minimumExchanges is how many exchanges a failure rate must be based on to eject an endpoint. A lower value ejects sooner, and more
	// often by chance.
	minimumExchanges = 5
	// minimumComparedExchanges is how many exchanges another endpoint's failure rate must be based on to be compared with. It is below
	// minimumExchanges, so that a failure of the whole service ejects no endpoint when it starts.
	minimumComparedExchanges = 2
	// maxConsecutiveBroken is how many broken exchanges in a row eject an endpoint whatever its failure rate. A lower value detects a dead
	// endpoint sooner and ejects healthy ones for a single lost connection.
	maxConsecutiveBroken = 2
	// initialEjection and maxEjection bound how long an endpoint is avoided before a request tries it again. Higher values cost fewer
	// failed trials and leave a recovered endpoint idle.
	initialEjection = 800 * time.Millisecond
	maxEjection     = 6 * time.Second
	// ejectionGrowth is the factor from one ejection to the next after a failed trial. A higher value tries a dead endpoint less often.
	ejectionGrowth = 2
	// ejectedRate is the failure rate, as a share of exchanges, above which an endpoint may be ejected. A lower value ejects sooner and
	// leaves more work to the other endpoints.
	ejectedRate = 0.3
	// ejectedRatio is the multiple of the mean failure rate of the service's other endpoints that the rate must also exceed, so that an
	// error of the whole service ejects no endpoint.
	ejectedRatio = 2.5
)

// Health records the outcomes of this instance's exchanges with an endpoint and decides on its ejection.
type Health struct {
	// rate is the smoothed share of failed exchanges, exchanges the number of exchanges it is based on.
	rate      float64
	exchanges int
	// broken is how many exchanges in a row broke, connectionsRefused how many of the most recent of them had their connection refused.
	broken             int
	connectionsRefused int
	// ejectedUntil is the end of the ejection; zero for an endpoint that was not ejected since its last recovery.
	ejectedUntil time.Time
	// backoff is the length of the last ejection.
	backoff time.Duration
	// trialInFlight is set while one request tries an ejected endpoint.
	trialInFlight bool
	// processEnded is set once the endpoint's process has ended, until the endpoint answers again.
	processEnded bool
}

// Ejected reports whether the endpoint currently gets no requests because of its health.
func (h *Health) Ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil) || h.trialInFlight
}

// Unreachable reports whether the endpoint is ejected and refused the last connections.
func (h *Health) Unreachable(now time.Time) bool {
	return h.Ejected(now) && h.connectionsRefused >= maxConsecutiveBroken
}

// awaitingRecovery reports whether this instance has ejected the endpoint and finds out by trials of its own whether it recovered.
func (h *Health) awaitingRecovery() bool {
	return !h.ejectedUntil.IsZero()
}

// TrialDue reports whether the ejection is over and a request may try the endpoint again.
func (h *Health) TrialDue(now time.Time) bool {
	return !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) && !h.trialInFlight
}

// beginTrial marks that a request tries the endpoint.
func (h *Health) beginTrial() {
	h.trialInFlight = true
}

// record records an outcome. serviceRate is the mean failure rate of the service's other endpoints.
func (h *Health) record(now time.Time, outcome Outcome, serviceRate float64) {
	trialInFlight := h.trialInFlight
	h.trialInFlight = false
	if outcome != Unreachable && outcome != Ended && outcome != Neutral {
		h.connectionsRefused = 0
	}
	switch outcome {
	case Neutral:
		return
	case Refused:
		if h.processEnded {
			// A new process at the same address refuses requests that were meant for the ended one.
			h.eject(now)
		}
		return
	case Succeeded:
		h.processEnded = false
		h.addSample(0)
		h.broken = 0
		if trialInFlight {
			h.reset()
		}
	case Errored:
		h.processEnded = false
		h.addSample(1)
		h.broken = 0
	case Broken, Unreachable:
		h.addSample(1)
		h.broken++
	case Ended:
		h.addSample(1)
		h.markEnded()
	}
	if outcome == Unreachable {
		h.connectionsRefused++
	}
	if h.shouldEject(serviceRate) || (trialInFlight && outcome != Succeeded) {
		h.eject(now)
	}
}

// markEnded records that the endpoint's process has ended and counts it as ejected without further exchanges.
func (h *Health) markEnded() {
	h.processEnded = true
	h.broken, h.connectionsRefused = max(h.broken+1, maxConsecutiveBroken), max(h.connectionsRefused, maxConsecutiveBroken)
}

// addSample adds one exchange to the failure rate; failure is 0 or 1.
func (h *Health) addSample(failure float64) {
	h.exchanges++
	h.rate += failureWeight * (failure - h.rate)
}

// shouldEject reports whether the endpoint is to be ejected. serviceRate is the mean failure rate of the service's other endpoints.
func (h *Health) shouldEject(serviceRate float64) bool {
	if h.broken >= maxConsecutiveBroken {
		return true
	}
	return h.exchanges >= minimumExchanges && h.rate > ejectedRate && h.rate > ejectedRatio*serviceRate
}

// eject starts an ejection, longer than the last one.
func (h *Health) eject(now time.Time) {
	if now.Before(h.ejectedUntil) {
		return
	}
	h.backoff = min(max(ejectionGrowth*h.backoff, initialEjection), maxEjection)
	h.ejectedUntil = now.Add(h.backoff)
}

// reset clears the ejection and the failure rate after a recovery.
func (h *Health) reset() {
	h.ejectedUntil = time.Time{}
	h.backoff = 0
	h.rate = 0
	h.exchanges = 0
}
