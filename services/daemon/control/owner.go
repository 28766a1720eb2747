// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"encoding/json"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
)

// owner keeps this instance's one lease and the pools owned under it, for endpoints
// that check no fences. One goroutine makes its calls, one after the other.
type owner struct {
	service *Service
	jobs    chan ownerJob
	lease   int64
	started bool
}

type ownerJob struct {
	kind ownerJobKind
	pool string
}

type ownerJobKind int

const (
	jobAcquire ownerJobKind = iota
	jobRelease
	jobRenew
	jobSettle
)

// ownerQueue bounds the calls that wait for the key-value service; one that finds no place
// is dropped, and the node asks again. Longer queues answers that come too late. Not measured.
const ownerQueue = 64

func newOwner(s *Service) *owner {
	return &owner{service: s, jobs: make(chan ownerJob, ownerQueue)}
}

func (o *owner) acquire(pool string) { o.add(ownerJob{kind: jobAcquire, pool: pool}) }
func (o *owner) release(pool string) { o.add(ownerJob{kind: jobRelease, pool: pool}) }
func (o *owner) settle(pool string)  { o.add(ownerJob{kind: jobSettle, pool: pool}) }
func (o *owner) renew()              { o.add(ownerJob{kind: jobRenew}) }

func (o *owner) add(j ownerJob) {
	if !o.started {
		o.started = true
		o.service.spawn(o.run)
	}
	select {
	case o.jobs <- j:
	default:
		// The service is slow; the node asks again.
	}
}

func (o *owner) run() {
	for {
		select {
		case <-o.service.ctx.Done():
			return
		case j := <-o.jobs:
			o.do(j)
		}
	}
}

func (o *owner) do(j ownerJob) {
	switch j.kind {
	case jobAcquire:
		o.service.put(ownedInput{result: o.tryAcquire(j.pool)})
	case jobRelease:
		o.tryRelease(j.pool)
	case jobSettle:
		o.trySettle(j.pool)
	case jobRenew:
		o.service.put(renewedInput{result: o.tryRenew()})
	}
}

func (o *owner) leaseKey(pool string) string { return o.service.options.Prefix + "/lease/" + pool }
func (o *owner) ownerKey(pool string) string { return o.service.options.Prefix + "/owner/" + pool }

func (o *owner) ensureLease() (time.Time, bool) {
	sent := o.service.options.Now()
	ttl := o.service.options.Node.Timing.LeaseTTL
	if o.lease != 0 {
		err := o.service.options.KV.KeepAlive(o.service.ctx, o.lease)
		if err == nil {
			return sent, true
		}
		if !kv.IsErrLeaseGone(err) {
			return sent, false
		}
	}
	sent = o.service.options.Now()
	id, err := o.service.options.KV.Grant(o.service.ctx, ttl)
	if err != nil {
		return sent, false
	}
	o.lease = id
	return sent, true
}

func (o *owner) tryAcquire(pool string) node.OwnerResult {
	result := node.OwnerResult{Pool: pool}
	sent, ok := o.ensureLease()
	if !ok {
		return result
	}
	former, mod, ok := o.readOwner(pool)
	if !ok {
		return result
	}
	self := o.service.options.Node
	next := former.Successor(self.Self.ID, self.Boot)
	value, _ := json.Marshal(next) // Names and numbers always have a JSON form.
	leaseKey, ownerKey := []byte(o.leaseKey(pool)), []byte(o.ownerKey(pool))
	resp, err := o.service.options.KV.Txn(o.service.ctx, kv.TxnRequest{
		Compare: []kv.Compare{
			{Key: leaseKey, Target: kv.TargetCreate, Result: kv.ResultEqual},
			{Key: ownerKey, Target: kv.TargetMod, Result: kv.ResultEqual, ModRevision: mod},
		},
		Success: []kv.Op{
			{Put: &kv.PutRequest{Key: leaseKey, Value: value, Lease: o.lease}},
			{Put: &kv.PutRequest{Key: ownerKey, Value: value}},
		},
		Failure: []kv.Op{{Range: &kv.RangeRequest{Key: leaseKey}}},
	})
	if err != nil {
		return result
	}
	if !resp.Succeeded && !o.heldHere(resp) {
		return result
	}
	result.OK, result.SentAt, result.Formers = true, sent, next.Formers
	return result
}

// heldHere tells whether the key is this instance's already, written by a call whose answer was lost.
func (o *owner) heldHere(resp kv.TxnResponse) bool {
	if len(resp.Responses) == 0 || resp.Responses[0].Range == nil || len(resp.Responses[0].Range.KVs) == 0 {
		return false
	}
	return resp.Responses[0].Range.KVs[0].Lease == o.lease
}

func (o *owner) readOwner(pool string) (lease.StoredOwner, int64, bool) {
	var r lease.StoredOwner
	pair, found, err := o.service.options.KV.Get(o.service.ctx, o.ownerKey(pool))
	if err != nil {
		return r, 0, false
	}
	if !found {
		return r, 0, true
	}
	if err := json.Unmarshal(pair.Value, &r); err != nil {
		return r, 0, false
	}
	return r, pair.ModRevision, true
}

func (o *owner) tryRelease(pool string) {
	key := []byte(o.leaseKey(pool))
	pair, found, err := o.service.options.KV.Get(o.service.ctx, string(key))
	if err != nil || !found || pair.Lease != o.lease {
		return
	}
	// A failure leaves the key to lapse with the lease.
	_, _ = o.service.options.KV.Txn(o.service.ctx, kv.TxnRequest{
		Compare: []kv.Compare{{Key: key, Target: kv.TargetMod, Result: kv.ResultEqual, ModRevision: pair.ModRevision}},
		Success: []kv.Op{{Delete: &kv.DeleteRequest{Key: key}}},
	})
}

// trySettle writes that the former owners have ended; a failure only makes successors wait for them again.
func (o *owner) trySettle(pool string) {
	self := o.service.options.Node
	stored, mod, ok := o.readOwner(pool)
	if !ok || !stored.Is(self.Self.ID, self.Boot) || len(stored.Formers) == 0 {
		return
	}
	key := []byte(o.ownerKey(pool))
	value, _ := json.Marshal(stored.Settled()) // Names and numbers always have a JSON form.
	_, _ = o.service.options.KV.Txn(o.service.ctx, kv.TxnRequest{
		Compare: []kv.Compare{{Key: key, Target: kv.TargetMod, Result: kv.ResultEqual, ModRevision: mod}},
		Success: []kv.Op{{Put: &kv.PutRequest{Key: key, Value: value}}},
	})
}

func (o *owner) tryRenew() node.LeaseResult {
	sent := o.service.options.Now()
	if o.lease == 0 {
		return node.LeaseResult{Gone: true}
	}
	err := o.service.options.KV.KeepAlive(o.service.ctx, o.lease)
	if kv.IsErrLeaseGone(err) {
		o.lease = 0
		return node.LeaseResult{Gone: true}
	}
	return node.LeaseResult{OK: err == nil, SentAt: sent}
}
