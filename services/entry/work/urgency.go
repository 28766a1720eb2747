// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package work

import "time"

const (
	// UrgencyLevels is the number of urgency levels that the platform's endpoints distinguish; level 0 is started first.
	UrgencyLevels = 10
	// slackStep is the width of one level, as the time that a request can wait and still be answered in time. A wider
	// step distinguishes fewer requests; a narrower one treats all requests alike whose slack exceeds the range of
	// the levels.
	slackStep = 200 * time.Millisecond
)

// Rank is the position of a route's priority among the priorities of all routes of its service, most urgent first.
type Rank struct {
	// Position is the number of more urgent priorities; Total is the number of all priorities.
	Position, Total int
}

// Urgency returns the level with which an endpoint is to start a request, lowest first. All levels of a rank come
// before those of the next rank. Within a rank, the request with the least slack is first, and a request that can no
// longer be answered in time is last. slack is how long the request can wait until its prompt is read and still be
// answered in time.
func (r Rank) Urgency(slack time.Duration) int {
	levels := UrgencyLevels / max(1, r.Total)
	if levels < 1 {
		return min(UrgencyLevels-1, r.Position)
	}
	last := levels - 1
	if slack < 0 {
		return r.Position*levels + last
	}
	return r.Position*levels + min(max(0, last-1), int(slack/slackStep))
}
