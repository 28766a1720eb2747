// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package balance

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/directory"
)

// leastSpread is the width, in requests in flight, within which endpoints count as equally loaded, however young the counts are. It stays
// below one, so that a request more always counts, and above zero, so that instances with the same view do not choose alike.
const leastSpread = 0.5

// candidate is an endpoint that can take a request, and what the request adds to there, in requests in flight.
type candidate struct {
	endpoint *directory.EndpointStatus
	cost     float64
}

// pick draws one of the candidates; random is from 0 up to 1, and there must be a candidate.
//
// The others' counts are old, and all instances know the same old ones: if each took the least, all requests of an interval went to
// one endpoint. So a request is taken for one of those that all instances send before the counts are renewed, and the probability of
// an endpoint is the part of those that it should get for the costs to end up level. Counts that are young mean few such requests, and
// the least is taken; very old ones mean nearly equal parts. The rule is Dahlin's interpretation of stale load.
//
// It answers the load of many instances with few requests each.
func pick(candidates []candidate, unknown, random float64) *directory.EndpointStatus {
	unknown = max(unknown, leastSpread)
	level := levelOf(candidates, unknown)
	rest := random * unknown
	last := candidates[0].endpoint
	for _, one := range candidates {
		if one.cost >= level {
			continue
		}
		last = one.endpoint
		rest -= level - one.cost
		if rest < 0 {
			break
		}
	}
	return last
}

// levelOf gives the cost that the cheapest candidates reach if requests come one by one, each to the cheapest.
func levelOf(candidates []candidate, requests float64) float64 {
	costs := make([]float64, 0, len(candidates))
	for _, one := range candidates {
		costs = append(costs, one.cost)
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

// unknownRequests estimates how many requests of other instances have come to the candidates since their counts were taken: as many as
// those that were in flight, once in each time that a request stays.
func unknownRequests(candidates []candidate, age, stay time.Duration) float64 {
	if stay <= 0 {
		return 0
	}
	others := 0
	for _, one := range candidates {
		others += one.endpoint.OthersRequests
	}
	return float64(others) * age.Seconds() / stay.Seconds()
}
