// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import "time"

const (
	// TakeoverSilence is after how long without a view of a planner that can prove its lease an instance
	// looks at the record and may replace the holder. Shorter trades false alarms, which cost store reads, for a
	// quicker takeover.
	TakeoverSilence = 900 * time.Millisecond
	// SettledRecord is how long a record must have been seen unchanged before its holder is replaced, so that a holder who has just written
	// it is left alone.
	SettledRecord = 300 * time.Millisecond
	// ConfirmTrouble is the age of the holder's last confirmation from which on it resigns to a member that the store answers, and from
	// which on members look whether it answers them.
	ConfirmTrouble = 800 * time.Millisecond
)

// Verdict is what an instance does with a record that it read.
type Verdict int

// The verdicts on a record.
const (
	// Take: nobody holds the record, its holder gives no more orders, or it is an earlier process of this instance.
	Take Verdict = iota
	// TakeWithoutHeartbeat: the holder is silent; the record is taken if its heartbeat has ended.
	TakeWithoutHeartbeat
	// LeaveToOthers: this instance is a weak one, and others still have time to take the record.
	LeaveToOthers
	// HolderActive: a view of the holder came lately.
	HolderActive
	// Unsettled: the record changed a moment ago.
	Unsettled
)

// Sighting is the record as it was just read, with what else is known of its holder.
type Sighting struct {
	// Self names this instance.
	Self string
	// Record, Revision and Found are from the store; Found is false if there is no record.
	Record   Record
	Revision int64
	Found    bool
	// Resigned tells that the holder said, in a view, that it gives no more orders in the record's term.
	Resigned bool
	// Silence is for how long no view came of a planner that could prove its lease, on the own clock.
	Silence time.Duration
	// Reluctance is how much longer than others this instance leaves the record to them, from the settings.
	Reluctance time.Duration
}

// heldReluctance is how much longer than others an instance leaves a vacant record to them that held the lease lately: others need not wait
// until a turn is over. Longer lets slower instances take it, shorter takes it sooner where there is no other.
const heldReluctance = 300 * time.Millisecond

// reluctance is how much longer than others this instance leaves the record to them.
func (s Sighting) reluctance() time.Duration {
	if s.vacant() && s.Record.held(s.Self) {
		return s.Reluctance + heldReluctance
	}
	return s.Reluctance
}

// vacant tells whether nobody gives orders under the record any more.
func (s Sighting) vacant() bool {
	return !s.Found || s.Record.Released || s.Resigned
}

// Candidate is what an instance without the record remembers between two looks at it. The zero value has not
// looked yet; it is not safe for concurrent use.
type Candidate struct {
	// seen tells that there was a look, revision is the record's then, and since when it has been that.
	seen     bool
	revision int64
	since    time.Time
	// vacantSince is since when the record of vacantTerm was seen without a holder that orders.
	vacantTerm  int64
	vacantSince time.Time
	// silentSince is since when the holder of the record at silentRevision was silent; zero while it was heard.
	silentRevision int64
	silentSince    time.Time
	// endedSince is since when the heartbeat of the holder of the record at endedRevision was found ended; zero if it was not.
	endedRevision int64
	endedSince    time.Time
}

// Decide tells whether this instance takes the record that it looked at.
func (c *Candidate) Decide(now time.Time, sighting Sighting) Verdict {
	if !c.seen || sighting.Revision != c.revision {
		c.seen, c.revision, c.since = true, sighting.Revision, now
	}
	c.noteSilence(now, sighting)
	own := sighting.Record.Holder == sighting.Self
	if !own && now.Sub(c.openSince(now, sighting)) < sighting.reluctance() {
		return LeaveToOthers
	}
	switch {
	case sighting.vacant(), own:
		return Take
	case sighting.Silence < TakeoverSilence:
		return HolderActive
	case now.Sub(c.since) < SettledRecord:
		return Unsettled
	default:
		return TakeWithoutHeartbeat
	}
}

// noteSilence remembers since when the holder has been silent.
func (c *Candidate) noteSilence(now time.Time, sighting Sighting) {
	switch {
	case sighting.Silence < TakeoverSilence:
		c.silentSince = time.Time{}
	case c.silentSince.IsZero() || c.silentRevision != sighting.Revision:
		c.silentRevision = sighting.Revision
		c.silentSince = now.Add(TakeoverSilence - sighting.Silence)
	}
}

