// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"fmt"
	"maps"
	"slices"
)

// applyAdapter applies a change of an adapter or of its versions.
func (c *Catalog) applyAdapter(ch Change) (Change, string) {
	a := c.Adapters[ch.Name]
	if ch.Kind == CreateAdapter {
		return c.createAdapter(a, ch)
	}
	if a == nil {
		return Change{}, "no such adapter"
	}
	if ch.Kind == RetireAdapter {
		if s := c.firstServiceUsing(ch.Name, 0); s != "" {
			return Change{}, fmt.Sprintf("service %q uses it", s)
		}
		delete(c.Adapters, ch.Name)
		return Change{Kind: CreateAdapter, Name: ch.Name, Adapter: a}, ""
	}
	next := *a
	next.Versions = append([]Version(nil), a.Versions...)
	inverse, reason := c.applyVersion(&next, ch)
	if reason == "" {
		c.Adapters[ch.Name] = &next
	}
	return inverse, reason
}

func (c *Catalog) createAdapter(existing *Adapter, ch Change) (Change, string) {
	if existing != nil {
		return Change{}, "it exists already"
	}
	if !validName(ch.Name) {
		return Change{}, "a name has 1 to 200 characters, letters, digits, and ._/-"
	}
	if c.Services[ch.Name] != nil {
		return Change{}, "a service has that name"
	}
	a := ch.Adapter
	if a == nil {
		if ch.Base == "" {
			return Change{}, "an adapter needs a base model"
		}
		a = &Adapter{Name: ch.Name, Base: ch.Base}
		if ch.Version > 0 {
			a.Live = ch.Version
			a.Versions = []Version{{Number: ch.Version, Source: ch.Source}}
		}
	}
	c.Adapters[ch.Name] = a
	return Change{Kind: RetireAdapter, Name: ch.Name}, ""
}

// applyVersion applies a change of one version to a, which must be a copy of the adapter.
func (c *Catalog) applyVersion(a *Adapter, ch Change) (Change, string) {
	index := -1
	for i, v := range a.Versions {
		if v.Number == ch.Version {
			index = i
		}
	}
	if ch.Kind == CreateVersion {
		if index >= 0 {
			return Change{}, "a version is never made twice"
		}
		if ch.Version < 1 {
			return Change{}, "a version is a number from 1"
		}
		a.Versions = append(a.Versions, Version{Number: ch.Version, Source: ch.Source})
		return Change{Kind: RemoveVersion, Name: ch.Name, Version: ch.Version}, ""
	}
	if ch.Kind == SetLive && ch.Version == 0 {
		// Version zero occurs only in an inverse change, for an adapter that had no live version before.
		inverse := Change{Kind: SetLive, Name: ch.Name, Version: a.Live}
		a.Live = 0
		return inverse, ""
	}
	if index < 0 {
		return Change{}, "no such version"
	}
	return c.applyExistingVersion(a, index, ch)
}

// applyExistingVersion applies a change of the existing version at the given index.
func (c *Catalog) applyExistingVersion(a *Adapter, index int, ch Change) (Change, string) {
	switch ch.Kind {
	case SetLive:
		if a.Versions[index].Retired {
			return Change{}, "the version is retired"
		}
		inverse := Change{Kind: SetLive, Name: ch.Name, Version: a.Live}
		a.Live = ch.Version
		return inverse, ""
	case RestoreVersion:
		if !a.Versions[index].Retired {
			return Change{}, "it is not retired"
		}
		a.Versions[index].Retired = false
		return Change{Kind: RetireVersion, Name: ch.Name, Version: ch.Version}, ""
	}
	if a.Live == ch.Version {
		return Change{}, "it is the live version"
	}
	if a.Versions[index].Retired {
		return Change{}, "it is retired already"
	}
	if s := c.firstServiceUsing(ch.Name, ch.Version); s != "" {
		return Change{}, fmt.Sprintf("service %q uses it", s)
	}
	// RemoveVersion, which occurs only in an inverse change, also retires the version. Its number remains in use, so that
	// adapter@version never refers to different weights.
	a.Versions[index].Retired = true
	return Change{Kind: RestoreVersion, Name: ch.Name, Version: ch.Version}, ""
}

// firstServiceUsing returns the first service, in order of name, that has a share of the adapter, or an empty string. A version other
// than zero restricts the search to shares of that version. The order makes the error of a rejected change deterministic.
func (c *Catalog) firstServiceUsing(adapter string, version int) string {
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		s := c.Services[name]
		for _, share := range s.Shares {
			if share.Adapter == adapter && (version == 0 || share.Version == version) {
				return name
			}
		}
	}
	return ""
}
