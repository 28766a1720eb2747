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

// EndpointKind tells model engines from plain services.
type EndpointKind string

// The kinds of endpoint.
const (
	KindEngine EndpointKind = "engine"
	KindPlain  EndpointKind = "plain"
)

// Endpoint describes one back end as the settings give it.
type Endpoint struct {
	Name        string
	Hall        string
	Kind        EndpointKind
	Address     netip.AddrPort
	Bases       []string
	Slots       int
	MaxBatch    int
	Step        time.Duration
	Load        time.Duration
	ChecksFence bool
	Prefix      string
}

// Serves tells whether the endpoint runs the base model.
func (e Endpoint) Serves(base string) bool {
	return slices.Contains(e.Bases, base)
}

// Instance describes one entry instance.
type Instance struct {
	ID      string
	Hall    string
	Address netip.AddrPort
	// Operator is where the instance answers operators.
	Operator netip.AddrPort
}

// Pool is a set of one hall's endpoints that share bases and so one placer.
type Pool struct {
	Name      string
	Hall      string
	Bases     []string
	Endpoints []Endpoint
}

// Serves tells whether the pool runs the base model.
func (p Pool) Serves(base string) bool {
	return slices.Contains(p.Bases, base)
}

// ChecksFence tells whether every endpoint of the pool checks fences.
func (p Pool) ChecksFence() bool {
	for _, e := range p.Endpoints {
		if !e.ChecksFence {
			return false
		}
	}
	return true
}

// BuildPools groups the endpoints of each hall that share a base, directly or through others.
func BuildPools(endpoints []Endpoint) []Pool {
	var pools []Pool
	for _, e := range endpoints {
		pools = addToPools(pools, e)
	}
	for i := range pools {
		sort.Strings(pools[i].Bases)
		pools[i].Name = pools[i].Hall + "/" + strings.Join(pools[i].Bases, "+")
	}
	sort.Slice(pools, func(i, j int) bool { return pools[i].Name < pools[j].Name })
	return pools
}

func addToPools(pools []Pool, e Endpoint) []Pool {
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

// PlainBase gives the name that stands in for the base of a plain service under a path prefix.
func PlainBase(prefix string) string {
	return "plain:" + prefix
}