// HeartbeatEnded decides again after TakeWithoutHeartbeat, where the holder's heartbeat was found ended now: a weak instance
// leaves the record to others from then on, however long the record was seen as it is before.
func (c *Candidate) HeartbeatEnded(now time.Time, sighting Sighting) Verdict {
	if c.endedSince.IsZero() || c.endedRevision != sighting.Revision {
		c.endedRevision, c.endedSince = sighting.Revision, now
	}
	if now.Sub(c.endedSince) < sighting.Reluctance {
		return LeaveToOthers
	}
	return Take
}

// HeartbeatAlive notes that the holder's heartbeat was found alive.
func (c *Candidate) HeartbeatAlive() {
	c.endedSince = time.Time{}
}

// openSince is since when the record could be taken, as far as this instance knows: since it was first seen
// without a holder that orders, or else since it was first seen as it is with a holder that is silent.
func (c *Candidate) openSince(now time.Time, sighting Sighting) time.Time {
	if !sighting.vacant() {
		return c.silentOpenSince(now)
	}
	if c.vacantTerm != sighting.Record.Term || c.vacantSince.IsZero() {
		c.vacantTerm, c.vacantSince = sighting.Record.Term, now
	}
	return c.vacantSince
}

// silentOpenSince is the same for a record with a holder that orders; now while that holder is heard.
func (c *Candidate) silentOpenSince(now time.Time) time.Time {
	switch {
	case c.silentSince.IsZero():
		return now
	case c.silentSince.After(c.since):
		return c.silentSince
	default:
		return c.since
	}
}

// longestLook bounds the pause between two looks of an instance that leaves the record to others: longer spares calls to the store while a
// planner is replaced, shorter finds the next one sooner. Below the time that it has to wait before it orders.
const longestLook = time.Second

// LookPause is the pause between two looks at the record; stretched is the usual one as long as the fleet is large. Instances that leave the
// record to others look to learn who took it, which these others find out; they are most of a large fleet. One that has heard no planner yet
// looks as often as all, since requests that it holds wait for one.
func LookPause(usual, stretched, reluctance time.Duration, heard bool) time.Duration {
	if reluctance == 0 || !heard {
		return usual
	}
	return min(stretched, max(usual, longestLook))
}

// LookDue tells whether an instance without the record looks at it now: at once when it was asked to, first when
// it starts, and later while the planner is silent and the time next has come. One that has heard no planner yet waits for no silence:
// where all start at once, the first looks find no record, and 0.9 s would pass until they find who took it.
func LookDue(now time.Time, asked, heard bool, silence time.Duration, next time.Time) bool {
	if asked || next.IsZero() {
		return true
	}
	return (!heard || silence >= TakeoverSilence) && !now.Before(next)
}

// LastView is the last view that an instance received.
type LastView struct {
	// Started is when this instance began to look; no silence is longer.
	Started time.Time
	// ReceivedAt is when the view came, on the own clock; zero if there was none.
	ReceivedAt time.Time
	// ConfirmedAge is how long before that view the planner's lease was confirmed, by the view.
	ConfirmedAge time.Duration
}

// Silence is for how long no view came of a planner that could prove its lease.
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

// Successor is the record that this instance writes in place of one that it replaces.
func Successor(self Record, replaced Record) Record {
	self.Term, self.Former, self.Earlier = replaced.Term+1, replaced.Former, replaced.Earlier
	if !replaced.Ordering {
		return self
	}
	self.Former = replaced.Holder
	if replaced.Former != "" {
		self.Earlier = append([]string{replaced.Former}, replaced.Earlier...)
		self.Earlier = self.Earlier[:min(len(self.Earlier), mostEarlier)]
	}
	return self
}

// Member is what the holder knows of another instance's way to the store, by its last report.
type Member struct {
	// Lost tells that it has not reported for too long.
	Lost bool
	// ReportAge is how long ago the report came, StoreReadAge how long before it the member read the store.
	ReportAge    time.Duration
	StoreReadAge time.Duration
}

// InTrouble tells whether a holder last confirmed so long ago should give the record up to a member.
func InTrouble(confirmedAge time.Duration) bool {
	return confirmedAge >= ConfirmTrouble
}

// ReachesStore tells whether the store lately answered the member, so that it can take the record.
func (m Member) ReachesStore() bool {
	return !m.Lost && m.StoreReadAge < ConfirmTrouble && m.ReportAge < ConfirmTrouble
}
