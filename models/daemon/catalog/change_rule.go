// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"fmt"
	"slices"
	"time"
)

// applyRule sets or retires a rule. Of an inverse, which puts a retired rule back, Version is the former position from 1.
func (c *Catalog) applyRule(ch Change) (Change, string) {
	at := -1
	for i, r := range c.Rules {
		if r.Name == ch.Name {
			at = i
		}
	}
	if ch.Kind == RetireRule {
		if at < 0 {
			return Change{}, "no such rule"
		}
		old := c.Rules[at]
		c.Rules = append(c.Rules[:at:at], c.Rules[at+1:]...)
		// The place matters, since the first rule that matches decides.
		return Change{Kind: SetRule, Name: ch.Name, Rule: &old, Version: at + 1}, ""
	}
	if ch.Rule == nil || !validName(ch.Name) {
		return Change{}, "the rule is empty or its name is not valid"
	}
	if _, err := time.LoadLocation(ch.Rule.Zone); err != nil {
		return Change{}, fmt.Sprintf("no time zone %q", ch.Rule.Zone)
	}
	if at < 0 {
		place := len(c.Rules)
		if ch.Version > 0 {
			place = min(place, ch.Version-1)
		}
		c.Rules = slices.Insert(c.Rules, place, *ch.Rule)
		return Change{Kind: RetireRule, Name: ch.Name}, ""
	}
	old := c.Rules[at]
	c.Rules[at] = *ch.Rule
	return Change{Kind: SetRule, Name: ch.Name, Rule: &old}, ""
}
