// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"github.com/shelfledge/shelfledge/services/daemon/control/claim"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

func (o *ownershipManager) keys(pool string) claim.Keys {
	return claim.KeysOf(o.service.options.Prefix, pool)
}

// tryAcquire acquires a pool under the lease. If a call fails or another instance owns the pool, the result is not OK and
// the node repeats the request.
func (o *ownershipManager) tryAcquire(pool string, term uint64) node.OwnerResult {
	result := node.OwnerResult{Pool: pool, Term: term}
	sent, ok := o.ensureLease()
	if !ok {
		return result
	}
	last, ok := o.readLast(pool)
	if !ok {
		return result
	}
	self := o.service.options.Node
	next := last.Owner.Successor(self.Self.ID, self.Boot)
	attempt := claim.Attempt{Keys: o.keys(pool), Lease: o.lease, Revision: last.Revision, Owner: next}
	answer, err := o.service.options.KV.Txn(o.service.ctx, claim.Acquire(attempt))
	if err != nil {
		o.logFailure(callAcquire, pool, err)
		return result
	}
	if !claim.Holds(answer, o.lease) {
		return result
	}
	result.OK, result.Lease, result.SentAt, result.FormerOwners = true, o.leaseNumber, sent, next.FormerOwners
	return result
}

// readLast reads a pool's last owner. It returns false if the call fails or the stored owner cannot be decoded.
func (o *ownershipManager) readLast(pool string) (claim.LastOwner, bool) {
	pair, found, err := o.service.options.KV.Get(o.service.ctx, o.keys(pool).Owner)
	if err != nil {
		o.logFailure(callReadOwner, pool, err)
		return claim.LastOwner{}, false
	}
	last, err := claim.Decode(pair, found)
	if err != nil {
		o.logFailure(callReadOwner, pool, err)
		return claim.LastOwner{}, false
	}
	return last, true
}

// tryRelease deletes a pool's key under the lease. It returns false if the key may still exist.
func (o *ownershipManager) tryRelease(pool string) bool {
	keys := o.keys(pool)
	pair, found, err := o.service.options.KV.Get(o.service.ctx, keys.Lease)
	if err != nil {
		o.logFailure(callReadLease, pool, err)
		return false
	}
	if !found || pair.Lease != o.lease {
		return true
	}
	if _, err := o.service.options.KV.Txn(o.service.ctx, claim.Release(keys, pair.ModRevision)); err != nil {
		o.logFailure(callRelease, pool, err)
		return false
	}
	return true
}

// trySettle records that the former owners have ended. After a failure, successors only wait for them again.
func (o *ownershipManager) trySettle(pool string) {
	self := o.service.options.Node
	last, ok := o.readLast(pool)
	if !ok || !last.Owner.IsRun(self.Self.ID, self.Boot) || len(last.Owner.FormerOwners) == 0 {
		return
	}
	if _, err := o.service.options.KV.Txn(o.service.ctx, claim.Settle(o.keys(pool), last.Revision, last.Owner)); err != nil {
		o.logFailure(callSettle, pool, err)
	}
}
