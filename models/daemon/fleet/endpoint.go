// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package fleet

import (
	"net/netip"
	"slices"
	"sort"
	"strings"
	"time"
)

// EndpointKind distinguishes model engines from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	KindEngine EndpointKind = "engine"
	KindPlain  EndpointKind = "plain"
)

// Endpoint describes an endpoint as configured in the settings.
type Endpoint struct {
	Name     string
	Hall     string
	Kind     EndpointKind
	Address  netip.AddrPort
	Bases    []string
	Slots    int
	MaxBatch int
	Step     time.Duration
	Load     time.Duration
	// ChecksFence is true if the endpoint rejects orders and requests with an outdated fence (a fencing token).
	ChecksFence bool
	// Prefix is the path prefix of a plain service.
	Prefix string
}

// Serves reports whether the endpoint runs the base model.
func (e Endpoint) Serves(base string) bool {
	return slices.Contains(e.Bases, base)
}

// Instance describes an instance of the daemon.
type Instance struct {
	ID      string
	Hall    string
	Address netip.AddrPort
	// Operator is the address of the listener for operators.
	Operator netip.AddrPort
}

// Pool is a group of endpoints of one hall that are connected by common base models. Each pool has one placer.
type Pool struct {
	Name      string
	Hall      string
	Bases     []string
	Endpoints []Endpoint
}

// Serves reports whether an endpoint of the pool runs the base model.
func (p Pool) Serves(base string) bool {
	return slices.Contains(p.Bases, base)
}

// ChecksFence reports whether all endpoints of the pool check fences.
func (p Pool) ChecksFence() bool {
	for _, e := range p.Endpoints {
		if !e.ChecksFence {
			return false
		}
	}
	return true
}

// BuildPools groups the endpoints of each hall into pools, sorted by name. Endpoints with a common base model are in one pool, also
// if they have it only through other endpoints.
func BuildPools(endpoints []Endpoint) []Pool {
	var pools []Pool
	for _, e := range endpoints {
		pools = mergeIntoPools(pools, e)
	}
	for i := range pools {
		sort.Strings(pools[i].Bases)
		pools[i].Name = pools[i].Hall + "/" + strings.Join(pools[i].Bases, "+")
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].Name < pools[j].Name })
	return pools
}

// mergeIntoPools merges e with all pools of its hall that have a base model in common with it.
func mergeIntoPools(pools []Pool, e Endpoint) []Pool {
	merged := Pool{Hall: e.Hall, Bases: slices.Clone(e.Bases), Endpoints: []Endpoint{e}}
	kept := pools[:0]
	for _, p := range pools {
		if p.Hall != e.Hall || !sharesBase(p.Bases, e.Bases) {
			kept = append(kept, p)
			continue
		}
		merged.Endpoints = append(slices.Clone(p.Endpoints), merged.Endpoints...)
		for _, b := range p.Bases {
			if !slices.Contains(merged.Bases, b) {
				merged.Bases = append(merged.Bases, b)
			}
		}
	}
	return append(kept, merged)
}

func sharesBase(a, b []string) bool {
	for _, base := range a {
		if slices.Contains(b, base) {
			return true
		}
	}
	return false
}

// PlainBase returns the name that is used as the base model of the plain service with the given path prefix.
func PlainBase(prefix string) string {
	return "plain:" + prefix
}
