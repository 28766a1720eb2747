// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

// applyClass overrides a class of the settings, or removes the override.
func (c *Catalog) applyClass(ch Change) (Change, string) {
	old, had := c.Classes[ch.Name]
	inverse := Change{Kind: ResetClass, Name: ch.Name}
	if had {
		inverse = Change{Kind: SetClass, Name: ch.Name, Class: &old}
	}
	if ch.Kind == ResetClass {
		delete(c.Classes, ch.Name)
		return inverse, ""
	}
	if ch.Class == nil || ch.Class.StallWeight < 0 || ch.Class.MaxQueuedTokens < 0 {
		return Change{}, "a class needs a stall weight and a queue limit of zero or more"
	}
	c.Classes[ch.Name] = *ch.Class
	return inverse, ""
}

// applyBudget sets the budget of the weight store. Its inverse restores the previous budget.
func (c *Catalog) applyBudget(ch Change) (Change, string) {
	if ch.Budget == nil || ch.Budget.LoadsPerSecond < 0 || ch.Budget.AtFullSpeed < 0 {
		return Change{}, "a budget is loads a second and loads at once, zero or more"
	}
	old := c.Budget
	c.Budget = *ch.Budget
	return Change{Kind: SetBudget, Budget: &old}, ""
}
