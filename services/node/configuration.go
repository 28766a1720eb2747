// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/catalog"
	"github.com/shelfledge/shelfledge/models/fleet"
	"github.com/shelfledge/shelfledge/services/placement"
)

// configuration is the followed configuration with what is needed to pass it on.
type configuration struct {
	catalog  *catalog.Catalog
	history  *catalog.History
	head     int64
	wantedAt time.Time
}

func newConfiguration() configuration {
	return configuration{catalog: catalog.New(), history: catalog.NewHistory()}
}

func (c *configuration) revision() int64 {
	return c.catalog.Revision
}

// heardHead notes the highest revision that anyone has named.
func (c *configuration) heardHead(revision int64) {
	c.head = max(c.head, revision)
}

func (c *configuration) classes(settings []fleet.Class) []fleet.Class {
	return c.catalog.ClassList(settings)
}

// applyTo puts what the configuration says of adapters into a placer.
func (c *configuration) applyTo(p *placement.Placer) {
	pins := make([]fleet.AdapterRef, 0, len(c.catalog.Pins))
	for ref := range c.catalog.Pins {
		pins = append(pins, ref)
	}
	p.SetPinned(pins)
	preloads := make([]fleet.AdapterRef, 0, len(c.catalog.Preloads))
	for ref := range c.catalog.Preloads {
		preloads = append(preloads, ref)
	}
	p.SetPreload(preloads, func(ref fleet.AdapterRef) string {
		if a := c.catalog.Adapters[ref.Name]; a != nil {
			return a.Base
		}
		return ""
	})
}

const wantEvery = 100 * time.Millisecond

// want asks a peer that is ahead for what is missing here.
func (n *Node) want(now time.Time, from fleet.Instance) {
	if now.Sub(n.config.wantedAt) < wantEvery {
		return
	}
	n.config.wantedAt = now
	n.send(from, fleet.Envelope{WantRecords: &fleet.WantRecords{After: n.config.revision()}})
}

// wanted passes configuration on to a peer that is behind.
func (n *Node) wanted(now time.Time, e fleet.Envelope) {
	to, ok := n.instanceOf(e.From)
	if !ok {
		return
	}
	snapshot, records, err := n.config.history.After(n.config.catalog, e.WantRecords.After)
	if err != nil {
		n.note(now, fleet.Event{Kind: fleet.EventRevisionBehind, Other: e.From, Cause: err.Error()})
		return
	}
	n.send(to, fleet.Envelope{Records: &fleet.Records{Head: n.config.revision(), Snapshot: snapshot, Records: records}})
}

// TakeRecords puts newer configuration in force, from a peer or the key-value service; older is never applied.
func (n *Node) TakeRecords(now time.Time, r fleet.Records) []Effect {
	n.takeRecords(now, r)
	return n.take()
}

func (n *Node) takeRecords(now time.Time, r fleet.Records) {
	before := n.config.revision()
	n.config.heardHead(r.Head)
	if r.Head < before {
		n.note(now, fleet.Event{Kind: fleet.EventRevisionBehind, Revision: r.Head, Cause: "an older configuration was offered and not applied"})
		if !n.options.Defects.AcceptLowerRevision {
			return
		}
	}
	next, err := n.config.history.Advance(n.config.catalog, r.Snapshot, r.Records, n.options.Defects.AcceptLowerRevision)
	if err != nil {
		n.note(now, fleet.Event{Kind: fleet.EventRevisionBehind, Revision: r.Head, Cause: err.Error()})
	}
	if next == nil || next.Revision == before {
		return
	}
	n.config.catalog = next
	n.config.wantedAt = time.Time{}
	n.note(now, fleet.Event{Kind: fleet.EventRevision, Revision: next.Revision, Cause: "the configuration came into force"})
	n.emit(Publish{Catalog: next})
	n.applyConfiguration(now)
	n.heartbeatAll(now)
	n.digests.Hurry()
	n.sendDigests(now)
}

func (n *Node) applyConfiguration(now time.Time) {
	classes := n.config.classes(n.options.Classes)
	for _, ps := range n.order {
		if !ps.mine {
			continue
		}
		ps.placer.SetClasses(classes)
		n.config.applyTo(ps.placer)
		n.applyDrains(now, ps)
	}
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
