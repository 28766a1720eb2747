// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"errors"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/archive"
)

const (
	// batchInterval is the time between two batches of streams, and shortBatchInterval that where batchSize of them wait. A higher interval or
	// size writes less often, a lower one loses fewer streams together with all instances.
	batchInterval      = 300 * time.Millisecond
	shortBatchInterval = 25 * time.Millisecond
	batchSize          = 8
	// renewInterval is the time after which the softwares are renewed. A higher value costs fewer calls, a lower one notices sooner that the
	// store has lost the archive.
	renewInterval = 5 * time.Second
	// writePause is the pause after a write that failed. A higher value spares the store, a lower one writes sooner.
	writePause = 500 * time.Millisecond
	// aloneAfter is how long after its start an instance that knows no other one writes into the archive itself. A higher value spares the
	// store when a fleet starts, a lower one loses fewer streams of an instance that is cut off.
	aloneAfter = 3 * time.Second
	// maxUnwritten bounds the streams that wait to be written. A higher value bridges a longer outage of the store, a lower one takes less memory.
	maxUnwritten = 131072
)

// archiveWriter is what waits to be written into the archive. The service's mutex guards it.
type archiveWriter struct {
	wake chan struct{}
	// unwritten are the streams of the share that wait, and entrusted those that another instance, or this one before, could not write.
	unwritten []origin.Key
	entrusted []origin.Key
	// untold are the streams that further instances are told next, since the store does not take them.
	untold []origin.Key
	// wroteAt is when the last batch was written, and pausedUntil when one may be written after an error.
	wroteAt     time.Time
	pausedUntil time.Time
	// deputy counts the instances that were entrusted with streams.
	deputy int
	// served are the softwares as last written, wholeEra the era that was written with them, and complete is set once they were stated to be all.
	// renewAt is when they are written again or renewed; zero if none have been written.
	served   []origin.Sighting
	complete bool
	wholeEra int64
	renewAt  time.Time
	// holders and alone are those for which the share of this instance was last reviewed.
	holders *origin.Holders
	alone   bool
	failing bool
}

func newArchiveWriter() archiveWriter {
	return archiveWriter{wake: make(chan struct{}, 1)}
}

// request wakes the writer unless it is about to wake.
func (w *archiveWriter) request() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// writes reports whether this instance writes a stream into the archive.
func (s *Service) writes(now time.Time, key origin.Key) bool {
	archiver, exists := s.holders.Archiver(key)
	if !exists {
		return s.isAlone(now)
	}
	return archiver == s.options.Address
}

// statesSoftwares reports whether this instance writes which softwares served lately.
func (s *Service) statesSoftwares(now time.Time) bool {
	return s.holders.StatesSoftwares() || s.isAlone(now)
}

// isAlone reports whether this instance knows no other one, some time after its start.
func (s *Service) isAlone(now time.Time) bool {
	return len(s.instances) == 0 && now.Sub(s.startedAt) >= aloneAfter
}

// addUnwritten lets a stream of the share be written with the next batch, and further instances be told of it while the store fails.
func (s *Service) addUnwritten(key origin.Key) {
	s.writer.unwritten = s.addWaiting(s.writer.unwritten, key)
	if s.writer.failing {
		s.addUntold(key)
	}
}

// addEntrusted lets a stream be written that another instance could not write.
func (s *Service) addEntrusted(key origin.Key) {
	s.writer.entrusted = s.addWaiting(s.writer.entrusted, key)
}

// addWaiting adds a stream to some that wait. The one that has waited longest is dropped if there are too many.
func (s *Service) addWaiting(waiting []origin.Key, key origin.Key) []origin.Key {
	if waiting := s.writer.waiting(); waiting == 0 || waiting == batchSize-1 {
		s.writer.request()
	}
	if len(waiting) >= maxUnwritten {
		waiting = waiting[1:]
		s.counters.Dropped++
	}
	return append(waiting, key)
}

// waiting returns the number of streams that wait to be written.
func (w *archiveWriter) waiting() int {
	return len(w.unwritten) + len(w.entrusted)
}

