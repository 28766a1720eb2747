// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/followed"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// requestRecords requests the missing configuration records from a peer with a higher revision.
func (n *Node) requestRecords(now time.Time, from fleet.Instance) {
	if n.config.RequestDue(now) {
		n.send(from, fleet.Envelope{RecordsRequest: &fleet.RecordsRequest{After: n.config.Revision()}})
	}
}

// handleRecordsRequest answers a peer that requests configuration records: small answers at once, large ones through the answer queue.
func (n *Node) handleRecordsRequest(now time.Time, e fleet.Envelope) {
	to, ok := n.instanceOf(e.From)
	if !ok {
		return
	}
	requester := followed.Requester{ID: e.From, Boot: e.Boot, After: e.RecordsRequest.After}
	records, ok := n.recordsFor(now, requester)
	if !ok {
		return
	}
	size := records.Size()
	if size <= followed.MaxImmediateAnswer {
		n.send(to, fleet.Envelope{Records: records})
		return
	}
	n.answerQueue.Enqueue(now, requester, size)
	n.sendAnswers(now)
	if waitBytes := n.answerQueue.BytesToWaitFor(now, requester.ID); waitBytes > 0 {
		n.send(to, fleet.Envelope{Records: &fleet.Records{Head: n.config.Revision(), BytesInTransit: waitBytes}})
	}
}

// recordsFor returns the records or the snapshot that bring the requester to the configuration in force.
func (n *Node) recordsFor(now time.Time, requester followed.Requester) (*fleet.Records, bool) {
	records, err := n.config.RecordsAfter(requester.After)
	if err != nil {
		n.recordEvent(now, fleet.Event{Kind: fleet.EventRevisionBehind, Other: requester.ID, Cause: err.Error()})
		return nil, false
	}
	return records, true
}

// sendAnswers sends the large answers that are due, each after a message with the number of bytes to follow.
func (n *Node) sendAnswers(now time.Time) {
	for {
		requester, ok := n.answerQueue.Next(now)
		if !ok {
			return
		}
		to, known := n.instanceOf(requester.ID)
		records, ok := n.recordsFor(now, requester)
		if !known || !ok {
			continue
		}
		n.answerQueue.RecordSent(now, requester, records.Head, records.Size())
		n.send(to, fleet.Envelope{Records: &fleet.Records{Head: records.Head, BytesInTransit: n.answerQueue.BytesToWaitFor(now, requester.ID)}})
		n.send(to, fleet.Envelope{Records: records})
	}
}

// ApplyRecords applies configuration records of the key-value service. Older configuration is never applied.
func (n *Node) ApplyRecords(now time.Time, r fleet.Records) []Effect {
	if r.Head == 0 && !n.config.Known() {
		n.config.RecordNeverStored()
		n.emit(PublishCatalog{Catalog: n.config.Catalog()})
	}
	n.applyRecords(now, r)
	return n.takeEffects()
}

func (n *Node) applyRecords(now time.Time, r fleet.Records) {
	if r.BytesInTransit > 0 {
		n.config.Expect(now, r.Head, r.BytesInTransit)
		return
	}
	outcome := n.config.Advance(r, n.options.Defects.AcceptLowerRevision)
	if outcome.Older {
		n.recordEvent(now, fleet.Event{Kind: fleet.EventRevisionBehind, Revision: r.Head, Cause: "an older configuration was offered and not applied"})
	}
	if outcome.Err != nil {
		n.recordEvent(now, fleet.Event{Kind: fleet.EventRevisionBehind, Revision: r.Head, Cause: outcome.Err.Error()})
	}
	if outcome.Changed {
		n.publishCatalog(now, n.config.Catalog())
	}
}

// publishCatalog distributes a new catalog to the traffic path, the placers and all peers.
func (n *Node) publishCatalog(now time.Time, c *catalog.Catalog) {
	n.recordEvent(now, fleet.Event{Kind: fleet.EventRevision, Revision: c.Revision, Cause: "the configuration came into force"})
	n.emit(PublishCatalog{Catalog: c})
	n.applyConfiguration(now)
	n.heartbeatAll(now)
	n.digestSchedule.MakeDue()
	n.sendDigests(now)
}

func (n *Node) applyConfiguration(now time.Time) {
	classes := n.config.Catalog().EffectiveClasses(n.options.Classes)
	for _, ps := range n.poolList {
		if !ps.isPlacer {
			continue
		}
		ps.placer.SetClasses(classes)
		applyCatalog(ps.placer, n.config.Catalog())
		n.applyDrains(now, ps)
	}
}

// applyCatalog sets the pinned and preloaded adapters of the configuration on a placer.
func applyCatalog(p *placement.Placer, c *catalog.Catalog) {
	pins := make([]fleet.AdapterRef, 0, len(c.Pins))
	for ref := range c.Pins {
		pins = append(pins, ref)
	}
	p.SetPinned(pins)
	preloads := make([]fleet.AdapterRef, 0, len(c.Preloads))
	for ref := range c.Preloads {
		preloads = append(preloads, ref)
	}
	p.SetPreload(preloads, func(ref fleet.AdapterRef) string {
		if a := c.Adapters[ref.Name]; a != nil {
			return a.Base
		}
		return ""
	})
}

// updateWatch starts or stops watching the key-value service, so that in each hall only the speaker watches it, and each instance that
// knows neither the configuration nor a peer that has one.
func (n *Node) updateWatch() {
	on := n.isSpeaker() || (!n.config.Known() && n.config.Head() == 0)
	if on == n.watching {
		return
	}
	n.watching = on
	n.emit(WatchConfiguration{On: on})
}
