// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"time"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/leasestore"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/report"
	"github.com/shelfledge/shelfledge/services/entry/lease"
)

// recordReadInterval is the usual mean interval at which an instance without a planner reads the lease record.
const recordReadInterval = 300 * time.Millisecond

// meanRecordReadInterval returns the mean interval at which this instance reads the record.
func (c *Coordinator) meanRecordReadInterval() time.Duration {
	pause := recordReadInterval
	c.loop.Call(func(time.Time) {
		pause = lease.ReadInterval(recordReadInterval, c.stretchForFleet(recordReadInterval), c.options.TakeoverDelay, c.follower.Term > 0)
	})
	return pause
}

// checkRecord reads the record while no planner sends views, and takes the lease if its holder is gone. A leaving instance
// reads the record too, because a new planner must learn which copies its last requests use, but it does not take the
// lease.
func (l *leaseLoop) checkRecord() {
	c := l.coordinator
	if !c.ready.Load() {
		return
	}
	now := c.options.Now()
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	silence, requested, viewReceived := c.recordReadReasons(now, l.startedAt)
	if !lease.ReadDue(now, requested, viewReceived, silence, l.nextRecordRead) {
		return
	}
	l.nextRecordRead = now.Add(c.jitter(c.meanRecordReadInterval()))
	if now.Before(l.storePausedUntil) {
		if silence >= lease.TakeoverSilence {
			c.askSeedsForPlanner()
		}
		return
	}
	stored, err := c.readRecord(silence)
	if err != nil {
		// The pause counts from the time at which the read was sent, like the interval between reads. So a small fleet
		// does not wait longer after a read that timed out.
		l.storePausedUntil = now.Add(c.failurePause(recordReadInterval))
		c.markStoreFailing()
		if silence >= lease.TakeoverSilence {
			c.askSeedsForPlanner()
		}
		return
	}
	resigned, cutOff := c.applyRecord(stored, requested)
	if c.leaving.Load() {
		return
	}
	sighting := lease.Observation{
		Self: c.options.Instance, Record: stored.Record, Revision: stored.Revision, Found: stored.Found,
		Resigned: resigned, Silence: silence, TakeoverDelay: c.options.TakeoverDelay, CutOff: cutOff,
	}
	verdict := l.candidate.Decide(now, sighting)
	if verdict == lease.TakeIfHeartbeatEnded {
		verdict = l.checkHeartbeat(now, sighting)
	}
	if verdict == lease.Take {
		c.takeLease(stored, resigned)
	}
}

// slowReadTime is how long a read of the record takes at least before peers are asked as well. A higher value asks peers less often where the
// store is slow, a lower one finds the planner sooner.
const slowReadTime = 300 * time.Millisecond

// readRecord reads the record. If that takes until the planner has been silent for too long, peers are asked meanwhile, so that an instance
// that the store does not answer need not wait for the timeout of the call.
func (c *Coordinator) readRecord(silence time.Duration) (leasestore.Stored, error) {
	answered := make(chan struct{})
	defer close(answered)
	c.startTask(func() {
		select {
		case <-answered:
		case <-c.context.Done():
		case <-time.After(max(lease.TakeoverSilence-silence, slowReadTime)):
			c.askSeedsForPlanner()
		}
	})
	return c.leases.Read(c.context)
}

// markStoreFailing records since when the reads of the record have failed.
func (c *Coordinator) markStoreFailing() {
	c.loop.Call(func(now time.Time) {
		if c.storeFailingSince.IsZero() {
			c.storeFailingSince = now
		}
	})
}

// checkHeartbeat decides, by the heartbeat in the store, whether to take the lease of a silent holder.
func (l *leaseLoop) checkHeartbeat(now time.Time, sighting lease.Observation) lease.Decision {
	if l.coordinator.leases.HolderAlive(l.coordinator.context) {
		l.candidate.RecordHeartbeatAlive()
		return lease.HolderActive
	}
	return l.candidate.DecideHeartbeatEnded(now, sighting)
}

// applyRecord applies the record that was read from the store. It reports whether its holder sends no more orders, because it
// resigned or the record is outdated, and whether this instance reaches no endpoint. If the read was requested, it sends a report at once, which shows that the store answers
// this instance.
func (c *Coordinator) applyRecord(stored leasestore.Stored, requested bool) (resigned, cutOff bool) {
	c.loop.Call(func(now time.Time) {
		c.storeReadAt, c.storeFailingSince = now, time.Time{}
		outdated := c.isOutdated(stored)
		if !outdated {
			c.setKnownRecord(stored.Record)
		}
		resigned = outdated || (stored.Found && stored.Record.Term == c.follower.ResignedTerm)
		cutOff = c.isCutOff()
		if requested {
			c.sendReport(now)
		}
	})
	return resigned, cutOff
}

// recordReadReasons returns for how long no view has come from a planner that could prove its lease, takes the pending
// request for a read of the record, and reports whether a view was ever received.
func (c *Coordinator) recordReadReasons(now, started time.Time) (silence time.Duration, requested, viewReceived bool) {
	last := lease.LastView{Started: started}
	c.loop.Call(func(time.Time) {
		last.ReceivedAt, last.ConfirmedAge = c.follower.ReceivedAt, c.follower.ConfirmedAge
		requested = c.takeRecordReadRequest()
	})
	return c.options.Lease.Silence(now, last), requested, !last.ReceivedAt.IsZero()
}

// requestRecordRead requests a read of the record because the planner is in trouble or has resigned. A few instances have
// to read at once: their reports show the planner that the store answers, and they send it the name of its successor,
// which the planner forwards to all members. An instance with a takeover delay reads later, and only if it has not learned of
// a successor by then. A random share of these instances, as many as a small fleet has, reads at once too.
func (c *Coordinator) requestRecordRead(now time.Time) {
	sampled := c.options.Random() < float64(report.MaxUnstretchedMembers)/float64(max(1, c.follower.Members))
	if c.options.TakeoverDelay == 0 || sampled {
		c.recordReadRequested = true
		return
	}
	if c.deferredRecordReadAt.IsZero() {
		c.deferredRecordReadAt = now.Add(c.options.TakeoverDelay)
	}
}

// requestDeferredRecordRead requests the deferred read when it is due, unless the planner of a later term is known by
// then.
func (c *Coordinator) requestDeferredRecordRead(now time.Time) {
	if c.deferredRecordReadAt.IsZero() || now.Before(c.deferredRecordReadAt) {
		return
	}
	c.deferredRecordReadAt = time.Time{}
	c.recordReadRequested = c.recordReadRequested || c.knownRecord.Term <= c.follower.Term
}

// takeRecordReadRequest reports whether a read of the record was requested, and clears the request.
func (c *Coordinator) takeRecordReadRequest() bool {
	requested := c.recordReadRequested
	c.recordReadRequested = false
	return requested
}
