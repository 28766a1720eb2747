// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"maps"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Version is one version of an adapter: an immutable set of weights.
type Version struct {
	Number  int    `json:"n"`
	Source  string `json:"s,omitempty"`
	Retired bool   `json:"r,omitempty"`
}

// Adapter is a LoRA adapter with its versions.
type Adapter struct {
	Name string `json:"name"`
	// Base is the base model.
	Base string `json:"base"`
	// Live is the number of the version that requests without a version get; zero means none.
	Live     int       `json:"live"`
	Versions []Version `json:"versions"`
}

// TotalPercent is the sum of the shares of a service, in percent.
const TotalPercent = 100

// Share is the part of a service's requests that one adapter version gets.
type Share struct {
	Adapter string `json:"adapter"`
	// Version is zero for the adapter's live version.
	Version int `json:"version,omitempty"`
	Percent int `json:"percent"`
}

// Service is a model name that distributes its requests over one or more adapter versions.
type Service struct {
	Name   string  `json:"name"`
	Shares []Share `json:"shares"`
}

// Budget limits the loads from the weight store: their rate and the number that can run at once at full speed.
type Budget struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	AtFullSpeed    int     `json:"at_full_speed"`
}

// Catalog is the complete operators' configuration at one revision.
type Catalog struct {
	Revision int64
	Adapters map[string]*Adapter
	Services map[string]*Service
	Rules    []Rule
	Classes  map[string]fleet.Class
	Pins     map[fleet.AdapterRef]bool
	Preloads map[fleet.AdapterRef]bool
	// Drained holds the names of drained endpoints and halls.
	Drained map[string]bool
	Budget  Budget
}

// New returns an empty catalog with revision zero.
func New() *Catalog {
	return &Catalog{
		Adapters: make(map[string]*Adapter),
		Services: make(map[string]*Service),
		Classes:  make(map[string]fleet.Class),
		Pins:     make(map[fleet.AdapterRef]bool),
		Preloads: make(map[fleet.AdapterRef]bool),
		Drained:  make(map[string]bool),
	}
}

// clone returns a copy of the catalog that shares the adapters and services. A change replaces them and does not modify them.
func (c *Catalog) clone() *Catalog {
	out := *c
	out.Adapters = maps.Clone(c.Adapters)
	out.Services = maps.Clone(c.Services)
	out.Rules = append([]Rule(nil), c.Rules...)
	out.Classes = maps.Clone(c.Classes)
	out.Pins = maps.Clone(c.Pins)
	out.Preloads = maps.Clone(c.Preloads)
	out.Drained = maps.Clone(c.Drained)
	return &out
}

// hasActiveVersion reports whether the adapter has the version and the version is not retired.
func (a *Adapter) hasActiveVersion(number int) bool {
	for _, v := range a.Versions {
		if v.Number == number && !v.Retired {
			return true
		}
	}
	return false
}

// Target is the adapter version that a model name resolves to.
type Target struct {
	Ref  fleet.AdapterRef
	Base string
	// Service is the name of the service through which the name was resolved, or empty.
	Service string
}

// Resolve returns the adapter version for a model name, which is adapter@version, an adapter or a service.
// draw is a number from 0 to 99 that selects one of a service's shares.
func (c *Catalog) Resolve(model string, draw int) (Target, error) {
	if ref, err := fleet.ParseAdapterRef(model); err == nil {
		return c.resolveVersion(ref)
	}
	if s, ok := c.Services[model]; ok {
		return c.resolveService(s, draw)
	}
	a, ok := c.Adapters[model]
	if !ok {
		return Target{}, ErrModelNotExist{Name: model}
	}
	return c.resolveVersion(fleet.AdapterRef{Name: model, Version: a.Live})
}

func (c *Catalog) resolveVersion(ref fleet.AdapterRef) (Target, error) {
	a, ok := c.Adapters[ref.Name]
	if !ok {
		return Target{}, ErrModelNotExist{Name: ref.Name}
	}
	if !a.hasActiveVersion(ref.Version) {
		return Target{}, ErrVersionNotExist{Ref: ref}
	}
	return Target{Ref: ref, Base: a.Base}, nil
}

func (c *Catalog) resolveService(s *Service, draw int) (Target, error) {
	sum := 0
	for _, share := range s.Shares {
		sum += share.Percent
		if draw >= sum {
			continue
		}
		version := share.Version
		if version == 0 && c.Adapters[share.Adapter] != nil {
			version = c.Adapters[share.Adapter].Live
		}
		t, err := c.resolveVersion(fleet.AdapterRef{Name: share.Adapter, Version: version})
		t.Service = s.Name
		return t, err
	}
	return Target{}, ErrModelNotExist{Name: s.Name}
}

// EffectiveClasses returns the classes of the settings and of the catalog; a class of the catalog replaces the one of the same name in the
// settings.
func (c *Catalog) EffectiveClasses(settings []fleet.Class) []fleet.Class {
	out := make([]fleet.Class, 0, len(settings)+len(c.Classes))
	for _, s := range settings {
		if _, ok := c.Classes[s.Name]; !ok {
			out = append(out, s)
		}
	}
	for _, s := range c.Classes {
		out = append(out, s)
	}
	return out
}

// MatchRule returns the first rule that matches the request at the given time and reports whether there is one.
func (c *Catalog) MatchRule(now time.Time, r fleet.Request) (Rule, bool) {
	for _, rule := range c.Rules {
		if rule.Matches(now, r) {
			return rule, true
		}
	}
	return Rule{}, false
}
