// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package followed

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

const (
	// requestInterval is the minimum time between two requests for missing records, to any peer. It is also the assumed latency of an answer
	// besides the transfer time of its bytes. A longer time sends less while several peers have a higher revision, and recovers later from
	// a lost answer. It is well below the 0.26 s median after which a change is in force everywhere (docs/capacity-shelfledged.md, the
	// worst minute).
	requestInterval = 100 * time.Millisecond
	// requestBackoff multiplies the time between requests while no answer arrives; maxRequestInterval is the upper limit of that time.
	// Larger values send less to peers that do not announce how many bytes are in transit, such as peers of the previous version, and
	// recover later from several lost answers.
	requestBackoff     = 2
	maxRequestInterval = 800 * time.Millisecond
	// maxExpectedBytes limits the number of bytes in transit that a peer can announce, 32 MiB, the largest message between peers. Their
	// transfer takes 27 s on the slowest link.
	maxExpectedBytes = 33554432
)

// Configuration is the followed configuration, with the records that are needed to send it to peers.
type Configuration struct {
	catalog *catalog.Catalog
	history *catalog.History
	head    int64
	// read is set once the key-value service has answered that no configuration was ever stored.
	read bool
	// nextRequestAt is the time of the next request; requestWait is the time between the last two requests.
	nextRequestAt time.Time
	requestWait   time.Duration
}

// New returns an empty configuration of revision zero.
func New() *Configuration {
	return &Configuration{catalog: catalog.New(), history: catalog.NewHistory()}
}

// Catalog returns the catalog in force, which must not be modified.
func (c *Configuration) Catalog() *catalog.Catalog {
	return c.catalog
}

// Revision returns the revision in force.
func (c *Configuration) Revision() int64 {
	return c.catalog.Revision
}

// Head returns the highest revision that any peer or the key-value service has announced.
func (c *Configuration) Head() int64 {
	return c.head
}

// RecordNeverStored records an answer of the key-value service that no configuration was ever stored.
func (c *Configuration) RecordNeverStored() {
	c.read = true
}

// Known reports whether the catalog in force was read: from the key-value service, which may have none, or from a peer. While it was not,
// an adapter that the catalog lacks may exist.
func (c *Configuration) Known() bool {
	return c.read || c.Revision() > 0
}

// RecordRevision records an announced revision.
func (c *Configuration) RecordRevision(revision int64) {
	c.head = max(c.head, revision)
}

// RecentRecords returns the kept records, the oldest first.
func (c *Configuration) RecentRecords() []catalog.Record {
	return c.history.Records()
}

// RequestDue reports whether to request missing records now. If so, it counts the request as sent.
func (c *Configuration) RequestDue(now time.Time) bool {
	if now.Before(c.nextRequestAt) {
		return false
	}
	c.requestWait = min(max(requestInterval, requestBackoff*c.requestWait), maxRequestInterval)
	c.nextRequestAt = now.Add(c.requestWait)
	return true
}

// Expect records that a peer has announced revision head, with the given number of bytes of configuration in transit. The next request is
// due after the transfer time of these bytes.
func (c *Configuration) Expect(now time.Time, head int64, bytes int) {
	c.RecordRevision(head)
	if head > c.Revision() {
		c.nextRequestAt = now.Add(transferTimeout(min(bytes, maxExpectedBytes)))
	}
}

// RecordsAfter returns the records that lead from a peer's revision to the one in force here, or a
// snapshot if the kept records do not reach back that far.
func (c *Configuration) RecordsAfter(revision int64) (*fleet.Records, error) {
	snapshot, records, err := c.history.After(c.catalog, revision)
	if err != nil {
		return nil, err
	}
	return &fleet.Records{Head: c.Revision(), Snapshot: snapshot, Records: records}, nil
}

// Outcome is the result of Advance.
type Outcome struct {
	// Older is true if the sender's head is below the revision in force.
	Older bool
	// Err is the reason why the records, or the rest of them, could not be applied: a preceding
	// record is missing (catalog.ErrRevisionGap) or one is malformed. The records before it are in force.
	Err error
	// Changed is true if the call changed the revision in force.
	Changed bool
}

// Advance applies newer configuration. Repeated or late records that are in force already are
// skipped. Older configuration is never applied, unless the seeded fault allowLower is true.
func (c *Configuration) Advance(r fleet.Records, allowLower bool) Outcome {
	before := c.Revision()
	c.RecordRevision(r.Head)
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
	c.nextRequestAt, c.requestWait = time.Time{}, 0
	out.Changed = true
	return out
}
