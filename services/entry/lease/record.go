// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import (
	"net/netip"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/modules/messagepack"
)

// Record is the stored record of the lease.
type Record struct {
	Holder  string
	Address netip.AddrPort
	Term    int64
	// Ordering is set once the holder may have sent orders in this term.
	Ordering bool
	// Released is set when the holder sends no more orders.
	Released bool
	// Former is the last holder that may have sent orders, if the current holder has not sent any yet.
	Former string
	// RecentLoads is the number of base model loads that a releasing holder started in the last window. Adapter loads
	// are not counted.
	RecentLoads int
	// Earlier lists the holders before Former that may have sent orders recently, latest first, at most
	// maxEarlierHolders. Previous versions of the program neither write nor preserve it.
	Earlier []string `msgpack:",omitempty"`
	// Era is the era of the store in which the holder took the lease. In a later era the record is from before the store came
	// back from a copy. Previous versions of the program neither write nor preserve it.
	Era int64 `msgpack:",omitempty"`
}

// maxEarlierHolders is the number of holders before the former one in a record. A higher number covers more hand-overs
// within Options.MinReturnDelay, each of which takes tens of milliseconds at least; a lower one lets an instance that
// becomes the holder again wait unnecessarily.
const maxEarlierHolders = 4

// heldBefore reports whether an instance held the lease before the record's holder, according to the record.
func (r Record) heldBefore(instance string) bool {
	return r.Former == instance || slices.Contains(r.Earlier, instance)
}

// WithoutExpiredHolders returns the record without the earlier holders if the lease has been held for so long that even a late order
// of theirs has expired.
func (r Record) WithoutExpiredHolders(held time.Duration, options Options) Record {
	if held >= options.MinReturnDelay+lateOrderTimeouts*options.OrderTimeout {
		r.Former, r.Earlier = "", nil
	}
	return r
}

// Encode returns the stored form of the record.
func (r Record) Encode() ([]byte, error) {
	return msgpack.Marshal(r)
}

// DecodeRecord decodes the stored form of a record.
func DecodeRecord(value []byte) (Record, error) {
	var record Record
	err := messagepack.Unmarshal(value, &record)
	return record, err
}

// Options are the settings of the lease.
type Options struct {
	// Window is the time after sending a confirming read during which orders may be sent.
	Window time.Duration
	// OrderTimeout is the longest time that an order may take to arrive.
	OrderTimeout time.Duration
	// MinReturnDelay is the minimum time between the orders of two holders if the second one held the lease before the first.
	MinReturnDelay time.Duration
}

const (
	// lateOrderTimeouts is the number of order time-outs that a new holder waits beyond the former holder's window.
	// The last order arrives within one time-out; the reason for two is not recorded.
	lateOrderTimeouts = 2
	// restartWaitDivisor divides the order time-out if the former process is certainly dead, so that only data in
	// transit has to be waited for.
	restartWaitDivisor = 2
)

// MaxWait returns how long a new holder must send no orders if it is not known who sent orders before.
func (o Options) MaxWait() time.Duration {
	return max(o.MinReturnDelay, o.Window+lateOrderTimeouts*o.OrderTimeout)
}

// Wait returns how long a new holder must send no orders, depending on the record that it replaced.
func (o Options) Wait(self string, replaced Record, found bool) time.Duration {
	full := o.Window + lateOrderTimeouts*o.OrderTimeout
	switch {
	case !found:
		return 0
	case replaced.Released && replaced.heldBefore(self):
		return max(o.MinReturnDelay, o.OrderTimeout)
	case replaced.Released:
		return 0
	case replaced.Holder == self && replaced.Ordering:
		// The former process of this instance is dead; data that it sent may still be in transit.
		return o.OrderTimeout / restartWaitDivisor
	case !replaced.Ordering && replaced.Former == self:
		// No instance sent orders since this one did.
		return o.OrderTimeout / restartWaitDivisor
	case replaced.heldBefore(self):
		return max(o.MinReturnDelay, full)
	default:
		return full
	}
}
