// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fuzz_test

import (
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// fakeKV acts out the key-value service as far as nodes use it: leases with owners,
// claims, and the configuration's records. It may be down and may lose answers.
type fakeKV struct {
	world  *world
	down   bool
	lose   int
	leases map[string]time.Time
	// numbers counts the leases of each life.
	numbers map[string]uint64
	owners  map[string]string
	former  map[string]formerOwner
	claims  map[string]bool
	catalog *catalog.Catalog
	records []fleet.Records
}

// formerOwner is the record of a pool's last owner and of those before that nobody saw end.
type formerOwner struct {
	id      string
	boot    uint64
	formers []node.FormerOwner
}

func newFakeKV(w *world) *fakeKV {
	return &fakeKV{
		world: w, leases: make(map[string]time.Time), numbers: make(map[string]uint64), owners: make(map[string]string), former: make(map[string]formerOwner),
		claims: make(map[string]bool), catalog: catalog.New(),
	}
}

// call carries a call to the service and its answer back, each way with a delay; a
// lost answer means that do was done and answered is never called.
func (k *fakeKV) call(n *fakeNode, do func(), answered, failed func()) {
	w := k.world
	w.at(w.now.Add(w.delay()), func() {
		if k.down || w.isCut(n.id, "kv") {
			w.atNode(n, w.now.Add(w.delay()), failed)
			return
		}
		do()
		if k.lose > 0 {
			k.lose--
			w.atNode(n, w.now.Add(2*time.Second), failed)
			return
		}
		w.atNode(n, w.now.Add(w.delay()), answered)
	})
}

func (k *fakeKV) lapse() {
	for life, until := range k.leases {
		if k.world.now.After(until) {
			delete(k.leases, life)
			for pool, owner := range k.owners {
				if owner == life {
					delete(k.owners, pool)
				}
			}
		}
	}
}

func (k *fakeKV) acquire(n *fakeNode, a node.AcquireOwner) {
	sent, pool := n.clock(), a.Pool
	result := node.OwnerResult{Pool: pool, Term: a.Term}
	k.call(n, func() {
		k.lapse()
		if owner, ok := k.owners[pool]; ok && owner != n.life() {
			return
		}
		k.hold(n)
		k.owners[pool] = n.life()
		f := k.former[pool]
		formers := slices.Clone(f.formers)
		if f.id != "" && (f.id != n.id || f.boot != n.boot) {
			formers = append(formers, node.FormerOwner{ID: f.id, Boot: f.boot})
		}
		result.OK, result.Lease, result.SentAt, result.FormerOwners = true, k.numbers[n.life()], sent, formers
		k.former[pool] = formerOwner{id: n.id, boot: n.boot, formers: formers}
	}, func() { n.do(n.node.HandleOwnerResult(n.clock(), result)) }, func() {})
}

// hold prolongs the lease of a node's life, or begins the next one.
func (k *fakeKV) hold(n *fakeNode) {
	if _, ok := k.leases[n.life()]; !ok {
		k.numbers[n.life()]++
	}
	k.leases[n.life()] = k.world.now.Add(n.options.Timing.LeaseTTL)
}

func (k *fakeKV) release(n *fakeNode, pool string) {
	life := n.life()
	k.call(n, func() {
		if k.owners[pool] == life {
			delete(k.owners, pool)
		}
	}, func() {}, func() {})
}

func (k *fakeKV) settle(n *fakeNode, pool string) {
	k.call(n, func() {
		if f := k.former[pool]; f.id == n.id && f.boot == n.boot {
			k.former[pool] = formerOwner{id: n.id, boot: n.boot}
		}
	}, func() {}, func() {})
}

func (k *fakeKV) renew(n *fakeNode) {
	sent := n.clock()
	life := n.life()
	var result node.LeaseResult
	k.call(n, func() {
		k.lapse()
		if _, ok := k.leases[life]; !ok {
			result = node.LeaseResult{Expired: true, Lease: k.numbers[life]}
			return
		}
		k.hold(n)
		result = node.LeaseResult{OK: true, Lease: k.numbers[life], SentAt: sent}
	}, func() { n.do(n.node.HandleLeaseResult(n.clock(), result)) }, func() { n.do(n.node.HandleLeaseResult(n.clock(), node.LeaseResult{})) })
}

// claim claims a once-request; like the real claimer it runs nothing without a sure claim.
func (k *fakeKV) claim(n *fakeNode, onceID string, done func(result string)) {
	result := "taken"
	k.call(n, func() {
		if !k.claims[onceID] {
			k.claims[onceID] = true
			result = "claimed"
		}
	}, func() { done(result) }, func() { done("impossible") })
}

// commit makes the next revision and tells the node that made it.
func (k *fakeKV) commit(n *fakeNode, c catalog.Change) {
	var records fleet.Records
	k.call(n, func() {
		next, _, err := k.catalog.Apply(k.catalog.Revision+1, []catalog.Change{c})
		if err != nil {
			return
		}
		encoded, err := catalog.EncodeRecord(catalog.Record{ID: "r", Revision: next.Revision, Changes: []catalog.Change{c}})
		if err != nil {
			panic(err)
		}
		k.catalog = next
		records = fleet.Records{Head: next.Revision, Records: [][]byte{encoded}}
		k.records = append(k.records, records)
	}, func() {
		if records.Head > 0 {
			n.do(n.node.ApplyRecords(n.clock(), records))
		}
	}, func() {})
}

// follow is what the watching instance does: it reads what is new. With stale set the
// service answers from an old copy.
func (k *fakeKV) follow(n *fakeNode, stale bool) {
	var answer fleet.Records
	k.call(n, func() {
		if stale {
			answer = k.snapshot(int64(len(k.records) / 2))
			return
		}
		answer = k.snapshot(int64(len(k.records)))
	}, func() { n.do(n.node.ApplyRecords(n.clock(), answer)) }, func() {})
}

// snapshot gives the whole configuration at a revision.
func (k *fakeKV) snapshot(revision int64) fleet.Records {
	h := catalog.NewHistory()
	c := catalog.New()
	for _, r := range k.records[:revision] {
		next, err := h.Advance(c, nil, r.Records, false)
		if err != nil {
			panic(err)
		}
		c = next
	}
	data, err := catalog.EncodeSnapshot(c)
	if err != nil {
		panic(err)
	}
	return fleet.Records{Head: c.Revision, Snapshot: data}
}
