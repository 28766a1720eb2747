// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"maps"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// Version is one immutable set of weights of an adapter.
type Version struct {
	Number  int    `json:"n"`
	Source  string `json:"s,omitempty"`
	Retired bool   `json:"r,omitempty"`
}

// Adapter is one LoRA adapter with its versions.
type Adapter struct {
	Name     string    `json:"name"`
	Base     string    `json:"base"`
	Live     int       `json:"live"`
	Versions []Version `json:"versions"`
}

// WholePercent is what the shares of a service add up to, in percent.
const WholePercent = 100

// Share is one adapter version's part of a service's requests, in percent.
type Share struct {
	Adapter string `json:"adapter"`
	// Version zero means the adapter's live version.
	Version int `json:"version,omitempty"`
	Percent int `json:"percent"`
}

// Service is a name for callers that stands for one or more adapter versions.
type Service struct {
	Name   string  `json:"name"`
	Shares []Share `json:"shares"`
}

// Budget is the weight store's rate, in loads a second and loads at once at full speed.
type Budget struct {
	LoadsPerSecond float64 `json:"loads_per_second"`
	AtFullSpeed    int     `json:"at_full_speed"`
}

// Catalog is the whole configuration at one revision.
type Catalog struct {
	Revision int64
	Adapters map[string]*Adapter
	Services map[string]*Service
	Rules    []Rule
	Classes  map[string]fleet.Class
	Pins     map[fleet.AdapterRef]bool
	Preloads map[fleet.AdapterRef]bool
	Drained  map[string]bool
	Budget   Budget
}

// New gives the empty configuration, revision zero.
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

// clone copies the catalog; adapters and services are shared until replaced.
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

// inService tells whether the adapter has the version and it is not retired.
func (a *Adapter) inService(number int) bool {
	for _, v := range a.Versions {
		if v.Number == number && !v.Retired {
			return true
		}
	}
	return false
}

// Target is what a caller's model name stands for.
type Target struct {
	Ref     fleet.AdapterRef
	Base    string
	Service string
}

// Resolve turns adapter@version, adapter or a service into one adapter version;
// draw, from 0 to 99, picks among a service's shares.
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
	if !a.inService(ref.Version) {
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

// ClassList gives the classes of the catalog laid over those of the settings.
func (c *Catalog) ClassList(settings []fleet.Class) []fleet.Class {
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

// Decide applies the first rule that matches the request.
func (c *Catalog) Decide(now time.Time, r fleet.Request) (Rule, bool) {
	for _, rule := range c.Rules {
		if rule.Matches(now, r) {
			return rule, true
		}
	}
	return Rule{}, false
}
