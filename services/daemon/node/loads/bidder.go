// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package loads

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/ring"
)

const (
	// resendAfter is the time after which an unchanged bid is sent again to the instance that
	// grants permits. A longer time sends less and replaces a lost bid later. It must be well
	// below the five seconds after which the receiver drops a bid.
	resendAfter = 250 * time.Millisecond
	// resendIncrease is the factor by which a bid's value must have risen for the bid to be sent again earlier. A higher factor sends less
	// and ranks a pool by an older value.
	resendIncrease = 1.5
)

// PermitWithin is the time within which a pool should start the load that a permit allows. It is sent with the permit, but no receiver
// reads it.
const PermitWithin = 2 * time.Second

// BudgetHall returns the name of the hall whose speaker divides the weight store's rate among the
// reachable halls. Halls that reach the same halls choose the same one.
func BudgetHall(visible []string) string {
	return ring.Best("load-budget", visible)
}

// recoverySteps is the number of different waiting times after a takeover. It must be much greater than the number of pools.
const recoverySteps = 1000

// Recovering reports whether a pool that was taken over the given time ago must still wait
// before it bids. The first loads after a takeover are spread over the time spread; each pool
// waits for its own fraction of it.
func Recovering(age time.Duration, pool, instance string, spread time.Duration) bool {
	if spread <= 0 {
		return false
	}
	part := float64(ring.Score(pool, instance)%recoverySteps) / recoverySteps
	return age < time.Duration(float64(spread)*part)
}

// HeldPermit is a permit in use, with the instance that granted it.
type HeldPermit struct {
	From fleet.Instance
	ID   uint64
}

// Bidder schedules the bids of one pool.
type Bidder struct {
	interval time.Duration
	madeAt   time.Time
	// hasOpenBid is true if the last bid was for a load and must be withdrawn if the pool no longer wants one.
	hasOpenBid bool
	sentAt     time.Time
	sentValue  float64
}

// NewBidder returns a bidder without bids; interval is the time between two bids.
func NewBidder(interval time.Duration) Bidder {
	return Bidder{interval: interval}
}

// BidDue reports whether the interval since the pool's last bid has passed.
func (b *Bidder) BidDue(now time.Time) bool {
	return now.Sub(b.madeAt) >= b.interval
}

// RecordBid records a bid; wants is true if the pool wants a load. It reports whether there is a bid
// to make or to withdraw.
func (b *Bidder) RecordBid(now time.Time, wants bool) bool {
	if !wants && !b.hasOpenBid {
		return false
	}
	b.madeAt = now
	b.hasOpenBid = wants
	return true
}

// SendDue reports whether to send the bid to the instance that grants permits now. If so, it counts the
// bid as sent. A withdrawal is always sent. A bid is sent if its value has risen by more than
// resendIncrease, and again after resendAfter, since it may have been lost.
func (b *Bidder) SendDue(now time.Time, value float64, wants bool) bool {
	if wants && now.Sub(b.sentAt) < resendAfter && value <= b.sentValue*resendIncrease {
		return false
	}
	b.sentAt, b.sentValue = now, value
	return true
}

// ResetAfterPermit makes the next bid due at once and lets SendDue accept any value. It is called after a permit was
// used or returned, since the receiver has dropped the bid that the permit answered.
func (b *Bidder) ResetAfterPermit() {
	b.madeAt = time.Time{}
	b.sentValue = 0
}
