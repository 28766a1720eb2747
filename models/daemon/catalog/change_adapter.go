// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"fmt"
	"maps"
	"slices"
)

// applyAdapter carries out the changes of an adapter and its versions.
func (c *Catalog) applyAdapter(ch Change) (Change, string) {
	a := c.Adapters[ch.Name]
	if ch.Kind == CreateAdapter {
		return c.createAdapter(a, ch)
	}
	if a == nil {
		return Change{}, "no such adapter"
	}
	if ch.Kind == RetireAdapter {
		if s := c.serviceUsing(ch.Name, 0); s != "" {
			return Change{}, fmt.Sprintf("service %q uses it", s)
		}
		delete(c.Adapters, ch.Name)
		return Change{Kind: CreateAdapter, Name: ch.Name, Adapter: a}, ""
	}
	next := *a
	next.Versions = append([]Version(nil), a.Versions...)
	back, reason := c.applyVersion(&next, ch)
	if reason == "" {
		c.Adapters[ch.Name] = &next
	}
	return back, reason
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

// applyVersion carries out the changes of one version on a copy of the adapter.
func (c *Catalog) applyVersion(a *Adapter, ch Change) (Change, string) {
	at := -1
	for i, v := range a.Versions {
		if v.Number == ch.Version {
			at = i
		}
	}
	if ch.Kind == CreateVersion {
		if at >= 0 {
			return Change{}, "a version is never made twice"
		}
		if ch.Version < 1 {
			return Change{}, "a version is a number from 1"
		}
		a.Versions = append(a.Versions, Version{Number: ch.Version, Source: ch.Source})
		return Change{Kind: RemoveVersion, Name: ch.Name, Version: ch.Version}, ""
	}
	if ch.Kind == SetLive && ch.Version == 0 {
		// Only an inverse says so: the adapter had no live version before.
		back := Change{Kind: SetLive, Name: ch.Name, Version: a.Live}
		a.Live = 0
		return back, ""
	}
	if at < 0 {
		return Change{}, "no such version"
	}
	return c.changeVersion(a, at, ch)
}

// changeVersion carries out the changes of a version that the adapter has.
func (c *Catalog) changeVersion(a *Adapter, at int, ch Change) (Change, string) {
	switch ch.Kind {
	case SetLive:
		if a.Versions[at].Retired {
			return Change{}, "the version is retired"
		}
		back := Change{Kind: SetLive, Name: ch.Name, Version: a.Live}
		a.Live = ch.Version
		return back, ""
	case RestoreVersion:
		if !a.Versions[at].Retired {
			return Change{}, "it is not retired"
		}
		a.Versions[at].Retired = false
		return Change{Kind: RetireVersion, Name: ch.Name, Version: ch.Version}, ""
	}
	if a.Live == ch.Version {
		return Change{}, "it is the live version"
	}
	if a.Versions[at].Retired {
		return Change{}, "it is retired already"
	}
	if s := c.serviceUsing(ch.Name, ch.Version); s != "" {
		return Change{}, fmt.Sprintf("service %q uses it", s)
	}
	// A removed version, which only an inverse asks for, is retired too: its number stays taken, so that a name never
	// means other weights.
	a.Versions[at].Retired = true
	return Change{Kind: RestoreVersion, Name: ch.Name, Version: ch.Version}, ""
}

// serviceUsing finds the first service by name that names the adapter, at the version if it is not zero, so that the same refusal names
// the same service each time.
func (c *Catalog) serviceUsing(adapter string, version int) string {
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
