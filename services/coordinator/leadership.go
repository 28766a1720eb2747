// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/shelfledge/shelfledge/modules/store"
	"github.com/shelfledge/shelfledge/services/coordinator/forecast"
	"github.com/shelfledge/shelfledge/services/ownership"
)

const (
	// leadershipPace is how often the ownership is looked at.
	leadershipPace = 100 * time.Millisecond
	// confirmPause is the pause between two confirming reads of the holder.
	confirmPause = 450 * time.Millisecond
	// confirmTimeout bounds a confirming read, confirmRetry is the pause after a failed one.
	confirmTimeout = 500 * time.Millisecond
	confirmRetry   = 200 * time.Millisecond
	// confirmTrouble is the age of the last confirmation from which on members are asked
	// whether the store answers them.
	confirmTrouble = 800 * time.Millisecond
	// aliveLife is the life of the lease under the holder's sign of life.
	aliveLife = 1200 * time.Millisecond
	// lookPause is the pause between two looks at the record by an instance without planner.
	lookPause = 300 * time.Millisecond
	// settledRecord is how long a record must have been unchanged before it is taken over.
	settledRecord = 300 * time.Millisecond
	// takeoverSilence is after how long without the planner's word its record is looked at.
	takeoverSilence = forecast.PlannerSilence
)

// leadership runs beside the control goroutine: it keeps this instance's ownership, or looks
// for a planner and takes the ownership where there is none.
func (c *Coordinator) leadership() {
	keeper := &keeper{coordinator: c}
	for c.context.Err() == nil {
		if c.holds() {
			keeper.keep()
		} else {
			keeper.reset()
			c.lookForPlanner(keeper)
		}
		c.sleep(leadershipPace)
	}
}

func (c *Coordinator) holds() bool {
	holds := false
	c.loop.call(func(time.Time) { holds = c.planning != nil })
	return holds
}

// keeper holds what the leadership goroutine remembers between two looks.
type keeper struct {
	coordinator *Coordinator
	lease       int64
	nextLook    time.Time
	nextConfirm time.Time
	// revision is the record's when it was last looked at, and since when it is that.
	revision int64
	since    time.Time
	started  time.Time
	// vacantSince is since when the record of vacantTerm was seen without a holder that orders.
	vacantTerm  int64
	vacantSince time.Time
}

func (k *keeper) reset() {
	k.nextConfirm = time.Time{}
}

// keep confirms the record, renews the sign of life and begins to order when the time has come.
func (k *keeper) keep() {
	c := k.coordinator
	now := c.options.Now()
	if now.Before(k.nextConfirm) {
		k.beginOrdering()
		return
	}
	k.nextConfirm = now.Add(confirmPause)
	if !k.confirm() {
		k.nextConfirm = c.options.Now().Add(confirmRetry)
		return
	}
	k.renewSign()
	k.beginOrdering()
}

// renewSign keeps the lease of the sign of life, or makes a new one.
func (k *keeper) renewSign() {
	c := k.coordinator
	ctx, cancel := c.storeCall()
	defer cancel()
	if k.lease != 0 {
		err := c.environment.Store.KeepLease(ctx, k.lease)
		if !errors.Is(err, store.ErrLeaseGone) {
			return
		}
	}
	if !k.grantLease() {
		return
	}
	_, err := c.environment.Store.Commit(ctx, store.Transaction{Writes: []store.Write{k.sign()}})
	if err != nil {
		c.noteStore("write sign of life", err)
	}
}

// grantLease makes the lease under the sign of life.
func (k *keeper) grantLease() bool {
	c := k.coordinator
	ctx, cancel := c.storeCall()
	defer cancel()
	lease, err := c.environment.Store.GrantLease(ctx, aliveLife)
	if err != nil {
		c.noteStore("grant lease", err)
		return false
	}
	k.lease = lease
	return true
}

// sign is the holder's sign of life, which goes when its lease does.
func (k *keeper) sign() store.Write {
	return store.Write{Key: aliveKey, Value: []byte(k.coordinator.options.Instance), Lease: k.lease}
}

// confirm proves that the record is still this holder's; false if the store did not answer.
func (k *keeper) confirm() bool {
	c := k.coordinator
	ctx, cancel := context.WithTimeout(c.context, confirmTimeout)
	defer cancel()
	sent := c.options.Now()
	item, err := c.environment.Store.Get(ctx, recordKey)
	if err != nil {
		c.noteStore("confirm ownership", err)
	}
	c.loop.call(func(time.Time) {
		if c.planning == nil {
			return
		}
		if err == nil {
			c.planning.tenure.Confirm(sent, item.Revision)
		}
		if err == nil && c.planning.resigned {
			// The promise holds for the whole term; a new one has to be taken.
			c.planning.tenure.End()
		}
		c.endIfOver()
	})
	return err == nil
}

