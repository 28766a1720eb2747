// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/catalog"
	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/services/budget"
	"github.com/shelfledge/shelfledge/services/membership"
	"github.com/shelfledge/shelfledge/services/node/digest"
	"github.com/shelfledge/shelfledge/services/node/followed"
	"github.com/shelfledge/shelfledge/services/node/lease"
	"github.com/shelfledge/shelfledge/services/routing"
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
	pending  map[string]*pendingRequest
	uses     map[string]fleet.TicketUse
	entries  map[string]*entryPeer
	peers    map[string]*peerState
	ledger   *budget.Ledger
	config   *followed.Configuration
	lease    *lease.Lease
	leaving  bool
	watching bool
	known    map[string]fleet.Instance
	listed   map[string]bool
	gone     map[string]time.Time
	leavers  map[string]time.Time
	lastList time.Time
	redo     time.Time
	digests  digest.Schedule
	effects  []Effect
}

// entryPeer is what a placer knows of an instance that submits requests.
type entryPeer struct {
	instance fleet.Instance
	stamp    time.Duration
	heard    time.Time
}

// peerState is what a peer of the hall last said of itself.
type peerState struct {
	hash  uint64
	wants []string
}

func (n *Node) peer(id string) *peerState {
	p, ok := n.peers[id]
	if !ok {
		p = &peerState{}
		n.peers[id] = p
	}
	return p
}

