// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package once

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/kv"
)

// Result is the outcome of a claim.
type Result string

// The outcomes of a claim.
const (
	// Claimed means that this instance holds the claim and may run the request once.
	Claimed Result = "claimed"
	// AlreadyClaimed means that the request was claimed earlier and may have run.
	AlreadyClaimed Result = "taken"
	// Impossible means that the claim could not be made. The request must not run.
	Impossible Result = "impossible"
)

// Store holds the calls of the key-value service that a claimer uses.
type Store struct {
	Txn   func(ctx context.Context, r kv.TxnRequest) (kv.TxnResponse, error)
	Get   func(ctx context.Context, key string) (kv.Pair, bool, error)
	Grant func(ctx context.Context, ttl time.Duration) (int64, error)
}

// Options holds the settings of a claimer.
type Options struct {
	// Prefix is the prefix of the keys of the claims.
	Prefix string
	// Owner identifies this process. It differs from that of all other instances and changes at each restart.
	Owner string
	// TTL is the minimum lifetime of a claim.
	TTL time.Duration
	// BatchDelay is how long the first claim of a batch waits for more claims.
	BatchDelay time.Duration
	// MaxBatch is the maximum number of claims in one write.
	MaxBatch int
	// MaxPending is the capacity of the queue of pending claims. While the queue is full, new claims fail with Impossible.
	MaxPending int
	// Timeout is the maximum duration of one claim, including its time in the queue.
	Timeout time.Duration
}

const (
	// defaultTTL balances the number of keys in the service against how long a repeated request is recognized.
	defaultTTL = 24 * time.Hour
	// defaultBatchDelay balances the delay of a claim against the number of writes. With 300 concurrent requests, one write holds 27
	// claims (docs/design/0004-data-path.md).
	defaultBatchDelay = 5 * time.Millisecond
	// defaultMaxBatch limits the size of a transaction, in claims. 1 to 32 concurrent claims share one write (docs/capacity-shelfledged.md).
	defaultMaxBatch = 32
	// defaultMaxPending balances memory against the number of claims that fail while the service is slow.
	defaultMaxPending = 1024
	// defaultTimeout is long enough for a write whose response is lost and the read that determines its outcome, at the client's
	// timeout of 2 s for each call.
	defaultTimeout = 4 * time.Second

	// leaseTTLFactor is the lifetime of a lease, as a multiple of the TTL. New claims are bound to a lease for at most one TTL, so
	// each claim exists for at least one TTL.
	leaseTTLFactor = 2
	// leaseRenewDivisor divides the TTL during which claims are bound to a lease. After the first part, a new lease is requested;
	// during the second part, the old lease is still used if no new lease could be granted.
	leaseRenewDivisor = 2
	// serialBase is the base in which serial numbers are written. Base 36 uses the digits and the letters.
	serialBase = 36
)

// DefaultOptions returns the options for use without a settings file. In the daemon, the setting claim_ttl replaces TTL.
func DefaultOptions(prefix, owner string) Options {
	return Options{
		Prefix: prefix, Owner: owner, TTL: defaultTTL, BatchDelay: defaultBatchDelay, MaxBatch: defaultMaxBatch, MaxPending: defaultMaxPending,
		Timeout: defaultTimeout,
	}
}

// Claimer makes claims in batches. It is safe for concurrent use.
type Claimer struct {
	store   Store
	options Options
	queue   chan *claim
	serial  atomic.Uint64
	lease   lease
	now     func() time.Time
}

// claim is a pending claim of one request.
type claim struct {
	ctx   context.Context
	key   string
	value []byte
	done  chan Result
}

// lease is a lease of the key-value service. Claims are bound to a lease so that the service deletes them when the lease
// expires. All claims made within some hours share one lease.
type lease struct {
	id      int64
	renewAt time.Time
}

// New returns a claimer. Claims are processed only while Run is running; without it, they time out with Impossible.
func New(s Store, o Options, now func() time.Time) *Claimer {
	return &Claimer{store: s, options: o, queue: make(chan *claim, o.MaxPending), now: now}
}

// Claim claims a request, which is identified by its caller and its identifier together.
func (c *Claimer) Claim(ctx context.Context, caller, requestID string) Result {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	pending := &claim{ctx: ctx, key: c.key(caller, requestID), value: c.uniqueValue(), done: make(chan Result, 1)}
	select {
	case c.queue <- pending:
	default:
		return Impossible
	}
	select {
	case r := <-pending.done:
		return r
	case <-ctx.Done():
		return Impossible
	}
}

// Release deletes the claim of a request that was definitely not run. It does nothing if the claim belongs to another owner. If
// Release fails, the claim remains, which is safe.
func (c *Claimer) Release(ctx context.Context, caller, requestID string) error {
	key := []byte(c.key(caller, requestID))
	pair, found, err := c.store.Get(ctx, string(key))
	if err != nil || !found {
		return err
	}
	if !bytes.HasPrefix(pair.Value, []byte(c.options.Owner+"/")) {
		return nil
	}
	_, err = c.store.Txn(ctx, kv.TxnRequest{
		Compare: []kv.Compare{{Key: key, Target: kv.TargetMod, Result: kv.ResultEqual, ModRevision: pair.ModRevision}},
		Success: []kv.Op{{Delete: &kv.DeleteRequest{Key: key}}},
	})
	return err
}

