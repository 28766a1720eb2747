// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/modules/ring"
	"github.com/shelfledge/shelfledge/services/membership"
	"github.com/shelfledge/shelfledge/services/node/lease"
	"github.com/shelfledge/shelfledge/services/placement"
	"github.com/shelfledge/shelfledge/services/routing"
)

// poolState is what a node knows of one pool, and its own part in it.
type poolState struct {
	pool fleet.Pool
	// own tells whether the pool is in the node's hall.
	own bool
	// mine tells whether the node is, to its own belief, the pool's placer.
	mine      bool
	term      uint64
	maxTerm   uint64
	holder    string
	placer    *placement.Placer
	publisher *routing.Publisher
	gap       bool
	tookAt    time.Time
	adopted   map[string]bool
	asked     map[string]time.Time
	inspected map[string]time.Time
	waiting   []fleet.Envelope
	handed    []fleet.TicketUse
	handedBy  FormerOwner
	former    lease.Succession
	bidAt     time.Time
	permits   map[fleet.AdapterRef]heldPermit
	bidding   bool
	bidSent   time.Time
	losses    int
	lostAt    time.Time
	bidValue  float64
	// dealt tells that this entry has asked the pool for a ticket.
	dealt bool
}

const (
	// flushAfter is how long requests wait for the last endpoint of a pool to be taken over.
	flushAfter      = 400 * time.Millisecond
	maxWaitingTaken = 20000
)

