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

// Node is the control state of one daemon. It must be used by one goroutine only.
type Node struct {
	options           Options
	started           time.Time
	members           *membership.State
	router            *routing.Router
	pools             map[string]*poolState
	poolList          []*poolState
	remoteHalls       map[string]*digest.Hall
	pending           waiting.Requests
	ticketUses        waiting.TicketUses
	entries           map[string]*entryPeer
	peers             map[string]*peerState
	ledger            *budget.Ledger
	config            *followed.Configuration
	answerQueue       followed.AnswerQueue
	lease             *lease.Lease
	leaving           bool
	watching          bool
	platformList      *listing.List
	ticketsReportedAt time.Time
	sweptAt           time.Time
	digestSchedule    digest.Schedule
	effects           []Effect
}

// New creates the node of an instance that starts at now, without pools, tickets or configuration.
func New(now time.Time, o Options) *Node {
	n := &Node{
		options:        o,
		started:        now,
		members:        membership.New(o.Self, o.Membership),
		pools:          make(map[string]*poolState),
		remoteHalls:    make(map[string]*digest.Hall),
		pending:        waiting.NewRequests(),
		ticketUses:     waiting.NewTicketUses(),
		entries:        make(map[string]*entryPeer),
		peers:          make(map[string]*peerState),
		platformList:   listing.New(),
		config:         followed.New(),
		lease:          newLease(o),
		digestSchedule: digest.NewSchedule(o.Timing.DigestInterval, o.Timing.FullSummaryInterval),
	}
	pools := fleet.BuildPools(o.Endpoints)
	n.router = routing.NewRouter(o.Self.Hall, pools, o.Routing)
	for _, pool := range pools {
		ps := newPoolState(pool, pool.Hall == o.Self.Hall, o.Timing.BidInterval)
		n.pools[pool.Name] = ps
		n.poolList = append(n.poolList, ps)
	}
	for _, hall := range o.Halls {
		if hall != o.Self.Hall {
			n.remoteHalls[hall] = digest.NewHall(hall)
		}
	}
	n.ledger = budget.NewLedger(now, o.Budget, o.Timing.PermitLife)
	return n
}

// stamp returns the time since the node's start. Peers echo it and never interpret it.
func (n *Node) stamp(now time.Time) time.Duration {
	return now.Sub(n.started)
}

// Handle processes a message from a peer.
func (n *Node) Handle(now time.Time, e fleet.Envelope) []Effect {
	switch {
	case e.Heartbeat != nil:
		n.handleHeartbeat(now, e)
	case e.Submit != nil:
		n.handleSubmit(now, e)
	case e.Withdraw != nil:
		n.handleWithdraw(now, e)
	case e.Granted != nil:
		n.handleGranted(now, e)
	case e.Refused != nil:
		n.handleRefused(now, e)
	case e.Returned != nil:
		n.handleReturned(now, e.Returned)
	case e.TicketReport != nil:
		n.handleTicketReport(now, e)
	case e.Release != nil:
		n.handleRelease(now, e)
	case e.Bid != nil:
		n.handleBid(now, e)
	case e.Permit != nil:
		n.handlePermit(now, e)
	case e.PermitDone != nil:
		n.ledger.ReturnPermit(now, e.PermitDone.ID, e.PermitDone.Used)
	case e.RecordsRequest != nil:
		n.handleRecordsRequest(now, e)
	case e.Records != nil:
		n.applyRecords(now, *e.Records)
	case e.Digest != nil:
		n.handleDigest(now, e)
	}
	n.bidAndGrantPermits(now)
	return n.takeEffects()
}

// Tick runs the periodic work that is due at now.
func (n *Node) Tick(now time.Time) []Effect {
	for _, c := range n.members.Sweep(now) {
		n.memberChanged(now, c)
	}
	for _, ps := range n.poolList {
		if ps.inOwnHall {
			n.evaluate(now, ps)
		}
	}
	n.tickPools(now)
	n.tickPending(now)
	n.tickLease(now)
	n.sendHeartbeats(now)
	n.sendDigests(now)
	n.tickBudget(now)
	n.tickTicketReports(now)
	n.tickSweep(now)
	n.sendAnswers(now)
	n.updateWatch()
	return n.takeEffects()
}

// Leave begins a planned stop: the node rejects new requests and hands its pools over.
func (n *Node) Leave(now time.Time) []Effect {
	n.leaving = true
	for _, ps := range n.poolList {
		if ps.isPlacer {
			n.handOver(now, ps)
		}
	}
	n.heartbeatAll(now)
	return n.takeEffects()
}

// Idle reports whether this instance has neither waiting requests nor tickets in use.
func (n *Node) Idle() bool {
	return n.pending.Empty() && n.ticketUses.Empty()
}

func (n *Node) recordEvent(now time.Time, e fleet.Event) {
	e.At = now
	e.Instance = n.options.Self.ID
	n.effects = append(n.effects, RecordEvent{Event: e})
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

// takeEffects returns the effects collected since the last call and clears them.
func (n *Node) takeEffects() []Effect {
	out := n.effects
	n.effects = nil
	return out
}

// Catalog returns the configuration in force.
func (n *Node) Catalog() *catalog.Catalog {
	return n.config.Catalog()
}
