// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import "time"

const (
	// TakeoverSilence is the time without a view from a planner with a confirmed lease after which an instance reads
	// the record and may replace the holder. A shorter time gives a quicker takeover at the cost of false alarms,
	// which cause store reads.
	TakeoverSilence = 900 * time.Millisecond
	// RecordSettleTime is how long a record must have been unchanged before its holder is replaced, so that a holder
	// that has just written the record is not replaced.
	RecordSettleTime = 300 * time.Millisecond
	// ConfirmationOverdue is the age of the holder's last confirmation from which it resigns if the store answers another
	// member, and from which members check whether the store answers them.
	ConfirmationOverdue = 800 * time.Millisecond
)

// Decision is an instance's decision about a record that it read.
type Decision int

// The decisions about a record.
const (
	// Take means that the record has no holder, that its holder sends no more orders, or that its holder is an
	// earlier process of this instance.
	Take Decision = iota
	// TakeIfHeartbeatEnded means that the holder is silent; the record may be taken if the holder's heartbeat has
	// ended.
	TakeIfHeartbeatEnded
	// DeferToOthers means that this instance has a takeover delay and other instances still have time to take the record.
	DeferToOthers
	// HolderActive means that a view of the holder arrived recently.
	HolderActive
	// Unsettled means that the record changed recently.
	Unsettled
)

// Observation is the record as just read from the store, with the other information about its holder.
type Observation struct {
	// Self is the name of this instance.
	Self string
	// Record, Revision and Found are the result of the read; Found is false if there is no record.
	Record   Record
	Revision int64
	Found    bool
	// Resigned is set if a view of the holder announced that it sends no more orders in the record's term.
	Resigned bool
	// Silence is the time since the last view from a planner with a confirmed lease, on this instance's clock.
	Silence time.Duration
	// TakeoverDelay is the additional delay after which this instance takes the record, so that others can take it
	// first; from the settings.
	TakeoverDelay time.Duration
	// CutOff is set if this instance reaches no endpoint, so that its orders would not arrive.
	CutOff bool
}

// cutOffTakeoverDelay is the additional delay after which an instance that reaches no endpoint takes the record. A longer
// delay leaves the record to others more surely; a shorter one has a planner sooner if all instances are cut off.
const cutOffTakeoverDelay = 2 * time.Second

// formerHolderTakeoverDelay is the additional delay after which an instance that held the lease recently takes a vacant
// record; other instances need not wait for Options.MinReturnDelay. A longer delay gives slower instances time to take
// the record; a shorter one takes it sooner if there is no other instance.
const formerHolderTakeoverDelay = 300 * time.Millisecond

// totalTakeoverDelay returns the additional delay of this instance for this record.
func (s Observation) totalTakeoverDelay() time.Duration {
	delay := s.TakeoverDelay
	if s.CutOff {
		delay += cutOffTakeoverDelay
	}
	if s.vacant() && s.Record.heldBefore(s.Self) {
		delay += formerHolderTakeoverDelay
	}
	return delay
}

// vacant reports whether no instance sends orders under the record any more.
func (s Observation) vacant() bool {
	return !s.Found || s.Record.Released || s.Resigned
}

// Candidate is the state that an instance without the lease keeps between two reads of the record. Its zero value is
// ready for the first read. It is not safe for concurrent use.
type Candidate struct {
	// hasRead is set after the first read; revision is the record's revision at the last read, and unchangedSince is
	// when that revision was first read.
	hasRead        bool
	revision       int64
	unchangedSince time.Time
	// vacantSince is when the record of vacantTerm was first found vacant.
	vacantTerm  int64
	vacantSince time.Time
	// silentSince is when the holder of the record at silentRevision fell silent; zero while its views arrive.
	silentRevision int64
	silentSince    time.Time
	// heartbeatEndedSince is when the heartbeat of the holder of the record at heartbeatEndedRevision was first found
	// ended; zero if it was not.
	heartbeatEndedRevision int64
	heartbeatEndedSince    time.Time
}

// Decide returns the decision about a record that was just read.
func (c *Candidate) Decide(now time.Time, observed Observation) Decision {
	if !c.hasRead || observed.Revision != c.revision {
		c.hasRead, c.revision, c.unchangedSince = true, observed.Revision, now
	}
	c.updateSilence(now, observed)
	own := observed.Record.Holder == observed.Self && !observed.CutOff
	if !own && now.Sub(c.availableSince(now, observed)) < observed.totalTakeoverDelay() {
		return DeferToOthers
	}
	switch {
	case observed.vacant(), own:
		return Take
	case observed.Silence < TakeoverSilence:
		return HolderActive
	case now.Sub(c.unchangedSince) < RecordSettleTime:
		return Unsettled
	default:
		return TakeIfHeartbeatEnded
	}
}

// updateSilence updates the time since which the holder has been silent.
func (c *Candidate) updateSilence(now time.Time, observed Observation) {
	switch {
	case observed.Silence < TakeoverSilence:
		c.silentSince = time.Time{}
	case c.silentSince.IsZero() || c.silentRevision != observed.Revision:
		c.silentRevision = observed.Revision
		c.silentSince = now.Add(TakeoverSilence - observed.Silence)
	}
}

