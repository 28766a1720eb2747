// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/limitstore"
	"github.com/shelfledge/shelfledge/services/entry/limit"
)

// keepInterval is the shortest interval between two calls to the store for the kept limits. A longer interval makes fewer calls where limits
// change often, a shorter one keeps younger limits.
const keepInterval = time.Second

// limitKeeper is the planner's state of the limits that the store keeps for the case that all instances are lost.
type limitKeeper struct {
	kept limitstore.Kept
	// known reports that kept is what the store has. Until then nothing is written.
	known bool
	// applied reports that the limits that were kept before this term have been applied.
	applied bool
	calling bool
	nextAt  time.Time
}

// keepLimits reads the kept limits at the beginning of a term, and writes the present ones when they differ.
func (p *planner) keepLimits(now time.Time) {
	k, c := &p.limitKeeper, p.coordinator
	if k.calling || p.steppingDown || now.Before(k.nextAt) {
		return
	}
	limits := p.limitsToKeep(now)
	if k.known && slices.Equal(limits, k.kept.Limits) {
		return
	}
	k.calling, k.nextAt = true, now.Add(keepInterval)
	known, revision := k.known, k.kept.Revision
	keeper := &limitstore.Store{Client: c.environment.Store, Timeout: c.options.StoreTimeout}
	c.startTask(func() {
		if known {
			kept, err := keeper.Write(c.context, revision, limits)
			c.loop.Post(func(time.Time) { p.recordKept(kept, "write limits", err) })
			return
		}
		kept, err := keeper.Read(c.context)
		c.loop.Post(func(later time.Time) {
			p.recordKept(kept, "read limits", err)
			p.applyKeptLimits(later, now)
		})
	})
}

// limitsToKeep returns all limits as the store keeps them, sorted by endpoint.
func (p *planner) limitsToKeep(now time.Time) []limitstore.Limit {
	var limits []limitstore.Limit
	for _, known := range p.currentLimits(now) {
		limits = append(limits, limitstore.Limit{Endpoint: known.ID, PerSecond: known.PerSecond})
	}
	return limits
}

// recordKept records the result of a call. After an error the limits are read again before they are written.
func (p *planner) recordKept(kept limitstore.Kept, call string, err error) {
	k := &p.limitKeeper
	k.calling, k.known = false, err == nil
	if err != nil {
		p.coordinator.recordStoreFailure(call, err)
		return
	}
	k.kept = kept
}

// applyKeptLimits applies the limits that were kept before this term to endpoints without a known one. They count as reported when they were
// read, so that the response to any later request replaces them.
func (p *planner) applyKeptLimits(now, readAt time.Time) {
	k, c := &p.limitKeeper, p.coordinator
	if c.planner != p || !k.known || k.applied {
		return
	}
	k.applied = true
	for _, kept := range k.kept.Limits {
		status := c.directory.Endpoint(kept.Endpoint)
		if status == nil || status.Allowance.HasLimit() {
			continue
		}
		if change := status.Allowance.MergeReport(kept.PerSecond, readAt); change != limit.Unchanged {
			c.applyLimitChange(now, status, change, "store")
		}
	}
	c.plan(now)
}
