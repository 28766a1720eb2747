// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// checkInterval is how often the instances that state the softwares ask those of the list whether they state their uses. A higher value sends less, a
// lower one notices former builds that serve for a shorter time.
const checkInterval = 2 * time.Second

// formerBuilds knows which instances of the list are of a former build of this program, which states no uses. The service's mutex guards it.
type formerBuilds struct {
	// question is the number of the question to which all answers are evaluated.
	question uint64
	// present are the instances that answered last as a former build does.
	present map[netip.AddrPort]bool
	// lostUntil is until when a stream may be taken up that one began which is gone.
	lostUntil time.Time
}

func newFormerBuilds() formerBuilds {
	return formerBuilds{question: rand.Uint64(), present: make(map[netip.AddrPort]bool)}
}

// add evaluates an answer of an instance of the list.
func (f *formerBuilds) add(now time.Time, from netip.AddrPort, received *answer) {
	statesUses := received.Process != 0 || received.HasForgotten
	if statesUses {
		f.remove(now, from)
		return
	}
	f.present[from] = true
}

// remove records that an instance is gone, if it was of a former build.
func (f *formerBuilds) remove(now time.Time, address netip.AddrPort) {
	if f.present[address] {
		delete(f.present, address)
		f.lostUntil = now.Add(origin.MaxLifetime)
	}
}

// setList removes the instances that are not in a list.
func (f *formerBuilds) setList(now time.Time, list []origin.Instance) {
	for address := range f.present {
		if !isListed(list, address) {
			f.remove(now, address)
		}
	}
}

// isListed reports whether a list has an instance at an address.
func isListed(list []origin.Instance, address netip.AddrPort) bool {
	return slices.ContainsFunc(list, func(instance origin.Instance) bool { return instance.Address == address })
}

// mayHaveBegun reports whether a former build may have begun a stream that can be taken up, without a statement of use.
func (f *formerBuilds) mayHaveBegun(now time.Time) bool {
	return len(f.present) > 0 || now.Before(f.lostUntil)
}

// runBuildCheck checks at intervals until the service is closed.
func (s *Service) runBuildCheck() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
			if s.tellsStreams() {
				s.checkBuilds(s.options.Now())
			}
		}
	}
}

// tellsStreams reports whether the streams of any service are told.
func (s *Service) tellsStreams() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.told) > 0
}

// checkBuilds asks the other instances of the list for the numbers of their processes, if this instance states the softwares.
func (s *Service) checkBuilds(now time.Time) {
	s.mutex.Lock()
	checks := s.statesSoftwares(now)
	list, asked := s.instances, question{ID: s.formerBuilds.question}
	s.mutex.Unlock()
	if !checks {
		return
	}
	payload, err := encode(&message{Question: &asked})
	if err != nil {
		s.countOversized()
		return
	}
	s.sendToOthers(list, payload)
}
