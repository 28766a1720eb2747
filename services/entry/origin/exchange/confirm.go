// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

const (
	// confirmReadInterval is the longest time between the starts of two readings of an instance while it takes streams up at an only software. A
	// higher value spares the store, a lower one delays these streams less.
	confirmReadInterval = 100 * time.Millisecond
	// unseenUseTime is for how long after it was first read a use counts whose software this instance has not seen. It has to be longer than an
	// instance relies on what it knows of the endpoints, 20 s: what serves is seen by then. A higher value refuses more streams after software has
	// left, a lower one would miss software that this instance cannot see.
	unseenUseTime = 30 * time.Second
)

// confirm returns a result, in which a software counts as the only one only if it is known at the time of the question that there is no other one.
// What this instance has seen of the endpoints may be older: it may be cut off from those that have seen more and not have noticed yet.
func (s *Service) confirm(ctx context.Context, now time.Time, wanted stream, found origin.Result) origin.Result {
	if found.Verdict != origin.Unrestricted && found.Verdict != origin.SoleSoftware {
		return found
	}
	excluded := append(s.leftSoftwares(wanted), found.Origin)
	if !s.awaitConfirmingReading(ctx, now) {
		return s.confirmByOthers(ctx, wanted, found)
	}
	if s.mayHaveBegunElsewhere(wanted, excluded) {
		return s.findElsewhere(ctx, now, wanted)
	}
	return found
}

// awaitConfirmingReading waits for a reading of the archive that began at a time or later: each process states its use of a software there before it
// begins streams, if it knows several. It returns false if there is none, at once while the store fails.
func (s *Service) awaitConfirmingReading(ctx context.Context, since time.Time) bool {
	if s.options.Archive == nil || s.requestIfFailing(since) {
		return false
	}
	return s.awaitReading(ctx, since, confirmReadInterval)
}

// requestIfFailing reports whether the last reading of the archive failed. It then lets the archive be read until that succeeds, without waiting.
func (s *Service) requestIfFailing(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.reader.failing {
		s.reader.request(now)
	}
	return s.reader.failing
}

// leftSoftwares returns the softwares that this instance knew before a stream can have begun.
func (s *Service) leftSoftwares(wanted stream) []origin.Origin {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var left []origin.Origin
	for _, known := range s.history.Known(s.options.Now(), wanted.services, origin.MaxLifetime) {
		if known.Age >= wanted.window {
			left = append(left, known.Origin)
		}
	}
	return left
}

// mayHaveBegunElsewhere reports whether a stream may have begun at a software that is not excluded: this instance has learned of one by now, or a
// process states to use it. A statement of its use that was read some time ago is that of a software which left before this instance started.
func (s *Service) mayHaveBegunElsewhere(wanted stream, excluded []origin.Origin) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.options.Now()
	known := s.history.Known(now, wanted.services, origin.MaxLifetime)
	if slices.ContainsFunc(known, func(each origin.Sighting) bool { return !slices.Contains(excluded, each.Origin) }) {
		return true
	}
	return slices.ContainsFunc(s.reader.uses, func(use origin.Use) bool {
		isOfServices := use.Origin == origin.Any || slices.Contains(wanted.services, use.Origin.Service)
		isYoung := now.Sub(s.reader.firstRead[use.Origin]) < unseenUseTime
		return isOfServices && isYoung && !slices.Contains(excluded, use.Origin)
	})
}

// confirmByOthers asks all instances whether they know of a stream or of another software, since the archive does not tell. More than half of the
// list must answer, this instance included: those that are cut off together may all have missed the other software.
func (s *Service) confirmByOthers(ctx context.Context, wanted stream, found origin.Result) origin.Result {
	asking := s.startConfirmation(wanted)
	if asking == nil {
		return origin.Result{Verdict: origin.Unknown}
	}
	answers := s.inquire(ctx, asking)
	decided := origin.Decide(asking.known, true, answers)
	if decided.Verdict != origin.SoleSoftware {
		return decided
	}
	if decided.Origin != found.Origin || 2*len(answers) < len(asking.asked) {
		return origin.Result{Verdict: origin.Unknown}
	}
	return found
}

// startConfirmation returns the inquiry at all other instances, or nil if there are too many inquiries.
func (s *Service) startConfirmation(wanted stream) *inquiry {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.inquiries) >= maxInquiries {
		return nil
	}
	return s.addInquiry(s.everyone(nil), wanted, s.history.Known(s.options.Now(), wanted.services, wanted.window))
}
