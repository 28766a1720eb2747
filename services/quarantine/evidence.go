// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

const (
	// crashCount is how many crashes hold a request back. One or two in a row happen to a sound request where endpoints fail by
	// themselves; each further one costs the requests that are under way at another endpoint.
	crashCount = 3
	// commonCount is how many endpoints that end within commonTime of each other have a common cause, such as the loss of a rack or a cut
	// that refuses connections; it is above what two requests that crash endpoints may do at one time.
	commonCount = 3
	commonTime  = 100 * time.Millisecond
	// tellingTime is after which an end counts: the other instances tell meanwhile which requests of theirs the endpoint had, one of which
	// may be the likelier cause.
	tellingTime = 100 * time.Millisecond
)

// open is the number of a request's crashes since its last whole answer.
func (s *suspect) open() int {
	count := 0
	for _, r := range s.records {
		if !r.answered {
			count++
		}
	}
	return count
}

// last is when the last crash was.
func (s *suspect) last() time.Time {
	var last time.Time
	for _, r := range s.records {
		if r.at.After(last) {
			last = r.at
		}
	}
	return last
}

// evidence gives the endpoints whose ends speak against a request; nil where they are too few to hold it back. An endpoint that ends has many
// requests, and one of them is the cause: a sound request that comes often is under way at many of these ends, so an end counts only against
// those with the most of them.
func (t *Table) evidence(now time.Time, request fingerprint.Fingerprint) []string {
	known := t.suspects[request]
	if known == nil {
		return nil
	}
	open := known.open()
	if open < crashCount {
		return nil
	}
	var endpoints []string
	for _, r := range known.records {
		if r.answered || now.Sub(t.endpoints[r.endpoint].at) < tellingTime || t.outranked(open, r.endpoint) || t.hasCommonCause(r.endpoint) {
			continue
		}
		endpoints = append(endpoints, r.endpoint)
	}
	if len(endpoints) < crashCount {
		return nil
	}
	return endpoints
}

// rivals gives how many other requests have as many crashes as one, and at the same endpoints, so that any of them may be the cause; before
// is how many of these are tried before it.
func (t *Table) rivals(request fingerprint.Fingerprint, evidence []string) (before int, found bool) {
	open := t.suspects[request].open()
	for _, other := range t.endpoints[evidence[0]].requests {
		if other == request || t.suspects[other].open() != open || !t.hadBy(other, evidence) {
			continue
		}
		found = true
		if slices.Compare(other[:], request[:]) < 0 {
			before++
		}
	}
	return before, found
}

// hadBy reports whether all of some endpoints had a request as they ended.
func (t *Table) hadBy(request fingerprint.Fingerprint, endpoints []string) bool {
	for _, endpoint := range endpoints {
		if !slices.Contains(t.endpoints[endpoint].requests, request) {
			return false
		}
	}
	return true
}

// outranked reports whether an endpoint that ended had a request with more crashes than so many.
func (t *Table) outranked(open int, endpoint string) bool {
	return slices.ContainsFunc(t.endpoints[endpoint].requests, func(other fingerprint.Fingerprint) bool {
		return t.suspects[other].open() > open
	})
}

// hasCommonCause reports whether an endpoint ended together with others.
func (t *Table) hasCommonCause(endpoint string) bool {
	at, together := t.endpoints[endpoint].at, 0
	for _, other := range t.endpoints {
		if other.at.Sub(at).Abs() <= commonTime {
			together++
		}
	}
	return together >= commonCount
}
