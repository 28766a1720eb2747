// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// Effect is something that a node asks the control service to carry out.
type Effect interface{ isEffect() }

// Send passes an envelope to a peer; it may be lost.
type Send struct {
	Envelope fleet.Envelope
}

// Deliver gives a waiting request its ticket; the request must start before NotAfter.
type Deliver struct {
	RequestID string
	Ticket    fleet.Ticket
	NotAfter  time.Time
}

// Reject tells a waiting request that it was not run.
type Reject struct {
	RequestID string
	Refusal   fleet.Refusal
}

// Take asks an endpoint to obey this node and for its own list after that.
type Take struct {
	Pool     string
	Term     uint64
	Endpoint fleet.Endpoint
}

// Inspect asks an endpoint for its own list.
type Inspect struct {
	Pool     string
	Term     uint64
	Endpoint fleet.Endpoint
}

// Order sends a load, with the eviction it needs, to an endpoint.
type Order struct {
	Term     uint64
	Endpoint fleet.Endpoint
	Load     placement.Load
}

// AcquireOwner asks the key-value service for the ownership of a pool under this node's lease; the answer names the term.
type AcquireOwner struct {
	Pool string
	Term uint64
}

// ReleaseOwner gives the ownership of a pool back to the key-value service.
type ReleaseOwner struct {
	Pool string
}

// SettleOwner records that no former owner of a pool can grant any more.
type SettleOwner struct {
	Pool string
}

// RenewLease keeps this node's lease alive.
type RenewLease struct{}

// Publish puts a configuration in force for traffic.
type Publish struct {
	Catalog *catalog.Catalog
}

// Watch starts or stops following the head of the configuration in the key-value service.
type Watch struct {
	On bool
}

// Note records an event.
type Note struct {
	Event fleet.Event
}

func (Send) isEffect()         {}
func (Deliver) isEffect()      {}
func (Reject) isEffect()       {}
func (Take) isEffect()         {}
func (Inspect) isEffect()      {}
func (Order) isEffect()        {}
func (AcquireOwner) isEffect() {}
func (ReleaseOwner) isEffect() {}
func (SettleOwner) isEffect()  {}
func (RenewLease) isEffect()   {}
func (Publish) isEffect()      {}
func (Watch) isEffect()        {}
func (Note) isEffect()         {}
