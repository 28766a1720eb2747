// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

const (
	// askTimeout bounds the wait for answers. A higher value waits for slower links, a lower one delays the streams of callers less.
	askTimeout = 150 * time.Millisecond
	// resendInterval is the time after which those that have not answered are asked again, and from when on one answer with an origin is
	// enough. A higher value sends fewer questions twice, a lower one makes up for a lost datagram sooner.
	resendInterval = 50 * time.Millisecond
	// settleTime is for how long the first list of instances after a start may lack some. A higher value knows them more surely, a lower one serves
	// streams sooner after a start.
	settleTime = time.Second
	// maxSettleWait bounds the wait for that. A higher value serves more streams after a start, a lower one refuses in time for another attempt.
	maxSettleWait = 2 * time.Second
	// archiveTimeout bounds the wait for a reading of the archive. A higher value waits for a slower store, a lower one refuses in time for another
	// attempt.
	archiveTimeout = 400 * time.Millisecond
	// maxInquiries bounds the streams that are asked about at the same time. A higher value takes up more streams at once, a lower one
	// takes less memory.
	maxInquiries = 1024
)

// inquiry is a question that waits for answers.
type inquiry struct {
	id       uint64
	key      origin.Key
	services []string
	window   time.Duration
	known    []origin.Sighting
	// asked are the instances that are asked, silent those of them that have not answered. The service's mutex guards silent.
	asked   []netip.AddrPort
	silent  map[netip.AddrPort]bool
	answers chan origin.Answer
}

// Find returns what is known about a stream that is taken up at a route with some services. The stream can have begun within the window at
// most. It asks other instances for up to askTimeout if this instance does not know, and soon after the start waits until it knows them.
func (s *Service) Find(ctx context.Context, now time.Time, key origin.Key, services []string, window time.Duration) origin.Result {
	window = min(window, origin.MaxLifetime)
	s.awaitCatchUp(ctx)
	services = s.withFormerServices(now, services)
	result, rulesOutOthers := s.findBeyondArchive(ctx, now, key, services, window)
	if result.Verdict != origin.SoleSoftware || s.isSettled() {
		return withoutGuess(result, rulesOutOthers)
	}
	if !s.awaitSettled(ctx) {
		return origin.Result{Verdict: origin.Unknown}
	}
	return withoutGuess(s.findOnce(ctx, s.options.Now(), key, services, window))
}

// findBeyondArchive decides once. It reads the archive before that if this instance has not read it since it started, and after it if nobody
// knows the stream.
func (s *Service) findBeyondArchive(ctx context.Context, now time.Time, key origin.Key, services []string, window time.Duration) (origin.Result, bool) {
	if !s.isComplete() && s.lookup(key).Verdict == origin.Unknown {
		s.awaitArchive(ctx)
	}
	result, rulesOutOthers := s.findOnce(ctx, now, key, services, window)
	if result.Verdict != origin.Unknown {
		return result, rulesOutOthers
	}
	s.awaitArchive(ctx)
	if result := s.lookup(key); result.Verdict != origin.Unknown {
		return result, true
	}
	remaining := s.findRemaining(ctx, now, key, services, window)
	if remaining.Verdict != origin.Unknown || s.hasReadSince(now) {
		return remaining, true
	}
	return s.findAmongAll(ctx, key, services, window), true
}

// findAmongAll asks the instances that have not been asked where a stream began, since the archive does not tell: one that was told of it for the
// hall of a lost instance is not asked otherwise. What they don't know proves nothing.
func (s *Service) findAmongAll(ctx context.Context, key origin.Key, services []string, window time.Duration) origin.Result {
	s.mutex.Lock()
	if len(s.inquiries) >= maxInquiries {
		s.mutex.Unlock()
		return origin.Result{Verdict: origin.Unknown}
	}
	known := s.history.Known(s.options.Now(), services, window)
	asked := s.addInquiry(without(s.everyone(nil), s.holdersOf(key)), key, services, window, known)
	s.mutex.Unlock()
	answers := s.ask(ctx, asked)
	s.removeInquiry(asked)
	return origin.Decide(known, false, withoutProof(answers))
}

// withoutProof returns answers that tell of the stream alone.
func withoutProof(answers []origin.Answer) []origin.Answer {
	for i := range answers {
		answers[i].Complete = false
	}
	return answers
}

// awaitArchive lets the archive be read if that is allowed, and waits for it.
func (s *Service) awaitArchive(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, archiveTimeout)
	defer cancel()
	s.readArchive(ctx, s.options.Now())
}

// lookup returns what this instance itself knows about a stream.
func (s *Service) lookup(key origin.Key) origin.Result {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Lookup(s.options.Now(), key)
}

