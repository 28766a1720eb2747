// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// minUnknownRequests is the minimum estimate of the requests that came since the counts were taken, however recent the counts are:
// endpoints whose costs differ by less count as equally loaded. It is below one, so that one request more always matters, and above
// zero, so that instances with the same view do not all choose the same endpoint.
const minUnknownRequests = 0.5

// candidate is an endpoint that can accept a request, with the request's cost there in requests in flight.
type candidate struct {
	endpoint *directory.EndpointStatus
	cost     float64
}

// drawCandidate draws one of the candidates, of which there must be at least one; random is in [0, 1).
//
// The counts of the other instances are old, and all instances use the same old counts: if each chose the minimum, all requests of an
// interval would go to one endpoint. Therefore the request is treated as one of those that all instances send before the counts are
// renewed. The probability of an endpoint is the share of these requests that it should get for the costs to become level. With
// recent counts there are few such requests, and the minimum is chosen; with very old counts the shares are almost equal. This is
// Dahlin's load interpretation for stale load information.
//
// The rule addresses the load of many instances with few requests each.
func drawCandidate(candidates []candidate, unknown, random float64) *directory.EndpointStatus {
	unknown = max(unknown, minUnknownRequests)
	level := commonLevel(candidates, unknown)
	remaining := random * unknown
	drawn := candidates[0].endpoint
	for _, c := range candidates {
		if c.cost >= level {
			continue
		}
		drawn = c.endpoint
		remaining -= level - c.cost
		if remaining < 0 {
			break
		}
	}
	return drawn
}

// commonLevel returns the cost that the cheapest candidates reach if a number of requests go, one by one, to the cheapest candidate.
func commonLevel(candidates []candidate, requests float64) float64 {
	costs := make([]float64, 0, len(candidates))
	for _, c := range candidates {
		costs = append(costs, c.cost)
	}
	slices.Sort(costs)
	sum := 0.0
	for i, cost := range costs {
		level := (requests + sum) / float64(max(1, i))
		if i > 0 && level <= cost {
			return level
		}
		sum += cost
	}
	return (requests + sum) / float64(len(costs))
}

// unknownRequests estimates how many requests of other instances came to the candidates since their counts were taken: per duration
// of a request, as many as were in flight.
func unknownRequests(candidates []candidate, age, inFlightTime time.Duration) float64 {
	if inFlightTime <= 0 {
		return 0
	}
	others := 0
	for _, c := range candidates {
		others += c.endpoint.OthersRequests
	}
	return float64(others) * age.Seconds() / inFlightTime.Seconds()
}
