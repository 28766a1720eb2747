// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/modules/peerstream"
	"github.com/shelfledge/shelfledge/services/coordinator/wire"
)

// seedTimeout bounds the call to one seed.
const seedTimeout = 600 * time.Millisecond

// askSeeds lets an instance that has just started learn from its peers what the store does not
// tell it, so that it can serve while the store is down or turns it away.
func (c *Coordinator) askSeeds() {
	for _, seed := range c.options.Seeds {
		if c.ready.Load() || c.context.Err() != nil {
			return
		}
		if seed != c.options.PeerAddress {
			c.askSeed(seed)
		}
	}
}

// askSeed takes in what one peer knows.
func (c *Coordinator) askSeed(seed netip.AddrPort) {
	if told := c.wordOf(seed); told != nil {
		c.loop.call(func(now time.Time) { c.learnFromSeed(now, told) })
	}
}

// askSeedsForPlanner lets an instance that the store does not answer learn from a peer who plans.
func (c *Coordinator) askSeedsForPlanner() {
	for _, seed := range c.options.Seeds {
		if c.context.Err() != nil || seed == c.options.PeerAddress {
			continue
		}
		if told := c.wordOf(seed); told != nil {
			c.loop.call(func(time.Time) { c.learnSuccessor(wire.Successor{Term: told.Term, Address: told.Address}) })
			return
		}
	}
}

// wordOf asks a peer for what it knows; nil if it does not answer.
func (c *Coordinator) wordOf(seed netip.AddrPort) *wire.View {
	ctx, cancel := context.WithTimeout(c.context, seedTimeout)
	defer cancel()
	conn, err := c.environment.Dial(ctx, seed)
	if err != nil {
		return nil
	}
	stream := peerstream.New[wire.Message](conn)
	defer stream.Close()
	if err := stream.Send(wire.Message{Request: &wire.Request{Instance: c.options.Instance}}); err != nil {
		return nil
	}
	received, err := stream.Receive(seedTimeout, c.options.Now)
	if err != nil {
		return nil
	}
	return received.View
}

// learnFromSeed takes in a peer's word; what the store tells later replaces it.
func (c *Coordinator) learnFromSeed(now time.Time, v *wire.View) {
	if c.ready.Load() {
		return
	}
	c.options.Log.WithField("configuration_at", v.ConfigurationAt).Info("learned from a peer, since the store does not answer")
	if v.Address.IsValid() && v.Term > c.knownRecord.Term {
		c.knownRecord.Address, c.knownRecord.Term = v.Address, v.Term
	}
	for i := range v.Endpoints {
		c.directory.Put(v.Endpoints[i].Endpoint(), v.Endpoints[i].Revision)
	}
	c.endpointsKnown = true
	c.applyItems(now, v.Items)
}
