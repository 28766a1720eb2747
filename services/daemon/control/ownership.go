// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package control

import (
	"fmt"
	"maps"
	"slices"
)

// ownershipManager maintains this instance's lease and the ownership of pools under it, for endpoints
// that check no fences. One goroutine makes its calls, one at a time.
type ownershipManager struct {
	service *Service
	jobs    chan ownershipJob
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

type ownershipJob struct {
	kind ownershipJobKind
	pool string
	// term is the node's term of the pool. It is set for jobAcquire only.
	term uint64
}

type ownershipJobKind int

const (
	jobAcquire ownershipJobKind = iota
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

// ownershipQueueSize is the maximum number of calls that wait for the key-value service. Further calls are dropped, and the node requests them
// again. In a longer queue, calls wait so long that their answers arrive too late.
const ownershipQueueSize = 64

func newOwnershipManager(s *Service) *ownershipManager {
	return &ownershipManager{
		service: s, jobs: make(chan ownershipJob, ownershipQueueSize), unreleased: make(map[string]bool), failures: newFailureLog(s.options), dropped: newFailureLog(s.options),
	}
}

func (o *ownershipManager) acquire(pool string, term uint64) {
	o.enqueueJob(ownershipJob{kind: jobAcquire, pool: pool, term: term})
}

func (o *ownershipManager) release(pool string) {
	o.enqueueJob(ownershipJob{kind: jobRelease, pool: pool})
}
func (o *ownershipManager) settle(pool string) {
	o.enqueueJob(ownershipJob{kind: jobSettle, pool: pool})
}
func (o *ownershipManager) renew() { o.enqueueJob(ownershipJob{kind: jobRenew}) }

func (o *ownershipManager) enqueueJob(j ownershipJob) {
	if !o.started {
		o.started = true
		o.service.tasks.start(o.run)
	}
	select {
	case o.jobs <- j:
	default:
		o.dropped.log(callQueue, j.pool, ErrQueueFull{Waiting: ownershipQueueSize})
	}
}

// logFailure logs a failed call, unless it failed because the service is stopping.
func (o *ownershipManager) logFailure(call platformCall, pool string, err error) {
	if o.service.ctx.Err() == nil {
		o.failures.log(call, pool, err)
	}
}

func (o *ownershipManager) run() {
	for {
		select {
		case <-o.service.ctx.Done():
			return
		case j := <-o.jobs:
			o.execute(j)
		}
	}
}

func (o *ownershipManager) execute(j ownershipJob) {
	switch j.kind {
	case jobAcquire:
		delete(o.unreleased, j.pool)
		o.service.enqueue(ownerResultInput{result: o.tryAcquire(j.pool, j.term)})
	case jobRelease:
		o.releaseOrKeep(j.pool)
	case jobSettle:
		o.trySettle(j.pool)
	case jobRenew:
		o.service.enqueue(leaseResultInput{result: o.tryRenew()})
		o.retryReleases()
	}
}

// releaseOrKeep releases a pool. If that fails, the pool is stored for another attempt, since renewals for other pools would keep its key alive.
func (o *ownershipManager) releaseOrKeep(pool string) {
	if o.tryRelease(pool) {
		delete(o.unreleased, pool)
		return
	}
	o.unreleased[pool] = true
}

// retryReleases releases the pools whose release failed before.
func (o *ownershipManager) retryReleases() {
	for _, pool := range slices.Sorted(maps.Keys(o.unreleased)) {
		o.releaseOrKeep(pool)
	}
}
