// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

import (
	"net/netip"
	"slices"
	"time"
)

// EndpointID identifies an endpoint. An endpoint that restarts has a new ID, or the same ID and another start time, see Endpoint.Born.
type EndpointID string

// HeldRetention is how long an endpoint that dropped an adapter is expected to load it fast, from its own cache. A higher value prefers endpoints
// that may no longer have the adapter cached, a lower one loads from the weight store what an endpoint still has.
const HeldRetention = 10 * time.Minute

// EndpointState is whether an endpoint accepts new work.
type EndpointState int

// The states of an endpoint.
const (
	Ready EndpointState = iota
	Draining
)

// Adapter identifies an adapter of a base model.
type Adapter struct {
	Model string
	Name  string
}

// IsZero reports whether no adapter is named.
func (a Adapter) IsZero() bool {
	return a.Name == ""
}

// String returns MODEL/NAME, or MODEL if no adapter is named.
func (a Adapter) String() string {
	if a.IsZero() {
		return a.Model
	}
	return a.Model + "/" + a.Name
}

// Endpoint is one incarnation of a back end, as described by its own entry in the store.
type Endpoint struct {
	ID EndpointID
	// Born is when the process started, by its own clock. A different start time under the same ID is another incarnation, which has no
	// state of the one before. It is zero if unknown.
	Born    time.Time
	Service string
	Address netip.AddrPort
	// Hall is the part of the site where the endpoint is located.
	Hall string
	// Software is the version of the endpoint's software; empty if unknown. It is the same for the whole life of an incarnation.
	Software string
	// Slots is how many requests the endpoint runs concurrently; 0 if it did not report a number.
	Slots int
	State EndpointState
	// Models are the base models that the endpoint holds.
	Models []string
	// CachedModels are the base models that the endpoint has in its memory or on its disk, so that they need not be loaded from the weight
	// store.
	CachedModels []string
	// Adapters maps each resident adapter to its version.
	Adapters map[Adapter]int64
}

// IsOtherIncarnation reports whether a start time is known to differ from the endpoint's.
func (e *Endpoint) IsOtherIncarnation(born time.Time) bool {
	return !born.IsZero() && !e.Born.IsZero() && !born.Equal(e.Born)
}

// HasModel reports whether the endpoint holds a base model.
func (e *Endpoint) HasModel(model string) bool {
	return slices.Contains(e.Models, model)
}
