// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim

import (
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// policy decides where requests run and which adapters are loaded. The world calls its methods; the policy calls
// startAttempt, refuseRequest and load of the world.
type policy interface {
	// requestArrived handles a new request, or a request whose attempt broke off and may be repeated.
	requestArrived(now time.Time, r *request)
	// requestEnded is called when a request has left its endpoint.
	requestEnded(now time.Time, r *request, e *engine)
	// loadEnded is called when a load has ended; ok is false if the load failed.
	loadEnded(now time.Time, e *engine, adapter fleet.AdapterRef, ok bool)
	// endpointRestarted is called when an endpoint has restarted without any adapter.
	endpointRestarted(now time.Time, e *engine)
	// endpointLeaving is called when an endpoint must not get new work any more.
	endpointLeaving(now time.Time, e *engine)
	// cut is called when a hall has been cut off or is reachable again.
	cut(now time.Time)
	// expired is called when a caller has stopped waiting.
	expired(now time.Time, r *request)
	// storeRateChanged is called with the weight store's new rate, in loads per second.
	storeRateChanged(now time.Time, rate float64)
	// kvUnavailable is called when the key-value service stops answering until the given time.
	kvUnavailable(now, until time.Time)
	// instanceLost is called when an instance has been removed.
	instanceLost(now time.Time, instance string)
}

// ignorePlatformEvents implements the events of the platform for a policy that does not depend on the key-value service,
// hall cuts, the load budget or instances.
type ignorePlatformEvents struct{}

func (ignorePlatformEvents) cut(time.Time)                       {}
func (ignorePlatformEvents) storeRateChanged(time.Time, float64) {}
func (ignorePlatformEvents) kvUnavailable(time.Time, time.Time)  {}
func (ignorePlatformEvents) instanceLost(time.Time, string)      {}
