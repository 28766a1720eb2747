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

// fakeKV is a fake of the parts of the key-value service that nodes use: leases with the ownership of pools, claims, and the records of
// the configuration. It can be down, and it can lose answers.
type fakeKV struct {
	sim  *simulation
	down bool
	// answersToLose is how many of the next answers are lost after the call was carried out.
	answersToLose int
	leases        map[string]time.Time
	// leaseNumbers counts the leases of each run of a node, by fakeNode.lifeID.
	leaseNumbers map[string]uint64
	owners       map[string]string
	lastOwners   map[string]ownerRecord
	claims       map[string]bool
	catalog      *catalog.Catalog
	records      []fleet.Records
}

// ownerRecord is the stored record of a pool's last owner and of the former owners whose end was not confirmed.
type ownerRecord struct {
	id           string
	boot         uint64
	formerOwners []node.FormerOwner
}

func newFakeKV(s *simulation) *fakeKV {
	return &fakeKV{
		sim: s, leases: make(map[string]time.Time), leaseNumbers: make(map[string]uint64), owners: make(map[string]string), lastOwners: make(map[string]ownerRecord),
		claims: make(map[string]bool), catalog: catalog.New(),
	}
}

// call delivers a call to the service and its answer to the node, each with a delay. do carries the call out; then answered runs at the node.
// If the answer is lost, do has run and failed runs instead of answered; if the service cannot be reached, only failed runs.
func (k *fakeKV) call(n *fakeNode, do func(), answered, failed func()) {
	s := k.sim
	s.schedule(s.now.Add(s.delay()), func() {
		if k.down || s.isCut(n.id, "kv") {
			s.scheduleOnNode(n, s.now.Add(s.delay()), failed)
			return
		}
		do()
		if k.answersToLose > 0 {
			k.answersToLose--
			s.scheduleOnNode(n, s.now.Add(2*time.Second), failed)
			return
		}
		s.scheduleOnNode(n, s.now.Add(s.delay()), answered)
	})
}

func (k *fakeKV) expireLeases() {
	for life, until := range k.leases {
		if k.sim.now.After(until) {
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
	sentAt, pool := n.clock(), a.Pool
	result := node.OwnerResult{Pool: pool, Term: a.Term}
	k.call(n, func() {
		k.expireLeases()
		if owner, ok := k.owners[pool]; ok && owner != n.lifeID() {
			return
		}
		k.extendLease(n)
		k.owners[pool] = n.lifeID()
		last := k.lastOwners[pool]
		formerOwners := slices.Clone(last.formerOwners)
		if last.id != "" && (last.id != n.id || last.boot != n.boot) {
			formerOwners = append(formerOwners, node.FormerOwner{ID: last.id, Boot: last.boot})
		}
		result.OK, result.Lease, result.SentAt, result.FormerOwners = true, k.leaseNumbers[n.lifeID()], sentAt, formerOwners
		k.lastOwners[pool] = ownerRecord{id: n.id, boot: n.boot, formerOwners: formerOwners}
	}, func() { n.applyEffects(n.node.HandleOwnerResult(n.clock(), result)) }, func() {})
}

// extendLease extends the lease of a node's run, or creates the next one if there is none.
func (k *fakeKV) extendLease(n *fakeNode) {
	if _, ok := k.leases[n.lifeID()]; !ok {
		k.leaseNumbers[n.lifeID()]++
	}
	k.leases[n.lifeID()] = k.sim.now.Add(n.options.Timing.LeaseTTL)
}

func (k *fakeKV) release(n *fakeNode, pool string) {
	life := n.lifeID()
	k.call(n, func() {
		if k.owners[pool] == life {
			delete(k.owners, pool)
		}
	}, func() {}, func() {})
}

func (k *fakeKV) clearFormerOwners(n *fakeNode, pool string) {
	k.call(n, func() {
		if last := k.lastOwners[pool]; last.id == n.id && last.boot == n.boot {
			k.lastOwners[pool] = ownerRecord{id: n.id, boot: n.boot}
		}
	}, func() {}, func() {})
}

func (k *fakeKV) renew(n *fakeNode) {
	sentAt := n.clock()
	life := n.lifeID()
	var result node.LeaseResult
	k.call(n, func() {
		k.expireLeases()
		if _, ok := k.leases[life]; !ok {
			result = node.LeaseResult{Expired: true, Lease: k.leaseNumbers[life]}
			return
		}
		k.extendLease(n)
		result = node.LeaseResult{OK: true, Lease: k.leaseNumbers[life], SentAt: sentAt}
	}, func() { n.applyEffects(n.node.HandleLeaseResult(n.clock(), result)) }, func() { n.applyEffects(n.node.HandleLeaseResult(n.clock(), node.LeaseResult{})) })
}

// claim claims a once-request and passes the result to done. As in the real claimer, a failed call counts as no claim, so that the request
// is not run.
func (k *fakeKV) claim(n *fakeNode, onceID string, done func(result string)) {
	result := "taken"
	k.call(n, func() {
		if !k.claims[onceID] {
			k.claims[onceID] = true
			result = "claimed"
		}
	}, func() { done(result) }, func() { done("impossible") })
}

// commit creates the next revision of the configuration and passes its record to the node that requested the change.
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
			n.applyEffects(n.node.ApplyRecords(n.clock(), records))
		}
	}, func() {})
}

// sendConfiguration reads the configuration for a node, as the watching instance does. If stale is set, the service answers from an old copy
// with the first half of the records.
func (k *fakeKV) sendConfiguration(n *fakeNode, stale bool) {
	var answer fleet.Records
	k.call(n, func() {
		if stale {
			answer = k.snapshotAt(int64(len(k.records) / 2))
			return
		}
		answer = k.snapshotAt(int64(len(k.records)))
	}, func() { n.applyEffects(n.node.ApplyRecords(n.clock(), answer)) }, func() {})
}

// snapshotAt returns the complete configuration at a revision.
func (k *fakeKV) snapshotAt(revision int64) fleet.Records {
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
