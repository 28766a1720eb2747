// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

const (
	// unansweredRetention is how long an endpoint is assumed to still run a request whose exchange was given up.
	unansweredRetention = 3 * time.Second
	// maxUnanswered is how many of the latest such requests are kept per endpoint.
	maxUnanswered = 64
)

// unanswered is a request whose exchange ended without a complete response while its endpoint appeared to keep running: the caller
// disconnected or the deadline passed. The endpoint may still run the request.
type unanswered struct {
	request fingerprint.Fingerprint
	at      time.Time
}

// RecordUnanswered records that the exchange of a request ended without a complete response. If its endpoint ends soon after, or has ended,
// the end counts against this request as well. Otherwise it would count only against the requests whose callers stayed connected.
func (t *Table) RecordUnanswered(now time.Time, request fingerprint.Fingerprint, endpoint string) {
	if known := t.endpoints[endpoint]; known != nil {
		// After that time, a new process may run under the endpoint's name.
		if now.Sub(known.at) <= unansweredRetention {
			t.RecordCrash(now, request, endpoint)
		}
		return
	}
	kept := append(t.unanswered[endpoint], unanswered{request: request, at: now})
	t.unanswered[endpoint] = kept[max(len(kept)-maxUnanswered, 0):]
}

// countUnanswered counts the end of an endpoint against the requests that it may still have been running.
func (t *Table) countUnanswered(endpoint string, at time.Time) {
	kept := t.unanswered[endpoint]
	delete(t.unanswered, endpoint)
	for _, pending := range kept {
		if at.Sub(pending.at) <= unansweredRetention {
			t.RecordCrash(at, pending.request, endpoint)
		}
	}
}

// sweepUnanswered deletes the requests that endpoints are no longer assumed to run.
func (t *Table) sweepUnanswered(now time.Time) {
	for endpoint, kept := range t.unanswered {
		kept = slices.DeleteFunc(kept, func(pending unanswered) bool { return now.Sub(pending.at) > unansweredRetention })
		if len(kept) == 0 {
			delete(t.unanswered, endpoint)
			continue
		}
		t.unanswered[endpoint] = kept
	}
}
