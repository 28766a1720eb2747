// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package membership

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Member is the state of another instance of the hall, as seen by this instance.
type Member struct {
	Instance fleet.Instance
	// Boot is the boot number of the member's current process, which changes at each restart. It is 0 before the first heartbeat.
	Boot    uint64
	Alive   bool
	Leaving bool
	// Listed reports whether the platform's list contains the member.
	Listed bool
	// Received is the time of the last heartbeat or, before the first one, the time at which the member was added. The duration
	// of each pause of this instance is added to it.
	Received time.Time
	// Sent is the time of the last heartbeat sent to the member, or zero if none was sent.
	Sent time.Time
	// Stamp is the member's own clock in its last heartbeat. It is returned to the member, which derives the age of grants from it.
	Stamp time.Duration
	// Revision is the highest configuration revision that the member had in force since its last restart.
	Revision int64
	// HeldPools lists the pools that the member places.
	HeldPools []fleet.HeldPool
	// formerBoots holds earlier boot numbers of the member. Late messages with these numbers are ignored.
	formerBoots []uint64
}

// moveTo sets where a member that is not alive is to be reached. A heartbeat to a new address is due at once.
func (m *Member) moveTo(listed fleet.Instance) {
	if m.Alive || m.Instance == listed {
		return
	}
	m.Instance = listed
	m.Sent = time.Time{}
}

// maxFormerBoots is the number of earlier boot numbers that are stored for each member to distinguish late messages from messages after
// a new restart. Messages from before that many restarts are assumed to have been delivered or lost.
const maxFormerBoots = 8

// recordFormerBoot adds the current boot number to the former ones. They must be stored, because the clock that they come
// from may have been set back, so that a lower number is not necessarily an older one.
func (m *Member) recordFormerBoot() {
	if m.Boot == 0 {
		return
	}
	m.formerBoots = append(m.formerBoots, m.Boot)
	if len(m.formerBoots) > maxFormerBoots {
		m.formerBoots = m.formerBoots[1:]
	}
}

// ChangeKind is the kind of a change of a member's state.
type ChangeKind string

// The kinds of changes.
const (
	Joined    ChangeKind = "joined"
	Restarted ChangeKind = "restarted"
	Lost      ChangeKind = "lost"
	Left      ChangeKind = "left"
)

// Change reports that a member joined, restarted, was lost or is leaving.
type Change struct {
	Kind   ChangeKind
	Member *Member
}
