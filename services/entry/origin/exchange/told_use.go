// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package exchange

import (
	"net/netip"
	"slices"
	"time"

	"github.com/shelfledge/shelfledge/services/entry/origin"
)

// maxToldUses bounds the uses that an instance was told. A higher value serves larger fleets while the store fails, a lower one takes less memory.
const maxToldUses = 4096

// toldUses are the uses of other instances that these could not state in the archive. The service's mutex guards it.
type toldUses struct {
	// until is for how long each one counts.
	until map[origin.Use]time.Time
	// missed is until when more uses may exist than there was room for.
	missed time.Time
}

// add adds a use that another instance told.
func (t *toldUses) add(now time.Time, told origin.Use) {
	if _, exists := t.until[told]; !exists && len(t.until) >= maxToldUses {
		t.missed = now.Add(origin.MaxLifetime)
		return
	}
	t.until[told] = now.Add(origin.MaxLifetime)
}

// all returns the uses that count, and false if there are others.
func (t *toldUses) all(now time.Time) ([]origin.Use, bool) {
	uses := make([]origin.Use, 0, len(t.until))
	for told, until := range t.until {
		if until.After(now) {
			uses = append(uses, told)
		}
	}
	return uses, !t.missed.After(now)
}

// ofServices returns the uses at some services by process, as they are sent, and false if there are others.
func (t *toldUses) ofServices(now time.Time, services []string) ([]usesOf, bool) {
	uses, areAll := t.all(now)
	softwares := make(map[uint64][]sighting)
	for _, use := range uses {
		if use.Origin == origin.Any || slices.Contains(services, use.Origin.Service) {
			softwares[use.Process] = append(softwares[use.Process], sighting{Service: use.Origin.Service, Software: use.Origin.Software})
		}
	}
	sent := make([]usesOf, 0, len(softwares))
	for process, used := range softwares {
		sent = append(sent, usesOf{Process: process, Softwares: used})
	}
	return sent, areAll
}

// toOrigin returns uses as they were sent, of processes at an address.
func (u *usesOf) toOrigin(address netip.AddrPort) []origin.Use {
	user := origin.User{Process: u.Process, Address: address}
	uses := make([]origin.Use, 0, len(u.Softwares))
	for _, used := range u.Softwares {
		uses = append(uses, origin.Use{User: user, Origin: origin.Origin{Service: used.Service, Software: used.Software}})
	}
	return uses
}

// sweep removes the uses that no longer count.
func (t *toldUses) sweep(now time.Time) {
	for told, until := range t.until {
		if !until.After(now) {
			delete(t.until, told)
		}
	}
}

// tellUses tells the other instances of the list the uses that the store did not take, so that they know of them if this instance is lost.
func (s *Service) tellUses(untold []origin.Origin) {
	s.mutex.Lock()
	list := s.instances
	s.mutex.Unlock()
	for chunk := range slices.Chunk(untold, usesPerDatagram) {
		sent := &usesOf{Process: s.options.Archive.Writer}
		for _, at := range chunk {
			sent.Softwares = append(sent.Softwares, sighting{Service: at.Service, Software: at.Software})
		}
		payload, err := encode(&message{Uses: sent})
		if err != nil {
			s.countOversized()
			continue
		}
		s.sendToOthers(list, payload)
	}
}

// tellUse tells the other instances of a use that the store has not taken yet, unless they were told since the last attempt.
func (s *Service) tellUse(at origin.Origin) {
	s.mutex.Lock()
	tells := s.uses.tell(at)
	s.mutex.Unlock()
	if tells {
		s.tellUses([]origin.Origin{at})
	}
}

// tellSole tells the instances of a list that streams begin at the only software of a service. For one that knows several it can then not be ruled
// out.
func (s *Service) tellSole(list []origin.Instance, at origin.Origin) {
	payload, err := encode(&message{Seen: []sighting{{Service: at.Service, Software: at.Software, WasSole: true}}})
	if err != nil {
		s.countOversized()
		return
	}
	s.sendToOthers(list, payload)
}

// usesPerDatagram is how many uses a datagram has, so that it fits into a packet with names of usual length.
const usesPerDatagram = 8

// receiveUses records what another instance could not state in the archive.
func (s *Service) receiveUses(now time.Time, from netip.AddrPort, told *usesOf) {
	if told == nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, use := range told.toOrigin(from) {
		s.toldUses.add(now, use)
	}
}
