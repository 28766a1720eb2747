// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package followed

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

const (
	// askEvery is the least time between two requests for missing records, whoever is asked, and the time of an answer on its way besides
	// its bytes. Longer sends less while several peers are ahead, and takes longer after a lost answer; it is well below the 0.26 s median
	// in which a change is in force everywhere (docs/capacity-shelfledged.md, the worst minute).
	askEvery = 100 * time.Millisecond
	// askRise is the factor of one wait to the next while nothing comes, and askMost the longest wait: larger ones send less where nobody
	// tells how much is under way, as peers of the version before, and take longer after several losses.
	askRise = 2
	askMost = 800 * time.Millisecond
	// mostComing bounds what a peer may tell is under way, 32 MiB, the largest message between peers: 27 s of the slowest link.
	mostComing = 33554432
)

// Configuration is the followed configuration with what is needed to pass it on.
type Configuration struct {
	catalog *catalog.Catalog
	history *catalog.History
	head    int64
	// askAt is when to ask again, and wait the time between the last two requests.
	askAt time.Time
	wait  time.Duration
}

// New gives the configuration of a node that has heard of none: revision zero.
func New() *Configuration {
	return &Configuration{catalog: catalog.New(), history: catalog.NewHistory()}
}

// Catalog gives the catalog in force; it must not be changed.
func (c *Configuration) Catalog() *catalog.Catalog {
	return c.catalog
}

// Revision gives the revision in force.
func (c *Configuration) Revision() int64 {
	return c.catalog.Revision
}

// Head gives the highest revision that anyone has named.
func (c *Configuration) Head() int64 {
	return c.head
}

// Hear notes a revision that someone has named.
func (c *Configuration) Hear(revision int64) {
	c.head = max(c.head, revision)
}

// Recent lists the kept records, the oldest first.
func (c *Configuration) Recent() []catalog.Record {
	return c.history.Records()
}

// AskDue tells whether to ask a peer that is ahead for what is missing, and counts it as asked.
func (c *Configuration) AskDue(now time.Time) bool {
	if now.Before(c.askAt) {
		return false
	}
	c.wait = min(max(askEvery, askRise*c.wait), askMost)
	c.askAt = now.Add(c.wait)
	return true
}

// Expect notes that what is missing here is under way, and how many bytes of it; it is asked for again after the time these take.
func (c *Configuration) Expect(now time.Time, head int64, coming int) {
	c.Hear(head)
	if head > c.Revision() {
		c.askAt = now.Add(transfer(min(coming, mostComing)))
	}
}

// After gives what leads from a peer's revision to the one in force here: records, or a
// snapshot where the kept records do not reach back that far.
func (c *Configuration) After(revision int64) (*fleet.Records, error) {
	snapshot, records, err := c.history.After(c.catalog, revision)
	if err != nil {
		return nil, err
	}
	return &fleet.Records{Head: c.Revision(), Snapshot: snapshot, Records: records}, nil
}

// Outcome is what became of offered records.
type Outcome struct {
	// Older is true where the sender is behind: its head is below the revision in force.
	Older bool
	// Err says why the records, or the rest of them, could not be applied: a record is
	// missing before them (catalog.ErrRevisionGap) or one is malformed. What came before it is in force.
	Err error
	// Changed is true where another revision is in force now.
	Changed bool
}

// Advance puts newer configuration in force. Records that are in force already, repeated
// or late, are passed over; older ones are never applied, unless allowLower, a seeded
// fault, is true.
func (c *Configuration) Advance(r fleet.Records, allowLower bool) Outcome {
	before := c.Revision()
	c.Hear(r.Head)
	out := Outcome{Older: r.Head < before}
	if out.Older && !allowLower {
		return out
	}
	next, err := c.history.Advance(c.catalog, r.Snapshot, r.Records, allowLower)
	out.Err = err
	if next == nil || next.Revision == before {
		return out
	}
	c.catalog = next
	c.askAt, c.wait = time.Time{}, 0
	out.Changed = true
	return out
}
