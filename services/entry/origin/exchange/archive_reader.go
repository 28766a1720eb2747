// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"context"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/origin/archive"
)

const (
	// minReadInterval is the shortest time between the starts of two readings. It grows by readIntervalFactor with each reading that brings
	// nothing new, up to maxReadInterval. A higher value spares the store, a lower one serves more streams that are taken up.
	minReadInterval    = 250 * time.Millisecond
	maxReadInterval    = 4 * time.Second
	readIntervalFactor = 2
	// exclusionReadInterval is the longest time between the starts of two readings of an instance while it decides about streams by exclusion, each of
	// which needs a reading of its own time, and exclusionReadShare that for each instance of the list, if that is longer. Higher values spare the
	// store, lower ones serve more streams that are taken up.
	exclusionReadInterval = 500 * time.Millisecond
	exclusionReadShare    = 50 * time.Millisecond
)

// archiveReader is the state of the readings of the archive. The service's mutex guards it.
type archiveReader struct {
	wake chan struct{}
	// done is closed at the end of the reading that is under way, nil if none is.
	done chan struct{}
	// nextAt is when the next reading may start, interval the time to wait from the start of the next one.
	nextAt   time.Time
	interval time.Duration
	// sooner is closed, and replaced, when nextAt is brought forward.
	sooner chan struct{}
	// startedAt is when the last reading started.
	startedAt time.Time
	// requestedAt is when a reading was last asked for, readAt when the last one that succeeded began.
	requestedAt time.Time
	readAt      time.Time
	// learned is the revision up to which the softwares have been learned. They would count as younger if they were learned again.
	learned int64
	// uses are where processes begin streams, as last read, and unstated where they may. Until lacksUsesUntil there may be others. firstRead is
	// when a use of an origin among uses was first read.
	uses           []origin.Use
	firstRead      map[origin.Origin]time.Time
	unstated       []origin.Use
	lacksUsesUntil time.Time
	// era is that of the store at the last reading, which knowsEra tells of, and formerEra the last one before lacksUsesUntil was set.
	knowsEra  bool
	era       int64
	formerEra int64
	failing   bool
}

func newArchiveReader() archiveReader {
	return archiveReader{wake: make(chan struct{}, 1), sooner: make(chan struct{}), interval: minReadInterval}
}

// setEra sets the era of the store. A store that came back from a copy may lack what processes that are gone stated after the copy was made.
func (r *archiveReader) setEra(now time.Time, era int64) {
	if r.knowsEra && era <= r.era {
		return
	}
	if r.knowsEra {
		r.formerEra = r.wholeEra(now)
		r.lacksUsesUntil = now.Add(origin.MaxLifetime)
	}
	r.era, r.knowsEra = era, true
}

// setUses sets the uses that were read.
func (r *archiveReader) setUses(now time.Time, content *archive.Content) {
	firstRead := make(map[origin.Origin]time.Time)
	for _, use := range content.Uses {
		readAt, exists := r.firstRead[use.Origin]
		if !exists {
			readAt = now
		}
		firstRead[use.Origin] = readAt
	}
	r.uses, r.unstated, r.firstRead = content.Uses, unstatedUses(content), firstRead
}

// wholeEra returns the last era of which it is known that the archive has all uses that count.
func (r *archiveReader) wholeEra(now time.Time) int64 {
	if now.Before(r.lacksUsesUntil) {
		return r.formerEra
	}
	return r.era
}

// lacksUses reports whether the archive may lack uses that count: it is back from a copy, or an instance states none.
func (s *Service) lacksUses(now time.Time) bool {
	if s.options.Archive != nil && s.reader.knowsEra {
		s.reader.setEra(now, s.options.Archive.Store.CurrentEra())
	}
	return now.Before(s.reader.lacksUsesUntil) || s.formerBuilds.mayHaveBegun(now)
}

// request lets the archive be read as soon as that is allowed.
func (r *archiveReader) request(now time.Time) {
	r.requestedAt = now
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// runArchiveReader reads the archive at each request, until that succeeds.
func (s *Service) runArchiveReader() {
	for {
		select {
		case <-s.stopped:
			return
		case <-s.reader.wake:
		}
		pause := minReadInterval
		for s.readArchive(s.context, s.options.Now()); !s.hasRead(); s.readArchive(s.context, s.options.Now()) {
			select {
			case <-s.stopped:
				return
			case <-time.After(pause):
			}
			pause = min(readIntervalFactor*pause, maxReadInterval)
		}
	}
}

// readArchive waits for a reading of the archive. It returns at once if the last one was too short ago.
func (s *Service) readArchive(ctx context.Context, now time.Time) {
	if s.options.Archive == nil {
		return
	}
	s.mutex.Lock()
	done := s.reader.done
	switch {
	case done != nil:
	case now.Before(s.reader.nextAt):
		s.mutex.Unlock()
		return
	default:
		done = make(chan struct{})
		s.reader.done, s.reader.startedAt, s.reader.nextAt = done, now, now.Add(s.reader.interval)
		go s.readOnce(now, done)
	}
	s.mutex.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	case <-s.stopped:
	}
}

