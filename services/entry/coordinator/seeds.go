// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
)

// askSeeds lets an instance that has just started learn from its peers what the store does not
// tell it, so that it can serve while the store is down or turns it away.
func (c *Coordinator) askSeeds() {
	c.seeds.Ask(c.context, c.ready.Load, func(answer *wire.View) {
		c.loop.Call(func(now time.Time) { c.learnFromSeed(now, answer) })
	})
}

// askSeedsForPlanner lets an instance that the store does not answer learn from a peer who plans.
func (c *Coordinator) askSeedsForPlanner() {
	if answer := c.seeds.Planner(c.context); answer != nil {
		c.loop.Call(func(now time.Time) {
			c.learnSuccessor(now, wire.Successor{Term: answer.Term, Address: answer.Address.AddrPort})
		})
	}
}

// learnFromSeed takes in a peer's answer; what is read from the store later replaces it.
func (c *Coordinator) learnFromSeed(now time.Time, v *wire.View) {
	if c.ready.Load() {
		return
	}
	c.options.Log.WithField("configuration_at", v.ConfigurationRevision).Info("learned from a peer, since the store does not answer")
	if v.Address.IsValid() && v.Term > c.knownRecord.Term {
		c.knownRecord.Address, c.knownRecord.Term = v.Address.AddrPort, v.Term
	}
	for i, endpoint := range v.Descriptions() {
		c.putEndpoint(endpoint, v.Endpoints[i].Revision)
	}
	c.noteCopiesTold()
	c.endpointsKnown = true
	c.applyItems(now, c.complete.Origin(follow.FromSeed, v.ConfigurationRevision), v.Items)
}