// New makes the node of an instance that starts now with nothing in hand.
func New(now time.Time, o Options) *Node {
	n := &Node{
		options: o,
		started: now,
		members: membership.New(o.Self, o.Membership),
		pools:   make(map[string]*poolState),
		remotes: make(map[string]*digest.Hall),
		pending: make(map[string]*pendingRequest),
		uses:    make(map[string]fleet.TicketUse),
		entries: make(map[string]*entryPeer),
		peers:   make(map[string]*peerState),
		known:   make(map[string]fleet.Instance),
		listed:  make(map[string]bool),
		gone:    make(map[string]time.Time),
		leavers: make(map[string]time.Time),
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
	case e.WantRecords != nil:
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
	n.chooseWatcher()
	return n.take()
}

// SetListed takes the platform's lagging list of instances and of leaving endpoints.
func (n *Node) SetListed(now time.Time, instances []fleet.Instance, leavingEndpoints []string) []Effect {
	n.lastList = now
	var hall []fleet.Instance
	present := make(map[string]bool, len(instances))
	for _, i := range instances {
		present[i.ID] = true
		n.known[i.ID] = i
		if i.Hall == n.options.Self.Hall {
			hall = append(hall, i)
		}
	}
	n.markGone(now, present)
	for id := range present {
		delete(n.gone, id)
	}
	n.listed = present
	n.members.SetListed(now, hall)
	n.setLeavers(now, leavingEndpoints)
	return n.take()
}

// markGone notes since when an instance that matters is missing from the list.
func (n *Node) markGone(now time.Time, present map[string]bool) {
	missing := func(id string) {
		if !present[id] && n.gone[id].IsZero() {
			n.gone[id] = now
		}
	}
	for id := range n.listed {
		missing(id)
	}
	for _, ps := range n.order {
		for _, f := range ps.former.Waiting() {
			missing(f.ID)
		}
	}
}

// leaverMemory is how long an endpoint counts as leaving after it was last shown so:
// the list lags, and a later look may show an older state.
const leaverMemory = 4 * time.Second

func (n *Node) setLeavers(now time.Time, names []string) {
	for _, name := range names {
		n.leavers[name] = now
	}
	for name, seen := range n.leavers {
		if now.Sub(seen) > leaverMemory {
			delete(n.leavers, name)
		}
	}
	for _, ps := range n.order {
		if ps.mine {
			n.applyDrains(now, ps)
		}
	}
}

// EndpointLeaving takes an endpoint's own word that it is leaving, ahead of the list.
func (n *Node) EndpointLeaving(now time.Time, endpoint string) []Effect {
	n.leavers[endpoint] = now
	for _, ps := range n.order {
		if ps.mine {
			n.applyDrains(now, ps)
		}
	}
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
	return len(n.pending) == 0 && len(n.uses) == 0
}

func (n *Node) memberChanged(now time.Time, c membership.Change) {
	id := c.Member.Instance.ID
	switch c.Kind {
	case membership.Joined:
		n.note(now, fleet.Event{Kind: fleet.EventMemberJoined, Other: id, Cause: "first heartbeat since it was last lost or unknown"})
	case membership.Left:
		n.note(now, fleet.Event{Kind: fleet.EventMemberLeft, Other: id, Cause: "it announced a planned stop"})
	case membership.Lost, membership.Restarted:
		n.note(now, fleet.Event{Kind: fleet.EventMemberLost, Other: id, Cause: "no heartbeat in time, or a new life of the instance"})
		n.entryLost(now, id)
	}
}

func (n *Node) entryLost(now time.Time, id string) {
	for _, ps := range n.order {
		if ps.mine && ps.placer != nil {
			n.run(now, ps, ps.placer.EntryLost(now, id))
		}
	}
}

// heartbeat takes a peer's heartbeat.
func (n *Node) heartbeat(now time.Time, e fleet.Envelope) {
	hb := e.Heartbeat
	n.learnEntry(now, hb.Instance, hb.Stamp)
	for _, c := range n.members.Heard(now, e.Boot, hb) {
		n.memberChanged(now, c)
	}
	m := n.members.Member(hb.Instance.ID)
	if m == nil {
		return
	}
	n.learnHeld(now, m)
	n.learnPools(now, hb)
	n.config.Hear(hb.Revision)
	if hb.Revision > n.config.Revision() {
		n.want(now, hb.Instance)
	}
	p := n.peer(m.Instance.ID)
	p.hash = hb.Members
	p.wants = hb.Wants
}

func (n *Node) learnEntry(now time.Time, i fleet.Instance, stamp time.Duration) *entryPeer {
	p, ok := n.entries[i.ID]
	if !ok {
		p = &entryPeer{}
		n.entries[i.ID] = p
	}
	if p.instance.Address != i.Address {
		p.stamp = 0
	}
	p.instance = i
	p.stamp = max(p.stamp, stamp)
	p.heard = now
	return p
}

// sendHeartbeats sends to each peer whose turn has come, with the pools' changes.
func (n *Node) sendHeartbeats(now time.Time) {
	due := n.members.Due(now)
	if len(due) == 0 {
		return
	}
	n.updateSummaries(now)
	for _, m := range due {
		n.sendHeartbeat(now, m)
	}
}

// heartbeatAll tells every live peer at once, for news that cannot wait.
func (n *Node) heartbeatAll(now time.Time) {
	n.updateSummaries(now)
	for _, m := range n.members.Alive() {
		m.Sent = now
		n.sendHeartbeat(now, m)
	}
}

func (n *Node) sendHeartbeat(now time.Time, m *membership.Member) {
	peer := n.peer(m.Instance.ID)
	hb := &fleet.Heartbeat{
		Instance: n.options.Self, Stamp: n.stamp(now), Revision: n.config.Revision(), Leaving: n.leaving, Members: n.members.Hash(),
	}
	if peer.hash != hb.Members {
		hb.Known = n.members.Known()
	}
	for _, ps := range n.order {
		if ps.mine {
			hb.Held = append(hb.Held, fleet.HeldPool{Pool: ps.pool.Name, Term: ps.term})
		}
		if ps.mine {
			hb.Pools = append(hb.Pools, n.summaryFor(now, peer, ps))
		}
		if ps.own && !ps.mine && ps.gap {
			hb.Wants = append(hb.Wants, ps.pool.Name)
		}
	}
	n.send(m.Instance, fleet.Envelope{Heartbeat: hb})
}

// summaryFor gives the whole summary where the peer asked for it, and else the changes.
func (n *Node) summaryFor(now time.Time, peer *peerState, ps *poolState) fleet.PoolSummary {
	if slices.Contains(peer.wants, ps.pool.Name) {
		return ps.publisher.Full()
	}
	return ps.publisher.Recent(now)
}

// updateSummaries brings the publishers of held pools up to the present.
func (n *Node) updateSummaries(now time.Time) {
	for _, ps := range n.order {
		if !ps.mine || ps.placer == nil {
			continue
		}
		ps.publisher.Update(now, ps.placer.Summary())
		if !n.router.Learn(now, ps.publisher.Recent(now)) {
			n.router.Learn(now, ps.publisher.Full())
		}
	}
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