// readOnce reads the archive and closes done.
func (s *Service) readOnce(now time.Time, done chan struct{}) {
	content, err := s.options.Archive.Read(s.context, now)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reader.done = nil
	close(done)
	s.counters.ArchiveReads++
	changed := s.reader.failing != (err != nil)
	s.reader.failing = err != nil
	if err != nil {
		s.counters.ArchiveErrors++
		if changed && s.context.Err() == nil {
			s.options.Log.WithError(err).Warn("where streams began cannot be read from the store")
		}
		return
	}
	s.reader.readAt = now
	s.addContent(s.options.Now(), content)
}

// addContent adds what the archive knows to what this instance knows.
func (s *Service) addContent(now time.Time, content archive.Content) {
	if content.Unreadable > 0 {
		s.options.Log.WithField("entries", content.Unreadable).Warn("the store has entries on streams that this version cannot read")
	}
	s.complete = content.IsComplete() && s.hasReadSinceObserved()
	s.reader.setUses(now, &content)
	if !s.reader.knowsEra {
		s.reader.setEra(now, content.WholeEra)
	}
	s.reader.setEra(now, store.EraOf(content.Revision))
	s.writer.request()
	for _, stated := range content.Served {
		if stated.Revision > s.reader.learned {
			s.learnAll(now, stated.Softwares)
		}
	}
	s.reader.learned = max(s.reader.learned, content.Revision)
	s.reader.interval = min(readIntervalFactor*s.reader.interval, maxReadInterval)
	for _, record := range content.Begun {
		if _, exists := s.table.Get(now, record.Key); !exists {
			s.reader.interval = minReadInterval
		}
		s.table.Add(now, record)
		s.learn(now, origin.Sighting{Origin: record.Origin})
	}
}

// learnAll records what another process has seen.
func (s *Service) learnAll(now time.Time, learned []origin.Sighting) {
	for _, seen := range learned {
		s.learn(now, seen)
	}
}

// hasReadSinceObserved reports whether the archive has been read since the endpoints are observed.
func (s *Service) hasReadSinceObserved() bool {
	return !s.observedSince.IsZero() && !s.reader.readAt.Before(s.observedSince)
}

// hasRead reports whether the archive has been read since that was asked for.
func (s *Service) hasRead() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.reader.readAt.IsZero() && !s.reader.readAt.Before(s.reader.requestedAt)
}

// hasReadSince reports whether a reading of the archive has succeeded that began at a time or later.
func (s *Service) hasReadSince(since time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.reader.readAt.Before(since)
}

// awaitReading waits until a reading of the archive has succeeded that began at a time or later. Two readings may start after an interval, however
// little the last ones have brought. It returns false if none may begin within archiveTimeout.
func (s *Service) awaitReading(ctx context.Context, since time.Time, interval time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	for ctx.Err() == nil {
		s.limitReadInterval(interval)
		s.readArchive(ctx, s.options.Now())
		if s.hasReadSince(since) {
			return true
		}
		s.mutex.Lock()
		nextAt, sooner := s.reader.nextAt, s.reader.sooner
		s.mutex.Unlock()
		select {
		case <-sooner:
		case <-time.After(max(nextAt.Sub(s.options.Now()), time.Millisecond)):
		case <-ctx.Done():
		case <-s.stopped:
			return false
		}
	}
	return false
}

// exclusionInterval returns the longest time between the starts of two readings for decisions by exclusion.
func (s *Service) exclusionInterval() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return max(exclusionReadInterval, time.Duration(len(s.instances))*exclusionReadShare)
}

// limitReadInterval lets the archive be read again after an interval.
func (s *Service) limitReadInterval(interval time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if latest := s.reader.startedAt.Add(interval); latest.Before(s.reader.nextAt) {
		s.reader.nextAt = latest
	}
}

// readSooner lets the archive be read again as soon as at first, since the last reading helped. Those that wait for a reading wait only until
// then.
func (r *archiveReader) readSooner() {
	r.interval = minReadInterval
	if soonest := r.readAt.Add(minReadInterval); soonest.Before(r.nextAt) {
		r.nextAt = soonest
		close(r.sooner)
		r.sooner = make(chan struct{})
	}
}

// unstatedUses returns the uses that processes may not have been able to state, since the store was down: they knew of the softwares. Those of
// processes that deny a stream do not count.
func unstatedUses(content *archive.Content) []origin.Use {
	var uses []origin.Use
	for i := range content.Served {
		uses = append(uses, content.Served[i].MayUse()...)
	}
	return uses
}
