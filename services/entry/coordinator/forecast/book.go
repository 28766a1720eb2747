// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package forecast

import (
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
)

// Book keeps the loads that the planner last named; it is not safe for concurrent use.
type Book struct {
	loads    map[deployment.ServiceAdapter]time.Time
	backlogs map[string]time.Duration
}

// NewBook makes an empty book.
func NewBook() *Book {
	return &Book{loads: make(map[deployment.ServiceAdapter]time.Time)}
}

// Renew forgets all loads, for a heartbeat that names those under way anew, and takes the backlogs by service.
// The map is kept, not copied.
func (b *Book) Renew(backlogs map[string]time.Duration) {
	clear(b.loads)
	b.backlogs = backlogs
}

// Note takes in that a load is expected to end at a time.
func (b *Book) Note(key deployment.ServiceAdapter, at time.Time) {
	b.loads[key] = at
}

// Load gives what the planner said of one adapter.
func (b *Book) Load(key deployment.ServiceAdapter) Load {
	at, named := b.loads[key]
	return Load{Named: named, At: at, Backlog: b.backlogs[key.Service]}
}