// endIfOver stops planning when another instance has the record. While the record only cannot
// be confirmed, this instance orders nothing but still tells its members what it knows.
func (c *Coordinator) endIfOver() {
	if c.planning == nil || !c.planning.tenure.Over() {
		return
	}
	c.options.Log.WithField("term", c.planning.tenure.Record().Term).Warn("planning ends: the ownership is lost")
	for _, m := range c.planning.members {
		if m.stream != nil {
			m.stream.Close()
		}
	}
	c.planning = nil
	c.following = following{members: c.following.members, term: c.following.term}
}

// beginOrdering writes into the record that orders may follow, once the former holder's time
// is surely over.
func (k *keeper) beginOrdering() {
	c := k.coordinator
	var tenure *ownership.Tenure
	c.loop.call(func(now time.Time) {
		if c.planning != nil && c.planning.tenure.Waited(now) && !c.planning.tenure.Record().Ordering {
			tenure = c.planning.tenure
		}
	})
	if tenure == nil {
		return
	}
	record := tenure.Record()
	record.Ordering = true
	c.rewriteRecord(tenure, record)
}

// rewriteRecord changes this holder's own record.
func (c *Coordinator) rewriteRecord(tenure *ownership.Tenure, record ownership.Record) bool {
	value, err := record.Encode()
	if err != nil {
		return false
	}
	ctx, cancel := c.storeCall()
	defer cancel()
	sent := c.options.Now()
	revision, err := c.environment.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: recordKey, Revision: tenure.Revision()}},
		Writes:     []store.Write{{Key: recordKey, Value: value}},
	})
	if err != nil {
		c.noteStore("rewrite ownership", err)
		c.settleRewrite(tenure, record, err)
		return false
	}
	c.loop.call(func(time.Time) { tenure.Rewrite(sent, record, revision) })
	return true
}

// settleRewrite finds out whether a rewrite without an answer was done.
func (c *Coordinator) settleRewrite(tenure *ownership.Tenure, record ownership.Record, cause error) {
	ctx, cancel := c.storeCall()
	defer cancel()
	sent := c.options.Now()
	item, err := c.environment.Store.Get(ctx, recordKey)
	if err != nil {
		return
	}
	stored, err := ownership.DecodeRecord(item.Value)
	if err != nil {
		return
	}
	c.loop.call(func(time.Time) {
		mine := stored.Holder == record.Holder && stored.Term == record.Term
		switch {
		case mine:
			tenure.Rewrite(sent, stored, item.Revision)
		case store.IsConflict(cause) || stored.Term > record.Term:
			tenure.End()
			c.endIfOver()
		}
	})
}

// lookForPlanner reads the record when no planner is heard, and takes the ownership where its
// holder is gone.
func (c *Coordinator) lookForPlanner(k *keeper) {
	if c.leaving.Load() || !c.ready.Load() {
		return
	}
	now := c.options.Now()
	if k.started.IsZero() {
		k.started = now
	}
	silentFor, due := c.plannerSilentFor(now, k.started)
	if silentFor < takeoverSilence && !due && !k.nextLook.IsZero() {
		return
	}
	if now.Before(k.nextLook) && !due {
		return
	}
	k.nextLook = now.Add(c.jitter(lookPause))
	record, revision, found, err := c.readRecord()
	if err != nil {
		c.noteStore("read ownership", err)
		if silentFor >= takeoverSilence {
			c.askSeedsForPlanner()
		}
		return
	}
	if revision != k.revision || k.since.IsZero() {
		k.revision, k.since = revision, now
	}
	resigned := false
	c.loop.call(func(now time.Time) {
		c.storeReadAt = now
		c.noteRecord(record)
		resigned = found && record.Term == c.following.resignedTerm
		if due {
			c.sendReport(now)
		}
	})
	vacant := !found || record.Released || resigned
	if record.Holder != c.options.Instance && now.Sub(k.openSince(now, record.Term, vacant)) < c.options.Reluctance {
		return
	}
	switch {
	case vacant:
	case record.Holder == c.options.Instance:
	case silentFor < takeoverSilence || now.Sub(k.since) < settledRecord:
		return
	case c.planLives():
		return
	}
	record.Released = record.Released || resigned
	k.takeOwnership(record, revision, found)
}

// openSince is since when the record could be taken over, as far as this instance knows: since it was
// first seen without a holder that orders, or else since it was first seen as it is.
func (k *keeper) openSince(now time.Time, term int64, vacant bool) time.Time {
	if !vacant {
		return k.since
	}
	if k.vacantTerm != term || k.vacantSince.IsZero() {
		k.vacantTerm, k.vacantSince = term, now
	}
	return k.vacantSince
}

// farewellTime is how long the last message to a former planner may take.
const farewellTime = 50 * time.Millisecond

