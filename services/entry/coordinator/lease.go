// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"errors"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/leasestore"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/report"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/lease"
)

const (
	// leasePace is the pause between two steps of the goroutine that holds the lease.
	leasePace = 100 * time.Millisecond
	// confirmPause is the pause between two confirming reads of the holder: shorter trades store calls for an earlier notice of trouble.
	confirmPause = 450 * time.Millisecond
	// confirmRetry is the pause after a failed confirming read.
	confirmRetry = 200 * time.Millisecond
	// lookPause is the usual pause between two looks at the record by an instance without planner.
	lookPause = 300 * time.Millisecond
)

// holdLease runs beside the control goroutine: it keeps this instance's lease on the record, or looks for a
// planner and takes the lease where there is none.
func (c *Coordinator) holdLease() {
	l := &leaseLoop{coordinator: c}
	for c.context.Err() == nil {
		if c.holds() {
			l.keep()
		} else {
			l.nextConfirm = time.Time{}
			l.lookForPlanner()
		}
		c.sleep(leasePace)
	}
}

func (c *Coordinator) holds() bool {
	holds := false
	c.loop.Call(func(time.Time) { holds = c.planning != nil })
	return holds
}

// leaseLoop is what the goroutine of holdLease remembers between two steps.
type leaseLoop struct {
	coordinator *Coordinator
	candidate   lease.Candidate
	started     time.Time
	nextLook    time.Time
	nextConfirm time.Time
	// storeRests is until when the store is not asked after it failed.
	storeRests time.Time
}

// keep confirms the record, renews the heartbeat and begins to order when the time has come.
func (l *leaseLoop) keep() {
	c := l.coordinator
	now := c.options.Now()
	if now.Before(l.nextConfirm) {
		c.beginOrdering()
		return
	}
	l.nextConfirm = now.Add(confirmPause)
	if !c.confirm() {
		l.nextConfirm = c.options.Now().Add(confirmRetry)
		return
	}
	c.leases.KeepHeartbeat(c.context)
	c.beginOrdering()
}

// confirm reads the record; false if the store did not answer. It may end planning: if the record is found to be
// another's, or if this instance resigned in its term.
func (c *Coordinator) confirm() bool {
	confirmation, err := c.leases.Confirm(c.context)
	c.loop.Call(func(now time.Time) {
		if c.planning == nil {
			return
		}
		if err == nil {
			c.planning.lease.Confirm(confirmation.Sent, confirmation.Revision)
		}
		if err == nil && c.planning.resigned {
			// The promise holds for the whole term; a new one has to be taken.
			c.planning.lease.End()
		}
		c.endIfOver(now)
	})
	return err == nil
}

// endIfOver stops planning when the term is over: another instance has the record, or this one released it or resigned.
// The log line is the same for all three; a resignation has logged its own before. While the record only cannot be
// confirmed, this instance orders nothing but still tells its members what it knows.
func (c *Coordinator) endIfOver(now time.Time) {
	if c.planning == nil || !c.planning.lease.Over() {
		return
	}
	c.options.Log.WithField("term", c.planning.lease.Record().Term).Warn("planning ends: the ownership is lost")
	c.leaveMembers()
	c.noteOwnLoads(now, c.planning)
	c.planning = nil
	c.following = following{PlannerState: c.following.Reset()}
	c.reports.Restart()
}

// leaveMembers ends the links of the members of a term that is over, after what waits for them, such as the view that tells of the end,
// and a message that names the successor where it is known: a member that the store turns away can read it nowhere.
func (c *Coordinator) leaveMembers() {
	members, former := c.planning.members, c.planning.lease.Record()
	if c.knownRecord.Term > former.Term && c.knownRecord.Address.IsValid() {
		members.Broadcast(wire.Message{Successor: &wire.Successor{Term: c.knownRecord.Term, Address: c.knownRecord.Address}})
	}
	members.FinishLinks()
}

// beginOrdering writes into the record that orders may follow, once the former holder's time is surely over. A planner that gives its work up
// begins none.
func (c *Coordinator) beginOrdering() {
	var due *rewrite
	c.loop.Call(func(now time.Time) {
		if c.planning != nil && !c.planning.givingUp && c.planning.lease.Waited(now) && !c.planning.lease.Record().Ordering {
			due = newRewrite(c.planning.lease)
			due.record.Ordering = true
		}
	})
	if due != nil {
		c.rewriteRecord(due)
	}
}

// rewrite is a change of the holder's own record: the record as it shall be, and the revision that it replaces. It is made by the
// control goroutine, which alone reads and writes the lease, and carried out by another one.
type rewrite struct {
	held     *lease.Lease
	revision int64
	record   lease.Record
}

