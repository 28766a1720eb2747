// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import "time"

// Forever is the duration of a freeze that only evidence may lift, and of the lease under the seeded fault NeverLapses. It must be longer
// than any process runs.
const Forever = 100 * 365 * 24 * time.Hour

// Options are the timings of a lease.
type Options struct {
	// TTL is the time after which the lease expires at the key-value service without a renewal.
	TTL time.Duration
	// Margin is the time before the end of TTL, by the node's own clock, from which the node sends no more orders.
	Margin time.Duration
	// Renew is the interval between two renewals.
	Renew time.Duration
	// Retry is the time after which an unanswered request for the ownership of a pool is repeated.
	Retry time.Duration
	// NeverLapses is a seeded fault. Tests enable it to verify that their checks detect it.
	NeverLapses bool
}

// Lease is the node's only lease at the key-value service, and the pools owned under it. After a lapse the node gets
// a new lease with a higher number. The pools of the previous lease are not owned under the new one.
type Lease struct {
	options Options
	// number is the number of the current lease, or of the next lease after a lapse.
	number     uint64
	validUntil time.Time
	renewAt    time.Time
	owned      map[string]bool
	requestAt  map[string]time.Time
}

// New returns the state before any lease was granted.
func New(o Options) *Lease {
	return &Lease{options: o, owned: make(map[string]bool), requestAt: make(map[string]time.Time)}
}

// Number returns the number of the lease. Answers about a lease with a lower number are late and must be ignored.
func (l *Lease) Number() uint64 {
	return l.number
}

// SwitchTo makes the lease with the given number the current one, if the number is higher than the current one. The pools
// and the validity of the previous lease are dropped. It reports whether there were any.
func (l *Lease) SwitchTo(number uint64) bool {
	if number <= l.number {
		return false
	}
	had := l.drop()
	l.number = number
	return had
}

// Owns reports whether the pool is owned under the lease.
func (l *Lease) Owns(pool string) bool {
	return l.owned[pool]
}

// AddPool adds a pool whose ownership the key-value service has granted. It reports false if the pool is owned already.
func (l *Lease) AddPool(pool string) bool {
	if l.owned[pool] {
		return false
	}
	l.owned[pool] = true
	return true
}

// RemovePool removes a pool, so that its next request is due at once.
func (l *Lease) RemovePool(pool string) {
	delete(l.owned, pool)
	delete(l.requestAt, pool)
}

// Lapse drops the pools and the validity of the lease with the given number, which has expired at the key-value service.
// It reports whether there were any.
func (l *Lease) Lapse(number uint64) bool {
	if number < l.number {
		return false
	}
	l.number = number + 1
	return l.drop()
}

// drop removes the pools and the validity of the lease, and reports whether there were any.
func (l *Lease) drop() bool {
	had := len(l.owned) > 0 || !l.validUntil.IsZero()
	for pool := range l.owned {
		l.RemovePool(pool)
	}
	l.validUntil = time.Time{}
	return had
}

// AcquireDue reports whether to request the ownership of a pool now. If so, it counts the request as sent.
func (l *Lease) AcquireDue(now time.Time, pool string) bool {
	if l.owned[pool] || now.Before(l.requestAt[pool]) {
		return false
	}
	l.requestAt[pool] = now.Add(l.options.Retry)
	return true
}

// RenewDue reports whether to renew the lease now. If so, it counts the renewal as sent.
func (l *Lease) RenewDue(now time.Time) bool {
	if len(l.owned) == 0 || now.Before(l.renewAt) {
		return false
	}
	l.renewAt = now.Add(l.options.Renew)
	return true
}

// Extend extends the time until which the node may send orders, and returns that time. By this node's
// own clock, it ends Margin before the lease can expire at the service, counted from the time at which the
// renewal was sent. The late answer to an earlier renewal does not shorten it.
func (l *Lease) Extend(sent time.Time) time.Time {
	until := sent.Add(l.options.TTL - l.options.Margin)
	if l.options.NeverLapses {
		until = sent.Add(Forever)
	}
	if until.After(l.validUntil) {
		l.validUntil = until
	}
	return l.validUntil
}
