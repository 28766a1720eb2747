// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package limit

import "time"

// burstDuration is the duration whose requests may be saved up and sent at once, but at least one request. A longer time loses
// fewer requests of an uneven demand; a shorter one keeps closer to the limit within short periods.
const burstDuration = 250 * time.Millisecond

// tokenBucket counts the requests that a rate has allowed and that were not sent. The zero value is empty, and is filled from the
// first call of refill on.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the requests that a rate has allowed since the last call.
func (b *tokenBucket) refill(now time.Time, rate float64) {
	if !b.refilledAt.IsZero() {
		b.tokens += rate * now.Sub(b.refilledAt).Seconds()
	}
	b.refilledAt = now
	b.tokens = min(b.tokens, max(1, rate*burstDuration.Seconds()))
}

// hasToken reports whether a request may be sent.
func (b *tokenBucket) hasToken() bool {
	return b.tokens >= 1
}

func (b *tokenBucket) takeToken() {
	b.tokens--
}
