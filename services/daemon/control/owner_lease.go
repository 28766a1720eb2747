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
	return claim.StandingAfter(o.service.options.KV.KeepAlive(o.service.ctx, o.lease))
}

// ensureLease prolongs the lease, or gets a new one where there is none. It gives the time at which the call was sent,
// from which the lease lasts, and false where there is no lease for sure.
func (o *owner) ensureLease() (time.Time, bool) {
	sent := o.service.options.Now()
	if o.lease != 0 {
		if standing := o.keepAlive(); standing != claim.Lapsed {
			return sent, standing == claim.Alive
		}
	}
	sent = o.service.options.Now()
	id, err := o.service.options.KV.Grant(o.service.ctx, o.service.options.Node.Timing.LeaseTTL)
	if err != nil {
		// The node asks for the pool again.
		return sent, false
	}
	o.lease = id
	return sent, true
}

// tryRenew prolongs the lease; where it has lapsed, the next claim of a pool gets a new one.
func (o *owner) tryRenew() node.LeaseResult {
	sent := o.service.options.Now()
	if o.lease == 0 {
		return claim.Renewal(sent, claim.Lapsed)
	}
	standing := o.keepAlive()
	if standing == claim.Lapsed {
		o.lease = 0
	}
	return claim.Renewal(sent, standing)
}
