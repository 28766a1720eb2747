// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package lease

import "slices"

// StoredOwner is the record of a pool's last owner in the key-value service, in JSON. It
// remains after the owner's lease has expired.
type StoredOwner struct {
	Holder string `json:"holder"`
	Boot   uint64 `json:"boot"`
	// FormerOwners are the former owners that are not known to have ended. Each successor must
	// wait for all of them, since any of them may still run requests on resident adapters.
	FormerOwners []FormerOwner `json:"formers,omitempty"`
}

// IsRun reports whether the given run of an instance is the owner.
func (s StoredOwner) IsRun(id string, boot uint64) bool {
	return s.Holder == id && s.Boot == boot
}

// Successor returns the record to store when the given run becomes the pool's next owner. The
// current owner is added to the former owners, unless it is the same run, which repeats the request after its answer was lost.
func (s StoredOwner) Successor(id string, boot uint64) StoredOwner {
	formers := s.FormerOwners
	if s.Holder != "" && !s.IsRun(id, boot) {
		formers = append(slices.Clone(formers), FormerOwner{ID: s.Holder, Boot: s.Boot})
	}
	return StoredOwner{Holder: id, Boot: boot, FormerOwners: formers}
}

// Settled returns the record to store once all former owners are known to have ended.
func (s StoredOwner) Settled() StoredOwner {
	s.FormerOwners = nil
	return s
}
