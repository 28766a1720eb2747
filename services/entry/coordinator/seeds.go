// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// askSeeds asks peers for what the store does not provide to an instance that has just started, so that it can serve while
// the store is down or rejects its calls.
func (c *Coordinator) askSeeds() {
	c.seeds.Ask(c.context, c.ready.Load, func(answer *wire.View) {
		c.loop.Call(func(now time.Time) { c.applySeedAnswer(now, answer) })
	})
}

// askSeedsForPlanner asks peers which instance is the planner, for an instance that the store does not answer.
func (c *Coordinator) askSeedsForPlanner() {
	if answer := c.seeds.Planner(c.context); answer != nil {
		c.loop.Call(func(now time.Time) {
			c.applySuccessor(now, wire.Successor{Term: answer.Term, Address: answer.Address.AddrPort})
		})
	}
}

// applySeedAnswer applies a peer's answer. Data that is read from the store later replaces it.
func (c *Coordinator) applySeedAnswer(now time.Time, v *wire.View) {
	if c.ready.Load() {
		return
	}
	c.options.Log.WithField("configuration_at", v.ConfigurationRevision).Info("starting with the state of a peer, since the store does not answer")
	if v.Address.IsValid() && v.Term > c.knownRecord.Term {
		c.recordTerm(v.Term)
		c.knownRecord.Address, c.knownRecord.Term = v.Address.AddrPort, v.Term
	}
	for i, endpoint := range v.Descriptions() {
		c.putEndpoint(endpoint, v.Endpoints[i].Revision)
	}
	c.markCopiesFromPeers()
	c.endpointsKnown = true
	c.applyItems(now, c.keysCompleteness.Origin(follow.FromSeed, v.ConfigurationRevision), v.Items)
}
