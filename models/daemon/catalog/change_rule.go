// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"fmt"
	"slices"
	"time"
)

// applyRule sets or retires a rule. In an inverse change that restores a retired rule, Version is the previous position of the rule,
// counted from 1.
func (c *Catalog) applyRule(ch Change) (Change, string) {
	index := -1
	for i, r := range c.Rules {
		if r.Name == ch.Name {
			index = i
		}
	}
	if ch.Kind == RetireRule {
		if index < 0 {
			return Change{}, "no such rule"
		}
		old := c.Rules[index]
		c.Rules = append(c.Rules[:index:index], c.Rules[index+1:]...)
		// The inverse keeps the position, since the first rule that matches applies.
		return Change{Kind: SetRule, Name: ch.Name, Rule: &old, Version: index + 1}, ""
	}
	if ch.Rule == nil || !validName(ch.Name) {
		return Change{}, "the rule is empty or its name is not valid"
	}
	if _, err := time.LoadLocation(ch.Rule.Zone); err != nil {
		return Change{}, fmt.Sprintf("no time zone %q", ch.Rule.Zone)
	}
	if index < 0 {
		position := len(c.Rules)
		if ch.Version > 0 {
			position = min(position, ch.Version-1)
		}
		c.Rules = slices.Insert(c.Rules, position, *ch.Rule)
		return Change{Kind: RetireRule, Name: ch.Name}, ""
	}
	old := c.Rules[index]
	c.Rules[index] = *ch.Rule
	return Change{Kind: SetRule, Name: ch.Name, Rule: &old}, ""
}
