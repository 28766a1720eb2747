// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package node

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
)

// Effect is an action that a node requests from the control service.
type Effect interface{ isEffect() }

// Send sends an envelope to a peer. Delivery is not guaranteed.
type Send struct {
	Envelope fleet.Envelope
}

// Deliver passes a ticket to its waiting request, which must start before NotAfter.
type Deliver struct {
	RequestID string
	Ticket    fleet.Ticket
	NotAfter  time.Time
}

// Reject ends a waiting request with a refusal. The request was not run.
type Reject struct {
	RequestID string
	Refusal   fleet.Refusal
}

// TakeOverEndpoint sets this node's fence on an endpoint and requests the endpoint's inspection.
type TakeOverEndpoint struct {
	Pool     string
	Term     uint64
	Endpoint fleet.Endpoint
}

// InspectEndpoint requests the list of an endpoint's resident adapters and of its adapters with running or queued requests.
type InspectEndpoint struct {
	Pool     string
	Term     uint64
	Endpoint fleet.Endpoint
}

// OrderLoad sends a load order to an endpoint, together with the eviction that frees a slot for the adapter.
type OrderLoad struct {
	Term     uint64
	Endpoint fleet.Endpoint
	Load     placement.Load
}

// AcquireOwner requests the ownership of a pool from the key-value service under this node's lease. The answer carries Term.
type AcquireOwner struct {
	Pool string
	Term uint64
}

// ReleaseOwner deletes this node's ownership of a pool from the key-value service.
type ReleaseOwner struct {
	Pool string
}

// SettleOwner records in the key-value service that no former owner of a pool can grant tickets any more.
type SettleOwner struct {
	Pool string
}

// RenewLease renews this node's lease at the key-value service.
type RenewLease struct{}

// PublishCatalog makes the traffic path use a new configuration. The first one shows that the configuration is known.
type PublishCatalog struct {
	Catalog *catalog.Catalog
}

// WatchConfiguration starts or stops the watch of the configuration's head revision in the key-value service.
type WatchConfiguration struct {
	On bool
}

// RecordEvent records an event.
type RecordEvent struct {
	Event fleet.Event
}

func (Send) isEffect()               {}
func (Deliver) isEffect()            {}
func (Reject) isEffect()             {}
func (TakeOverEndpoint) isEffect()   {}
func (InspectEndpoint) isEffect()    {}
func (OrderLoad) isEffect()          {}
func (AcquireOwner) isEffect()       {}
func (ReleaseOwner) isEffect()       {}
func (SettleOwner) isEffect()        {}
func (RenewLease) isEffect()         {}
func (PublishCatalog) isEffect()     {}
func (WatchConfiguration) isEffect() {}
func (RecordEvent) isEffect()        {}
