// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

const (
	// useTimeout bounds the wait until a use is stated. A higher value waits for a slower store, a lower one delays streams less while it is slow.
	useTimeout = 200 * time.Millisecond
	// useRenewInterval is the time after which the uses are renewed. A higher value costs fewer calls, a lower one bridges longer outages of the
	// store.
	useRenewInterval = 150 * time.Second
	// useGrace is for how long after that a statement still counts, while its renewal is under way. A higher value waits for a slower store, a lower
	// one decides by exclusion about older streams.
	useGrace = 30 * time.Second
	// maxRemainingWindow bounds the age of streams that are decided about by exclusion: origin.MaxLifetime less useRenewInterval and useGrace, since the
	// statements of a lost instance last for origin.MaxLifetime from their last renewal. A higher value would take streams for those of another software.
	maxRemainingWindow = 420 * time.Second
	// soleInterval is the time after which others are told again that streams begin at the only software of a service. It has to be shorter than
	// origin.MaxLifetime, for which they remember it. A higher value sends less, a lower one makes up for lost datagrams sooner.
	soleInterval = 150 * time.Second
	// maxUses bounds the origins that this instance states to use. A higher value serves more services, a lower one keeps values small.
	maxUses = 1024
)

// useWriter is where this instance begins streams, and what of it is stated in the archive. The service's mutex guards it.
type useWriter struct {
	wanted []origin.Origin
	// stated is how many of wanted have been stated, renewAt when they are renewed.
	stated  int
	renewAt time.Time
	// pausedUntil is when they may be stated again after an error.
	pausedUntil time.Time
	// attempted is closed at the end of the next attempt to state them.
	attempted chan struct{}
	// told are those that others were told of since the last attempt.
	told []origin.Origin
	// soles are when others were last told that streams begin at the only software of a service, which is not stated.
	soles map[origin.Origin]time.Time
}

func newUseWriter() useWriter {
	return useWriter{attempted: make(chan struct{}), soles: make(map[origin.Origin]time.Time)}
}

// isStated reports whether the archive states the use of an origin, for maxRemainingWindow from now on even if this instance is lost.
func (w *useWriter) isStated(now time.Time, at origin.Origin) bool {
	stated := w.wanted[:w.stated]
	if now.After(w.renewAt.Add(useGrace)) {
		return false
	}
	return slices.Contains(stated, at) || slices.Contains(stated, origin.Any)
}

// want lets the use of an origin be stated; that of any beyond maxUses.
func (w *useWriter) want(at origin.Origin) {
	switch {
	case slices.Contains(w.wanted, at) || len(w.wanted) >= maxUses:
	case len(w.wanted) == maxUses-1:
		w.wanted = append(w.wanted, origin.Any)
	default:
		w.wanted = append(w.wanted, at)
	}
}

// tell reports whether others are to be told of the use of an origin: once between two attempts.
func (w *useWriter) tell(at origin.Origin) bool {
	if slices.Contains(w.told, at) {
		return false
	}
	w.told = append(w.told, at)
	return true
}

// tellSole reports whether others are to be told that streams begin at the only software of a service: once in soleInterval.
func (w *useWriter) tellSole(now time.Time, at origin.Origin) bool {
	toldAt, exists := w.soles[at]
	if exists && now.Sub(toldAt) < soleInterval {
		return false
	}
	w.soles[at] = now
	return true
}

// sweep forgets the softwares that others would be told of again.
func (w *useWriter) sweep(now time.Time) {
	maps.DeleteFunc(w.soles, func(_ origin.Origin, toldAt time.Time) bool { return now.Sub(toldAt) >= soleInterval })
}

// restate lets all uses be stated again, which the store may have lost.
func (w *useWriter) restate() {
	w.stated = 0
}

// finish ends an attempt to state the first uses of wanted, of which others were told after an error.
func (w *useWriter) finish(now time.Time, stated int, err error) {
	close(w.attempted)
	w.attempted = make(chan struct{})
	w.told = nil
	if err != nil {
		w.told = slices.Clone(w.wanted[:stated])
		w.pausedUntil = now.Add(writePause)
		w.restate()
		return
	}
	w.stated, w.renewAt = stated, now.Add(useRenewInterval)
}

