// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forecast

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Announcements stores the loads that the planner last announced. It is not safe for concurrent use.
type Announcements struct {
	loads    map[deployment.ServiceAdapter]time.Time
	backlogs map[string]time.Duration
}

// NewAnnouncements returns an empty book.
func NewAnnouncements() *Announcements {
	return &Announcements{loads: make(map[deployment.ServiceAdapter]time.Time)}
}

// Reset removes all loads, for a heartbeat that lists the loads under way, and replaces the backlogs by service. The map is stored,
// not copied.
func (b *Announcements) Reset(backlogs map[string]time.Duration) {
	clear(b.loads)
	b.backlogs = backlogs
}

// Set stores the time at which a load is expected to end.
func (b *Announcements) Set(key deployment.ServiceAdapter, at time.Time) {
	b.loads[key] = at
}

// Load returns what the planner announced for an adapter.
func (b *Announcements) Load(key deployment.ServiceAdapter) Load {
	at, named := b.loads[key]
	return Load{Announced: named, At: at, Backlog: b.backlogs[key.Service]}
}
