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

// want asks a peer that is ahead for what is missing here.
func (n *Node) want(now time.Time, from fleet.Instance) {
	if n.config.AskDue(now) {
		n.send(from, fleet.Envelope{RecordsRequest: &fleet.RecordsRequest{After: n.config.Revision()}})
	}
}

// wanted passes configuration on to a peer that is behind: what is small at once, what is large in its turn.
func (n *Node) wanted(now time.Time, e fleet.Envelope) {
	to, ok := n.instanceOf(e.From)
	if !ok {
		return
	}
	asker := followed.Asker{ID: e.From, Boot: e.Boot, After: e.RecordsRequest.After}
	records, ok := n.recordsFor(now, asker)
	if !ok {
		return
	}
	size := records.Size()
	if size <= followed.SmallAnswer {
		n.send(to, fleet.Envelope{Records: records})
		return
	}
	n.answers.Ask(now, asker, size)
	n.sendAnswers(now)
	if coming := n.answers.Coming(now, asker.ID); coming > 0 {
		n.send(to, fleet.Envelope{Records: &fleet.Records{Head: n.config.Revision(), BytesInTransit: coming}})
	}
}

// recordsFor gives what leads an asker to the configuration in force.
func (n *Node) recordsFor(now time.Time, asker followed.Asker) (*fleet.Records, bool) {
	records, err := n.config.After(asker.After)
	if err != nil {
		n.note(now, fleet.Event{Kind: fleet.EventRevisionBehind, Other: asker.ID, Cause: err.Error()})
		return nil, false
	}
	return records, true
}

// sendAnswers sends the large answers whose turn has come, each after word of how much is coming.
func (n *Node) sendAnswers(now time.Time) {
	for {
		asker, ok := n.answers.Next(now)
		if !ok {
			return
		}
		to, known := n.instanceOf(asker.ID)
		records, ok := n.recordsFor(now, asker)
		if !known || !ok {
			continue
		}
		n.answers.Sent(now, asker, records.Head, records.Size())
		n.send(to, fleet.Envelope{Records: &fleet.Records{Head: records.Head, BytesInTransit: n.answers.Coming(now, asker.ID)}})
		n.send(to, fleet.Envelope{Records: records})
	}
}

// TakeRecords puts newer configuration in force, from a peer or the key-value service; older is never applied.
func (n *Node) TakeRecords(now time.Time, r fleet.Records) []Effect {
	n.takeRecords(now, r)
	return n.take()
}

func (n *Node) takeRecords(now time.Time, r fleet.Records) {
	if r.BytesInTransit > 0 {
		n.config.Expect(now, r.Head, r.BytesInTransit)
		return
	}
	outcome := n.config.Advance(r, n.options.Defects.AcceptLowerRevision)
	if outcome.Older {
		n.note(now, fleet.Event{Kind: fleet.EventRevisionBehind, Revision: r.Head, Cause: "an older configuration was offered and not applied"})
	}
	if outcome.Err != nil {
		n.note(now, fleet.Event{Kind: fleet.EventRevisionBehind, Revision: r.Head, Cause: outcome.Err.Error()})
	}
	if outcome.Changed {
		n.inForce(now, n.config.Catalog())
	}
}

// inForce passes a new catalog on to the traffic, the placers and all peers.
func (n *Node) inForce(now time.Time, c *catalog.Catalog) {
	n.note(now, fleet.Event{Kind: fleet.EventRevision, Revision: c.Revision, Cause: "the configuration came into force"})
	n.emit(Publish{Catalog: c})
	n.applyConfiguration(now)
	n.heartbeatAll(now)
	n.digests.Hurry()
	n.sendDigests(now)
}

func (n *Node) applyConfiguration(now time.Time) {
	classes := n.config.Catalog().EffectiveClasses(n.options.Classes)
	for _, ps := range n.order {
		if !ps.mine {
			continue
		}
		ps.placer.SetClasses(classes)
		applyCatalog(ps.placer, n.config.Catalog())
		n.applyDrains(now, ps)
	}
}

// applyCatalog puts what the configuration says of adapters into a placer.
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

// chooseWatcher makes the hall's speaker the one that reads the key-value service.
func (n *Node) chooseWatcher() {
	on := n.isSpeaker()
	if on == n.watching {
		return
	}
	n.watching = on
	n.emit(Watch{On: on})
}
