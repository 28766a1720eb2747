// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/lease"
)

// releaseCheckInterval is the interval at which a planner that steps down checks whether its orders have ended.
const releaseCheckInterval = 10 * time.Millisecond

// resignIfMemberReachesStore gives up the lease while the store answers a member but not this instance. The member then
// does not have to wait until the lease expires.
func (c *Coordinator) resignIfMemberReachesStore(now time.Time) {
	p := c.planner
	if p.steppingDown || !lease.IsConfirmationOverdue(p.lease.ConfirmedAge(now)) {
		return
	}
	p.steppingDown = p.members.AnyReachesStore(now)
	if p.steppingDown {
		term := p.lease.Record().Term
		c.startTask(func() { c.resign(p, term) })
	}
}

// resign informs the members that no more orders follow, after the orders in flight have ended. The log line is written
// even if the process stops or the term ends before that.
func (c *Coordinator) resign(p *planner, term int64) {
	for c.hasOrdersInFlight(p) && c.context.Err() == nil {
		c.sleep(releaseCheckInterval)
	}
	c.options.Log.WithField("term", term).Warn("resigned as the planner: the store answers another instance but not this one")
	c.loop.Call(func(now time.Time) {
		p.resigned = true
		p.broadcast(now, true)
	})
}

// cutOffHandoverDelay is how long a planner reaches no endpoint until it hands over. A longer time hands over less often for a cut that
// ends at once; with a shorter one, adapters are loaded again sooner.
const cutOffHandoverDelay = 300 * time.Millisecond

// handOverIfCutOff gives up the lease while this instance reaches no endpoint but a member does: no order would arrive, and no adapter would
// be loaded for any instance.
func (c *Coordinator) handOverIfCutOff(now time.Time) {
	p := c.planner
	if p.steppingDown || !c.isCutOff() || now.Sub(c.cutOffSince) < cutOffHandoverDelay || !p.members.AnyReachesEndpoints() {
		return
	}
	p.steppingDown = true
	c.options.Log.WithField("term", p.lease.Record().Term).Warn("resigned as the planner: other instances reach endpoints but this one does not")
	c.startTask(func() {
		c.release(c.context, p)
		c.loop.Call(c.endTermIfOver)
	})
}

// Release hands over the lease if this instance holds it. It sends no more orders, waits for those in flight and releases
// the record, so that a successor need not wait.
func (c *Coordinator) Release(ctx context.Context) {
	c.leaving.Store(true)
	var p *planner
	c.loop.Call(func(now time.Time) {
		c.sendReport(now)
		if p = c.planner; p != nil {
			p.steppingDown = true
		}
	})
	if p != nil {
		c.release(ctx, p)
	}
}

// release waits for the orders in flight of a planner that is stepping down, and releases its record.
func (c *Coordinator) release(ctx context.Context, p *planner) {
	// A write of the record that is still unanswered may be the one that permits orders.
	for (c.hasOrdersInFlight(p) || c.rewriteInProgress(p)) && ctx.Err() == nil {
		c.sleep(releaseCheckInterval)
	}
	var release *rewrite
	c.loop.Call(func(now time.Time) { release = p.releaseRewrite(now) })
	if release != nil {
		c.rewriteRecord(release)
	}
	c.loop.Call(func(now time.Time) {
		p.resigned = release != nil
		p.broadcast(now, true)
		p.lease.End()
	})
}

// releaseRewrite returns the change that releases the record. It returns nil if this term's record does not permit orders
// yet or if an order is in flight.
func (p *planner) releaseRewrite(now time.Time) *rewrite {
	if p.ordersInFlight > 0 || !p.lease.Record().Ordering {
		return nil
	}
	release := newRewrite(p.lease)
	release.record = release.record.WithoutExpiredHolders(now.Sub(p.startedAt), p.coordinator.options.Lease)
	release.record.Released, release.record.RecentLoads = true, p.plans.RecentLoads(now)
	return release
}

func (c *Coordinator) hasOrdersInFlight(p *planner) bool {
	inFlight := false
	c.loop.Call(func(time.Time) { inFlight = p.ordersInFlight > 0 })
	return inFlight
}

func (c *Coordinator) rewriteInProgress(p *planner) bool {
	inProgress := false
	c.loop.Call(func(time.Time) { inProgress = p.lease.Rewriting() })
	return inProgress
}
