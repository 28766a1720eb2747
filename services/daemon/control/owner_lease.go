// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"time"

	"github.com/shelfledge/shelfledge/services/daemon/control/claim"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// keepAlive asks the key-value service to prolong the lease and gives what is known of it after that.
func (o *owner) keepAlive() claim.Standing {
	err := o.service.options.KV.KeepAlive(o.service.ctx, o.lease)
	standing := claim.StandingAfter(err)
	if standing == claim.Unclear {
		o.failed(callKeepAlive, "", err)
	}
	return standing
}

// ensureLease prolongs the lease, or gets a new one where there is none. It gives the time at which the call was sent,
// from which the lease lasts, and false where there is no lease for sure.
func (o *owner) ensureLease() (time.Time, bool) {
	sent := o.service.options.Now()
	if o.lease != 0 {
		if standing := o.keepAlive(); standing != claim.Lapsed {
			return sent, standing == claim.Alive
		}
		o.lapse()
	}
	sent = o.service.options.Now()
	id, err := o.service.options.KV.Grant(o.service.ctx, o.service.options.Node.Timing.LeaseTTL)
	if err != nil {
		o.failed(callGrant, "", err)
		return sent, false
	}
	o.lease = id
	o.leaseNumber++
	return sent, true
}

// lapse tells the node that the lease is gone, with the keys of all pools, before it gets another one.
func (o *owner) lapse() {
	o.lease = 0
	o.service.put(renewedInput{result: node.LeaseResult{Expired: true, Lease: o.leaseNumber}})
}

// tryRenew prolongs the lease; where it has lapsed, the next claim of a pool gets a new one.
func (o *owner) tryRenew() node.LeaseResult {
	sent := o.service.options.Now()
	standing := claim.Lapsed
	if o.lease != 0 {
		standing = o.keepAlive()
	}
	if standing == claim.Lapsed {
		o.lease = 0
	}
	result := claim.Renewal(sent, standing)
	result.Lease = o.leaseNumber
	return result
}
