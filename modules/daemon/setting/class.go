// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting

import (
	"fmt"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Class holds the settings of a service class.
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
			d.addProblem(name+".name", "missing or given twice")
		}
		seen[c.Name] = true
		if c.StallWeight < 0 {
			d.addProblem(name+".stall_weight", "must be 0 or more")
		}
		if c.MaxQueuedTokens < 0 {
			d.addProblem(name+".max_queued_tokens", "must be 0 or more")
		}
	}
}

// FleetClasses returns the classes as values of package fleet.
func (s *Settings) FleetClasses() []fleet.Class {
	out := make([]fleet.Class, 0, len(s.Classes))
	for _, c := range s.Classes {
		out = append(out, fleet.Class(c))
	}
	return out
}
