// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"context"
	"time"
)

const (
	// beatInterval is how often this instance checks that it has not stood still. A higher value costs less, a lower one tells shorter standstills
	// from late checks.
	beatInterval = time.Second
	// standstillTime is the time without a check after which this instance counts as having stood still. A higher value delays fewer streams on a busy
	// host, a lower one notices shorter standstills.
	standstillTime = 1500 * time.Millisecond
	// catchUpTime is for how long after that no stream is decided about, since what others told meanwhile waits to be read. A higher value bears more
	// of it, a lower one delays the streams of callers less.
	catchUpTime = 200 * time.Millisecond
)

// standstill tells whether this instance has stood still, as a process does that was paused. The service's mutex guards it.
type standstill struct {
	checkedAt time.Time
	// caughtUpAt is when what others told during the last standstill has been read.
	caughtUpAt time.Time
}

// check records that this instance goes on, and returns the time until it has caught up.
func (s *standstill) check(now time.Time) time.Duration {
	if !s.checkedAt.IsZero() && now.Sub(s.checkedAt) > standstillTime {
		s.caughtUpAt = now.Add(catchUpTime)
	}
	s.checkedAt = now
	return s.caughtUpAt.Sub(now)
}

// runStandstillCheck checks regularly whether this instance has stood still, until the service is closed.
func (s *Service) runStandstillCheck() {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
			s.timeToCatchUp()
		}
	}
}

// timeToCatchUp returns the time until this instance has read what others told while it stood still.
func (s *Service) timeToCatchUp() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.standstill.check(s.options.Now())
}

// awaitCatchUp waits until this instance has read what others told while it stood still. A software may have come meanwhile.
func (s *Service) awaitCatchUp(ctx context.Context) {
	wait := s.timeToCatchUp()
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-s.stopped:
	}
}