// batchAt returns when the next batch is due.
func (w *archiveWriter) batchAt() time.Time {
	at := w.wroteAt.Add(batchInterval)
	if w.waiting() >= batchSize {
		at = w.wroteAt.Add(shortBatchInterval)
	}
	if at.Before(w.pausedUntil) {
		return w.pausedUntil
	}
	return at
}

// take takes the streams of the next batch, and of them those that no other instance has been entrusted with.
func (w *archiveWriter) take() (batch, first []origin.Key) {
	again := w.entrusted[:min(len(w.entrusted), archive.MaxBatch)]
	first = w.unwritten[:min(len(w.unwritten), archive.MaxBatch-len(again))]
	w.entrusted, w.unwritten = w.entrusted[len(again):], w.unwritten[len(first):]
	return slices.Concat(again, first), first
}

// archiveTold lets streams that this instance tells be written, of its own share.
func (s *Service) archiveTold(now time.Time, told []origin.Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, record := range told {
		if s.writes(now, record.Key) {
			s.addUnwritten(record.Key)
		}
	}
}

// reviewEra lets all be written and read again after the store came back from a copy, which may lack what was written since.
func (s *Service) reviewEra(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.options.Archive.EraChanged() {
		return
	}
	s.writer.holders = nil
	s.uses.restate()
	s.complete = false
	s.reader.request(now)
}

// reviewArchivers lets all streams be written that have come to the share of this instance: the one that wrote them before may be lost.
func (s *Service) reviewArchivers(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w := &s.writer
	if w.holders == s.holders && w.alone == s.isAlone(now) {
		return
	}
	former := w.holders
	w.holders, w.alone = s.holders, s.isAlone(now)
	if former == nil {
		w.served, w.renewAt = nil, time.Time{}
	}
	if len(s.told) == 0 {
		return
	}
	for _, key := range s.table.Keys(now) {
		if s.writes(now, key) && !s.wrote(former, key) {
			s.addUnwritten(key)
		}
	}
}

// wrote reports whether a stream was in the share of this instance by a former choice, which may be nil.
func (s *Service) wrote(former *origin.Holders, key origin.Key) bool {
	if former == nil {
		return false
	}
	archiver, exists := former.Archiver(key)
	return exists && archiver == s.options.Address
}

// runArchiveWriter writes into the archive until the service is closed.
func (s *Service) runArchiveWriter() {
	timer := time.NewTimer(aloneAfter)
	defer timer.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-s.writer.wake:
		case <-timer.C:
		}
		err := s.writeDue(s.options.Now())
		timer.Reset(s.nextWrite(s.options.Now(), err))
	}
}

// writeDue writes what is due.
func (s *Service) writeDue(now time.Time) error {
	s.reviewEra(now)
	s.reviewArchivers(now)
	err := s.writeUses(now)
	if servedErr := s.writeServed(now); err == nil {
		err = servedErr
	}
	if batchErr := s.writeBatch(now); err == nil {
		err = batchErr
	}
	return err
}

