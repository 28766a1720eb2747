// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"time"

	"github.com/shelfledge/shelfledge/services/daemon/control/claim"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// keepAlive renews the lease at the key-value service and returns the resulting state of the lease.
func (o *ownershipManager) keepAlive() claim.LeaseState {
	err := o.service.options.KV.KeepAlive(o.service.ctx, o.lease)
	state := claim.LeaseStateAfter(err)
	if state == claim.Unclear {
		o.logFailure(callKeepAlive, "", err)
	}
	return state
}

// ensureLease renews the lease, or requests a new one if there is none. It returns the time at which the call was sent,
// from which the lease's TTL counts, and whether the lease is confirmed.
func (o *ownershipManager) ensureLease() (time.Time, bool) {
	sent := o.service.options.Now()
	if o.lease != 0 {
		if state := o.keepAlive(); state != claim.Lapsed {
			return sent, state == claim.Alive
		}
		o.reportLapse()
	}
	sent = o.service.options.Now()
	id, err := o.service.options.KV.Grant(o.service.ctx, o.service.options.Node.Timing.LeaseTTL)
	if err != nil {
		o.logFailure(callGrant, "", err)
		return sent, false
	}
	o.lease = id
	o.leaseNumber++
	return sent, true
}

// reportLapse reports to the node that the lease has lapsed, together with the keys of all pools, before a new lease is requested.
func (o *ownershipManager) reportLapse() {
	o.lease = 0
	o.service.enqueue(leaseResultInput{result: node.LeaseResult{Expired: true, Lease: o.leaseNumber}})
}

// tryRenew renews the lease. If the lease has lapsed, the next attempt to acquire a pool requests a new one.
func (o *ownershipManager) tryRenew() node.LeaseResult {
	sent := o.service.options.Now()
	state := claim.Lapsed
	if o.lease != 0 {
		state = o.keepAlive()
	}
	if state == claim.Lapsed {
		o.lease = 0
	}
	result := claim.Renewal(sent, state)
	result.Lease = o.leaseNumber
	return result
}