// key returns the key of the claim of a request.
func (c *Claimer) key(caller, requestID string) string {
	return fmt.Sprintf("%s/once/%s/%s", c.options.Prefix, strconv.Quote(caller), requestID)
}

// uniqueValue returns a value that no other claim has. It identifies the claim's own write after a write with an unknown outcome.
func (c *Claimer) uniqueValue() []byte {
	return []byte(c.options.Owner + "/" + strconv.FormatUint(c.serial.Add(1), serialBase))
}

// Run processes claims in batches until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			c.processBatch(ctx, c.collectBatch(ctx, first))
		}
	}
}

// collectBatch collects the claims that arrive within the batch delay after the first claim, up to the maximum batch size.
func (c *Claimer) collectBatch(ctx context.Context, first *claim) []*claim {
	batch := []*claim{first}
	seen := map[string]bool{first.key: true}
	timer := time.NewTimer(c.options.BatchDelay)
	defer timer.Stop()
	for len(batch) < c.options.MaxBatch {
		select {
		case pending := <-c.queue:
			if seen[pending.key] {
				// The same request is already claimed in this batch, so this claim is a repeat.
				pending.done <- AlreadyClaimed
				continue
			}
			seen[pending.key] = true
			batch = append(batch, pending)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// processBatch writes a batch in one transaction. If a key of the batch already exists, it writes each claim separately. If the
// outcome of the transaction is unknown, it reads back each claim.
func (c *Claimer) processBatch(ctx context.Context, batch []*claim) {
	if err := c.ensureLease(ctx); err != nil {
		finishAll(batch, Impossible)
		return
	}
	resp, err := c.writeClaims(ctx, batch)
	if err == nil && resp.Succeeded {
		finishAll(batch, Claimed)
		return
	}
	if kv.IsErrNotDone(err) {
		finishAll(batch, Impossible)
		return
	}
	for _, pending := range batch {
		if err != nil || len(batch) == 1 {
			pending.done <- c.resolveByReading(pending)
			continue
		}
		pending.done <- c.claimSingly(pending)
	}
}

// finishAll ends all claims of a batch with the same result.
func finishAll(batch []*claim, r Result) {
	for _, pending := range batch {
		pending.done <- r
	}
}

// writeClaims writes claims in one transaction, which succeeds only if none of their keys exists. If the lease no longer exists,
// writeClaims discards it and returns kv.ErrNotDone.
func (c *Claimer) writeClaims(ctx context.Context, batch []*claim) (kv.TxnResponse, error) {
	var r kv.TxnRequest
	for _, pending := range batch {
		r.Compare = append(r.Compare, kv.Compare{Key: []byte(pending.key), Target: kv.TargetCreate, Result: kv.ResultEqual})
		r.Success = append(r.Success, kv.Op{Put: &kv.PutRequest{Key: []byte(pending.key), Value: pending.value, Lease: c.lease.id}})
	}
	resp, err := c.store.Txn(ctx, r)
	if kv.IsErrLeaseNotFound(err) {
		c.lease = lease{}
		return resp, kv.ErrNotDone{Call: "claim", Reason: err.Error()}
	}
	return resp, err
}

// claimSingly makes one claim of a batch whose transaction failed because at least one of its keys exists.
func (c *Claimer) claimSingly(pending *claim) Result {
	resp, err := c.writeClaims(pending.ctx, []*claim{pending})
	switch {
	case err == nil && resp.Succeeded:
		return Claimed
	case kv.IsErrNotDone(err):
		return Impossible
	}
	return c.resolveByReading(pending)
}

// resolveByReading determines the result of a claim whose write has an unknown outcome or whose key already exists.
func (c *Claimer) resolveByReading(pending *claim) Result {
	pair, found, err := c.store.Get(pending.ctx, pending.key)
	switch {
	case err != nil || !found:
		// If the key was not found, the write may still be in progress, so the request must not run.
		return Impossible
	case bytes.Equal(pair.Value, pending.value):
		return Claimed
	}
	return AlreadyClaimed
}

// ensureLease obtains a new lease if the current lease is missing or due for renewal. The lease outlasts the time in which claims
// are bound to it by at least the TTL. If no new lease can be granted, the current one is used for the second part of the TTL.
func (c *Claimer) ensureLease(ctx context.Context) error {
	now := c.now()
	if c.lease.id != 0 && now.Before(c.lease.renewAt) {
		return nil
	}
	id, err := c.store.Grant(ctx, leaseTTLFactor*c.options.TTL)
	if err != nil {
		if c.lease.id != 0 && now.Before(c.lease.renewAt.Add(c.options.TTL/leaseRenewDivisor)) {
			return nil
		}
		return err
	}
	c.lease = lease{id: id, renewAt: now.Add(c.options.TTL / leaseRenewDivisor)}
	return nil
}
