// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"fmt"
)

// applyService sets or retires a service. Its inverse restores the previous shares.
func (c *Catalog) applyService(ch Change) (Change, string) {
	old := c.Services[ch.Name]
	inverse := Change{Kind: RetireService, Name: ch.Name}
	if old != nil {
		inverse = Change{Kind: SetService, Name: ch.Name, Shares: old.Shares}
	}
	if ch.Kind == RetireService {
		if old == nil {
			return Change{}, "no such service"
		}
		delete(c.Services, ch.Name)
		return inverse, ""
	}
	if !validName(ch.Name) || c.Adapters[ch.Name] != nil {
		return Change{}, "the name is not valid or an adapter has it"
	}
	if reason := c.checkShares(ch.Shares); reason != "" {
		return Change{}, reason
	}
	c.Services[ch.Name] = &Service{Name: ch.Name, Shares: ch.Shares}
	return inverse, ""
}

// checkShares returns the reason why the shares are not valid for a service, or an empty string if they are valid.
func (c *Catalog) checkShares(shares []Share) string {
	sum := 0
	base := ""
	for _, s := range shares {
		a := c.Adapters[s.Adapter]
		if a == nil {
			return fmt.Sprintf("no adapter %q", s.Adapter)
		}
		if s.Version != 0 && !a.hasActiveVersion(s.Version) {
			return fmt.Sprintf("adapter %q has no version %d in service", s.Adapter, s.Version)
		}
		if base != "" && a.Base != base {
			return "the shares are on different base models"
		}
		base = a.Base
		sum += s.Percent
	}
	if sum != TotalPercent {
		return fmt.Sprintf("the shares add up to %d percent, not %d", sum, TotalPercent)
	}
	return ""
}
