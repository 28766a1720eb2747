// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"net/netip"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/shelfledge/shelfledge/modules/entry/datagram"
	"github.com/shelfledge/shelfledge/services/entry/origin"
)

const (
	// maxPending bounds the streams whose holders are not told yet. A higher value bridges a longer standstill, a lower one takes less
	// memory.
	maxPending = 4096
	// tellBatch is the number of streams that are told at once, with a pause of tellPause after it if there are more. A higher number tells
	// all streams sooner once a second software appears, a lower one leaves more of the link to requests.
	tellBatch = 128
	tellPause = 10 * time.Millisecond
	// sweepInterval is how often expired records are removed. A higher value costs less, a lower one frees memory sooner.
	sweepInterval = 10 * time.Second
	// toldInOutage is how many further instances are told of a stream that the store does not take. A higher value survives the loss of more instances
	// during an outage of the store, a lower one leaves more of the link to requests.
	toldInOutage = 4
	// listBytes is the size of a datagram without its records.
	listBytes = 10
)

// addPending lets a stream be told next. The stream that has waited longest is dropped if there are too many.
func (s *Service) addPending(key origin.Key) {
	if len(s.pending) >= maxPending {
		s.pending = s.pending[1:]
		s.counters.Dropped++
	}
	s.pending = append(s.pending, key)
	s.wakeTeller()
}

// tellAgain lets all streams that this instance began be told, except to the holders that the former choice names and that were told before.
func (s *Service) tellAgain(now time.Time, former *origin.Holders) {
	if len(s.told) == 0 {
		return
	}
	if len(s.backlog) > 0 {
		former = nil
	}
	s.backlog = s.backlog[:0]
	for service := range s.told {
		s.backlog = append(s.backlog, s.table.OwnKeys(now, service)...)
	}
	s.backlogHolders = former
	s.wakeTeller()
}

// heldStream is a stream of another instance that a third one is told of.
type heldStream struct {
	key origin.Key
	to  netip.AddrPort
}

// addHeld lets an instance be told of the streams that others began. Those that have waited longest are dropped if there are too many.
func (s *Service) addHeld(now time.Time, to netip.AddrPort) {
	s.held = slices.DeleteFunc(s.held, func(waiting heldStream) bool { return waiting.to == to })
	for _, key := range s.table.Keys(now) {
		if found, exists := s.table.Get(now, key); exists && !found.Own && s.told[found.Origin.Service] {
			s.held = append(s.held, heldStream{key: key, to: to})
		}
	}
	s.held = s.held[max(len(s.held)-maxUnwritten, 0):]
	s.wakeTeller()
}

// tellHeld tells a batch of the streams that others began and reports whether more are left.
func (s *Service) tellHeld(now time.Time) bool {
	s.mutex.Lock()
	batch := s.held[:min(len(s.held), tellBatch)]
	s.held = s.held[len(batch):]
	more := len(s.held) > 0
	keys := make(map[netip.AddrPort][]origin.Key)
	for _, waiting := range batch {
		keys[waiting.to] = append(keys[waiting.to], waiting.key)
	}
	records := make(map[netip.AddrPort][]origin.Record, len(keys))
	for to, waiting := range keys {
		records[to] = s.recordsOf(now, waiting)
	}
	s.mutex.Unlock()
	for to, list := range records {
		s.sendInParts(to, encodedRecords{Records: s.encodeRecords(now, list), Held: true})
	}
	return more
}

// wakeTeller wakes the teller unless it is about to wake.
func (s *Service) wakeTeller() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runTeller tells holders, and removes what has expired, until the service is closed.
func (s *Service) runTeller() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
			s.sweep(s.options.Now())
		case <-s.wake:
			s.askAgain()
			s.announce(s.options.Now())
			s.tellUnwritten(s.options.Now())
			s.tellAll()
		}
	}
}

// askAgain asks each other instance for its records once while both are in the list, if this one writes into the archive and streams are told: it may
// have been down while they told it, without them noticing. The list of an instance that has just started may name them one by one.
func (s *Service) askAgain() {
	unasked := s.takeUnasked()
	if len(unasked) == 0 {
		return
	}
	payload, err := encode(&message{Again: true})
	if err != nil {
		s.countOversized()
		return
	}
	s.sendToOthers(unasked, payload)
}

// takeUnasked returns the instances that have to be asked for their records, which count as asked from now on.
func (s *Service) takeUnasked() []origin.Instance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.holders.IsArchiver() || len(s.told) == 0 {
		return nil
	}
	unasked := slices.DeleteFunc(s.others(), func(other origin.Instance) bool { return slices.Contains(s.askedAgain, other) })
	s.askedAgain = s.instances
	return unasked
}

// announce tells the other instances of services that several softwares are known to serve: one that lags would take a single one for proven.
// Only those do that state the softwares in the archive.
func (s *Service) announce(now time.Time) {
	s.mutex.Lock()
	var known [][]sighting
	for _, service := range s.announced {
		known = append(known, toSightings(s.history.Known(now, []string{service}, origin.MaxLifetime)))
	}
	others := s.instances
	s.announced = nil
	s.mutex.Unlock()
	for _, seen := range known {
		payload, fits := encodeFitting(seen, fewestSightings, func(seen []sighting) *message { return &message{Seen: seen} })
		if !fits {
			s.countOversized()
			continue
		}
		s.sendToOthers(others, payload)
	}
}

// addUntold lets further instances be told of streams that the store does not take: the more know them, the more of them outlive the loss of some.
// The streams that have waited longest are dropped if there are too many.
func (s *Service) addUntold(keys ...origin.Key) {
	w := &s.writer
	w.untold = append(w.untold, keys...)
	if excess := len(w.untold) - maxPending; excess > 0 {
		w.untold = w.untold[excess:]
		s.counters.Dropped += uint64(excess)
	}
	s.wakeTeller()
}

