// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/modules/ring"
)

// remoteHall is what is known of another hall through its speaker.
type remoteHall struct {
	hall      string
	speaker   fleet.Instance
	instances []fleet.Instance
	placers   map[string]fleet.PlacerOf
	heard     time.Time
	cut       bool
	revision  int64
	gaps      map[string]bool
	wants     []string
	turn      int
}

func newRemoteHall(hall string) *remoteHall {
	return &remoteHall{hall: hall, placers: make(map[string]fleet.PlacerOf), gaps: make(map[string]bool), cut: true}
}

// speaker finds the instance that speaks for this hall.
func (n *Node) speaker() (fleet.Instance, bool) {
	id := ring.Best("speaker/"+n.options.Self.Hall, n.members.Candidates(n.leaving))
	if id == n.options.Self.ID {
		return n.options.Self, true
	}
	if m := n.members.Member(id); m != nil {
		return m.Instance, true
	}
	return fleet.Instance{}, false
}

func (n *Node) isSpeaker() bool {
	s, ok := n.speaker()
	return ok && s.ID == n.options.Self.ID
}

// learnPools takes the pools' summaries that a member of the hall carries.
func (n *Node) learnPools(now time.Time, hb *fleet.Heartbeat) {
	for _, s := range hb.Pools {
		ps := n.pools[s.Pool]
		if ps == nil || ps.mine {
			continue
		}
		ps.gap = !n.router.Learn(now, s)
	}
}

// sendDigests tells the other halls' speakers about this hall.
func (n *Node) sendDigests(now time.Time) {
	n.judgeCuts(now)
	if now.Sub(n.digested) < n.digestInterval(now) || !n.isSpeaker() {
		return
	}
	n.digested = now
	full := now.Sub(n.fulled) >= n.options.Timing.FullSummary
	if full {
		n.fulled = now
	}
	n.told = n.news()
	for _, hall := range n.options.Halls {
		if r := n.remotes[hall]; r != nil {
			n.sendDigest(now, r, full)
		}
	}
}

// quietDigests is how many intervals pass between two digests that tell nothing new.
const quietDigests = 4

// digestInterval is short while there is news, and longer while there is none.
func (n *Node) digestInterval(now time.Time) time.Duration {
	if n.news() != n.told {
		return n.options.Timing.Digest
	}
	for _, ps := range n.order {
		if ps.own && n.router.Changing(now, ps.pool.Name) {
			return n.options.Timing.Digest
		}
	}
	return quietDigests * n.options.Timing.Digest
}

// news sums up what other halls must learn soon besides the slots.
func (n *Node) news() digestNews {
	out := digestNews{revision: n.config.revision(), lowest: n.hallRevision()}
	for _, ps := range n.order {
		if p, ok := n.placerRecord(ps); ok && ps.own {
			out.terms += p.Term
			out.placed++
		}
	}
	return out
}

// digestNews is what a digest told of revision and placers.
type digestNews struct {
	revision, lowest int64
	terms            uint64
	placed           int
}

func (n *Node) sendDigest(now time.Time, r *remoteHall, full bool) {
	d := &fleet.Digest{Hall: n.options.Self.Hall, Revision: n.hallRevision(), Highest: n.config.revision()}
	for _, ps := range n.order {
		if !ps.own {
			continue
		}
		if p, ok := n.placerRecord(ps); ok {
			d.Placers = append(d.Placers, p)
		}
		whole := full || slices.Contains(r.wants, ps.pool.Name)
		if s, ok := n.summaryOf(now, ps, whole); ok {
			d.Pools = append(d.Pools, s)
		}
	}
	d.Speaker = n.options.Self
	if full || r.cut || len(r.wants) > 0 {
		d.Instances = append(d.Instances, n.members.Known()...)
	}
	for name := range r.gaps {
		d.Wants = append(d.Wants, name)
	}
	slices.Sort(d.Wants)
	for _, to := range n.speakersOf(r) {
		n.send(to, fleet.Envelope{Digest: d})
	}
}

// summaryOf gives a pool's summary, from the placer if it is here, and else as it was heard.
func (n *Node) summaryOf(now time.Time, ps *poolState, whole bool) (fleet.PoolSummary, bool) {
	if !ps.mine {
		return n.router.Export(now, ps.pool.Name, whole)
	}
	if whole {
		return ps.publisher.Full(), true
	}
	return ps.publisher.Recent(now), true
}