// DecideHeartbeatEnded returns the decision after TakeIfHeartbeatEnded if the holder's heartbeat was found ended. An
// instance with a takeover delay defers to others from that time on, however long the record has been unchanged.
func (c *Candidate) DecideHeartbeatEnded(now time.Time, observed Observation) Decision {
	if c.heartbeatEndedSince.IsZero() || c.heartbeatEndedRevision != observed.Revision {
		c.heartbeatEndedRevision, c.heartbeatEndedSince = observed.Revision, now
	}
	if now.Sub(c.heartbeatEndedSince) < observed.totalTakeoverDelay() {
		return DeferToOthers
	}
	return Take
}

// RecordHeartbeatAlive records that the holder's heartbeat was found alive.
func (c *Candidate) RecordHeartbeatAlive() {
	c.heartbeatEndedSince = time.Time{}
}

// availableSince returns the time since which the record could be taken as far as this instance knows: since it was
// first found vacant, or else since it has had its current revision and a silent holder.
func (c *Candidate) availableSince(now time.Time, observed Observation) time.Time {
	if !observed.vacant() {
		return c.silentAvailableSince(now)
	}
	if c.vacantTerm != observed.Record.Term || c.vacantSince.IsZero() {
		c.vacantTerm, c.vacantSince = observed.Record.Term, now
	}
	return c.vacantSince
}

// silentAvailableSince returns availableSince of a record that is not vacant; it returns now while views of the
// holder arrive.
func (c *Candidate) silentAvailableSince(now time.Time) time.Time {
	switch {
	case c.silentSince.IsZero():
		return now
	case c.silentSince.After(c.unchangedSince):
		return c.silentSince
	default:
		return c.unchangedSince
	}
}

// maxReadInterval bounds the interval at which an instance with a takeover delay reads the record. A longer interval saves store
// calls while a planner is replaced; a shorter one finds the new planner sooner. It is less than the time that the
// new holder has to wait before it sends orders.
const maxReadInterval = time.Second

// ReadInterval returns the interval between two reads of the record; usual is the interval in a small fleet and
// stretched the one in this fleet. Instances with a takeover delay, which are most of a large fleet, read the record only to
// learn which other instance took it, so their interval is longer. An instance that has not received a view of any
// planner yet reads at the usual interval, because the requests that it holds wait for a planner.
func ReadInterval(usual, stretched, takeoverDelay time.Duration, viewReceived bool) time.Duration {
	if takeoverDelay == 0 || !viewReceived {
		return usual
	}
	return min(stretched, max(usual, maxReadInterval))
}

// ReadDue reports whether an instance without the lease should read the record now: when it was asked to, at its
// start, and then at the time next while the planner is silent. An instance that has not received a view of any
// planner yet does not wait for silence. When all instances start at once, their first reads find no record, and
// waiting would cost 0.9 s until they find out which instance took it.
func ReadDue(now time.Time, requested, viewReceived bool, silence time.Duration, next time.Time) bool {
	if requested || next.IsZero() {
		return true
	}
	return (!viewReceived || silence >= TakeoverSilence) && !now.Before(next)
}

// LastView describes the last view that an instance received.
type LastView struct {
	// Started is when this instance began to follow planners; silence is counted from this time at the earliest.
	Started time.Time
	// ReceivedAt is when the view arrived, on this instance's clock; zero if there was none.
	ReceivedAt time.Time
	// ConfirmedAge is the age of the planner's last confirmation when it sent the view.
	ConfirmedAge time.Duration
}

// Silence returns the time since the last view from a planner with a confirmed lease.
func (o Options) Silence(now time.Time, last LastView) time.Duration {
	since := last.ReceivedAt
	if last.ConfirmedAge > o.Window {
		since = since.Add(-last.ConfirmedAge)
	}
	if !since.After(last.Started) {
		since = last.Started
	}
	return now.Sub(since)
}

// Successor returns the record with which this instance replaces another one.
func Successor(self Record, replaced Record) Record {
	self.Term, self.Former, self.Earlier = replaced.Term+1, replaced.Former, replaced.Earlier
	if !replaced.Ordering {
		return self
	}
	self.Former = replaced.Holder
	if replaced.Former != "" {
		self.Earlier = append([]string{replaced.Former}, replaced.Earlier...)
		self.Earlier = self.Earlier[:min(len(self.Earlier), maxEarlierHolders)]
	}
	return self
}

// Member is another instance's access to the store, as known to the holder from its last report.
type Member struct {
	// Lost is set if the member has not reported for too long.
	Lost bool
	// ReportAge is the age of the report. StoreReadAge is the age of the member's last store read when it sent the
	// report.
	ReportAge    time.Duration
	StoreReadAge time.Duration
}

// IsConfirmationOverdue reports whether a holder with this age of its last confirmation should resign in favour of a member that
// reaches the store.
func IsConfirmationOverdue(confirmedAge time.Duration) bool {
	return confirmedAge >= ConfirmationOverdue
}

// ReachesStore reports whether the store answered the member recently, so that the member can take the record.
func (m Member) ReachesStore() bool {
	return !m.Lost && m.StoreReadAge < ConfirmationOverdue && m.ReportAge < ConfirmationOverdue
}
