// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"errors"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/leasestore"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/lease"
)

const (
	// leaseStepInterval is the interval between two steps of the goroutine that holds the lease.
	leaseStepInterval = 100 * time.Millisecond
	// confirmInterval is the interval between two confirming reads of the lease holder. A shorter interval notices trouble
	// earlier and makes more calls to the store.
	confirmInterval = 450 * time.Millisecond
	// confirmRetryPause is the pause after a failed confirming read.
	confirmRetryPause = 200 * time.Millisecond
)

// holdLease runs beside the control goroutine. It confirms this instance's lease, or it looks for a planner in the lease
// record and takes the lease if there is none.
func (c *Coordinator) holdLease() {
	l := &leaseLoop{coordinator: c}
	for c.context.Err() == nil {
		if c.holdsLease() {
			l.maintainLease()
		} else {
			l.nextConfirm = time.Time{}
			l.checkRecord()
		}
		c.sleep(leaseStepInterval)
	}
}

func (c *Coordinator) holdsLease() bool {
	holdsLease := false
	c.loop.Call(func(time.Time) { holdsLease = c.planner != nil })
	return holdsLease
}

// leaseLoop is the state of the goroutine of holdLease.
type leaseLoop struct {
	coordinator    *Coordinator
	candidate      lease.Candidate
	startedAt      time.Time
	nextRecordRead time.Time
	nextConfirm    time.Time
	// storePausedUntil is the time before which the store is not called after a failed call.
	storePausedUntil time.Time
}

// maintainLease confirms the record, renews the heartbeat and permits orders when the former holder's time is over.
func (l *leaseLoop) maintainLease() {
	c := l.coordinator
	now := c.options.Now()
	if now.Before(l.nextConfirm) {
		c.beginOrdering()
		return
	}
	l.nextConfirm = now.Add(confirmInterval)
	if !c.confirm() {
		l.nextConfirm = c.options.Now().Add(confirmRetryPause)
		return
	}
	c.leases.KeepHeartbeat(c.context)
	c.beginOrdering()
}

// confirm reads the record and reports whether the store answered. It may end the term: if another instance holds the
// record, or if this instance resigned in its term.
func (c *Coordinator) confirm() bool {
	confirmation, err := c.leases.Confirm(c.context)
	c.loop.Call(func(now time.Time) {
		c.reviewEra(now)
		if c.planner == nil {
			return
		}
		if err == nil {
			c.planner.lease.Confirm(confirmation.Sent, confirmation.Revision)
		}
		if err == nil && c.planner.resigned {
			// A resignation is valid for the whole term, so this instance needs a new term to plan again.
			c.planner.lease.End()
		}
		c.endTermIfOver(now)
	})
	return err == nil
}

// endTermIfOver stops planning if the term is over: another instance holds the record, or this instance released it or
// resigned. The log line is the same in all three cases; a resignation was logged on its own before. A planner that merely
// cannot confirm its record sends no orders, but it continues to send views.
func (c *Coordinator) endTermIfOver(now time.Time) {
	if c.planner == nil || !c.planner.lease.Ended() {
		return
	}
	c.options.Log.WithField("term", c.planner.lease.Record().Term).Warn("planning ends: this instance no longer holds the planner's lease")
	c.finishMemberLinks()
	c.recordOwnLoads(now, c.planner)
	c.planner = nil
	c.follower = follower{PlannerState: c.follower.Reset()}
	c.reportSchedule.Restart()
}

// finishMemberLinks closes the member links of a term that is over, after the queued messages were sent, such as the view
// that announces the end. If the successor is known, a last message names it, because a member that the store does not
// answer cannot find the successor elsewhere.
func (c *Coordinator) finishMemberLinks() {
	members, former := c.planner.members, c.planner.lease.Record()
	if c.knownRecord.Term > former.Term && c.knownRecord.Address.IsValid() {
		members.Broadcast(wire.Message{Successor: &wire.Successor{Term: c.knownRecord.Term, Address: c.knownRecord.Address}})
	}
	members.FinishLinks()
}

// beginOrdering writes into the record that orders are permitted, once the former holder's time is certainly over. A
// planner that is stepping down does not.
func (c *Coordinator) beginOrdering() {
	var change *rewrite
	c.loop.Call(func(now time.Time) {
		c.reviewEra(now)
		if c.planner != nil && !c.planner.steppingDown && c.planner.lease.WaitOver(now) && !c.planner.lease.Record().Ordering {
			change = newRewrite(c.planner.lease)
			change.record.Ordering = true
		}
	})
	if change != nil {
		c.rewriteRecord(change)
	}
}

