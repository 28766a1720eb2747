// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Class is one service class.
type Class struct {
	Name            string  `json:"name"`
	Priority        int     `json:"priority"`
	StallWeight     float64 `json:"stall_weight"`
	Patient         bool    `json:"patient"`
	MaxQueuedTokens int     `json:"max_queued_tokens"`
}

func (s *Settings) checkClasses(d *document) {
	seen := make(map[string]bool)
	for i, c := range s.Classes {
		name := fmt.Sprintf("classes[%d]", i)
		if c.Name == "" || seen[c.Name] {
			d.add(name+".name", "missing or given twice")
		}
		seen[c.Name] = true
		if c.StallWeight < 0 {
			d.add(name+".stall_weight", "must be 0 or more")
		}
		if c.MaxQueuedTokens < 0 {
			d.add(name+".max_queued_tokens", "must be 0 or more")
		}
	}
}

// FleetClasses gives the classes in the form that decisions use.
func (s *Settings) FleetClasses() []fleet.Class {
	out := make([]fleet.Class, 0, len(s.Classes))
	for _, c := range s.Classes {
		out = append(out, fleet.Class(c))
	}
	return out
}