// tellUnwritten tells further instances of the streams that the store does not take, in turn.
func (s *Service) tellUnwritten(now time.Time) {
	s.mutex.Lock()
	records := s.recordsOf(now, s.writer.untold)
	others := s.others()
	deputy := s.writer.deputy
	s.writer.untold = nil
	s.mutex.Unlock()
	list := s.encodeRecords(now, records)
	for i := range min(toldInOutage, len(others)) {
		// The next one is entrusted with them.
		s.tellHolder(others[(deputy+2+i)%len(others)].Address, list, false)
	}
}

// encodeRecords returns records as they are sent, but for those that don't fit into a datagram.
func (s *Service) encodeRecords(now time.Time, records []origin.Record) []msgpack.RawMessage {
	list := make([]msgpack.RawMessage, 0, len(records))
	for _, record := range records {
		if encoded, fits := s.encodeRecord(now, record); fits {
			list = append(list, encoded)
		}
	}
	return list
}

// sendToOthers sends a datagram to the instances of a list but this one.
func (s *Service) sendToOthers(list []origin.Instance, payload []byte) {
	for _, other := range list {
		if other.Address != s.options.Address {
			s.send(other.Address, payload)
		}
	}
}

// tellAll tells all streams that wait, in batches.
func (s *Service) tellAll() {
	for s.tellNext(s.options.Now()) {
		select {
		case <-s.stopped:
			return
		case <-time.After(tellPause):
		}
	}
}

// tellNext tells one batch of the streams of this instance and one of those of others. It reports whether more are left.
func (s *Service) tellNext(now time.Time) bool {
	hasOwn := s.tellSome(now)
	hasHeld := s.tellHeld(now)
	return hasOwn || hasHeld
}

// tellSome tells one batch of streams and reports whether more are left.
func (s *Service) tellSome(now time.Time) bool {
	records, holders, former, more := s.takeBatch(now)
	lists := make(map[netip.AddrPort][]msgpack.RawMessage)
	for i, told := range records {
		encoded, fits := s.encodeRecord(now, told)
		if !fits {
			continue
		}
		chosen := targets(holders, told.Key)
		if former[i] != nil {
			chosen = without(chosen, targets(former[i], told.Key))
		}
		for _, holder := range chosen {
			lists[holder] = append(lists[holder], encoded)
		}
	}
	s.archiveTold(now, records)
	delete(lists, s.options.Address)
	for holder, list := range lists {
		s.tellHolder(holder, list, false)
	}
	return more
}

// encodeRecord returns a record as it is sent, and counts one that does not fit into a datagram.
func (s *Service) encodeRecord(now time.Time, told origin.Record) (msgpack.RawMessage, bool) {
	encoded, err := msgpack.Marshal(toRecord(now, told))
	if err != nil || len(encoded)+listBytes > datagram.MaxBytes {
		s.countOversized()
		return nil, false
	}
	return encoded, true
}

// targets returns the instances that are told about a stream: its holders, and the one that writes into the archive.
func targets(holders *origin.Holders, key origin.Key) []netip.AddrPort {
	chosen := holders.Told(key)
	if archiver, exists := holders.Archiver(key); exists && !slices.Contains(chosen, archiver) {
		chosen = append(chosen, archiver)
	}
	return chosen
}

// without returns the addresses that are not among others.
func without(addresses, others []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(addresses, func(address netip.AddrPort) bool {
		return slices.Contains(others, address)
	})
}

// takeBatch takes the streams that are told next, with the holders and, for each stream, the former choice whose holders know it.
func (s *Service) takeBatch(now time.Time) (records []origin.Record, holders *origin.Holders, former []*origin.Holders, more bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	take := func(queue []origin.Key, told *origin.Holders) []origin.Key {
		count := min(len(queue), tellBatch-len(records))
		for _, key := range queue[:count] {
			if found, exists := s.table.Get(now, key); exists {
				records = append(records, found)
				former = append(former, told)
			}
		}
		return queue[count:]
	}
	s.pending = take(s.pending, nil)
	s.backlog = take(s.backlog, s.backlogHolders)
	return records, s.holders, former, len(s.pending)+len(s.backlog) > 0
}

// toRecord returns a record as it is sent.
func toRecord(now time.Time, told origin.Record) *record {
	return &record{
		Key: uint64(told.Key), Service: told.Origin.Service, Software: told.Origin.Software,
		Remaining: milliseconds(told.Until.Sub(now)), Ambiguous: told.Ambiguous, Expected: told.Expected,
	}
}

// tellHolder sends records to a holder. With write it has to write them into the archive.
func (s *Service) tellHolder(holder netip.AddrPort, records []msgpack.RawMessage, write bool) {
	s.sendInParts(holder, encodedRecords{Records: records, Write: write})
}

// sendInParts sends a message, as many of its records in each datagram as fit.
func (s *Service) sendInParts(to netip.AddrPort, whole encodedRecords) {
	for records := whole.Records; len(records) > 0; {
		count, size := 0, listBytes
		for count < len(records) && size+len(records[count]) <= datagram.MaxBytes {
			size += len(records[count])
			count++
		}
		part := whole
		part.Records = records[:count]
		s.sendRecords(to, &part)
		records = records[count:]
	}
}

// sendRecords sends records in one datagram.
func (s *Service) sendRecords(holder netip.AddrPort, records *encodedRecords) {
	payload, err := encode(records)
	if err != nil {
		s.countOversized()
		return
	}
	if !s.send(holder, payload) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Told++
	s.counters.ToldRecords += uint64(len(records.Records))
}

// countOversized counts a message that cannot be sent.
func (s *Service) countOversized() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Oversized++
}
