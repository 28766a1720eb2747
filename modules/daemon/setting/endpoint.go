// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Endpoint holds the settings of an endpoint.
type Endpoint struct {
	Name        string         `json:"name"`
	Hall        string         `json:"hall"`
	Kind        string         `json:"kind"`
	Address     netip.AddrPort `json:"address"`
	Bases       []string       `json:"bases"`
	Slots       int            `json:"slots"`
	MaxBatch    int            `json:"max_batch"`
	Step        Duration       `json:"step"`
	Load        Duration       `json:"load"`
	ChecksFence bool           `json:"checks_fence"`
	// Prefix is the path prefix under which callers reach a plain service.
	Prefix string `json:"prefix"`
}

func (s *Settings) checkEndpoints(d *document, halls map[string]bool) {
	seen := make(map[string]bool)
	for i, e := range s.Endpoints {
		name := fmt.Sprintf("endpoints[%d]", i)
		if e.Name == "" || seen[e.Name] {
			d.addProblem(name+".name", "missing or given twice")
		}
		seen[e.Name] = true
		if !halls[e.Hall] {
			d.addProblem(name+".hall", "%q is not among the halls", e.Hall)
		}
		if !e.Address.IsValid() {
			d.addProblem(name+".address", "must be set to IP:PORT")
		}
		e.checkKind(d, name)
	}
}

func (e Endpoint) checkKind(d *document, name string) {
	if e.MaxBatch < 1 {
		d.addProblem(name+".max_batch", "must be 1 or more")
	}
	switch fleet.EndpointKind(e.Kind) {
	case fleet.KindEngine:
		if len(e.Bases) == 0 {
			d.addProblem(name+".bases", "must not be empty")
		}
		if e.Slots < 1 {
			d.addProblem(name+".slots", "must be 1 or more")
		}
	case fleet.KindPlain:
		if !strings.HasPrefix(e.Prefix, "/") || strings.HasPrefix(e.Prefix, "/v1/") {
			d.addProblem(name+".prefix", "must begin with / and not with /v1/")
		}
	default:
		d.addProblem(name+".kind", "%q is neither engine nor plain", e.Kind)
	}
}

// FleetEndpoints returns the endpoints as values of package fleet. A plain service gets a base made from its prefix.
func (s *Settings) FleetEndpoints() []fleet.Endpoint {
	out := make([]fleet.Endpoint, 0, len(s.Endpoints))
	for _, e := range s.Endpoints {
		bases := e.Bases
		if fleet.EndpointKind(e.Kind) == fleet.KindPlain {
			bases = []string{fleet.PlainBase(e.Prefix)}
		}
		out = append(out, fleet.Endpoint{
			Name: e.Name, Hall: e.Hall, Kind: fleet.EndpointKind(e.Kind), Address: e.Address, Bases: bases, Slots: e.Slots,
			MaxBatch: e.MaxBatch, Step: e.Step.Duration(), Load: e.Load.Duration(), ChecksFence: e.ChecksFence, Prefix: e.Prefix,
		})
	}
	return out
}
