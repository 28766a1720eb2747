// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
	"github.com/shelfledge/shelfledge/services/daemon/node/loads"
	"github.com/shelfledge/shelfledge/services/daemon/node/ownership"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

// poolState is the node's state of one pool.
type poolState struct {
	pool fleet.Pool
	// inOwnHall is true if the pool is in the node's hall.
	inOwnHall bool
	// isPlacer is true while the node considers itself the pool's placer.
	isPlacer bool
	// term is the node's term as placer; maxTerm is the highest term received or used.
	term    uint64
	maxTerm uint64
	// placerID is the identifier of the pool's last known placer; empty for none.
	placerID string
	// summaryMissed is true if a summary of the pool's placer was missed, so that the full summary must be requested.
	summaryMissed bool
	// ticketRequested is true once this instance has requested a ticket of the pool.
	ticketRequested bool

	// The remaining fields are used only while the node is the pool's placer.

	placer    *placement.Placer
	publisher *routing.Publisher
	takeover  *ownership.Takeover
	// heldRequests are the requests that arrived before the endpoints answered the takeover.
	heldRequests []fleet.Envelope
	// handedOverUses are the tickets that the previous placer handed over; handedOverBy identifies that placer's run.
	handedOverUses []fleet.TicketUse
	handedOverBy   FormerOwner
	succession     lease.Succession
	bidder         loads.Bidder
	// permitsInUse are the permits of the loads in progress, by adapter.
	permitsInUse map[fleet.AdapterRef]loads.HeldPermit
}

func newPoolState(pool fleet.Pool, inOwnHall bool, bid time.Duration) *poolState {
	return &poolState{pool: pool, inOwnHall: inOwnHall, bidder: loads.NewBidder(bid), permitsInUse: make(map[fleet.AdapterRef]loads.HeldPermit)}
}

// unfenced returns the endpoints that check no fences, so that orders to them require the lease.
func (ps *poolState) unfenced() []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range ps.pool.Endpoints {
		if !e.ChecksFence && e.Kind != fleet.KindPlain {
			out = append(out, e)
		}
	}
	return out
}