// rewrite is a change of the holder's own record, with the new record and the revision that it replaces. It is created by
// the control goroutine, which alone accesses the lease, and carried out by another goroutine.
type rewrite struct {
	held     *lease.Lease
	revision int64
	record   lease.Record
}

// newRewrite returns a rewrite that changes nothing yet. The caller must pass it to rewriteRecord.
func newRewrite(held *lease.Lease) *rewrite {
	held.BeginRewrite()
	return &rewrite{held: held, revision: held.Revision(), record: held.Record()}
}

// rewriteRecord carries out a change of this holder's own record.
func (c *Coordinator) rewriteRecord(change *rewrite) {
	taken, end := c.leases.Rewrite(c.context, change.revision, change.record)
	c.loop.Call(func(now time.Time) {
		change.held.EndRewrite(now)
		switch end {
		case leasestore.Done, leasestore.Settled:
			change.held.RecordRewrite(taken.Sent, taken.Record, taken.Revision)
		case leasestore.Lost:
			change.held.End()
			c.endTermIfOver(now)
		case leasestore.Unknown:
		}
	})
}

// takeLease writes this instance into the record and begins to plan. If another instance was faster, the conflict contains
// its record; otherwise the planner would stay unknown until the next read. A holder that resigned is treated like one
// that released its record, for which no waiting time is necessary.
func (c *Coordinator) takeLease(replaced leasestore.Stored, resigned bool) {
	former := replaced.Record
	former.Released = former.Released || resigned
	wait := c.options.Lease.Wait(c.options.Instance, former, replaced.Found)
	c.loop.Call(func(time.Time) {
		basis, certain := c.takeoverBasis(replaced)
		if replaced = basis; !certain {
			wait = c.options.Lease.MaxWait()
		}
	})
	taken, err := c.leases.Take(c.context, replaced)
	var lost *leasestore.LostRaceError
	switch {
	case err == nil:
		c.loop.Call(func(now time.Time) {
			c.logTerm(taken, wait, former)
			c.beginPlanning(now, taken, wait, replaced.Record)
		})
	case errors.As(err, &lost) && lost.Current != nil:
		c.loop.Call(func(time.Time) { c.setKnownRecord(*lost.Current) })
	}
}

// setKnownRecord stores the record of the present planner. A link to a former planner is closed after a message that names
// the successor.
func (c *Coordinator) setKnownRecord(record lease.Record) {
	c.recordTerm(record.Term)
	c.knownRecord = record
	if stream := c.follower.stream; stream != nil && record.Term > c.follower.Term {
		// The link is closed even if the former planner cannot receive the message. Another member informs it of its
		// successor.
		_ = stream.Send(wire.Message{Successor: &wire.Successor{Term: record.Term, Address: record.Address}})
		stream.Finish()
		c.follower.stream = nil
	}
}

// applySuccessor applies a peer's message about the present planner. This instance's own term is over if a later one has
// begun.
func (c *Coordinator) applySuccessor(now time.Time, successor wire.Successor) {
	if successor.Term <= c.knownRecord.Term || !successor.Address.IsValid() {
		return
	}
	c.recordTerm(successor.Term)
	c.options.Log.WithFields(map[string]any{"term": successor.Term, "address": successor.Address.String()}).Info("a peer named a new planner")
	c.knownRecord = lease.Record{Term: successor.Term, Address: successor.Address}
	if c.planner != nil && successor.Term > c.planner.lease.Record().Term {
		c.planner.lease.End()
		c.endTermIfOver(now)
	}
}

// logTerm logs a term that begins. The field released reports that the former holder sends no more orders, according to
// its record or its view.
func (c *Coordinator) logTerm(taken leasestore.Taken, wait time.Duration, former lease.Record) {
	c.options.Log.WithFields(map[string]any{
		"term": taken.Record.Term, "wait": wait.String(), "replaced": former.Holder, "released": former.Released,
	}).Info("planning begins")
}

// beginPlanning makes this instance the planner, with the record that it wrote in place of another. It sends no order
// before wait is over.
func (c *Coordinator) beginPlanning(now time.Time, taken leasestore.Taken, wait time.Duration, replaced lease.Record) {
	c.recordTerm(taken.Record.Term)
	held := lease.Begin(c.options.Lease, taken.Record, taken.Revision, taken.Sent, now, wait)
	if c.follower.stream != nil {
		c.follower.stream.Close()
		c.follower.stream = nil
	}
	c.planner = newPlanner(c, now, held, c.loadsBeforeTerm(now, replaced))
	c.planner.endpointsFromStoreOnly = c.endpointsReadRevision > 0
	c.markCopiesFromPeers()
	// A former planner may have written other evidence since this instance read it.
	c.evidence.known = false
	c.follower.ratesDue = true
	c.sendReport(now)
}