func newPoolState(pool fleet.Pool, own bool) *poolState {
	return &poolState{
		pool: pool, own: own, adopted: make(map[string]bool), asked: make(map[string]time.Time),
		inspected: make(map[string]time.Time), permits: make(map[fleet.AdapterRef]heldPermit),
	}
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

// evaluate decides whether to take a pool over, to keep it or to let it go.
func (n *Node) evaluate(now time.Time, ps *poolState) {
	other := n.announcer(ps)
	if ps.mine {
		n.evaluateMine(now, ps, other)
		return
	}
	n.setHolder(now, ps, other)
	if other != nil || n.leaving || now.Sub(n.started) < n.options.Membership.Settle {
		return
	}
	if ring.Best(ps.pool.Name, n.members.Candidates(n.leaving)) == n.options.Self.ID {
		n.takeOver(now, ps, nil, "no live instance of the hall holds the pool")
	}
}

func (n *Node) evaluateMine(now time.Time, ps *poolState, other *membership.Member) {
	if other != nil && n.yieldsTo(ps, other) {
		n.stepDown(now, ps, other.Instance, "another instance holds the pool under a higher term")
		return
	}
	n.retryTakes(now, ps)
}

// announcer finds the live member that holds the pool under the highest term.
func (n *Node) announcer(ps *poolState) *membership.Member {
	var best *membership.Member
	var bestTerm uint64
	for _, m := range n.members.Alive() {
		term := heldTerm(m, ps.pool.Name)
		if term == 0 {
			continue
		}
		higher := best == nil || term > bestTerm
		if !higher && term == bestTerm {
			higher = ring.Score(ps.pool.Name, m.Instance.ID) > ring.Score(ps.pool.Name, best.Instance.ID)
		}
		if higher {
			best, bestTerm = m, term
		}
	}
	return best
}

func heldTerm(m *membership.Member, pool string) uint64 {
	for _, h := range m.Held {
		if h.Pool == pool {
			return h.Term
		}
	}
	return 0
}

// yieldsTo settles two believers: the higher term wins, and among equals the higher score.
func (n *Node) yieldsTo(ps *poolState, other *membership.Member) bool {
	term := heldTerm(other, ps.pool.Name)
	if term != ps.term {
		return term > ps.term
	}
	return ring.Score(ps.pool.Name, other.Instance.ID) > ring.Score(ps.pool.Name, n.options.Self.ID)
}

// learnHeld notes the terms that a member announces.
func (n *Node) learnHeld(now time.Time, m *membership.Member) {
	for _, h := range m.Held {
		if ps := n.pools[h.Pool]; ps != nil {
			ps.maxTerm = max(ps.maxTerm, h.Term)
			if ps.own {
				n.evaluate(now, ps)
			}
		}
	}
}

// setHolder follows a change of placer: tickets are declared to it and waiting requests asked for anew.
func (n *Node) setHolder(now time.Time, ps *poolState, m *membership.Member) {
	id := ""
	if m != nil {
		id = m.Instance.ID
	}
	if id == ps.holder {
		return
	}
	ps.holder = id
	if id == "" {
		return
	}
	n.declareUses(ps, m.Instance)
	n.resubmitPool(now, ps)
}

// takeOver makes the node the pool's placer under a new term.
func (n *Node) takeOver(now time.Time, ps *poolState, handed []fleet.TicketUse, cause string) {
	ps.mine = true
	// A new life of a lone instance knows no earlier terms, so the boot is a floor.
	ps.maxTerm = max(ps.maxTerm+1, n.options.Boot)
	ps.term = ps.maxTerm
	ps.holder = n.options.Self.ID
	ps.tookAt = now
	ps.handed = handed
	if handed == nil {
		ps.handedBy = FormerOwner{}
	}
	ps.former = lease.Unknown()
	if n.options.Defects.SkipFreeze {
		ps.former = ps.former.Unfrozen()
	}
	options := n.options.Placement
	options.EvictInUse = n.options.Defects.UnloadWithoutTickets
	options.Classes = n.config.classes(n.options.Classes)
	ps.placer = placement.NewPlacer(ps.pool.Name, n.options.Self.ID, ps.pool.Endpoints, options)
	ps.placer.SetEpoch(n.options.Boot, ps.term)
	n.config.applyTo(ps.placer)
	ps.publisher = routing.NewPublisher(ps.term)
	clear(ps.adopted)
	clear(ps.asked)
	clear(ps.inspected)
	clear(ps.permits)
	n.note(now, fleet.Event{Kind: fleet.EventTakeover, Pool: ps.pool.Name, Fence: ps.term, Cause: cause})
	for _, e := range ps.unfenced() {
		ps.placer.AllowOrders(e.Name, time.Time{})
	}
	n.lease.Forget(ps.pool.Name)
	ps.losses = 0
	n.retryTakes(now, ps)
	n.heartbeatAll(now)
	n.resubmitPool(now, ps)
}

// retryTakes asks the endpoints that have not answered yet.
func (n *Node) retryTakes(now time.Time, ps *poolState) {
	for _, e := range ps.pool.Endpoints {
		last := ps.asked[e.Name]
		if ps.adopted[e.Name] || (!last.IsZero() && now.Sub(last) < n.options.Timing.TakeRetry) {
			continue
		}
		ps.asked[e.Name] = now
		n.emit(Take{Pool: ps.pool.Name, Term: ps.term, Endpoint: e})
	}
	if now.Sub(ps.tookAt) > flushAfter {
		n.flushWaiting(now, ps)
	}
}

// TakeResult is an endpoint's answer to a takeover.
type TakeResult struct {
	Pool       string
	Term       uint64
	OK         bool
	Refused    bool
	Fence      uint64
	Inspection placement.Inspection
}

// Taken takes an endpoint's answer to a takeover order.
func (n *Node) Taken(now time.Time, r TakeResult) []Effect {
	ps := n.pools[r.Pool]
	if ps == nil || !ps.mine || ps.term != r.Term || ps.adopted[r.Inspection.Endpoint] {
		return nil
	}
	if !r.OK {
		if r.Refused {
			n.note(now, fleet.Event{Kind: fleet.EventOrderRefused, Pool: r.Pool, Endpoint: r.Inspection.Endpoint, Fence: r.Fence, Cause: "the endpoint obeys a higher fence"})
		}
		return n.take()
	}
	endpoint := r.Inspection.Endpoint
	ps.adopted[endpoint] = true
	ps.inspected[endpoint] = now
	frozen := now
	if ps.former.Frozen() && n.isUnfenced(ps, endpoint) {
		frozen = now.Add(lease.Forever)
	}
	n.run(now, ps, ps.placer.Adopt(now, r.Inspection, r.Fence, frozen))
	for _, u := range ps.handed {
		if u.Ticket.Endpoint == endpoint {
			n.run(now, ps, ps.placer.Redeclare(now, u.Ticket, u.Request))
		}
	}
	for _, u := range n.ownUses(ps.pool.Name) {
		if u.Ticket.Endpoint == endpoint {
			n.run(now, ps, ps.placer.Redeclare(now, u.Ticket, u.Request))
		}
	}
	n.applyDrains(now, ps)
	if len(ps.adopted) == len(ps.pool.Endpoints) {
		n.flushWaiting(now, ps)
	}
	n.spend(now)
	return n.take()
}

func (n *Node) isUnfenced(ps *poolState, endpoint string) bool {
	return slices.ContainsFunc(ps.unfenced(), func(e fleet.Endpoint) bool { return e.Name == endpoint })
}

// flushWaiting submits what came while the pool was being taken over.
func (n *Node) flushWaiting(now time.Time, ps *poolState) {
	waiting := ps.waiting
	ps.waiting = nil
	for _, e := range waiting {
		n.place(now, ps, e)
	}
}

// stepDown lets a pool go to another holder.
func (n *Node) stepDown(now time.Time, ps *poolState, to fleet.Instance, cause string) {
	n.note(now, fleet.Event{Kind: fleet.EventRelease, Pool: ps.pool.Name, Other: to.ID, Fence: ps.term, Cause: cause})
	n.letGo(now, ps, to)
	ps.holder = to.ID
	n.declareUses(ps, to)
	n.resubmitPool(now, ps)
}

// handOver gives a pool to a successor before a planned stop.
func (n *Node) handOver(now time.Time, ps *poolState) {
	next := ring.Best(ps.pool.Name, n.members.Candidates(true))
	m := n.members.Member(next)
	if m == nil {
		return
	}
	n.note(now, fleet.Event{Kind: fleet.EventRelease, Pool: ps.pool.Name, Other: next, Fence: ps.term, Cause: "a planned stop"})
	n.letGo(now, ps, m.Instance)
	ps.holder = ""
}

// letGo sends the tickets to the successor and the waiting requests back to their entries.
func (n *Node) letGo(now time.Time, ps *poolState, to fleet.Instance) {
	n.send(to, fleet.Envelope{Release: &fleet.Release{Pool: ps.pool.Name, Term: ps.term, Uses: ps.placer.Uses()}})
	effects := ps.placer.RefuseAll(now, fleet.ReasonNoPlacer, 0)
	ps.mine = false
	n.run(now, ps, effects)
	for _, e := range ps.waiting {
		n.elsewhere(e, ps.pool.Name)
	}
	ps.waiting = nil
	ps.placer = nil
	for _, held := range ps.permits {
		n.permitDone(now, ps.pool.Name, held, true)
	}
	clear(ps.permits)
	if len(ps.unfenced()) > 0 {
		n.lease.Forget(ps.pool.Name)
		n.emit(ReleaseOwner{Pool: ps.pool.Name})
	}
}

// released takes a pool that its placer hands over, or the tickets of one who stepped down.
func (n *Node) released(now time.Time, e fleet.Envelope) {
	ps := n.pools[e.Release.Pool]
	if ps == nil || !ps.own {
		return
	}
	ps.maxTerm = max(ps.maxTerm, e.Release.Term)
	if ps.mine {
		for _, u := range e.Release.Uses {
			n.run(now, ps, ps.placer.Redeclare(now, u.Ticket, u.Request))
		}
		return
	}
	if n.leaving || e.Release.Term < ps.maxTerm {
		return
	}
	uses := e.Release.Uses
	if uses == nil {
		uses = []fleet.TicketUse{}
	}
	if m := n.members.Member(e.From); m != nil {
		m.Held = slices.DeleteFunc(m.Held, func(h fleet.HeldPool) bool { return h.Pool == ps.pool.Name })
	}
	ps.handedBy = FormerOwner{ID: e.From, Boot: e.Boot}
	n.takeOver(now, ps, uses, "handed over by "+e.From)
}

// tickPools lets the placers work and looks at the endpoints in turn.
func (n *Node) tickPools(now time.Time) {
	for _, ps := range n.order {
		if !ps.mine {
			continue
		}
		n.run(now, ps, ps.placer.Tick(now))
		n.inspectDue(now, ps)
		n.thawDue(now, ps)
	}
}

func (n *Node) inspectDue(now time.Time, ps *poolState) {
	for _, e := range ps.pool.Endpoints {
		if !ps.adopted[e.Name] || now.Sub(ps.inspected[e.Name]) < n.options.Timing.Inspect {
			continue
		}
		ps.inspected[e.Name] = now
		n.emit(Inspect{Pool: ps.pool.Name, Term: ps.term, Endpoint: e})
	}
}

// Inspected takes an endpoint's own list; a fence of another holder means that the pool is lost.
func (n *Node) Inspected(now time.Time, pool string, term uint64, in placement.Inspection) []Effect {
	ps := n.pools[pool]
	if ps == nil || !ps.mine || ps.term != term {
		return nil
	}
	ps.inspected[in.Endpoint] = now
	n.run(now, ps, ps.placer.Inspected(now, in))
	n.thaw(now, ps, in)
	n.spend(now)
	return n.take()
}

// LoadResult is the end of an ordered load.
type LoadResult struct {
	Pool        string
	Term        uint64
	Endpoint    string
	Incarnation string
	Adapter     fleet.AdapterRef
	Result      placement.LoadResult
	Cause       string
	// FenceLost is true where the endpoint obeys another fence by now.
	FenceLost bool
}

// Loaded takes the end of an ordered load.
func (n *Node) Loaded(now time.Time, r LoadResult) []Effect {
	ps := n.pools[r.Pool]
	if ps == nil || !ps.mine || ps.term != r.Term {
		return nil
	}
	if held, ok := ps.permits[r.Adapter]; ok {
		delete(ps.permits, r.Adapter)
		n.permitDone(now, r.Pool, held, true)
	}
	if r.FenceLost {
		n.note(now, fleet.Event{Kind: fleet.EventOrderRefused, Pool: r.Pool, Endpoint: r.Endpoint, Adapter: r.Adapter.String(), Cause: r.Cause})
		n.loseFence(now, ps, r.Endpoint)
	}
	n.run(now, ps, ps.placer.Loaded(now, r.Endpoint, r.Incarnation, r.Adapter, r.Result, r.Cause))
	n.spend(now)
	return n.take()
}

const (
	maxFenceLosses = 5
	forgetLosses   = time.Minute
)

// loseFence stops the use of an endpoint that obeys another holder. Two instances that
// cannot hear each other may both believe that they place the pool; each comes back
// more slowly every time, so that they do not spend the endpoint's time on their quarrel.
func (n *Node) loseFence(now time.Time, ps *poolState, endpoint string) {
	if now.Sub(ps.lostAt) > forgetLosses {
		ps.losses = 0
	}
	ps.lostAt = now
	ps.losses = min(ps.losses+1, maxFenceLosses)
	ps.adopted[endpoint] = false
	ps.asked[endpoint] = now.Add(n.options.Timing.TakeRetry * (1<<ps.losses - 2))
	ps.placer.LoseFence(endpoint)
}

// applyDrains passes on what leaves by the platform's list or an operator's command.
func (n *Node) applyDrains(now time.Time, ps *poolState) {
	for _, e := range ps.pool.Endpoints {
		leaving := !n.leavers[e.Name].IsZero() && !n.options.Defects.IgnoreLeaving
		n.run(now, ps, ps.placer.SetLeaving(now, e.Name, leaving))
		drained := n.config.catalog.Drained[e.Name] || n.config.catalog.Drained[ps.pool.Hall]
		n.run(now, ps, ps.placer.SetDrained(now, e.Name, drained))
	}
}
