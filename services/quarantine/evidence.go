// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

const (
	// crashThreshold is how many crashes quarantine a request. Where endpoints fail for other reasons, one or two crashes in a row also
	// happen to a harmless request; each further crash costs the requests in flight at another endpoint.
	crashThreshold = 3
	// commonCauseThreshold is how many endpoints must end within commonCauseWindow of each other to assume a common cause, such as the loss
	// of a rack or a network partition that refuses connections. It is above what two requests that crash endpoints may cause at one time.
	commonCauseThreshold = 3
	commonCauseWindow    = 100 * time.Millisecond
	// reportDelay is how long after an endpoint's end the end counts as evidence. Meanwhile the other instances report which of their
	// requests the endpoint had in flight, one of which may be the likelier cause.
	reportDelay = 100 * time.Millisecond
)

// openCrashes returns the number of the request's crashes since its last complete response.
func (s *suspect) openCrashes() int {
	count := 0
	for _, r := range s.records {
		if !r.answered {
			count++
		}
	}
	return count
}

// lastCrash returns the time of the request's last crash.
func (s *suspect) lastCrash() time.Time {
	var lastCrash time.Time
	for _, r := range s.records {
		if r.at.After(lastCrash) {
			lastCrash = r.at
		}
	}
	return lastCrash
}

// evidence returns the endpoints whose ends count against a request, or nil if they are too few to quarantine it. An endpoint has many
// requests in flight when it ends, one of which is the cause. A harmless request that is sent often is in flight at many of these ends, so
// an end counts only against those of its requests with the most crashes.
func (t *Table) evidence(now time.Time, request fingerprint.Fingerprint) []string {
	known := t.suspects[request]
	if known == nil {
		return nil
	}
	openCrashes := known.openCrashes()
	if openCrashes < crashThreshold {
		return nil
	}
	var endpoints []string
	for _, r := range known.records {
		if r.answered || now.Sub(t.endpoints[r.endpoint].at) < reportDelay || t.hasLikelierCause(openCrashes, r.endpoint) || t.hasCommonCause(r.endpoint) {
			continue
		}
		endpoints = append(endpoints, r.endpoint)
	}
	if len(endpoints) < crashThreshold {
		return nil
	}
	return endpoints
}

// ambiguousCauses reports whether other requests have as many crashes as the given one, at the same endpoints, so that any of them may be
// the cause. before is how many of them are tried before the given one.
func (t *Table) ambiguousCauses(request fingerprint.Fingerprint, evidence []string) (before int, found bool) {
	openCrashes := t.suspects[request].openCrashes()
	for _, other := range t.endpoints[evidence[0]].requests {
		if other == request || t.suspects[other].openCrashes() != openCrashes || !t.inFlightAtAll(other, evidence) {
			continue
		}
		found = true
		if slices.Compare(other[:], request[:]) < 0 {
			before++
		}
	}
	return before, found
}

// inFlightAtAll reports whether a request was in flight at all of the given endpoints when they ended.
func (t *Table) inFlightAtAll(request fingerprint.Fingerprint, endpoints []string) bool {
	for _, endpoint := range endpoints {
		if !slices.Contains(t.endpoints[endpoint].requests, request) {
			return false
		}
	}
	return true
}

// hasLikelierCause reports whether an ended endpoint had a request in flight with more than openCrashes crashes.
func (t *Table) hasLikelierCause(openCrashes int, endpoint string) bool {
	return slices.ContainsFunc(t.endpoints[endpoint].requests, func(other fingerprint.Fingerprint) bool {
		return t.suspects[other].openCrashes() > openCrashes
	})
}

// hasCommonCause reports whether an endpoint ended together with so many others that a common cause is assumed.
func (t *Table) hasCommonCause(endpoint string) bool {
	at, together := t.endpoints[endpoint].at, 0
	for _, other := range t.endpoints {
		if other.at.Sub(at).Abs() <= commonCauseWindow {
			together++
		}
	}
	return together >= commonCauseThreshold
}
