// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package budget

import (
	"math"
	"time"
)

// Limits are the load rate of the weight store and the number of concurrent loads that it serves at full speed.
type Limits struct {
	LoadsPerSecond float64
	AtFullSpeed    int
}

// Scale returns the limits for a group of halls in which only some of all halls are visible.
func (l Limits) Scale(visible, all int) Limits {
	if all <= 0 || visible >= all {
		return l
	}
	share := float64(visible) / float64(all)
	atOnce := int(math.Floor(float64(l.AtFullSpeed) * share))
	return Limits{LoadsPerSecond: l.LoadsPerSecond * share, AtFullSpeed: max(1, atOnce)}
}

// Ledger grants permits to the highest bids. It is not safe for concurrent use.
type Ledger struct {
	limits      Limits
	tokens      float64
	refilledAt  time.Time
	bids        map[string]bid
	outstanding map[uint64]permit
	lastID      uint64
	permitTTL   time.Duration
}

type bid struct {
	value    float64
	preload  bool
	issuedAt time.Time
}

type permit struct {
	pool     string
	issuedAt time.Time
}

// Permit allows a pool to start one load.
type Permit struct {
	ID   uint64
	Pool string
}

const (
	// bidTTL is the time after which a bid that was not renewed is dropped. A longer time gives permits to pools that no longer respond, a
	// shorter one drops the bid of a pool after lost messages.
	bidTTL = 5 * time.Second
	// maxSavedTokens is the number of tokens that accumulate while there are no bids. A higher number starts more loads at once after a pause;
	// above 1, the rate is exceeded for a short time.
	maxSavedTokens = 1.0
)

// NewLedger returns a ledger without saved tokens. A permit that is not returned within permitTTL is dropped.
func NewLedger(now time.Time, l Limits, permitTTL time.Duration) *Ledger {
	return &Ledger{limits: l, refilledAt: now, bids: make(map[string]bid), outstanding: make(map[uint64]permit), permitTTL: permitTTL}
}

// SetLimits changes the limits after a change of the configuration or of the visible halls.
func (l *Ledger) SetLimits(now time.Time, limits Limits) {
	l.refill(now)
	l.limits = limits
}

// Limits returns the current limits.
func (l *Ledger) Limits() Limits {
	return l.limits
}

// Outstanding returns the number of outstanding permits.
func (l *Ledger) Outstanding() int {
	return len(l.outstanding)
}

// SetBid sets a pool's bid. A value of zero or less withdraws it.
func (l *Ledger) SetBid(now time.Time, pool string, value float64, preload bool) {
	if value <= 0 {
		delete(l.bids, pool)
		return
	}
	l.bids[pool] = bid{value: value, preload: preload, issuedAt: now}
}

// Grant grants a permit to the highest bid, if a token is available and fewer than AtFullSpeed permits are outstanding.
func (l *Ledger) Grant(now time.Time) (Permit, bool) {
	l.refill(now)
	l.expire(now)
	if l.tokens < 1 || len(l.outstanding) >= l.limits.AtFullSpeed {
		return Permit{}, false
	}
	best, found := "", false
	for pool, b := range l.bids {
		if b.preload && !l.preloadAllowed() {
			continue
		}
		if !found || l.precedes(pool, best) {
			best, found = pool, true
		}
	}
	if !found {
		return Permit{}, false
	}
	l.tokens--
	l.lastID++
	delete(l.bids, best)
	l.outstanding[l.lastID] = permit{pool: best, issuedAt: now}
	return Permit{ID: l.lastID, Pool: best}, true
}

// preloadAllowed reports whether a preload may get a permit. The last permit within AtFullSpeed is kept for loads for which
// requests wait.
func (l *Ledger) preloadAllowed() bool {
	return l.limits.AtFullSpeed <= 1 || len(l.outstanding) < l.limits.AtFullSpeed-1
}

func (l *Ledger) precedes(pool, other string) bool {
	a, b := l.bids[pool], l.bids[other]
	if a.preload != b.preload {
		return !a.preload
	}
	if a.value != b.value {
		return a.value > b.value
	}
	return pool < other
}

// ReturnPermit returns a permit. If it was not used, its token becomes available again.
func (l *Ledger) ReturnPermit(now time.Time, id uint64, used bool) {
	l.refill(now)
	if _, ok := l.outstanding[id]; !ok {
		return
	}
	delete(l.outstanding, id)
	if !used {
		l.tokens = math.Min(maxSavedTokens, l.tokens+1)
	}
}

// NextWake returns the time at which the next token will be available, or the zero time if one
// is already available or no permit could be granted with it.
func (l *Ledger) NextWake(now time.Time) time.Time {
	l.refill(now)
	missing := 1 - l.tokens
	if missing <= 0 || l.limits.LoadsPerSecond <= 0 || len(l.outstanding) >= l.limits.AtFullSpeed {
		return time.Time{}
	}
	wait := time.Duration(missing / l.limits.LoadsPerSecond * float64(time.Second))
	return now.Add(wait + time.Millisecond)
}

func (l *Ledger) refill(now time.Time) {
	dt := now.Sub(l.refilledAt).Seconds()
	if dt <= 0 {
		return
	}
	l.refilledAt = now
	l.tokens = math.Min(maxSavedTokens, l.tokens+dt*l.limits.LoadsPerSecond)
}

// expire drops bids that were not renewed and permits that were not returned in time.
func (l *Ledger) expire(now time.Time) {
	for pool, b := range l.bids {
		if now.Sub(b.issuedAt) > bidTTL {
			delete(l.bids, pool)
		}
	}
	for id, p := range l.outstanding {
		if now.Sub(p.issuedAt) > l.permitTTL {
			delete(l.outstanding, id)
		}
	}
}

// CanGrant reports whether a permit could be granted now. Otherwise, bids need not be computed.
func (l *Ledger) CanGrant(now time.Time) bool {
	l.refill(now)
	return len(l.outstanding) < l.limits.AtFullSpeed && l.tokens >= 1
}
