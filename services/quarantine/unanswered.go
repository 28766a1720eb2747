// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/modules/fingerprint"
)

const (
	// unansweredTime is for how long an endpoint is taken to have a request still after its exchange was given up.
	unansweredTime = 3 * time.Second
	// mostUnanswered is how many such requests are kept for an endpoint, the latest.
	mostUnanswered = 64
)

// unanswered is a request whose exchange ended without a whole answer while its endpoint went on, as far as was seen: its caller left, or its
// time was over. The endpoint may run it all the same.
type unanswered struct {
	request fingerprint.Fingerprint
	at      time.Time
}

// Unanswered takes in that the exchange of a request ended without a whole answer. If its endpoint ends soon, or has ended, the end counts
// against the request as well: without that it would count against the requests alone whose callers stayed.
func (t *Table) Unanswered(now time.Time, request fingerprint.Fingerprint, endpoint string) {
	if known := t.endpoints[endpoint]; known != nil {
		// Later than that, another process is back under the endpoint's name.
		if now.Sub(known.at) <= unansweredTime {
			t.Crashed(now, request, endpoint)
		}
		return
	}
	kept := append(t.unanswered[endpoint], unanswered{request: request, at: now})
	t.unanswered[endpoint] = kept[max(len(kept)-mostUnanswered, 0):]
}

// addUnanswered counts the end of an endpoint against the requests that it may still have had.
func (t *Table) addUnanswered(endpoint string, at time.Time) {
	kept := t.unanswered[endpoint]
	delete(t.unanswered, endpoint)
	for _, one := range kept {
		if at.Sub(one.at) <= unansweredTime {
			t.Crashed(at, one.request, endpoint)
		}
	}
}

// sweepUnanswered forgets the requests that no endpoint is taken to have any more.
func (t *Table) sweepUnanswered(now time.Time) {
	for endpoint, kept := range t.unanswered {
		kept = slices.DeleteFunc(kept, func(one unanswered) bool { return now.Sub(one.at) > unansweredTime })
		if len(kept) == 0 {
			delete(t.unanswered, endpoint)
			continue
		}
		t.unanswered[endpoint] = kept
	}
}
