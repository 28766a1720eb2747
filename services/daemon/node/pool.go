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

// poolState is what a node knows of one pool, and its own part in it.
type poolState struct {
	pool fleet.Pool
	// own tells whether the pool is in the node's hall.
	own bool
	// mine tells whether the node takes itself for the pool's placer.
	mine bool
	// term is the node's term as placer, maxTerm the highest that was heard or used.
	term    uint64
	maxTerm uint64
	// placedBy names the instance that places the pool, as far as is known; empty for none.
	placedBy string
	// gap tells that a summary from the pool's placer was missed, so that the whole is asked for.
	gap bool
	// dealt tells that this instance has asked the pool for a ticket.
	dealt bool

	// The rest is of use only while the node places the pool.
	placer    *placement.Placer
	publisher *routing.Publisher
	takeover  *ownership.Takeover
	// waiting are the requests that came before the endpoints had answered the takeover.
	waiting []fleet.Envelope
	// handed are the tickets that a former placer handed over, and handedBy its life.
	handed   []fleet.TicketUse
	handedBy FormerOwner
	former   lease.Succession
	bids     loads.Bidder
	// permits are those of the loads under way.
	permits map[fleet.AdapterRef]loads.Held
}

func newPoolState(pool fleet.Pool, own bool, bid time.Duration) *poolState {
	return &poolState{pool: pool, own: own, bids: loads.NewBidder(bid), permits: make(map[fleet.AdapterRef]loads.Held)}
}

// unfenced lists the endpoints on which orders need the lease.
func (ps *poolState) unfenced() []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range ps.pool.Endpoints {
		if !e.ChecksFence && e.Kind != fleet.KindPlain {
			out = append(out, e)
		}
	}
	return out
}
