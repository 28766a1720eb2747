// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"fmt"
	"maps"
	"slices"
)

// owner maintains this instance's lease and the ownership of pools under it, for endpoints
// that check no fences. One goroutine makes its calls, one at a time.
type owner struct {
	service *Service
	jobs    chan ownerJob
	lease   int64
	// leaseNumber is the number of leases granted to this process. It identifies the current lease to the node.
	leaseNumber uint64
	started     bool
	// unreleased are the pools whose release failed.
	unreleased map[string]bool
	// failures is used by the goroutine that makes the calls; dropped is used by the control goroutine.
	failures *failureLog
	dropped  *failureLog
}

type ownerJob struct {
	kind ownerJobKind
	pool string
	// term is the node's term of the pool. It is set for jobAcquire only.
	term uint64
}

type ownerJobKind int

const (
	jobAcquire ownerJobKind = iota
	jobRelease
	jobRenew
	jobSettle
)

// ErrQueueFull reports that a call was dropped because the queue of calls to the key-value service was full.
type ErrQueueFull struct {
	Waiting int
}

// Error returns the message with the number of waiting calls.
func (e ErrQueueFull) Error() string {
	return fmt.Sprintf("queue of calls to the key-value service is full: %d calls are waiting", e.Waiting)
}

// ownerQueueSize is the maximum number of calls that wait for the key-value service. Further calls are dropped, and the node requests them
// again. In a longer queue, calls wait so long that their answers arrive too late.
const ownerQueueSize = 64

func newOwner(s *Service) *owner {
	return &owner{
		service: s, jobs: make(chan ownerJob, ownerQueueSize), unreleased: make(map[string]bool), failures: newFailureLog(s.options), dropped: newFailureLog(s.options),
	}
}

func (o *owner) acquire(pool string, term uint64) {
	o.enqueueJob(ownerJob{kind: jobAcquire, pool: pool, term: term})
}

func (o *owner) release(pool string) { o.enqueueJob(ownerJob{kind: jobRelease, pool: pool}) }
func (o *owner) settle(pool string)  { o.enqueueJob(ownerJob{kind: jobSettle, pool: pool}) }
func (o *owner) renew()              { o.enqueueJob(ownerJob{kind: jobRenew}) }

func (o *owner) enqueueJob(j ownerJob) {
	if !o.started {
		o.started = true
		o.service.tasks.start(o.run)
	}
	select {
	case o.jobs <- j:
	default:
		o.dropped.log(callQueue, j.pool, ErrQueueFull{Waiting: ownerQueueSize})
	}
}

// logFailure logs a failed call, unless it failed because the service is stopping.
func (o *owner) logFailure(call platformCall, pool string, err error) {
	if o.service.ctx.Err() == nil {
		o.failures.log(call, pool, err)
	}
}

func (o *owner) run() {
	for {
		select {
		case <-o.service.ctx.Done():
			return
		case j := <-o.jobs:
			o.execute(j)
		}
	}
}

func (o *owner) execute(j ownerJob) {
	switch j.kind {
	case jobAcquire:
		delete(o.unreleased, j.pool)
		o.service.enqueue(ownedInput{result: o.tryAcquire(j.pool, j.term)})
	case jobRelease:
		o.releaseOrKeep(j.pool)
	case jobSettle:
		o.trySettle(j.pool)
	case jobRenew:
		o.service.enqueue(renewedInput{result: o.tryRenew()})
		o.retryReleases()
	}
}

// releaseOrKeep releases a pool. If that fails, the pool is stored for another attempt, since renewals for other pools would keep its key alive.
func (o *owner) releaseOrKeep(pool string) {
	if o.tryRelease(pool) {
		delete(o.unreleased, pool)
		return
	}
	o.unreleased[pool] = true
}

// retryReleases releases the pools whose release failed before.
func (o *owner) retryReleases() {
	for _, pool := range slices.Sorted(maps.Keys(o.unreleased)) {
		o.releaseOrKeep(pool)
	}
}
