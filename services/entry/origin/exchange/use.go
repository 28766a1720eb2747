// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"context"
	"maps"
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
	return s.knowsAll() && !s.isShared(now, at.Service) && s.history.MarkSole(now, at.Service)
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
