// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forecast

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Book stores the loads that the planner last announced. It is not safe for concurrent use.
type Book struct {
	loads    map[deployment.ServiceAdapter]time.Time
	backlogs map[string]time.Duration
}

// NewBook returns an empty book.
func NewBook() *Book {
	return &Book{loads: make(map[deployment.ServiceAdapter]time.Time)}
}

// Renew removes all loads, for a heartbeat that lists the loads under way, and replaces the backlogs by service. The map is stored,
// not copied.
func (b *Book) Renew(backlogs map[string]time.Duration) {
	clear(b.loads)
	b.backlogs = backlogs
}

// Note stores the time at which a load is expected to end.
func (b *Book) Note(key deployment.ServiceAdapter, at time.Time) {
	b.loads[key] = at
}

// Load returns what the planner announced for an adapter.
func (b *Book) Load(key deployment.ServiceAdapter) Load {
	at, named := b.loads[key]
	return Load{Named: named, At: at, Backlog: b.backlogs[key.Service]}
}
