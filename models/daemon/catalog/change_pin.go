// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// applyMark pins or preloads a version, or takes the mark away.
func (c *Catalog) applyMark(ch Change, marks map[fleet.AdapterRef]bool, set, unset ChangeKind) (Change, string) {
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

// applyDrain drains an endpoint or a hall, or ends that; the name may be one that is not known here.
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