// newRewrite gives a change of a lease's record that changes nothing yet; rewriteRecord must follow.
func newRewrite(held *lease.Lease) *rewrite {
	held.BeginRewrite()
	return &rewrite{held: held, revision: held.Revision(), record: held.Record()}
}

// rewriteRecord changes this holder's own record.
func (c *Coordinator) rewriteRecord(due *rewrite) {
	taken, end := c.leases.Rewrite(c.context, due.revision, due.record)
	c.loop.Call(func(now time.Time) {
		due.held.EndRewrite(now)
		switch end {
		case leasestore.Done, leasestore.Settled:
			due.held.NoteRewritten(taken.Sent, taken.Record, taken.Revision)
		case leasestore.Lost:
			due.held.End()
			c.endIfOver(now)
		case leasestore.Unknown:
		}
	})
}

// pauseOfLooks is the mean pause between two looks at the record here.
func (c *Coordinator) pauseOfLooks() time.Duration {
	pause := lookPause
	c.loop.Call(func(time.Time) {
		pause = lease.LookPause(lookPause, c.pace(lookPause), c.options.Reluctance, c.following.Term > 0)
	})
	return pause
}

// lookForPlanner reads the record while no planner sends views, and takes the lease where its holder is gone. An instance that
// leaves takes no lease, but a new planner must hear of the copies that its last requests use.
func (l *leaseLoop) lookForPlanner() {
	c := l.coordinator
	if !c.ready.Load() {
		return
	}
	now := c.options.Now()
	if l.started.IsZero() {
		l.started = now
	}
	silence, asked, heard := c.takeLookReasons(now, l.started)
	if !lease.LookDue(now, asked, heard, silence, l.nextLook) {
		return
	}
	l.nextLook = now.Add(c.jitter(c.pauseOfLooks()))
	if now.Before(l.storeRests) {
		if silence >= lease.TakeoverSilence {
			c.askSeedsForPlanner()
		}
		return
	}
	stored, err := c.leases.Read(c.context)
	if err != nil {
		// It counts from when the look was sent, like the pause between looks: a small fleet waits no longer after one that timed out.
		l.storeRests = now.Add(c.failurePause(lookPause))
		c.noteStoreSilent()
		if silence >= lease.TakeoverSilence {
			c.askSeedsForPlanner()
		}
		return
	}
	resigned := c.learnRecord(stored, asked)
	if c.leaving.Load() {
		return
	}
	sighting := lease.Sighting{
		Self: c.options.Instance, Record: stored.Record, Revision: stored.Revision, Found: stored.Found,
		Resigned: resigned, Silence: silence, Reluctance: c.options.Reluctance,
	}
	verdict := l.candidate.Decide(now, sighting)
	if verdict == lease.TakeWithoutHeartbeat {
		verdict = l.lookForHeartbeat(now, sighting)
	}
	if verdict == lease.Take {
		c.takeLease(stored, resigned)
	}
}

// noteStoreSilent remembers since when the store has failed the looks at the record.
func (c *Coordinator) noteStoreSilent() {
	c.loop.Call(func(now time.Time) {
		if c.storeSilentSince.IsZero() {
			c.storeSilentSince = now
		}
	})
}

// lookForHeartbeat decides about the record of a silent holder by its heartbeat in the store.
func (l *leaseLoop) lookForHeartbeat(now time.Time, sighting lease.Sighting) lease.Verdict {
	if l.coordinator.leases.HolderAlive(l.coordinator.context) {
		l.candidate.HeartbeatAlive()
		return lease.HolderActive
	}
	return l.candidate.HeartbeatEnded(now, sighting)
}

// learnRecord takes in the record as read from the store and tells whether its holder resigned. Where the look
// was asked for, a report says at once that the store answers this instance.
func (c *Coordinator) learnRecord(stored leasestore.Stored, asked bool) bool {
	resigned := false
	c.loop.Call(func(now time.Time) {
		c.storeReadAt, c.storeSilentSince = now, time.Time{}
		c.noteRecord(stored.Record)
		resigned = stored.Found && stored.Record.Term == c.following.ResignedTerm
		if asked {
			c.sendReport(now)
		}
	})
	return resigned
}

// takeLookReasons gives for how long no view came of a planner that could prove its lease, and takes the request for a
// look at the record, if there is one.
func (c *Coordinator) takeLookReasons(now, started time.Time) (silence time.Duration, asked, heard bool) {
	last := lease.LastView{Started: started}
	c.loop.Call(func(time.Time) {
		last.ReceivedAt, last.ConfirmedAge = c.following.ReceivedAt, c.following.ConfirmedAge
		asked = c.takeLookRequest()
	})
	return c.options.Lease.Silence(now, last), asked, !last.ReceivedAt.IsZero()
}

