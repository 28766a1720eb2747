// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package directory

import "time"

const (
	// cutAfter is how many exchanges in a row with a hall's endpoints must break, without any answer in between, until the hall counts as
	// cut off. Fewer notice a cut sooner and mistake dead endpoints for one.
	cutAfter = 3
	// firstCut and longestCut bound how long a hall then gets no requests; after that one round of requests tries it again. Longer loses
	// fewer requests to a cut that lasts and leaves a healed hall unused.
	firstCut   = 600 * time.Millisecond
	longestCut = 2400 * time.Millisecond
	// cutGrowth is the factor from one such span to the next one while the hall stays cut off.
	cutGrowth = 2
)

// reach is how this instance reaches the endpoints of one hall. A cut between halls breaks the exchanges
// with all endpoints there, which would otherwise have to be found out for each of them.
type reach struct {
	// broken is how many exchanges with the hall's endpoints broke in a row; own count.
	broken int
	// until is the end of the span, of this length, in which the hall is taken for cut off.
	until time.Time
	span  time.Duration
}

// cut reports whether the hall is taken for cut off.
func (r *reach) cut(now time.Time) bool {
	return now.Before(r.until)
}

// note takes in the end of an exchange with any endpoint of the hall.
func (r *reach) note(now time.Time, outcome Outcome) {
	switch outcome {
	case Neutral, Ended:
		// The exchanges with an endpoint that ends all end at once, and tell nothing of the way to its hall.
		return
	case Succeeded, Errored, Refused:
		*r = reach{}
		return
	case Broken, Unreached:
		r.broken++
	}
	if r.broken < cutAfter || r.cut(now) {
		return
	}
	r.span = min(max(cutGrowth*r.span, firstCut), longestCut)
	r.until = now.Add(r.span)
}
