// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"net/netip"
	"time"
)

// Envelope contains one message between two instances; exactly one of the message fields is set.
type Envelope struct {
	From string `msgpack:"f"`
	// Boot identifies the run of the sending process.
	Boot uint64         `msgpack:"b"`
	To   netip.AddrPort `msgpack:"-"`

	Heartbeat      *Heartbeat      `msgpack:"hb,omitempty"`
	Submit         *Submit         `msgpack:"su,omitempty"`
	Withdraw       *Withdraw       `msgpack:"wi,omitempty"`
	Granted        *Granted        `msgpack:"gr,omitempty"`
	Refused        *Refused        `msgpack:"re,omitempty"`
	Returned       *Returned       `msgpack:"rt,omitempty"`
	TicketReport   *TicketReport   `msgpack:"rd,omitempty"`
	Release        *Release        `msgpack:"rl,omitempty"`
	Bid            *Bid            `msgpack:"bi,omitempty"`
	Permit         *Permit         `msgpack:"pe,omitempty"`
	PermitDone     *PermitDone     `msgpack:"pd,omitempty"`
	RecordsRequest *RecordsRequest `msgpack:"wr,omitempty"`
	Records        *Records        `msgpack:"rc,omitempty"`
	Digest         *Digest         `msgpack:"dg,omitempty"`
}

// Heartbeat reports to a peer that the sender is alive, which pools it places and which revision is in force at the sender.
type Heartbeat struct {
	Instance Instance `msgpack:"i"`
	// Stamp is a reading of the sender's clock. The receiver only echoes it.
	Stamp     time.Duration `msgpack:"s"`
	Revision  int64         `msgpack:"r"`
	Leaving   bool          `msgpack:"l,omitempty"`
	HeldPools []HeldPool    `msgpack:"h,omitempty"`
	Members   uint64        `msgpack:"m"`
	Known     []Instance    `msgpack:"k,omitempty"`
	Pools     []PoolSummary `msgpack:"p,omitempty"`
	// WantedSummaries lists the pools of which the sender needs a full summary.
	WantedSummaries []string `msgpack:"w,omitempty"`
}

// HeldPool identifies a pool that the sender places, with the term of its ownership.
type HeldPool struct {
	Pool string `msgpack:"p"`
	Term uint64 `msgpack:"t"`
}

// PoolSummary is the state of a pool for routing. A full summary lists in Added all adapter versions that are resident or loading. Any
// other summary lists the ones added and removed after sequence Base, for receivers that have the state of sequence Base or later.
type PoolSummary struct {
	Pool    string   `msgpack:"p"`
	Epoch   uint64   `msgpack:"e"`
	Seq     uint64   `msgpack:"s"`
	Base    uint64   `msgpack:"b,omitempty"`
	Full    bool     `msgpack:"f,omitempty"`
	Added   []string `msgpack:"a,omitempty"`
	Removed []string `msgpack:"r,omitempty"`
	// Free is the number of requests that the endpoints can take at once in addition to the running ones, and Places the number in total.
	Free    int `msgpack:"fr"`
	Places  int `msgpack:"pl"`
	Slots   int `msgpack:"sl"`
	Waiting int `msgpack:"w"`
}

// Digest is the state of a hall that its speaker sends to the speakers of the other halls, which relay it within their halls.
type Digest struct {
	Hall            string        `msgpack:"h"`
	Instances       []Instance    `msgpack:"i"`
	Placers         []PoolPlacer  `msgpack:"pl"`
	Pools           []PoolSummary `msgpack:"p"`
	Revision        int64         `msgpack:"r"`
	HighestRevision int64         `msgpack:"hi"`
	// Relayed is true if the speaker of the receiving hall relays the digest. Speaker is the instance that created it.
	Relayed bool     `msgpack:"re,omitempty"`
	Speaker Instance `msgpack:"sp"`
	// Age is the time that the relaying speaker held the digest.
	Age time.Duration `msgpack:"a,omitempty"`
	// WantedSummaries lists the pools of the receiver's hall of which the sender needs a full summary.
	WantedSummaries []string `msgpack:"w,omitempty"`
	// Boot identifies the run of the speaker's process, and Number numbers the digests of that run from 1. A speaker of an
	// earlier version sends neither; its digests are ordered by arrival.
	Boot   uint64 `msgpack:"b,omitempty"`
	Number uint64 `msgpack:"n,omitempty"`
}

