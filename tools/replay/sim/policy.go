// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"time"

	"github.com/shelfledge/shelfledge/models/fleet"
)

// Policy is one way to decide; the world calls it and it calls the world's Actions.
type Policy struct {
	Name string
	// Arrive takes a new request, or one whose attempt broke off and may be repeated.
	Arrive func(now time.Time, r fleet.Request)
	// Ended tells that a request has left its endpoint.
	Ended func(now time.Time, requestID, endpoint string, adapter fleet.AdapterRef)
	// Loaded tells how a load ended.
	Loaded func(now time.Time, endpoint string, incarnation int, adapter fleet.AdapterRef, ok bool)
	// Restarted tells that an endpoint came back empty.
	Restarted func(now time.Time, endpoint string, incarnation int)
	// Leaving tells that an endpoint is to get no new work.
	Leaving func(now time.Time, endpoint string)
	// Cut tells that a hall was cut off, or is back.
	Cut func(now time.Time, hall string, cut bool)
	// Store tells the weight store's rate.
	Store func(now time.Time, rate float64)
	// KV tells whether the key-value service answers.
	KV func(now time.Time, up bool, until time.Time)
	// Lost tells that an instance is gone.
	Lost func(now time.Time, instance string)
	// Expired tells that a caller has stopped waiting.
	Expired func(now time.Time, requestID string)
}

// Actions are what a policy may do in the world.
type Actions struct {
	// Start runs a request on an endpoint where its adapter is resident.
	Start func(now time.Time, requestID, endpoint string)
	// Refuse tells a request's caller that it was not run.
	Refuse func(now time.Time, requestID string, reason fleet.Reason)
	// Load evicts one adapter, if named, and loads another.
	Load func(now time.Time, endpoint string, evict, adapter fleet.AdapterRef)
	// At calls back at a later time.
	At func(at time.Time, run func(now time.Time))
}

// noPolicy gives a policy whose every function does nothing, to be filled in.
func noPolicy(name string) Policy {
	return Policy{
		Name:      name,
		Arrive:    func(time.Time, fleet.Request) {},
		Ended:     func(time.Time, string, string, fleet.AdapterRef) {},
		Loaded:    func(time.Time, string, int, fleet.AdapterRef, bool) {},
		Restarted: func(time.Time, string, int) {},
		Leaving:   func(time.Time, string) {},
		Cut:       func(time.Time, string, bool) {},
		Store:     func(time.Time, float64) {},
		KV:        func(time.Time, bool, time.Time) {},
		Lost:      func(time.Time, string) {},
		Expired:   func(time.Time, string) {},
	}
}
