// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// HallView is the state of a hall as this instance knows it.
type HallView struct {
	Hall     string
	Revision int64
	Age      time.Duration
	CutOff   bool
	Speaker  fleet.Instance
}

// Halls returns the halls with the revision in force in each.
func (n *Node) Halls(now time.Time) []HallView {
	speaker, _ := n.speaker()
	out := []HallView{{Hall: n.options.Self.Hall, Revision: n.hallRevision(), Speaker: speaker}}
	for _, name := range n.options.Halls {
		r := n.remoteHalls[name]
		if r == nil {
			continue
		}
		speaker, _ := r.Speaker()
		out = append(out, HallView{Hall: name, Revision: r.Revision(), Age: r.Silence(now), CutOff: r.CutOff(), Speaker: speaker})
	}
	slices.SortFunc(out, func(a, b HallView) int {
		if a.Hall < b.Hall {
			return -1
		}
		return 1
	})
	return out
}

// InstanceView is the state of one instance of the hall, for operators.
type InstanceView struct {
	Instance fleet.Instance
	Alive    bool
	Leaving  bool
	Listed   bool
	Revision int64
	Age      time.Duration
	Pools    []string
}

// Instances returns the hall's instances, including this one.
func (n *Node) Instances(now time.Time) []InstanceView {
	self := InstanceView{Instance: n.options.Self, Alive: true, Leaving: n.leaving, Listed: n.platformList.Listed(n.options.Self.ID), Revision: n.config.Revision()}
	for _, ps := range n.poolList {
		if ps.isPlacer {
			self.Pools = append(self.Pools, ps.pool.Name)
		}
	}
	out := []InstanceView{self}
	for _, i := range n.members.Known()[1:] {
		m := n.members.Member(i.ID)
		v := InstanceView{Instance: i, Alive: m.Alive, Leaving: m.Leaving, Listed: m.Listed, Revision: m.Revision, Age: now.Sub(m.Received)}
		for _, h := range m.HeldPools {
			v.Pools = append(v.Pools, h.Pool)
		}
		out = append(out, v)
	}
	return out
}

// PoolView is the state of one pool whose placer is this instance.
type PoolView struct {
	Pool      string
	Term      uint64
	Slots     []placement.SlotView
	Endpoints []placement.EndpointView
	Waiting   []placement.WaitingView
	Tickets   []fleet.Ticket
}

// Pools returns the pools whose placer is this instance.
func (n *Node) Pools(now time.Time) []PoolView {
	var out []PoolView
	for _, ps := range n.poolList {
		if !ps.isPlacer {
			continue
		}
		out = append(out, PoolView{
			Pool: ps.pool.Name, Term: ps.term, Slots: ps.placer.Slots(now), Endpoints: ps.placer.Endpoints(now),
			Waiting: ps.placer.Waiting(), Tickets: ps.placer.Tickets(),
		})
	}
	return out
}

// Revision returns the revision in force here and the highest revision that any peer or the key-value service has reported.
func (n *Node) Revision() (int64, int64) {
	return n.config.Revision(), n.config.Head()
}

// Records returns the recent records of the configuration, the oldest first.
func (n *Node) Records() []catalog.Record {
	return n.config.RecentRecords()
}

// Peers returns the live instances of the hall, without this one.
func (n *Node) Peers() []fleet.Instance {
	var out []fleet.Instance
	for _, m := range n.members.Alive() {
		out = append(out, m.Instance)
	}
	return out
}

// Ready reports whether the configuration is known, every pool of the hall has a known placer and this instance is not leaving.
func (n *Node) Ready() bool {
	if n.leaving || !n.config.Known() {
		return false
	}
	for _, ps := range n.poolList {
		if !ps.inOwnHall {
			continue
		}
		if _, ok := n.placerOf(ps); !ok && !ps.isPlacer {
			return false
		}
	}
	return true
}
