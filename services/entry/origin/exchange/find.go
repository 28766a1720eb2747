// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"context"
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

const (
	// settleTime is for how long the first list of instances after a start may lack some. A higher value knows them more surely, a lower one serves
	// streams sooner after a start.
	settleTime = time.Second
	// maxSettleWait bounds the wait for that. A higher value serves more streams after a start, a lower one refuses in time for another attempt.
	maxSettleWait = 2 * time.Second
	// archiveTimeout bounds the wait for a reading of the archive. A higher value waits for a slower store, a lower one refuses in time for another
	// attempt.
	archiveTimeout = 400 * time.Millisecond
)

// stream is a stream that is taken up.
type stream struct {
	key origin.Key
	// services are those of the route. The stream began at one of them, within the window.
	services []string
	window   time.Duration
}

// finding is what is known about a stream.
type finding struct {
	origin.Result
	// isGuess is set if nobody confirmed that there are no other softwares than the known ones: others were asked and none answered.
	isGuess bool
}

// withoutGuess returns the result, in which a software counts as the only one only if others were ruled out.
func (f finding) withoutGuess() origin.Result {
	if f.Verdict == origin.SoleSoftware && f.isGuess {
		return origin.Result{Verdict: origin.Unknown}
	}
	return f.Result
}

// Find returns what is known about a stream that is taken up at a route with some services. The stream can have begun within the window at
// most. It asks other instances for up to askTimeout if this instance does not know, and soon after the start waits until it knows them.
func (s *Service) Find(ctx context.Context, now time.Time, key origin.Key, services []string, window time.Duration) origin.Result {
	s.awaitCatchUp(ctx)
	wanted := stream{key: key, services: s.withFormerServices(now, services), window: min(window, origin.MaxLifetime)}
	s.awaitFirstReading(ctx, key)
	found := s.findAtHolders(ctx, now, wanted)
	switch {
	case found.Verdict == origin.Unknown:
		return s.findElsewhere(ctx, now, wanted)
	case found.Verdict == origin.SoleSoftware && !s.isSettled():
		return s.confirm(ctx, now, wanted, s.findOnceSettled(ctx, wanted))
	default:
		return s.confirm(ctx, now, wanted, found.withoutGuess())
	}
}

// findAtHolders decides from what this instance knows, or else from the answers of the holders.
func (s *Service) findAtHolders(ctx context.Context, now time.Time, wanted stream) finding {
	decided, asking := s.decideOrAsk(now, wanted)
	if asking == nil {
		return finding{Result: decided}
	}
	answers := s.inquire(ctx, asking)
	isConfirmed := ctx.Err() == nil && (len(answers) > 0 || len(asking.asked) == 0)
	return finding{Result: origin.Decide(asking.known, asking.complete, answers), isGuess: !isConfirmed}
}

// decideOrAsk decides from what this instance knows. If that does not suffice it returns the inquiry at the holders as well, unless there are too many.
func (s *Service) decideOrAsk(now time.Time, wanted stream) (origin.Result, *inquiry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known := s.history.Known(now, wanted.services, wanted.window)
	decided, final := origin.DecideLocally(s.table.Lookup(now, wanted.key), known, s.history.IsProven(now, wanted.window))
	if final || len(s.inquiries) >= maxInquiries {
		return decided, nil
	}
	return decided, s.addInquiry(s.holdersOf(wanted.key), wanted, known)
}

// findOnceSettled decides again once this instance knows the others, of which the first list may have lacked some.
func (s *Service) findOnceSettled(ctx context.Context, wanted stream) origin.Result {
	if !s.awaitSettled(ctx) {
		return origin.Result{Verdict: origin.Unknown}
	}
	return s.findAtHolders(ctx, s.options.Now(), wanted).withoutGuess()
}

// findElsewhere finds out about a stream that neither this instance nor its holders know: in the archive, by exclusion, and if the store does not tell,
// among all instances.
func (s *Service) findElsewhere(ctx context.Context, now time.Time, wanted stream) origin.Result {
	s.awaitArchive(ctx)
	if found := s.lookup(wanted.key); found.Verdict != origin.Unknown {
		return found
	}
	if remaining := s.findRemaining(ctx, now, wanted); remaining.Verdict != origin.Unknown {
		return remaining
	}
	if s.hasReadSince(now) {
		return origin.Result{Verdict: origin.Unknown}
	}
	return s.findAmongAll(ctx, wanted)
}

// findAmongAll asks the instances that have not been asked where a stream began, since the archive does not tell: one that was told of it for the
// hall of a lost instance is not asked otherwise. What they don't know proves nothing.
func (s *Service) findAmongAll(ctx context.Context, wanted stream) origin.Result {
	s.mutex.Lock()
	if len(s.inquiries) >= maxInquiries {
		s.mutex.Unlock()
		return origin.Result{Verdict: origin.Unknown}
	}
	known := s.history.Known(s.options.Now(), wanted.services, wanted.window)
	asking := s.addInquiry(without(s.everyone(nil), s.holdersOf(wanted.key)), wanted, known)
	s.mutex.Unlock()
	answers := s.inquire(ctx, asking)
	return origin.Decide(known, false, withoutProof(answers))
}

// withoutProof returns answers that tell of the stream alone.
func withoutProof(answers []origin.Answer) []origin.Answer {
	for i := range answers {
		answers[i].Complete = false
	}
	return answers
}

// awaitFirstReading waits for a reading of the archive if there has been none since the start and this instance does not know a stream.
func (s *Service) awaitFirstReading(ctx context.Context, key origin.Key) {
	if !s.isComplete() && s.lookup(key).Verdict == origin.Unknown {
		s.awaitArchive(ctx)
	}
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
