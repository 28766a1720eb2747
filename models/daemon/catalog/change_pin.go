// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// applyPinOrPreload adds a version to marks, the pins or the preloads, or removes it from them.
func (c *Catalog) applyPinOrPreload(ch Change, marks map[fleet.AdapterRef]bool, set, unset ChangeKind) (Change, string) {
	ref := fleet.AdapterRef{Name: ch.Name, Version: ch.Version}
	if ch.Kind == unset {
		if !marks[ref] {
			return Change{}, "it has no such mark"
		}
		delete(marks, ref)
		return Change{Kind: set, Name: ch.Name, Version: ch.Version}, ""
	}
	if _, err := c.resolveVersion(ref); err != nil {
		return Change{}, "no such adapter and version in service"
	}
	if marks[ref] {
		return Change{}, "it has that mark already"
	}
	marks[ref] = true
	return Change{Kind: unset, Name: ch.Name, Version: ch.Version}, ""
}

// applyDrain starts or ends the drain of an endpoint or a hall. It accepts any name, since this instance may not know every endpoint.
func (c *Catalog) applyDrain(ch Change) (Change, string) {
	if ch.Kind == ClearDrain {
		if !c.Drained[ch.Name] {
			return Change{}, "it is not drained"
		}
		delete(c.Drained, ch.Name)
		return Change{Kind: SetDrain, Name: ch.Name}, ""
	}
	if c.Drained[ch.Name] {
		return Change{}, "it is drained already"
	}
	c.Drained[ch.Name] = true
	return Change{Kind: ClearDrain, Name: ch.Name}, ""
}
