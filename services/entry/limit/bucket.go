// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limit

import "time"

// burstSpan is the time whose requests may be saved up and sent at once, at least one request. Longer loses fewer of an uneven demand,
// shorter keeps closer to the limit in short spans.
const burstSpan = 250 * time.Millisecond

// bucket holds the requests that a rate has allowed and that were not sent. The zero value is empty and fills from its first look on.
type bucket struct {
	level  float64
	filled time.Time
}

// fill adds what a rate has allowed since the last look.
func (b *bucket) fill(now time.Time, rate float64) {
	if !b.filled.IsZero() {
		b.level += rate * now.Sub(b.filled).Seconds()
	}
	b.filled = now
	b.level = min(b.level, max(1, rate*burstSpan.Seconds()))
}

// holds reports whether a request may be sent.
func (b *bucket) holds() bool {
	return b.level >= 1
}

func (b *bucket) take() {
	b.level--
}
