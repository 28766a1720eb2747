// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// findRemaining decides about a stream that nobody knows by asking all instances that may have begun it. It has to be known at which softwares each
// process begins streams, by a reading that began when the stream was taken up or later.
func (s *Service) findRemaining(ctx context.Context, now time.Time, wanted stream) origin.Result {
	unknown := origin.Result{Verdict: origin.Unknown}
	if wanted.window > maxRemainingWindow || !s.mayRemain(now, wanted) || !s.awaitReading(ctx, now, s.exclusionInterval()) {
		return unknown
	}
	asking, exclusion := s.startExclusion(wanted)
	if asking == nil {
		return unknown
	}
	answers := s.inquire(ctx, asking)
	if found := origin.Decide(exclusion.known, false, answers); found.Verdict != origin.Unknown {
		return found
	}
	remaining := exclusion.decide(answers)
	if remaining.Verdict == origin.OnlyPossible {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.reader.readSooner()
	}
	return remaining
}

// exclusion is what an instance knows for a decision by exclusion before others have answered.
type exclusion struct {
	// self is where this instance is asked, process the number of its process.
	self    netip.AddrPort
	process uint64
	list    []origin.Instance
	known   []origin.Sighting
	uses    []origin.Use
	// hasLost is set if an instance was in the list lately and is gone.
	hasLost bool
}

// startExclusion returns what this instance knows for a decision by exclusion, and the inquiry at all others. It returns no inquiry if what it knows
// does not suffice.
func (s *Service) startExclusion(wanted stream) (*inquiry, *exclusion) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.options.Now()
	process := s.process(now, wanted.key)
	told, areAll := s.toldUses.all(now)
	if !s.knowsAll() || process == 0 || !areAll || s.lacksUses(now) || len(s.inquiries) >= maxInquiries {
		return nil, nil
	}
	own := &exclusion{
		self: s.options.Address, process: process, list: s.instances, hasLost: s.lostUntil.After(now),
		known: s.history.Known(now, wanted.services, wanted.window), uses: slices.Concat(s.reader.uses, s.reader.unstated, told),
	}
	return s.addInquiry(s.everyone(own.uses), wanted, own.known), own
}

// decide decides from the answers of others, none of which knows the stream.
func (e *exclusion) decide(answers []origin.Answer) origin.Result {
	known, uses := slices.Clone(e.known), slices.Clone(e.uses)
	denied := map[uint64]bool{e.process: true}
	hasLost := e.hasLost
	for _, answer := range answers {
		if answer.LacksUses {
			return origin.Result{Verdict: origin.Unknown}
		}
		if answer.Process != 0 {
			denied[answer.Process] = true
		}
		known = append(known, answer.Sightings...)
		uses = append(uses, answer.Uses...)
		hasLost = hasLost || answer.HasLost
	}
	if !e.allState(answers) {
		return origin.Result{Verdict: origin.Unknown}
	}
	return origin.FindRemaining(known, uses, denied, hasLost)
}

// allState reports whether all instances of the list are known to state their uses: those of a former build don't, and neither answer with the number
// of a process.
func (e *exclusion) allState(answers []origin.Answer) bool {
	stating := map[netip.AddrPort]bool{e.self: true}
	for _, use := range e.uses {
		stating[use.Address] = true
	}
	for _, answer := range answers {
		stating[answer.From] = answer.Process != 0
	}
	return !slices.ContainsFunc(e.list, func(instance origin.Instance) bool { return !stating[instance.Address] })
}

// mayRemain reports whether it is known of any software of the services that streams may have begun there.
func (s *Service) mayRemain(now time.Time, wanted stream) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	isOfServices := func(use origin.Use) bool { return slices.Contains(wanted.services, use.Origin.Service) }
	wasSole := func(seen origin.Sighting) bool { return seen.WasSole }
	return slices.ContainsFunc(s.reader.uses, isOfServices) || slices.ContainsFunc(s.history.Known(now, wanted.services, wanted.window), wasSole)
}

// everyone returns the other instances of the list, and those that have stated to begin streams.
func (s *Service) everyone(uses []origin.Use) []netip.AddrPort {
	if !s.online {
		return nil
	}
	var addresses []netip.AddrPort
	for _, instance := range s.instances {
		addresses = append(addresses, instance.Address)
	}
	for _, use := range uses {
		if use.Address.IsValid() {
			addresses = append(addresses, use.Address)
		}
	}
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	return without(slices.Compact(addresses), []netip.AddrPort{s.options.Address})
}

// process returns the number of this process, and 0 if it may have begun a stream of which it has no record any more, or one under another name.
func (s *Service) process(now time.Time, key origin.Key) uint64 {
	if s.options.Archive == nil || s.table.MayHaveForgotten(now, key) || s.routes.renamedUntil.After(now) {
		return 0
	}
	return s.options.Archive.Writer
}
