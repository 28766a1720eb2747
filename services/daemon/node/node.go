// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/budget"
	"github.com/shelfledge/shelfledge/services/daemon/membership"
	"github.com/shelfledge/shelfledge/services/daemon/node/digest"
	"github.com/shelfledge/shelfledge/services/daemon/node/followed"
	"github.com/shelfledge/shelfledge/services/daemon/node/lease"
	"github.com/shelfledge/shelfledge/services/daemon/node/listing"
	"github.com/shelfledge/shelfledge/services/daemon/node/waiting"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

// Node is the control state of one daemon; one goroutine owns it.
type Node struct {
	options  Options
	started  time.Time
	members  *membership.State
	router   *routing.Router
	pools    map[string]*poolState
	order    []*poolState
	remotes  map[string]*digest.Hall
	pending  waiting.Requests
	uses     waiting.Uses
	entries  map[string]*entryPeer
	peers    map[string]*peerState
	ledger   *budget.Ledger
	config   *followed.Configuration
	answers  followed.Answers
	lease    *lease.Lease
	leaving  bool
	watching bool
	list     *listing.List
	redo     time.Time
	forgot   time.Time
	digests  digest.Schedule
	effects  []Effect
}

// New makes the node of an instance that starts now with nothing in hand.
func New(now time.Time, o Options) *Node {
	n := &Node{
		options: o,
		started: now,
		members: membership.New(o.Self, o.Membership),
		pools:   make(map[string]*poolState),
		remotes: make(map[string]*digest.Hall),
		pending: waiting.NewRequests(),
		uses:    waiting.NewUses(),
		entries: make(map[string]*entryPeer),
		peers:   make(map[string]*peerState),
		list:    listing.New(),
		config:  followed.New(),
		lease:   newLease(o),
		digests: digest.NewSchedule(o.Timing.Digest, o.Timing.FullSummary),
	}
	pools := fleet.BuildPools(o.Endpoints)
	n.router = routing.NewRouter(o.Self.Hall, pools, o.Routing)
	for _, pool := range pools {
		ps := newPoolState(pool, pool.Hall == o.Self.Hall, o.Timing.Bid)
		n.pools[pool.Name] = ps
		n.order = append(n.order, ps)
	}
	for _, hall := range o.Halls {
		if hall != o.Self.Hall {
			n.remotes[hall] = digest.NewHall(hall)
		}
	}
	n.ledger = budget.NewLedger(now, o.Budget, o.Timing.PermitLife)
	return n
}

// Stamp gives the node's own clock, which peers echo and never interpret.
func (n *Node) stamp(now time.Time) time.Duration {
	return now.Sub(n.started)
}

// Handle takes a message from a peer.
func (n *Node) Handle(now time.Time, e fleet.Envelope) []Effect {
	switch {
	case e.Heartbeat != nil:
		n.heartbeat(now, e)
	case e.Submit != nil:
		n.submitted(now, e)
	case e.Withdraw != nil:
		n.withdrawn(now, e)
	case e.Granted != nil:
		n.granted(now, e)
	case e.Refused != nil:
		n.refused(now, e)
	case e.Returned != nil:
		n.returned(now, e.Returned)
	case e.Redeclare != nil:
		n.redeclared(now, e)
	case e.Release != nil:
		n.released(now, e)
	case e.Bid != nil:
		n.bidFrom(now, e)
	case e.Permit != nil:
		n.permitted(now, e)
	case e.PermitDone != nil:
		n.ledger.Done(now, e.PermitDone.ID, e.PermitDone.Used)
	case e.RecordsRequest != nil:
		n.wanted(now, e)
	case e.Records != nil:
		n.takeRecords(now, *e.Records)
	case e.Digest != nil:
		n.digest(now, e)
	}
	n.spend(now)
	return n.take()
}

// Tick does what the passing of time asks for.
func (n *Node) Tick(now time.Time) []Effect {
	for _, c := range n.members.Sweep(now) {
		n.memberChanged(now, c)
	}
	for _, ps := range n.order {
		if ps.own {
			n.evaluate(now, ps)
		}
	}
	n.tickPools(now)
	n.tickPending(now)
	n.tickLease(now)
	n.sendHeartbeats(now)
	n.sendDigests(now)
	n.tickBudget(now)
	n.tickReconfirm(now)
	n.tickForget(now)
	n.sendAnswers(now)
	n.chooseWatcher()
	return n.take()
}

// Leave begins a planned stop: no new work is taken and the pools are handed over.
func (n *Node) Leave(now time.Time) []Effect {
	n.leaving = true
	for _, ps := range n.order {
		if ps.mine {
			n.handOver(now, ps)
		}
	}
	n.heartbeatAll(now)
	return n.take()
}

// Idle tells whether nothing waits or runs through this instance any more.
func (n *Node) Idle() bool {
	return n.pending.Empty() && n.uses.Empty()
}

func (n *Node) note(now time.Time, e fleet.Event) {
	e.At = now
	e.Instance = n.options.Self.ID
	n.effects = append(n.effects, Note{Event: e})
}

func (n *Node) send(to fleet.Instance, e fleet.Envelope) {
	e.From = n.options.Self.ID
	e.Boot = n.options.Boot
	e.To = to.Address
	n.effects = append(n.effects, Send{Envelope: e})
}

func (n *Node) emit(e Effect) {
	n.effects = append(n.effects, e)
}

// take hands over the effects gathered since the last call.
func (n *Node) take() []Effect {
	out := n.effects
	n.effects = nil
	return out
}

// Catalog gives the configuration in force.
func (n *Node) Catalog() *catalog.Catalog {
	return n.config.Catalog()
}