// nextWrite returns the time until something is due.
func (s *Service) nextWrite(now time.Time, err error) time.Duration {
	if err != nil {
		return writePause
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	pause := renewInterval
	if s.statesSoftwares(now) && !s.writer.renewAt.IsZero() {
		pause = min(pause, s.writer.renewAt.Sub(now))
	}
	if len(s.uses.wanted) > 0 {
		pause = min(pause, s.uses.renewAt.Sub(now))
	}
	if s.writer.waiting() > 0 {
		pause = min(pause, s.writer.batchAt().Sub(now))
	}
	if wait := aloneAfter - now.Sub(s.startedAt); wait > 0 {
		pause = min(pause, wait)
	}
	return max(pause, time.Millisecond)
}

// writeServed writes the softwares if they have changed, and renews them if that is due. It waits until this instance knows whether they are all.
func (s *Service) writeServed(now time.Time) error {
	s.mutex.Lock()
	w := &s.writer
	s.markSole(now)
	known := s.history.All(now)
	complete := w.complete || s.knowsAll() || s.history.IsProven(now, origin.MaxLifetime)
	wholeEra := s.reader.wholeEra(now)
	changed := !slices.EqualFunc(known, w.served, isSameSighting) || complete != w.complete || wholeEra != w.wholeEra
	due := !now.Before(w.renewAt)
	if !s.statesSoftwares(now) || !s.hasReadSinceObserved() || (!changed && !due) {
		s.mutex.Unlock()
		return nil
	}
	s.mutex.Unlock()
	var err error
	if changed || slices.ContainsFunc(known, hasLeft) {
		err = s.options.Archive.WriteServed(s.context, known, complete, wholeEra)
	} else {
		err = s.options.Archive.RenewServed(s.context)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finishWrite(err)
	if err != nil {
		w.served = nil
		return err
	}
	w.served, w.complete, w.wholeEra, w.renewAt = known, complete, wholeEra, now.Add(renewInterval)
	return nil
}

// markSole records of which services one software is known, if this instance knows of all.
func (s *Service) markSole(now time.Time) {
	if !s.knowsAll() {
		return
	}
	for _, service := range s.history.Services() {
		if !s.isShared(now, service) {
			s.history.MarkSole(now, service)
		}
	}
}

// isSameSighting reports whether two sightings are of the same software, which serves in both or in none of them.
func isSameSighting(a, b origin.Sighting) bool {
	return a.Origin == b.Origin && hasLeft(a) == hasLeft(b) && a.WasSole == b.WasSole
}

// hasLeft reports whether a software serves no more.
func hasLeft(seen origin.Sighting) bool {
	return seen.Age > 0
}

// writeBatch writes the streams that wait, if that is due. Another instance is entrusted with those that cannot be written.
func (s *Service) writeBatch(now time.Time) error {
	s.mutex.Lock()
	w := &s.writer
	if w.waiting() == 0 || now.Before(w.batchAt()) {
		s.mutex.Unlock()
		return nil
	}
	batch, first := w.take()
	w.wroteAt = now
	records := s.recordsOf(now, batch)
	s.mutex.Unlock()
	if len(records) == 0 {
		return nil
	}
	err := s.options.Archive.WriteBegun(s.context, now, records)
	s.finishBatch(now, batch, err)
	if err != nil {
		s.entrust(now, first)
	}
	return err
}

// finishBatch counts a batch, and lets it be written again after an error.
func (s *Service) finishBatch(now time.Time, batch []origin.Key, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err != nil && !s.writer.failing {
		s.addUntold(batch...)
	}
	s.finishWrite(err)
	if err == nil {
		s.counters.Archived += uint64(len(batch))
		return
	}
	s.writer.pausedUntil = now.Add(writePause)
	for _, key := range batch {
		s.addEntrusted(key)
	}
}

// entrust lets another instance write streams as well, which may reach the store.
func (s *Service) entrust(now time.Time, keys []origin.Key) {
	s.mutex.Lock()
	records := s.recordsOf(now, keys)
	others := s.others()
	s.writer.deputy++
	deputy := s.writer.deputy
	s.mutex.Unlock()
	if len(others) == 0 {
		return
	}
	s.tellHolder(others[deputy%len(others)].Address, s.encodeRecords(now, records), true)
}

// others returns the instances of the list but this one.
func (s *Service) others() []origin.Instance {
	return slices.DeleteFunc(slices.Clone(s.instances), func(instance origin.Instance) bool { return instance.Address == s.options.Address })
}

// recordsOf returns the streams that can still be taken up.
func (s *Service) recordsOf(now time.Time, keys []origin.Key) []origin.Record {
	records := make([]origin.Record, 0, len(keys))
	for _, key := range keys {
		if found, exists := s.table.Get(now, key); exists {
			records = append(records, found)
		}
	}
	return records
}

// finishWrite counts a write, and logs the first failure of some in a row and the end of them. If the store has lost the lease, it may have lost
// all that this instance wrote, and all of it is written again.
func (s *Service) finishWrite(err error) {
	s.counters.ArchiveWrites++
	changed := s.writer.failing != (err != nil)
	s.writer.failing = err != nil
	if err != nil {
		s.counters.ArchiveErrors++
	}
	if errors.Is(err, store.ErrLeaseExpired) {
		s.writer.holders = nil
	}
	switch {
	case !changed || s.context.Err() != nil:
	case err != nil:
		s.addUntold(s.writer.unwritten...)
		s.options.Log.WithError(err).Warn("where streams began cannot be written to the store")
	default:
		s.options.Log.Info("where streams began is written to the store again")
	}
}