// Prepare lets the archive state that this instance begins streams at an origin, and waits for that, unless its software is the only one of the
// service: after the loss of instances it tells that streams can have begun there. It waits for useTimeout at most, and not while the store fails;
// then it tells the other instances.
func (s *Service) Prepare(ctx context.Context, at origin.Origin) {
	if s.options.Archive == nil || s.prepareSole(at) {
		return
	}
	attempted, stated := s.wantUse(at)
	if stated {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, useTimeout)
	defer cancel()
	for attempted != nil {
		select {
		case <-attempted:
			// The attempt may have begun before the use was wanted.
			if attempted, stated = s.wantUse(at); stated {
				return
			}
		case <-ctx.Done():
			attempted = nil
		case <-s.stopped:
			return
		}
	}
	s.tellUse(at)
}

// prepareSole reports whether the software of an origin is the only one of the service, so that its use is not stated. It tells the other instances of
// that: one that sees several softwares may decide about the streams of this one when it is lost.
func (s *Service) prepareSole(at origin.Origin) bool {
	s.mutex.Lock()
	now := s.options.Now()
	isSole := s.isSole(now, at)
	tells := isSole && s.uses.tellSole(now, at)
	list := s.instances
	s.mutex.Unlock()
	if tells {
		s.tellSole(list, at)
	}
	return isSole
}

// wantUse lets the use of an origin be stated. It reports whether it is, and returns what is closed at the end of the next attempt; nil while the
// store fails.
func (s *Service) wantUse(at origin.Origin) (attempted <-chan struct{}, stated bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.options.Now()
	if s.uses.isStated(now, at) {
		return nil, true
	}
	s.uses.want(at)
	if now.Before(s.uses.pausedUntil) {
		return nil, false
	}
	s.writer.request()
	return s.uses.attempted, false
}

// isSole reports whether the software of an origin is the only one of the service, as an instance knows that knows of all.
func (s *Service) isSole(now time.Time, at origin.Origin) bool {
	return s.knowsAll() && !s.shared[at.Service] && s.history.MarkSole(now, at.Service)
}

// writeUses states or renews where this instance begins streams, if that is due.
func (s *Service) writeUses(now time.Time) error {
	s.mutex.Lock()
	w := &s.uses
	wanted := slices.Clone(w.wanted)
	changed := w.stated < len(wanted)
	due := changed || (len(wanted) > 0 && !now.Before(w.renewAt))
	if !due || now.Before(w.pausedUntil) {
		s.mutex.Unlock()
		return nil
	}
	s.mutex.Unlock()
	var err error
	if changed {
		err = s.options.Archive.WriteUsed(s.context, s.options.Address, wanted)
	} else {
		err = s.options.Archive.RenewUsed(s.context)
	}
	if err != nil {
		s.tellUses(wanted)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.finishWrite(err)
	w.finish(now, len(wanted), err)
	return err
}

// findRemaining decides about a stream that nobody knows by asking all instances that may have begun it. It has to be known at which softwares each
// process begins streams, by a reading that began when the stream was taken up or later.
func (s *Service) findRemaining(ctx context.Context, now time.Time, wanted stream) origin.Result {
	unknown := origin.Result{Verdict: origin.Unknown}
	if wanted.window > maxRemainingWindow || !s.mayRemain(now, wanted) || !s.awaitReading(ctx, now) {
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
		self: s.options.Address, process: process, list: s.instances,
		known: s.history.Known(now, wanted.services, wanted.window), uses: slices.Concat(s.reader.uses, s.reader.unstated, told),
	}
	return s.addInquiry(s.everyone(own.uses), wanted, own.known), own
}

// decide decides from the answers of others, none of which knows the stream.
func (e *exclusion) decide(answers []origin.Answer) origin.Result {
	known, uses := slices.Clone(e.known), slices.Clone(e.uses)
	denied := map[uint64]bool{e.process: true}
	for _, answer := range answers {
		if answer.LacksUses {
			return origin.Result{Verdict: origin.Unknown}
		}
		if answer.Process != 0 {
			denied[answer.Process] = true
		}
		known = append(known, answer.Sightings...)
		uses = append(uses, answer.Uses...)
	}
	if !e.allState(answers) {
		return origin.Result{Verdict: origin.Unknown}
	}
	return origin.FindRemaining(known, uses, denied)
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

// process returns the number of this process, and 0 if it may have begun a stream of which it has no record any more.
func (s *Service) process(now time.Time, key origin.Key) uint64 {
	if s.options.Archive == nil || s.table.MayHaveForgotten(now, key) {
		return 0
	}
	return s.options.Archive.Writer
}
