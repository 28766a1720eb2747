// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"errors"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/evidence"
	"github.com/shelfledge/shelfledge/services/quarantine"
)

const (
	// evidenceReadTimeout bounds each call for the evidence, and with it for how long a silent store keeps an instance from being ready. A higher
	// value tolerates a slower store, a lower one is ready sooner without one.
	evidenceReadTimeout = 400 * time.Millisecond
	// evidenceRetryPause is the mean pause of a small fleet after a call for the evidence that failed. A higher value calls less often, a lower
	// one knows sooner.
	evidenceRetryPause = 500 * time.Millisecond
)

// The call names by which failed calls are counted and logged.
const (
	callReadEvidence  = "read crash evidence"
	callWriteEvidence = "write crash evidence"
)

// evidenceKeeper is the control goroutine's state of the evidence in the store.
type evidenceKeeper struct {
	// asked is set once the store has answered the first reading, or did not in time.
	asked bool
	// written is what the store has since writtenAt, as far as this instance knows. It must be read first unless known is set.
	known     bool
	written   evidence.Content
	writtenAt time.Time
	// changes is the number of changes at the last look, changedAt the time of the look that found the last change, and settled is set once
	// what is proved was compared after that change had settled.
	changes   uint64
	changedAt time.Time
	settled   bool
	// pausedUntil is the time before which the store is not called. busy is set while a call is under way.
	pausedUntil time.Time
	busy        bool
}

// keepEvidence begins to read the evidence if nobody else tells this instance, or to write it if this instance is the planner and what is proved,
// or which services are brittle, has changed or is due to be written again.
func (c *Coordinator) keepEvidence(now time.Time) {
	keeper := &c.evidence
	switch {
	case keeper.busy || now.Before(keeper.pausedUntil):
	case !keeper.known:
		if c.planner != nil || !c.follower.Fresh(now) {
			keeper.busy = true
			c.startTask(c.readEvidence)
		}
	case c.planner != nil:
		if content, due := c.evidenceToWrite(now); due {
			keeper.busy = true
			c.startTask(func() { c.writeEvidence(content) })
		}
	}
}

// evidenceToWrite returns what is proved, and reports whether it must be written.
func (c *Coordinator) evidenceToWrite(now time.Time) (evidence.Content, bool) {
	keeper := &c.evidence
	if changes := c.crashes.Changes() + c.parts.Changes(); changes != keeper.changes {
		keeper.changes, keeper.changedAt, keeper.settled = changes, now, false
	}
	brittle := c.brittleEvidence(now)
	keeper.settled = keeper.settled && keeper.written.HasSameServices(brittle)
	renews := now.Sub(keeper.writtenAt) >= evidence.RenewInterval && !keeper.written.IsEmpty()
	if keeper.settled && !renews {
		return evidence.Content{}, false
	}
	keeper.settled = now.Sub(keeper.changedAt) >= quarantine.SettleTime
	content := evidence.Content{Requests: c.crashes.Proven(now), Parts: c.parts.Proven(now), Brittle: brittle}
	return content, renews || !content.IsSame(&keeper.written)
}

// readEvidence reads the evidence and adds it to what is known.
func (c *Coordinator) readEvidence() {
	content, err := c.evidenceStore.Read(c.context)
	if err != nil {
		c.recordStoreFailure(callReadEvidence, err)
	}
	// A value that this version cannot read is replaced when something is proved.
	known := err == nil || errors.Is(err, evidence.ErrUnreadable)
	c.endEvidenceCall(known, func(now time.Time) {
		keeper := &c.evidence
		keeper.written, keeper.writtenAt, keeper.settled = content, now, false
		c.crashes.Merge(now, content.Requests, c.planner != nil)
		c.parts.Merge(now, content.Parts, c.planner != nil)
		c.reviewCrashes(now)
		c.mergeBrittleEvidence(now, content.Brittle)
	})
}

// writeEvidence writes the evidence.
func (c *Coordinator) writeEvidence(content evidence.Content) {
	err := c.evidenceStore.Write(c.context, content)
	if err != nil {
		c.recordStoreFailure(callWriteEvidence, err)
	}
	c.endEvidenceCall(err == nil, func(now time.Time) { c.evidence.written, c.evidence.writtenAt = content, now })
}

// endEvidenceCall ends a call to the store. If it was successful, apply is called; otherwise the evidence must be read after a pause.
func (c *Coordinator) endEvidenceCall(successful bool, apply func(now time.Time)) {
	pause := c.failurePause(evidenceRetryPause)
	c.loop.Call(func(now time.Time) {
		keeper := &c.evidence
		keeper.busy, keeper.known, keeper.asked = false, successful, true
		if successful {
			apply(now)
		} else {
			keeper.pausedUntil = now.Add(pause)
		}
		c.updateReady()
	})
}

// brittleEvidence returns the services with brittle endpoints in order.
func (c *Coordinator) brittleEvidence(now time.Time) []evidence.Brittle {
	var list []evidence.Brittle
	for _, known := range c.brittleServiceList(now) {
		list = append(list, evidence.Brittle{Service: known.Service, Rejections: known.Rejections})
	}
	return list
}

// mergeBrittleEvidence takes the endpoints of services for brittle until their answers say otherwise, unless this instance knows of them already.
func (c *Coordinator) mergeBrittleEvidence(now time.Time, list []evidence.Brittle) {
	for _, stored := range list {
		if _, known := c.brittle.services[stored.Service]; !known {
			c.mergeBrittle(stored.Service, stored.Rejections, now)
		}
	}
}
