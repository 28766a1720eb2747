// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/modules/entry/datagram"
	"github.com/shelfledge/shelfledge/services/entry/origin"
)

const (
	// receivePause is the pause after an error of the system. A higher value costs less while the error lasts, a lower one goes on sooner.
	receivePause = 100 * time.Millisecond
	// fewestSightings is how many sightings an answer needs at least, if there are as many: enough to show that there are several.
	fewestSightings = 2
)

// runReceiver handles datagrams until the transport is closed.
func (s *Service) runReceiver() {
	buffer := make([]byte, datagram.MaxBytes+1)
	failing := false
	for {
		payload, from, err := s.transport.Receive(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, datagram.ErrTooLarge):
			s.countUnreadable(errMalformed)
		case err != nil:
			if !failing {
				s.options.Log.WithError(err).Warn("origins of streams cannot be received from other instances")
			}
			if !s.pauseReceiver() {
				return
			}
		default:
			s.receive(s.options.Now(), from, payload)
		}
		failing = err != nil
	}
}

// pauseReceiver waits after an error and reports whether the service goes on.
func (s *Service) pauseReceiver() bool {
	select {
	case <-s.stopped:
		return false
	case <-time.After(receivePause):
		return true
	}
}

// receive handles one datagram.
func (s *Service) receive(now time.Time, from netip.AddrPort, payload []byte) {
	received, err := decode(payload)
	if err != nil {
		s.countUnreadable(err)
		return
	}
	if received.Held {
		received.Records = s.withoutKnown(now, received.Records)
	}
	s.receiveRecords(now, received.Records, received.Write)
	if received.Again {
		s.tellOnceMore(now, from)
	}
	s.receiveSightings(now, received.Seen)
	s.receiveUses(now, from, received.Uses)
	if received.Question != nil {
		s.receiveQuestion(now, from, received.Question)
	}
	if received.Answer != nil {
		s.receiveAnswer(now, from, received.Answer)
	}
}

// countUnreadable counts a datagram that could not be read.
func (s *Service) countUnreadable(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if errors.Is(err, errUnknownVersion) {
		s.counters.UnknownVersion++
		return
	}
	s.counters.Malformed++
}

// receiveRecords records what this instance is told as a holder, and lets it be written if that is its part.
func (s *Service) receiveRecords(now time.Time, records []record, write bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, told := range records {
		began := origin.Origin{Service: told.Service, Software: told.Software}
		until := now.Add(time.Duration(told.Remaining) * time.Millisecond)
		s.table.Add(now, origin.Record{Key: origin.Key(told.Key), Origin: began, Until: until, Ambiguous: told.Ambiguous, Expected: told.Expected})
		switch {
		case write:
			s.addEntrusted(origin.Key(told.Key))
		case s.writes(now, origin.Key(told.Key)):
			s.addUnwritten(origin.Key(told.Key))
		}
		s.learn(now, origin.Sighting{Origin: began})
	}
}

// receiveSightings learns which softwares another instance knows, and lets them be written into the archive if that is its part.
func (s *Service) receiveSightings(now time.Time, seen []sighting) {
	if len(seen) == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range seen {
		s.learn(now, each.toOrigin())
	}
	s.writer.request()
}

// withoutKnown returns the records of streams of which this instance has no record: it writes the others, or has read that they are written.
func (s *Service) withoutKnown(now time.Time, records []record) []record {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.DeleteFunc(records, func(told record) bool {
		_, exists := s.table.Get(now, origin.Key(told.Key))
		return exists
	})
}

// tellOnceMore lets all streams of this instance be told again, to an instance that may have missed them, and those that it holds for others: these may
// have been lost meanwhile.
func (s *Service) tellOnceMore(now time.Time, missing netip.AddrPort) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tellAgain(now, nil)
	s.addHeld(now, missing)
}

// receiveQuestion answers a question. What the instance that asks has seen is learnt as well.
func (s *Service) receiveQuestion(now time.Time, from netip.AddrPort, asked *question) {
	s.mutex.Lock()
	for _, seen := range asked.Known {
		s.learn(now, seen.toOrigin())
	}
	found := s.table.Lookup(now, origin.Key(asked.Key))
	known := s.history.Known(now, asked.Services, origin.MaxLifetime)
	answered := answer{ID: asked.ID, Complete: s.knowsAll(), Process: s.process(now, origin.Key(asked.Key))}
	answered.HasForgotten = answered.Process == 0 && s.options.Archive != nil
	uses, areAll := s.toldUses.ofServices(now, asked.Services)
	answered.Uses, answered.LacksUses, answered.HasLost = uses, !areAll || s.lacksUses(now), s.lostUntil.After(now)
	s.mutex.Unlock()
	answered.setFound(found)
	payload, fits := encodeAnswer(answered, known)
	if !fits {
		s.countOversized()
		return
	}
	if s.send(from, payload) {
		s.mutex.Lock()
		s.counters.Answered++
		s.mutex.Unlock()
	}
}

// encodeAnswer returns the datagram of an answer with as many sightings as fit. One whose uses don't fit says that it lacks them.
func encodeAnswer(answered answer, known []origin.Sighting) ([]byte, bool) {
	build := func(known []sighting) *message {
		answered.Known = known
		return &message{Answer: &answered}
	}
	if payload, fits := encodeFitting(toSightings(known), fewestSightings, build); fits || len(answered.Uses) == 0 {
		return payload, fits
	}
	answered.Uses, answered.LacksUses = nil, true
	return encodeFitting(toSightings(known), fewestSightings, build)
}

// receiveAnswer hands an answer to the inquiry that waits for it.
func (s *Service) receiveAnswer(now time.Time, from netip.AddrPort, received *answer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if isListed(s.instances, from) {
		s.formerBuilds.add(now, from, received)
	}
	if received.ID == s.formerBuilds.question {
		return
	}
	waiting, exists := s.inquiries[received.ID]
	if !exists || !waiting.silent[from] {
		s.counters.UnexpectedAnswers++
		return
	}
	found, valid := received.result()
	if !valid {
		s.counters.Malformed++
		return
	}
	delete(waiting.silent, from)
	answered := origin.Answer{
		From: from, Found: found, Complete: received.Complete, Process: received.Process, LacksUses: received.LacksUses,
		HasLost: received.HasLost,
	}
	for i := range received.Uses {
		answered.Uses = append(answered.Uses, received.Uses[i].toOrigin(netip.AddrPort{})...)
	}
	for _, sent := range received.Known {
		seen := sent.toOrigin()
		s.learn(now, seen)
		if seen.Age < waiting.window {
			answered.Sightings = append(answered.Sightings, seen)
		}
	}
	// The channel has room for one answer of each instance that was asked.
	waiting.answers <- answered
}