func (n *Node) placerRecord(ps *poolState) (fleet.PlacerOf, bool) {
	if ps.mine {
		return fleet.PlacerOf{Pool: ps.pool.Name, Term: ps.term, Instance: n.options.Self}, true
	}
	m := n.members.Member(ps.holder)
	if m == nil || !m.Alive {
		return fleet.PlacerOf{}, false
	}
	return fleet.PlacerOf{Pool: ps.pool.Name, Term: heldTerm(m, ps.pool.Name), Instance: m.Instance}, true
}

// speakersOf names whom to tell in another hall: its speaker while it is heard, and else known instances in turn.
func (n *Node) speakersOf(r *remoteHall) []fleet.Instance {
	if !r.cut && r.speaker.ID != "" {
		return []fleet.Instance{r.speaker}
	}
	known := slices.Clone(r.instances)
	for _, i := range n.known {
		if i.Hall == r.hall && !slices.ContainsFunc(known, func(k fleet.Instance) bool { return k.ID == i.ID }) {
			known = append(known, i)
		}
	}
	if len(known) == 0 {
		return nil
	}
	slices.SortFunc(known, func(a, b fleet.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	r.turn++
	return []fleet.Instance{known[r.turn%len(known)]}
}

// digest takes another hall's account, and passes it on inside the hall if it came from outside.
func (n *Node) digest(now time.Time, e fleet.Envelope) {
	d := e.Digest
	r := n.remotes[d.Hall]
	if r == nil {
		return
	}
	r.heard = now.Add(-d.Age)
	if !d.Relayed {
		r.wants = d.Wants
	}
	r.speaker = d.Speaker
	if len(d.Instances) > 0 {
		r.instances = d.Instances
	}
	r.revision = d.Revision
	for _, p := range d.Placers {
		n.learnPlacer(now, r, p)
	}
	for _, s := range d.Pools {
		if !n.router.Learn(now, s) {
			r.gaps[s.Pool] = true
			continue
		}
		delete(r.gaps, s.Pool)
	}
	n.setCut(now, r, false)
	n.config.heardHead(d.Highest)
	if d.Highest > n.config.revision() && r.speaker.ID != "" {
		n.want(now, r.speaker)
	}
	if !d.Relayed {
		n.relay(*d)
	}
}

func (n *Node) learnPlacer(now time.Time, r *remoteHall, p fleet.PlacerOf) {
	old, ok := r.placers[p.Pool]
	if ok && old.Term > p.Term {
		return
	}
	r.placers[p.Pool] = p
	if ok && old.Instance.ID == p.Instance.ID && old.Term == p.Term {
		return
	}
	if ps := n.pools[p.Pool]; ps != nil {
		n.declareUses(ps, p.Instance)
		n.resubmitPool(now, ps)
	}
}

// relay passes another hall's digest on to the members of this one.
func (n *Node) relay(d fleet.Digest) {
	d.Relayed = true
	for _, m := range n.members.Alive() {
		n.send(m.Instance, fleet.Envelope{Digest: &d})
	}
}

// judgeCuts marks halls that have gone silent.
func (n *Node) judgeCuts(now time.Time) {
	for _, name := range n.options.Halls {
		r := n.remotes[name]
		if r != nil && !r.cut && now.Sub(r.heard) > n.options.Timing.HallSilence {
			n.setCut(now, r, true)
		}
	}
}

func (n *Node) setCut(now time.Time, r *remoteHall, cut bool) {
	if r.cut == cut {
		return
	}
	r.cut = cut
	n.router.SetCut(r.hall, cut)
	kind, cause := fleet.EventThaw, "the hall is heard again"
	if cut {
		kind, cause = fleet.EventFreeze, "the hall has gone silent; requests stay in reachable halls"
	}
	n.note(now, fleet.Event{Kind: kind, Other: r.hall, Cause: cause})
}

// hallRevision is the lowest revision in force among this hall's live instances.
func (n *Node) hallRevision() int64 {
	lowest := n.config.revision()
	for _, m := range n.members.Alive() {
		lowest = min(lowest, m.Revision)
	}
	return lowest
}