// isComplete reports whether the archive has been read since the start.
func (s *Service) isComplete() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.complete
}

// withoutGuess returns a result in which a software counts as the only one only if others were ruled out.
func withoutGuess(result origin.Result, rulesOutOthers bool) origin.Result {
	if result.Verdict == origin.SoleSoftware && !rulesOutOthers {
		return origin.Result{Verdict: origin.Unknown}
	}
	return result
}

// findOnce decides from what this instance knows, or from the answers of others. It reports whether these rule out other softwares than the
// known ones: one of them answered, or there is nobody to ask.
func (s *Service) findOnce(ctx context.Context, now time.Time, key origin.Key, services []string, window time.Duration) (origin.Result, bool) {
	s.mutex.Lock()
	found := s.table.Lookup(now, key)
	known := s.history.Known(now, services, window)
	decided, final := origin.DecideLocally(found, known, s.history.IsProven(now, window))
	if final {
		s.mutex.Unlock()
		return decided, true
	}
	if len(s.inquiries) >= maxInquiries {
		s.mutex.Unlock()
		return origin.Result{Verdict: origin.Unknown}, false
	}
	asked, complete := s.addInquiry(s.holdersOf(key), key, services, window, known), s.knowsAll()
	s.mutex.Unlock()
	answers := s.ask(ctx, asked)
	s.removeInquiry(asked)
	return origin.Decide(known, complete, answers), ctx.Err() == nil && (len(answers) > 0 || len(asked.asked) == 0)
}

// isSettled reports whether this instance has known the others for settleTime, or can tell and ask nobody.
func (s *Service) isSettled() bool {
	select {
	case <-s.settled:
		return true
	default:
		return false
	}
}

// awaitSettled waits until this instance has known the others for settleTime. It returns false if that takes too long.
func (s *Service) awaitSettled(ctx context.Context) bool {
	timeout := time.NewTimer(maxSettleWait)
	defer timeout.Stop()
	select {
	case <-s.settled:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	case <-s.stopped:
	}
	return false
}

// holdersOf returns the instances that may know a stream; none without a transport.
func (s *Service) holdersOf(key origin.Key) []netip.AddrPort {
	if !s.online {
		return nil
	}
	return s.holders.Asked(key)
}

// addInquiry adds an inquiry at some instances.
func (s *Service) addInquiry(addresses []netip.AddrPort, key origin.Key, services []string, window time.Duration, known []origin.Sighting) *inquiry {
	added := &inquiry{
		id: rand.Uint64(), key: key, services: services, window: window, known: known, asked: addresses,
		silent: make(map[netip.AddrPort]bool, len(addresses)), answers: make(chan origin.Answer, len(addresses)),
	}
	for _, address := range addresses {
		added.silent[address] = true
	}
	s.inquiries[added.id] = added
	return added
}

// removeInquiry ends an inquiry.
func (s *Service) removeInquiry(ended *inquiry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.inquiries, ended.id)
}

// ask asks and returns the answers, until all have come or the time is over.
func (s *Service) ask(ctx context.Context, asking *inquiry) []origin.Answer {
	var answers []origin.Answer
	if len(asking.asked) == 0 {
		return nil
	}
	resend := time.NewTicker(resendInterval)
	defer resend.Stop()
	timeout := time.NewTimer(askTimeout)
	defer timeout.Stop()
	s.sendQuestion(asking)
	resent, found := false, false
	for len(answers) < len(asking.asked) && (!resent || !found) {
		select {
		case received := <-asking.answers:
			answers = append(answers, received)
			found = found || received.Found.Verdict != origin.Unknown
		case <-resend.C:
			resent = true
			if !found {
				s.sendQuestion(asking)
			}
		case <-timeout.C:
			return answers
		case <-ctx.Done():
			return answers
		case <-s.stopped:
			return answers
		}
	}
	return answers
}

// sendQuestion asks the instances that have not answered.
func (s *Service) sendQuestion(asking *inquiry) {
	payload, fits := encodeFitting(toSightings(asking.known), 0, func(known []sighting) *message {
		return &message{Question: &question{ID: asking.id, Key: uint64(asking.key), Services: asking.services, Known: known}}
	})
	if !fits {
		s.countOversized()
		return
	}
	for _, address := range s.silentOnes(asking) {
		if s.send(address, payload) {
			s.mutex.Lock()
			s.counters.Asked++
			s.mutex.Unlock()
		}
	}
}

// silentOnes returns the instances that have not answered an inquiry.
func (s *Service) silentOnes(asking *inquiry) []netip.AddrPort {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	addresses := make([]netip.AddrPort, 0, len(asking.silent))
	for _, address := range asking.asked {
		if asking.silent[address] {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
