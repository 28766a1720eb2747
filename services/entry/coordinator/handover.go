// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/lease"
)

// releasePause is the pause between two looks of a holder that gives up whether its orders have ended.
const releasePause = 10 * time.Millisecond

// resignIfOthersCan gives the lease up while the store does not answer this instance but
// answers a member, so that the member need not wait until this holder's time is over.
func (c *Coordinator) resignIfOthersCan(now time.Time) {
	p := c.planning
	if p.givingUp || !lease.InTrouble(p.lease.ConfirmedAge(now)) {
		return
	}
	p.givingUp = p.members.AnyReachesStore(now)
	if p.givingUp {
		term := p.lease.Record().Term
		c.run(func() { c.resign(p, term) })
	}
}

// resign tells the members that no more orders follow, once those under way have ended. It logs so also if the
// process stops or the term ends before that.
func (c *Coordinator) resign(p *planning, term int64) {
	for c.ordersUnderWay(p) && c.context.Err() == nil {
		c.sleep(releasePause)
	}
	c.options.Log.WithField("term", term).Warn("planning resigned: the store answers others only")
	c.loop.Call(func(now time.Time) {
		p.resigned = true
		p.broadcast(now, true)
	})
}

// Release hands the lease over, if this instance has it: no more orders are sent, those
// under way are awaited, and the record says that a successor need not wait.
func (c *Coordinator) Release(ctx context.Context) {
	c.leaving.Store(true)
	var p *planning
	c.loop.Call(func(now time.Time) {
		c.sendReport(now)
		if p = c.planning; p != nil {
			p.givingUp = true
		}
	})
	if p == nil {
		return
	}
	// A write of the record that is not answered yet may be the one by which orders may follow.
	for (c.ordersUnderWay(p) || c.rewriteUnderWay(p)) && ctx.Err() == nil {
		c.sleep(releasePause)
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

// releaseRewrite gives the change of the record by which no order follows; nil if none may have been given yet, or one is under way.
func (p *planning) releaseRewrite(now time.Time) *rewrite {
	if p.orders > 0 || !p.lease.Record().Ordering {
		return nil
	}
	due := newRewrite(p.lease)
	due.record = due.record.Forget(now.Sub(p.since), p.coordinator.options.Lease)
	due.record.Released, due.record.RecentLoads = true, p.plans.RecentLoads(now)
	return due
}

func (c *Coordinator) ordersUnderWay(p *planning) bool {
	underWay := false
	c.loop.Call(func(time.Time) { underWay = p.orders > 0 })
	return underWay
}

func (c *Coordinator) rewriteUnderWay(p *planning) bool {
	underWay := false
	c.loop.Call(func(time.Time) { underWay = p.lease.Rewriting() })
	return underWay
}
