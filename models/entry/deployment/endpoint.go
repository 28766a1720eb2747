// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package deployment

import (
	"net/netip"
	"slices"
	"time"
)

// EndpointID names one incarnation of an endpoint; a restart gives a new one.
type EndpointID string

// EndpointState says whether an endpoint takes new work.
type EndpointState int

// The states of an endpoint.
const (
	Ready EndpointState = iota
	Draining
)

// Adapter names an adapter of a base model.
type Adapter struct {
	Model string
	Name  string
}

// IsZero reports whether no adapter is named.
func (a Adapter) IsZero() bool {
	return a.Name == ""
}

// String gives MODEL/NAME.
func (a Adapter) String() string {
	if a.IsZero() {
		return a.Model
	}
	return a.Model + "/" + a.Name
}

// Endpoint is one incarnation of a back end as its own entry in the store describes it.
type Endpoint struct {
	ID EndpointID
	// Born is when its process started, by its own clock: another start under the same ID is another incarnation, which knows
	// nothing of the one before. It is zero where it is not known.
	Born    time.Time
	Service string
	Address netip.AddrPort
	// Hall is the part of the site that it stands in.
	Hall string
	// Slots is how many requests it runs at once; 0 if it did not say.
	Slots int
	State EndpointState
	// Models are the base models it holds.
	Models []string
	// CachedModels are the base models of which it has a copy in its memory or on its disk, so that
	// they need not come from the weight store.
	CachedModels []string
	// Adapters maps each resident adapter to its version.
	Adapters map[Adapter]int64
}

// IsAnotherStart tells whether a start is surely another one than the endpoint's.
func (e *Endpoint) IsAnotherStart(born time.Time) bool {
	return !born.IsZero() && !e.Born.IsZero() && !born.Equal(e.Born)
}

// HasModel reports whether the endpoint holds a base model.
func (e *Endpoint) HasModel(model string) bool {
	return slices.Contains(e.Models, model)
}
