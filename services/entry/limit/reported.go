// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limit

import "time"

const (
	// minRate is the minimum number of requests per second that are allowed for any limit: without a request, no instance would learn
	// that a limit of zero was lifted. A higher value detects that sooner; a lower one reduces the load on the endpoint.
	minRate = 0.2
	// remoteLiftMargin is by how much a report of another instance that the limit was lifted must be newer than the limit, because
	// reports are delayed on their way. A longer time tolerates slower connections; a shorter one accepts sooner that a limit was
	// lifted.
	remoteLiftMargin = time.Second
)

// Change is the effect of a report on a limit.
type Change int

// The effects of a report.
const (
	// Unchanged means that the limit is the same as before.
	Unchanged Change = iota
	// Set means that the endpoint reports a limit, or a different one than before.
	Set
	// Lifted means that the endpoint reports no limit any more.
	Lifted
)

// ReportedLimit is the limit that an endpoint reports. A response states a limit that applied at some time between the sending of its request
// and the arrival of the response, and responses overtake each other. Therefore a higher limit, or none, is accepted only if it is
// certainly newer. The zero value is no limit.
type ReportedLimit struct {
	perSecond float64
	// reportedAt is when the limit was last reported; zero if there is no limit.
	reportedAt time.Time
	// unlimitedSentAt is the time at which the request of the last response without a limit was sent; zero for none.
	unlimitedSentAt time.Time
}

// HasLimit reports whether there is a limit.
func (n *ReportedLimit) HasLimit() bool {
	return !n.reportedAt.IsZero()
}

// PerSecond returns the limit as reported, in requests per second.
func (n *ReportedLimit) PerSecond() float64 {
	return n.perSecond
}

// ReportedAt returns when the limit was last reported, on this instance's clock.
func (n *ReportedLimit) ReportedAt() time.Time {
	return n.reportedAt
}

// Rate returns how many requests per second may be sent.
func (n *ReportedLimit) Rate() float64 {
	return max(n.perSecond, minRate)
}

// ObserveResponse updates the limit by the response to a request of this instance, which was sent at the given time; limit is nil if the
// response reports none.
func (n *ReportedLimit) ObserveResponse(now, sent time.Time, limit *float64) Change {
	if limit == nil {
		return n.lift(sent, n.reportedAt)
	}
	if n.HasLimit() && sent.Before(n.reportedAt) {
		return n.set(now, min(*limit, n.perSecond))
	}
	return n.set(now, *limit)
}

// MergeReport updates the limit by a limit that was reported to another instance at the given time.
func (n *ReportedLimit) MergeReport(perSecond float64, reportedAt time.Time) Change {
	if !reportedAt.After(n.reportedAt) || !reportedAt.After(n.unlimitedSentAt) {
		return Unchanged
	}
	return n.set(reportedAt, perSecond)
}

// MergeLift lifts the limit if another instance got a response without a limit to a request that it sent at a sufficiently late time.
func (n *ReportedLimit) MergeLift(sent time.Time) Change {
	return n.lift(sent, n.reportedAt.Add(remoteLiftMargin))
}

func (n *ReportedLimit) set(at time.Time, perSecond float64) Change {
	changed := !n.HasLimit() || perSecond != n.perSecond
	n.perSecond, n.reportedAt = perSecond, at
	if changed {
		return Set
	}
	return Unchanged
}

// lift removes the limit if the request was sent after a given time.
func (n *ReportedLimit) lift(sent, after time.Time) Change {
	if !n.HasLimit() || !sent.After(after) {
		return Unchanged
	}
	*n = ReportedLimit{unlimitedSentAt: sent}
	return Lifted
}
