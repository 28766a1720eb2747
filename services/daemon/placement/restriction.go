// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// SetLeaving stops new requests on an endpoint while the platform lists it as leaving.
func (p *Placer) SetLeaving(now time.Time, endpoint string, leaving bool) []Effect {
	e := p.endpointByName[endpoint]
	if e == nil || e.leaving == leaving {
		return nil
	}
	e.leaving = leaving
	p.recordEvent(now, fleet.Event{Kind: fleet.EventDrain, Endpoint: endpoint, Cause: "the platform lists the endpoint as leaving: " + yesNo(leaving)})
	p.dispatchEndpoint(now, e)
	return p.takeEffects()
}

// SetDrained stops or allows new requests on an endpoint by an operator's command.
func (p *Placer) SetDrained(now time.Time, endpoint string, drained bool) []Effect {
	e := p.endpointByName[endpoint]
	if e == nil || e.drained == drained {
		return nil
	}
	e.drained = drained
	p.recordEvent(now, fleet.Event{Kind: fleet.EventDrain, Endpoint: endpoint, Cause: "an operator drains the endpoint: " + yesNo(drained)})
	p.dispatchEndpoint(now, e)
	return p.takeEffects()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Freeze forbids unloading on an endpoint until the given time. A shorter freeze than the current one is ignored.
func (p *Placer) Freeze(now time.Time, endpoint string, until time.Time, cause string) []Effect {
	e := p.endpointByName[endpoint]
	if e == nil || !until.After(e.frozenUntil) {
		return nil
	}
	e.frozenUntil = until
	p.recordEvent(now, fleet.Event{Kind: fleet.EventFreeze, Endpoint: endpoint, Fence: e.fence, Cause: cause})
	return p.takeEffects()
}

// Thaw ends a freeze. It is called once no grant of a previous placer can start any more.
func (p *Placer) Thaw(now time.Time, endpoint string, cause string) []Effect {
	e := p.endpointByName[endpoint]
	if e == nil || !e.frozenUntil.After(now) {
		return nil
	}
	e.frozenUntil = now
	p.recordEvent(now, fleet.Event{Kind: fleet.EventThaw, Endpoint: endpoint, Fence: e.fence, Cause: cause})
	return p.takeEffects()
}

// AllowOrders sets the time until which the lease of an endpoint without fences allows load
// and unload orders; the zero time allows none. Until the lease has been held once, the
// endpoint is not used at all. After that, requests for resident adapters are granted even
// without the lease.
func (p *Placer) AllowOrders(endpoint string, until time.Time) {
	e := p.endpointByName[endpoint]
	if e == nil {
		return
	}
	e.usesLease = true
	e.leaseWasHeld = e.leaseWasHeld || !until.IsZero()
	e.orderDeadline = until
	// The lease decides which loads are possible, so the cached bid is no longer valid.
	p.bid.valid = false
}

// MarkFenceLost stops all use of an endpoint that another instance has taken over, until it is taken over again.
func (p *Placer) MarkFenceLost(endpoint string) {
	if e := p.endpointByName[endpoint]; e != nil {
		e.fenceLost = true
	}
}
