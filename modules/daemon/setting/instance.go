// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"
	"net/netip"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Instance says which instance this is.
type Instance struct {
	ID   string `json:"id"`
	Hall string `json:"hall"`
}

func (i Instance) check(d *document, halls map[string]bool) {
	if i.ID == "" {
		d.add("instance.id", "must be set")
	}
	if !halls[i.Hall] {
		d.add("instance.hall", "%q is not among the halls", i.Hall)
	}
}

// Seed is an instance known beforehand, to be found while the platform's list is away.
type Seed struct {
	ID      string         `json:"id"`
	Hall    string         `json:"hall"`
	Address netip.AddrPort `json:"address"`
}

func (s *Settings) checkSeeds(d *document, halls map[string]bool) {
	for i, seed := range s.Seeds {
		name := fmt.Sprintf("seeds[%d]", i)
		if seed.ID == "" || !seed.Address.IsValid() || !halls[seed.Hall] {
			d.add(name, "needs an id, a known hall and an address")
		}
	}
	if len(s.Halls) == 0 {
		d.add("halls", "must not be empty")
	}
}

// SeedInstances gives the seeds as instances.
func (s *Settings) SeedInstances() []fleet.Instance {
	out := make([]fleet.Instance, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		out = append(out, fleet.Instance{ID: seed.ID, Hall: seed.Hall, Address: seed.Address})
	}
	return out
}
