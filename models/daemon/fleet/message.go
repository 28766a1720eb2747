// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"net/netip"
	"time"
)

// Envelope carries one message between two instances; exactly one body is set.
type Envelope struct {
	From string         `msgpack:"f"`
	Boot uint64         `msgpack:"b"`
	To   netip.AddrPort `msgpack:"-"`

	Heartbeat   *Heartbeat   `msgpack:"hb,omitempty"`
	Submit      *Submit      `msgpack:"su,omitempty"`
	Withdraw    *Withdraw    `msgpack:"wi,omitempty"`
	Granted     *Granted     `msgpack:"gr,omitempty"`
	Refused     *Refused     `msgpack:"re,omitempty"`
	Returned    *Returned    `msgpack:"rt,omitempty"`
	Redeclare   *Redeclare   `msgpack:"rd,omitempty"`
	Release     *Release     `msgpack:"rl,omitempty"`
	Bid         *Bid         `msgpack:"bi,omitempty"`
	Permit      *Permit      `msgpack:"pe,omitempty"`
	PermitDone  *PermitDone  `msgpack:"pd,omitempty"`
	WantRecords *WantRecords `msgpack:"wr,omitempty"`
	Records     *Records     `msgpack:"rc,omitempty"`
	Digest      *Digest      `msgpack:"dg,omitempty"`
}

// Heartbeat tells a peer that the sender lives, what it holds and which revision is in force there.
type Heartbeat struct {
	Instance Instance `msgpack:"i"`
	// Stamp is the sender's own clock, which the receiver only echoes.
	Stamp    time.Duration `msgpack:"s"`
	Revision int64         `msgpack:"r"`
	Leaving  bool          `msgpack:"l,omitempty"`
	Held     []HeldPool    `msgpack:"h,omitempty"`
	Members  uint64        `msgpack:"m"`
	Known    []Instance    `msgpack:"k,omitempty"`
	Pools    []PoolSummary `msgpack:"p,omitempty"`
	// Wants names the pools of which the sender needs a full summary.
	Wants []string `msgpack:"w,omitempty"`
}

// HeldPool announces that the sender is the placer of a pool.
type HeldPool struct {
	Pool string `msgpack:"p"`
	Term uint64 `msgpack:"t"`
}

// PoolSummary is an account of a pool for routing: the whole of it, or what
// changed after Base, for receivers that know the pool up to Base or later.
type PoolSummary struct {
	Pool    string   `msgpack:"p"`
	Epoch   uint64   `msgpack:"e"`
	Seq     uint64   `msgpack:"s"`
	Base    uint64   `msgpack:"b,omitempty"`
	Full    bool     `msgpack:"f,omitempty"`
	Added   []string `msgpack:"a,omitempty"`
	Removed []string `msgpack:"r,omitempty"`
	Free    int      `msgpack:"fr"`
	Places  int      `msgpack:"pl"`
	Slots   int      `msgpack:"sl"`
	Waiting int      `msgpack:"w"`
}

// Digest is what one hall's speaker tells another hall's speakers, who pass it on.
type Digest struct {
	Hall      string        `msgpack:"h"`
	Instances []Instance    `msgpack:"i"`
	Placers   []PlacerOf    `msgpack:"pl"`
	Pools     []PoolSummary `msgpack:"p"`
	Revision  int64         `msgpack:"r"`
	Highest   int64         `msgpack:"hi"`
	// Relayed is true where the receiving hall's speaker passes the digest on; Speaker is its source.
	Relayed bool     `msgpack:"re,omitempty"`
	Speaker Instance `msgpack:"sp"`
	// Age is how long a relay held the digest.
	Age time.Duration `msgpack:"a,omitempty"`
	// Wants names the receiver's pools of which the sender needs a full summary.
	Wants []string `msgpack:"w,omitempty"`
	// Boot is the life of the speaker and Number counts the digests of that life from 1. A speaker of an earlier version
	// sends neither; its digests count in the order in which they arrive.
	Boot   uint64 `msgpack:"b,omitempty"`
	Number uint64 `msgpack:"n,omitempty"`
}

// PlacerOf names the instance that places a pool.
type PlacerOf struct {
	Pool     string   `msgpack:"p"`
	Term     uint64   `msgpack:"t"`
	Instance Instance `msgpack:"i"`
}

// Submit asks a pool's placer for a ticket.
type Submit struct {
	Pool    string         `msgpack:"p"`
	Request Request        `msgpack:"r"`
	Reply   netip.AddrPort `msgpack:"rp"`
	Stamp   time.Duration  `msgpack:"s"`
	// Wait is what remains until the caller's deadline; zero means no limit.
	Wait time.Duration `msgpack:"w"`
}

// Withdraw takes a submitted request back.
type Withdraw struct {
	Pool      string `msgpack:"p"`
	RequestID string `msgpack:"r"`
}

// Granted hands out a ticket; Stamp echoes the entry's clock, which bounds the grant's age.
type Granted struct {
	Ticket  Ticket        `msgpack:"t"`
	Stamp   time.Duration `msgpack:"s"`
	Attempt int           `msgpack:"a,omitempty"`
}

// Refused tells an entry that its request was not run; Elsewhere asks it to find the placer anew.
type Refused struct {
	Pool      string  `msgpack:"p"`
	Refusal   Refusal `msgpack:"r"`
	Elsewhere bool    `msgpack:"e,omitempty"`
	Attempt   int     `msgpack:"a,omitempty"`
}

// Returned gives tickets back after their requests have ended.
type Returned struct {
	Pool    string   `msgpack:"p"`
	Tickets []string `msgpack:"t"`
}

// TicketUse is a ticket in use with its request.
type TicketUse struct {
	Ticket  Ticket  `msgpack:"t"`
	Request Request `msgpack:"r"`
}

// Redeclare tells a new placer which tickets of a pool the sender still uses; it is always the whole list.
type Redeclare struct {
	Pool string      `msgpack:"p"`
	Term uint64      `msgpack:"t"`
	Uses []TicketUse `msgpack:"u"`
}

// Release hands a pool over to a successor, with all tickets that are out.
type Release struct {
	Pool string      `msgpack:"p"`
	Term uint64      `msgpack:"t"`
	Uses []TicketUse `msgpack:"u"`
}

// Bid asks the holder of the load budget for a permit.
type Bid struct {
	Pool  string  `msgpack:"p"`
	Value float64 `msgpack:"v"`
	// Preload is true while nobody waits for the load.
	Preload bool `msgpack:"pr,omitempty"`
}

// Permit allows one load.
type Permit struct {
	Pool string `msgpack:"p"`
	ID   uint64 `msgpack:"i"`
	// Within is sent and not read; the budget's holder forgets a permit that is not given back after node.Timing.PermitLife.
	Within time.Duration `msgpack:"w"`
}

// PermitDone gives a permit back; Used is false where nothing was loaded.
type PermitDone struct {
	Pool string `msgpack:"p"`
	ID   uint64 `msgpack:"i"`
	Used bool   `msgpack:"u"`
}

// WantRecords asks a peer for the configuration after a revision.
type WantRecords struct {
	After int64 `msgpack:"a"`
}

// Records passes configuration on, as encoded records or a snapshot with the records after it.
type Records struct {
	Head     int64    `msgpack:"h"`
	Snapshot []byte   `msgpack:"s,omitempty"`
	Records  [][]byte `msgpack:"r,omitempty"`
	// Coming tells that nothing is in this message, but some bytes are under way: ask again after the time that they take.
	Coming int `msgpack:"c,omitempty"`
}
