// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"
	"net/netip"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Instance identifies the instance that the settings are for.
type Instance struct {
	ID   string `json:"id"`
	Hall string `json:"hall"`
}

func (i Instance) check(d *document, halls map[string]bool) {
	if i.ID == "" {
		d.addProblem("instance.id", "must be set")
	}
	if !halls[i.Hall] {
		d.addProblem("instance.hall", "%q is not among the halls", i.Hall)
	}
}

// Seed is a configured instance, used for discovery while the platform's list cannot be read.
type Seed struct {
	ID      string         `json:"id"`
	Hall    string         `json:"hall"`
	Address netip.AddrPort `json:"address"`
}

func (s *Settings) checkSeeds(d *document, halls map[string]bool) {
	for i, seed := range s.Seeds {
		name := fmt.Sprintf("seeds[%d]", i)
		if seed.ID == "" || !seed.Address.IsValid() || !halls[seed.Hall] {
			d.addProblem(name, "needs an id, a known hall and an address")
		}
	}
	if len(s.Halls) == 0 {
		d.addProblem("halls", "must not be empty")
	}
}

// SeedInstances returns the seeds as values of package fleet.
func (s *Settings) SeedInstances() []fleet.Instance {
	out := make([]fleet.Instance, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		out = append(out, fleet.Instance{ID: seed.ID, Hall: seed.Hall, Address: seed.Address})
	}
	return out
}