// noteRecord remembers who plans; a link to a former planner ends with the word on its successor.
func (c *Coordinator) noteRecord(record ownership.Record) {
	c.knownRecord = record
	if stream := c.following.stream; stream != nil && record.Term > c.following.term {
		_ = stream.Send(message{Successor: &successor{Term: record.Term, Address: record.Address}})
		time.AfterFunc(farewellTime, stream.Close)
		c.following.stream = nil
	}
}

// learnSuccessor takes in a peer's word on who plans; this instance's own term, if it has one, is over
// when a later one has begun.
func (c *Coordinator) learnSuccessor(told successor) {
	if told.Term <= c.knownRecord.Term || !told.Address.IsValid() {
		return
	}
	c.options.Log.WithFields(map[string]any{"term": told.Term, "address": told.Address.String()}).Info("planner learned from a peer")
	c.knownRecord = ownership.Record{Term: told.Term, Address: told.Address}
	if c.planning != nil && told.Term > c.planning.tenure.Record().Term {
		c.planning.tenure.End()
		c.endIfOver()
	}
}

// plannerSilentFor tells for how long no planner was heard that could confirm its ownership,
// and whether a look is due at once.
func (c *Coordinator) plannerSilentFor(now, started time.Time) (time.Duration, bool) {
	heard, due := started, false
	c.loop.call(func(time.Time) {
		confirmed := c.following.heard
		if c.following.confirmedAge > c.options.Ownership.Window {
			confirmed = confirmed.Add(-c.following.confirmedAge)
		}
		if confirmed.After(heard) {
			heard = confirmed
		}
		due, c.leadershipDue = c.leadershipDue, false
	})
	return now.Sub(heard), due
}

func (c *Coordinator) readRecord() (record ownership.Record, revision int64, found bool, err error) {
	ctx, cancel := c.storeCall()
	defer cancel()
	item, err := c.environment.Store.Get(ctx, recordKey)
	if errors.Is(err, store.ErrNotFound) {
		return record, 0, false, nil
	}
	if err != nil {
		return record, 0, false, err
	}
	record, err = ownership.DecodeRecord(item.Value)
	return record, item.Revision, true, err
}

// planLives tells whether the holder's sign of life is in the store, or cannot be looked for.
func (c *Coordinator) planLives() bool {
	ctx, cancel := c.storeCall()
	defer cancel()
	_, err := c.environment.Store.Get(ctx, aliveKey)
	return !errors.Is(err, store.ErrNotFound)
}

// takeOwnership writes this instance into the record if nobody changed it since it was read.
func (k *keeper) takeOwnership(replaced ownership.Record, revision int64, found bool) {
	c := k.coordinator
	if !k.grantLease() {
		return
	}
	record := ownership.Record{
		Holder: c.options.Instance, Address: c.options.PeerAddress, Term: replaced.Term + 1, Former: replaced.Former,
	}
	if replaced.Ordering {
		record.Former = replaced.Holder
	}
	value, err := record.Encode()
	if err != nil {
		return
	}
	wait := c.options.Ownership.Wait(c.options.Instance, replaced, found)
	ctx, cancel := c.storeCall()
	defer cancel()
	sent := c.options.Now()
	committed, err := c.environment.Store.Commit(ctx, store.Transaction{
		Conditions: []store.Condition{{Key: recordKey, Revision: revision}},
		Writes:     []store.Write{{Key: recordKey, Value: value}, k.sign()},
	})
	if err != nil {
		if !c.learnHolder(err) {
			c.noteStore("take ownership", err)
		}
		return
	}
	c.loop.call(func(now time.Time) { c.beginPlanning(now, record, committed, sent, wait, replaced) })
}

// learnHolder takes the record of the instance that was quicker from a conflict; false if the
// error is none. Without it the planner would be unknown until the next look.
func (c *Coordinator) learnHolder(err error) bool {
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	for _, item := range conflict.Current {
		if item.Key != recordKey {
			continue
		}
		if record, err := ownership.DecodeRecord(item.Value); err == nil {
			c.loop.call(func(time.Time) { c.noteRecord(record) })
		}
	}
	return true
}

func (c *Coordinator) beginPlanning(now time.Time, record ownership.Record, revision int64, sent time.Time, wait time.Duration, replaced ownership.Record) {
	c.options.Log.WithFields(map[string]any{
		"term": record.Term, "wait": wait.String(), "replaced": replaced.Holder, "released": replaced.Released,
	}).Info("planning begins")
	tenure := ownership.Begin(c.options.Ownership, record, revision, sent, now, wait)
	if c.following.stream != nil {
		c.following.stream.Close()
		c.following.stream = nil
	}
	c.planning = newPlanning(c, now, tenure, replaced.RecentLoads)
	c.following.ratesDue = true
	c.sendReport(now)
}

// orderCall bounds one order, so that a later holder knows when the last one has arrived.
func (c *Coordinator) orderCall() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.context, c.options.Ownership.OrderTimeout)
}
