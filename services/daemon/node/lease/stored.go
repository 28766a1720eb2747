// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import "slices"

// StoredOwner is what the key-value service holds of a pool's last owner, in JSON; it
// outlives the lease.
type StoredOwner struct {
	Holder string `json:"holder"`
	Boot   uint64 `json:"boot"`
	// Formers are the owners before this one that nobody has seen end; each successor
	// must wait for all of them, since any may still serve what was resident.
	Formers []FormerOwner `json:"formers,omitempty"`
}

// Is tells whether the given life of an instance is the owner.
func (s StoredOwner) Is(id string, boot uint64) bool {
	return s.Holder == id && s.Boot == boot
}

// Successor gives what to store when the given life owns the pool next: it waits for the
// owner before it, too, unless that is this life itself, whose answer was lost.
func (s StoredOwner) Successor(id string, boot uint64) StoredOwner {
	formers := s.Formers
	if s.Holder != "" && !s.Is(id, boot) {
		formers = append(slices.Clone(formers), FormerOwner{ID: s.Holder, Boot: s.Boot})
	}
	return StoredOwner{Holder: id, Boot: boot, Formers: formers}
}

// Settled gives what to store once all former owners were seen to have ended.
func (s StoredOwner) Settled() StoredOwner {
	s.Formers = nil
	return s
}