// askForLook has this instance look at the record, since the planner is in trouble or has given up. It takes some that look at once to tell
// the planner that the store answers, and to tell it its successor, which tells all members: those that leave the record to others look
// later, but for as many by chance as a small fleet has, and only where no successor was learned.
func (c *Coordinator) askForLook(now time.Time) {
	few := c.options.Random() < float64(report.MaxUnstretchedMembers)/float64(max(1, c.following.Members))
	if c.options.Reluctance == 0 || few {
		c.lookDue = true
		return
	}
	if c.lookAt.IsZero() {
		c.lookAt = now.Add(c.options.Reluctance)
	}
}

// lookIfStillDue asks for the look that was put off, unless a later planner was learned since.
func (c *Coordinator) lookIfStillDue(now time.Time) {
	if c.lookAt.IsZero() || now.Before(c.lookAt) {
		return
	}
	c.lookAt = time.Time{}
	c.lookDue = c.lookDue || c.knownRecord.Term <= c.following.Term
}

// takeLookRequest tells whether a look at the record was asked for, and forgets that it was.
func (c *Coordinator) takeLookRequest() bool {
	asked := c.lookDue
	c.lookDue = false
	return asked
}

// takeLease writes this instance into the record and begins to plan. If another instance was quicker, it is
// learned from the conflict; without that the planner would be unknown until the next look. A holder that resigned is
// waited for no longer than one that released its record.
func (c *Coordinator) takeLease(replaced leasestore.Stored, resigned bool) {
	awaited := replaced.Record
	awaited.Released = awaited.Released || resigned
	wait := c.options.Lease.Wait(c.options.Instance, awaited, replaced.Found)
	taken, err := c.leases.Take(c.context, replaced)
	var lost *leasestore.LostRaceError
	switch {
	case err == nil:
		c.loop.Call(func(now time.Time) {
			c.logTerm(taken, wait, awaited)
			c.beginPlanning(now, taken, wait, replaced.Record)
		})
	case errors.As(err, &lost) && lost.Current != nil:
		c.loop.Call(func(time.Time) { c.noteRecord(*lost.Current) })
	}
}

// noteRecord remembers who plans; a link to a former planner ends with a message that names its successor.
func (c *Coordinator) noteRecord(record lease.Record) {
	c.knownRecord = record
	if stream := c.following.stream; stream != nil && record.Term > c.following.Term {
		// A former planner that cannot take the message is left all the same; it learns its successor from another.
		_ = stream.Send(wire.Message{Successor: &wire.Successor{Term: record.Term, Address: record.Address}})
		stream.Finish()
		c.following.stream = nil
	}
}

// learnSuccessor takes in who plans, by a peer; this instance's own term, if it has one, is over
// when a later one has begun.
func (c *Coordinator) learnSuccessor(now time.Time, successor wire.Successor) {
	if successor.Term <= c.knownRecord.Term || !successor.Address.IsValid() {
		return
	}
	c.options.Log.WithFields(map[string]any{"term": successor.Term, "address": successor.Address.String()}).Info("planner learned from a peer")
	c.knownRecord = lease.Record{Term: successor.Term, Address: successor.Address}
	if c.planning != nil && successor.Term > c.planning.lease.Record().Term {
		c.planning.lease.End()
		c.endIfOver(now)
	}
}

// logTerm logs a term that begins; released tells that the former holder gives no more orders, by its record or its view.
func (c *Coordinator) logTerm(taken leasestore.Taken, wait time.Duration, awaited lease.Record) {
	c.options.Log.WithFields(map[string]any{
		"term": taken.Record.Term, "wait": wait.String(), "replaced": awaited.Holder, "released": awaited.Released,
	}).Info("planning begins")
}

// beginPlanning makes this instance the planner, by a record that it wrote in place of another. It gives no order before
// wait is over.
func (c *Coordinator) beginPlanning(now time.Time, taken leasestore.Taken, wait time.Duration, replaced lease.Record) {
	held := lease.Begin(c.options.Lease, taken.Record, taken.Revision, taken.Sent, now, wait)
	if c.following.stream != nil {
		c.following.stream.Close()
		c.following.stream = nil
	}
	c.planning = newPlanning(c, now, held, c.loadsBefore(now, replaced))
	c.planning.readBefore = c.readUpTo > 0
	c.noteCopiesTold()
	c.following.ratesDue = true
	c.sendReport(now)
}
