// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// policy is one way to decide. The world calls it; it calls the world's start, refuse and load.
type policy interface {
	// arrive takes a new request, or one whose attempt broke off and may be repeated.
	arrive(now time.Time, r *request)
	// ended says that a request has left its endpoint.
	ended(now time.Time, r *request, e *engine)
	// loaded says how a load ended.
	loaded(now time.Time, e *engine, adapter fleet.AdapterRef, ok bool)
	// restarted says that an endpoint came back empty.
	restarted(now time.Time, e *engine)
	// leaving says that an endpoint is to get no new work.
	leaving(now time.Time, e *engine)
	// cut says that a hall was cut off, or is back.
	cut(now time.Time)
	// expired says that a caller has stopped waiting.
	expired(now time.Time, r *request)
	// storeRate gives the weight store's rate, in loads a second.
	storeRate(now time.Time, rate float64)
	// kvDown says that the key-value service does not answer until a time.
	kvDown(now, until time.Time)
	// instanceLost says that an instance is gone.
	instanceLost(now time.Time, instance string)
}

// withoutPlatform is the part of a policy that keeps no state of the key-value service, cuts, budget or instances.
type withoutPlatform struct{}

func (withoutPlatform) cut(time.Time)                  {}
func (withoutPlatform) storeRate(time.Time, float64)   {}
func (withoutPlatform) kvDown(time.Time, time.Time)    {}
func (withoutPlatform) instanceLost(time.Time, string) {}
