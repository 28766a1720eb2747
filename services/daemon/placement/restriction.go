// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package placement

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// SetLeaving stops or allows new work on an endpoint that the platform lists as leaving.
func (p *Placer) SetLeaving(now time.Time, endpoint string, leaving bool) []Effect {
	e := p.byName[endpoint]
	if e == nil || e.leaving == leaving {
		return nil
	}
	e.leaving = leaving
	p.note(now, fleet.Event{Kind: fleet.EventDrain, Endpoint: endpoint, Cause: "the platform lists the endpoint as leaving: " + boolWord(leaving)})
	p.dispatchEndpoint(now, e)
	return p.take()
}

// SetDrained stops or allows new work on an endpoint by an operator's command.
func (p *Placer) SetDrained(now time.Time, endpoint string, drained bool) []Effect {
	e := p.byName[endpoint]
	if e == nil || e.drained == drained {
		return nil
	}
	e.drained = drained
	p.note(now, fleet.Event{Kind: fleet.EventDrain, Endpoint: endpoint, Cause: "an operator drains the endpoint: " + boolWord(drained)})
	p.dispatchEndpoint(now, e)
	return p.take()
}

func boolWord(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Freeze forbids unloading on an endpoint until the given time.
func (p *Placer) Freeze(now time.Time, endpoint string, until time.Time, cause string) []Effect {
	e := p.byName[endpoint]
	if e == nil || !until.After(e.frozenUntil) {
		return nil
	}
	e.frozenUntil = until
	p.note(now, fleet.Event{Kind: fleet.EventFreeze, Endpoint: endpoint, Fence: e.fence, Cause: cause})
	return p.take()
}

// Thaw lifts a freeze, once no grant of a former placer can start any more.
func (p *Placer) Thaw(now time.Time, endpoint string, cause string) []Effect {
	e := p.byName[endpoint]
	if e == nil || !e.frozenUntil.After(now) {
		return nil
	}
	e.frozenUntil = now
	p.note(now, fleet.Event{Kind: fleet.EventThaw, Endpoint: endpoint, Fence: e.fence, Cause: cause})
	return p.take()
}

// AllowOrders bounds the right to order loads and unloads on an endpoint that checks no
// fences; the zero time gives none. It forbids all use, too, until the lease was held once;
// after that, what is resident is granted on without the right.
func (p *Placer) AllowOrders(endpoint string, until time.Time) {
	e := p.byName[endpoint]
	if e == nil {
		return
	}
	e.leased = true
	e.owned = e.owned || !until.IsZero()
	e.ordersUntil = until
	// A right that begins makes room for loads that found none, one that ends takes it.
	p.bid.fresh = false
}

// LoseFence stops all use of an endpoint that obeys another instance, until it is adopted again.
func (p *Placer) LoseFence(endpoint string) {
	if e := p.byName[endpoint]; e != nil {
		e.fenceLost = true
	}
}
