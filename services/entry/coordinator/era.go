// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/leasestore"
)

// reviewEra notices that the store came back from a copy. What this instance read before stays in force, since the keys are written again;
// the positions of what is read from now on are above those known before. A planner's term is over: its record may be gone, or be that of
// another instance.
func (c *Coordinator) reviewEra(now time.Time) {
	era := c.environment.Store.CurrentEra()
	if era == c.storeEra {
		return
	}
	former := c.storeEra
	c.storeEra = era
	if !c.ready.Load() {
		// This instance has just started, so that it learns the era instead of a change.
		return
	}
	c.options.Log.WithFields(map[string]any{"era": era, "former_era": former}).Warn("the store came back from a copy: its keys are read again")
	c.recordReadRequested = true
	if c.planner != nil {
		c.planner.lease.End()
		c.endTermIfOver(now)
	}
}

// recordTerm records a term that is or was in use, so that it is never used again.
func (c *Coordinator) recordTerm(term int64) {
	c.highestTerm = max(c.highestTerm, term)
}

// isOutdated reports whether a stored record is one that the store had before it came back from a copy, while later terms were in use since.
func (c *Coordinator) isOutdated(stored leasestore.Stored) bool {
	return stored.Record.Term < c.highestTerm
}

// takeoverBasis returns the record that this instance replaces when it takes the stored one: with the highest term that is known to have
// been in use. certain reports whether the record tells who may have sent orders last. It does not if the store came back from a copy since
// the record was written, or lost it.
func (c *Coordinator) takeoverBasis(stored leasestore.Stored) (basis leasestore.Stored, certain bool) {
	certain = stored.Record.Era == c.environment.Store.CurrentEra() && !c.isOutdated(stored)
	if !stored.Found {
		certain = c.highestTerm == 0
	}
	stored.Record.Term = max(stored.Record.Term, c.highestTerm)
	return stored, certain
}