// PoolPlacer identifies the instance that is the placer of a pool in a term.
type PoolPlacer struct {
	Pool     string   `msgpack:"p"`
	Term     uint64   `msgpack:"t"`
	Instance Instance `msgpack:"i"`
}

// Submit requests a ticket from the placer of a pool.
type Submit struct {
	Pool    string         `msgpack:"p"`
	Request Request        `msgpack:"r"`
	Reply   netip.AddrPort `msgpack:"rp"`
	Stamp   time.Duration  `msgpack:"s"`
	// Wait is the time that remains until the caller's deadline; zero means no deadline.
	Wait time.Duration `msgpack:"w"`
}

// Withdraw withdraws a submitted request.
type Withdraw struct {
	Pool      string `msgpack:"p"`
	RequestID string `msgpack:"r"`
}

// Granted grants a ticket. Stamp echoes Submit.Stamp, so that the entry instance can limit the age of the grant by its own clock.
type Granted struct {
	Ticket  Ticket        `msgpack:"t"`
	Stamp   time.Duration `msgpack:"s"`
	Attempt int           `msgpack:"a,omitempty"`
}

// Refused reports to the entry instance that its request was not run. If NotPlacer is true, the sender is not the placer of the pool, and
// the entry instance submits the request to the current placer.
type Refused struct {
	Pool      string  `msgpack:"p"`
	Refusal   Refusal `msgpack:"r"`
	NotPlacer bool    `msgpack:"e,omitempty"`
	Attempt   int     `msgpack:"a,omitempty"`
}

// Returned returns tickets to the placer after their requests have ended.
type Returned struct {
	Pool    string   `msgpack:"p"`
	Tickets []string `msgpack:"t"`
}

// TicketUse is a ticket in use and the request that uses it.
type TicketUse struct {
	Ticket  Ticket  `msgpack:"t"`
	Request Request `msgpack:"r"`
}

// TicketReport reports to a placer all tickets of a pool that the sender uses. It is sent to a new placer and then at regular intervals.
type TicketReport struct {
	Pool string      `msgpack:"p"`
	Term uint64      `msgpack:"t"`
	Uses []TicketUse `msgpack:"u"`
}

// Release hands a pool over to the next placer, with all tickets that are in use.
type Release struct {
	Pool string      `msgpack:"p"`
	Term uint64      `msgpack:"t"`
	Uses []TicketUse `msgpack:"u"`
}

// Bid requests a permit for a load from the instance that runs the ledger of the load budget (services/daemon/budget).
type Bid struct {
	Pool string `msgpack:"p"`
	// Value is the expected benefit of the load, by which the ledger ranks bids.
	Value float64 `msgpack:"v"`
	// Preload is true if no request waits for the load.
	Preload bool `msgpack:"pr,omitempty"`
}

// Permit allows one load.
type Permit struct {
	Pool string `msgpack:"p"`
	ID   uint64 `msgpack:"i"`
	// Within is sent, but no receiver reads it. The ledger drops a permit that is not returned within node.Timing.PermitLife.
	Within time.Duration `msgpack:"w"`
}

// PermitDone returns a permit. Used is false if nothing was loaded.
type PermitDone struct {
	Pool string `msgpack:"p"`
	ID   uint64 `msgpack:"i"`
	Used bool   `msgpack:"u"`
}

// RecordsRequest requests the configuration after a revision from a peer.
type RecordsRequest struct {
	After int64 `msgpack:"a"`
}

// Records contains configuration: encoded records, or a snapshot and the encoded records after it.
type Records struct {
	// Head is the revision of the sender's configuration.
	Head     int64    `msgpack:"h"`
	Snapshot []byte   `msgpack:"s,omitempty"`
	Records  [][]byte `msgpack:"r,omitempty"`
	// BytesInTransit is the number of bytes of configuration in transit to the receiver. If it is not zero, this message contains no
	// configuration, and the receiver must not request it again until that many bytes can have arrived.
	BytesInTransit int `msgpack:"c,omitempty"`
}
