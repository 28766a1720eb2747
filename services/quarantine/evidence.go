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
	// commonCauseThreshold is how many endpoints must end within commonCauseWindow of each other for a common cause to be possible, such as
	// the loss of a rack or a network partition that refuses connections. It is above what two requests that crash endpoints may cause at
	// one time, unless many callers send them at once.
	commonCauseThreshold = 3
	// commonCauseWindow is also the time between two crashes of a request from which on they are separate events. It covers what a busy
	// instance takes to find out that endpoints which ended together refuse connections.
	commonCauseWindow = 250 * time.Millisecond
	// reportDelay is how long after an endpoint's end the end counts as evidence. Meanwhile the other instances report which of their
	// requests the endpoint had in flight, one of which may be the likelier cause.
	reportDelay = 100 * time.Millisecond
)

// openRecords returns the records of the request's crashes since its last complete response, in order of time.
func (s *suspect) openRecords() []record {
	var open []record
	for _, r := range s.records {
		if !r.answered {
			open = append(open, r)
		}
	}
	slices.SortFunc(open, func(a, b record) int { return a.at.Compare(b.at) })
	return open
}

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

// firstEvent returns the number of records, in order of time, that belong to the first event: each of them follows the one before within
// commonCauseWindow. Several callers that send a request at the same moment cause one event, and so does the loss of a rack.
func firstEvent(records []record) int {
	for i := 1; i < len(records); i++ {
		if records[i].at.Sub(records[i-1].at) > commonCauseWindow {
			return i
		}
	}
	return len(records)
}

// countEvents returns the number of events of records in order of time.
func countEvents(records []record) int {
	count := 0
	for len(records) > 0 {
		records = records[firstEvent(records):]
		count++
	}
	return count
}

// answeredBefore reports whether the request is known to have got a complete response before the first of the given crashes.
func answeredBefore(crashes []record) bool {
	return slices.ContainsFunc(crashes[:firstEvent(crashes)], func(r record) bool { return r.answeredBefore })
}

// countedCrashes returns the crashes since the request's last complete response, in order of time, that may speak against it.
//
// Endpoints that end together end either because of a common cause or because callers sent a request to all of them at the same moment. The
// times of the ends do not tell the two apart. The request's own history does: a request that is in flight at several endpoints by chance
// is repeated often, so it was answered shortly before. A request that crashes endpoints never was. Only the first event after the response
// is excused, since a request may begin to crash endpoints, for example with a new version of its adapter.
func (t *Table) countedCrashes(request fingerprint.Fingerprint) []record {
	crashes := t.suspects[request].openRecords()
	if len(crashes) == 0 || !answeredBefore(crashes) {
		return crashes
	}
	first := firstEvent(crashes)
	if !slices.ContainsFunc(crashes[:first], func(r record) bool { return t.hasCommonCause(r.endpoint) }) {
		return crashes
	}
	return crashes[first:]
}

// evidence returns the crashes that count against a request, in order of time, or nil if they are too few to quarantine it. An endpoint has
// many requests in flight when it ends, one of which is the cause. A harmless request that is sent often is in flight at many of these ends,
// so an end counts only against those of its requests with the most crashes.
func (t *Table) evidence(now time.Time, request fingerprint.Fingerprint) []record {
	if known := t.suspects[request]; known == nil || len(known.records) < crashThreshold {
		return nil
	}
	counted := t.countedCrashes(request)
	if len(counted) < crashThreshold {
		return nil
	}
	var evidence []record
	for _, r := range counted {
		if now.Sub(t.endpoints[r.endpoint].at) >= reportDelay && !t.hasLikelierCause(len(counted), r.endpoint) {
			evidence = append(evidence, r)
		}
	}
	if len(evidence) < crashThreshold {
		return nil
	}
	return evidence
}

// ambiguousCauses reports whether other requests have as many crashes as the given one, at the same endpoints, so that any of them may be
// the cause. before is how many of them are tried before the given one.
func (t *Table) ambiguousCauses(request fingerprint.Fingerprint, evidence []record) (before int, found bool) {
	crashes := len(t.countedCrashes(request))
	for _, other := range t.endpoints[evidence[0].endpoint].requests {
		if other == request || len(t.countedCrashes(other)) != crashes || !t.inFlightAtAll(other, evidence) {
			continue
		}
		found = true
		if slices.Compare(other[:], request[:]) < 0 {
			before++
		}
	}
	return before, found
}

// inFlightAtAll reports whether a request was in flight at the endpoints of all given crashes when they ended.
func (t *Table) inFlightAtAll(request fingerprint.Fingerprint, crashes []record) bool {
	for _, r := range crashes {
		if !slices.Contains(t.endpoints[r.endpoint].requests, request) {
			return false
		}
	}
	return true
}

// hasLikelierCause reports whether an ended endpoint had a request in flight with more than the given number of crashes.
func (t *Table) hasLikelierCause(crashes int, endpoint string) bool {
	return slices.ContainsFunc(t.endpoints[endpoint].requests, func(other fingerprint.Fingerprint) bool {
		return t.suspects[other].openCrashes() > crashes && len(t.countedCrashes(other)) > crashes
	})
}

// hasCommonCause reports whether an endpoint ended together with so many others that they may have a common cause.
func (t *Table) hasCommonCause(endpoint string) bool {
	at, together := t.endpoints[endpoint].at, 0
	for _, other := range t.endpoints {
		if other.at.Sub(at).Abs() <= commonCauseWindow {
			together++
		}
	}
	return together >= commonCauseThreshold
}
