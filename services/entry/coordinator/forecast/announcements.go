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

// NewAnnouncements returns an empty set of announcements.
func NewAnnouncements() *Announcements {
	return &Announcements{loads: make(map[deployment.ServiceAdapter]time.Time)}
}

// Reset removes all loads, for a heartbeat that lists the loads under way, and replaces the backlogs by service. The map is stored,
// not copied.
func (a *Announcements) Reset(backlogs map[string]time.Duration) {
	clear(a.loads)
	a.backlogs = backlogs
}

// Set stores the time at which a load is expected to end.
func (a *Announcements) Set(key deployment.ServiceAdapter, at time.Time) {
	a.loads[key] = at
}

// Load returns what the planner announced for an adapter.
func (a *Announcements) Load(key deployment.ServiceAdapter) Load {
	at, announced := a.loads[key]
	return Load{Announced: announced, At: at, Backlog: a.backlogs[key.Service]}
}
