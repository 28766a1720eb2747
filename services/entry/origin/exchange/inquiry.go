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
	// maxInquiries bounds the streams that are asked about at the same time. A higher value takes up more streams at once, a lower one
	// takes less memory.
	maxInquiries = 1024
)

// inquiry is a question that waits for answers.
type inquiry struct {
	stream
	id uint64
	// known are the softwares that this instance knew at the beginning, complete is set if these were all.
	known    []origin.Sighting
	complete bool
	// asked are the instances that are asked, silent those of them that have not answered. The service's mutex guards silent.
	asked   []netip.AddrPort
	silent  map[netip.AddrPort]bool
	answers chan origin.Answer
}

// addInquiry adds an inquiry about a stream at some instances.
func (s *Service) addInquiry(addresses []netip.AddrPort, about stream, known []origin.Sighting) *inquiry {
	added := &inquiry{
		stream: about, id: rand.Uint64(), known: known, complete: s.knowsAll(), asked: addresses,
		silent: make(map[netip.AddrPort]bool, len(addresses)), answers: make(chan origin.Answer, len(addresses)),
	}
	for _, address := range addresses {
		added.silent[address] = true
	}
	s.inquiries[added.id] = added
	return added
}

// inquire asks, returns the answers and ends the inquiry.
func (s *Service) inquire(ctx context.Context, asking *inquiry) []origin.Answer {
	answers := s.ask(ctx, asking)
	s.removeInquiry(asking)
	return answers
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
