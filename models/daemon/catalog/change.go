// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// ChangeKind names what a change does.
type ChangeKind string

// The kinds of change.
const (
	CreateAdapter  ChangeKind = "create_adapter"
	RetireAdapter  ChangeKind = "retire_adapter"
	CreateVersion  ChangeKind = "create_version"
	RetireVersion  ChangeKind = "retire_version"
	RestoreVersion ChangeKind = "restore_version"
	RemoveVersion  ChangeKind = "remove_version"
	SetLive        ChangeKind = "set_live"
	SetService     ChangeKind = "set_service"
	RetireService  ChangeKind = "retire_service"
	SetRule        ChangeKind = "set_rule"
	RetireRule     ChangeKind = "retire_rule"
	SetClass       ChangeKind = "set_class"
	ResetClass     ChangeKind = "reset_class"
	SetPin         ChangeKind = "pin"
	ClearPin       ChangeKind = "unpin"
	SetPreload     ChangeKind = "preload"
	ClearPreload   ChangeKind = "unpreload"
	SetDrain       ChangeKind = "drain"
	ClearDrain     ChangeKind = "undrain"
	SetBudget      ChangeKind = "set_budget"
)

// Change is one step of a new revision; the kind tells which fields count.
type Change struct {
	Kind    ChangeKind   `json:"k"`
	Name    string       `json:"n,omitempty"`
	Base    string       `json:"b,omitempty"`
	Version int          `json:"v,omitempty"`
	Source  string       `json:"s,omitempty"`
	Adapter *Adapter     `json:"a,omitempty"`
	Shares  []Share      `json:"sh,omitempty"`
	Rule    *Rule        `json:"r,omitempty"`
	Class   *fleet.Class `json:"c,omitempty"`
	Budget  *Budget      `json:"bu,omitempty"`
}

// Record is one accepted set of changes, which made one revision.
type Record struct {
	ID       string    `json:"id"`
	Revision int64     `json:"revision"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Command  string    `json:"command"`
	Changes  []Change  `json:"changes"`
	// Inverse undoes the record, as a new change.
	Inverse []Change `json:"inverse"`
}

// Summary tells in a few words what the record changed.
func (r Record) Summary() string {
	if len(r.Changes) == 0 {
		return "nothing"
	}
	first := r.Changes[0]
	text := fmt.Sprintf("%s %s", strings.ReplaceAll(string(first.Kind), "_", " "), first.Name)
	if len(r.Changes) > 1 {
		text += fmt.Sprintf(" and %d more", len(r.Changes)-1)
	}
	return text
}

// Apply makes a new catalog at the given revision, all changes or none, and the changes that undo them.
func (c *Catalog) Apply(revision int64, changes []Change) (*Catalog, []Change, error) {
	out := c.clone()
	out.Revision = revision
	inverse := make([]Change, 0, len(changes))
	for i, ch := range changes {
		back, reason := out.apply(ch)
		if reason != "" {
			return nil, nil, ErrBadChange{Index: i, Kind: ch.Kind, Name: ch.Name, Reason: reason}
		}
		inverse = append(inverse, back)
	}
	for i, j := 0, len(inverse)-1; i < j; i, j = i+1, j-1 {
		inverse[i], inverse[j] = inverse[j], inverse[i]
	}
	return out, inverse, nil
}

// apply carries out one change on a catalog not yet published.
func (c *Catalog) apply(ch Change) (Change, string) {
	switch ch.Kind {
	case CreateAdapter, RetireAdapter, CreateVersion, RetireVersion, RestoreVersion, RemoveVersion, SetLive:
		return c.applyAdapter(ch)
	case SetService, RetireService:
		return c.applyService(ch)
	case SetRule, RetireRule:
		return c.applyRule(ch)
	case SetClass, ResetClass:
		return c.applyClass(ch)
	case SetPin, ClearPin:
		return c.applyMark(ch, c.Pins, SetPin, ClearPin)
	case SetPreload, ClearPreload:
		return c.applyMark(ch, c.Preloads, SetPreload, ClearPreload)
	case SetDrain, ClearDrain:
		return c.applyDrain(ch)
	case SetBudget:
		return c.applyBudget(ch)
	}
	return Change{}, "unknown kind of change"
}

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
	if ch.Kind == RemoveVersion {
		// The number stays taken, so that a name never means other weights.
		a.Versions[at].Retired = true
		return Change{Kind: RestoreVersion, Name: ch.Name, Version: ch.Version}, ""
	}
	a.Versions[at].Retired = true
	return Change{Kind: RestoreVersion, Name: ch.Name, Version: ch.Version}, ""
}

// serviceUsing finds a service that names the adapter, at the version if it is not zero.
func (c *Catalog) serviceUsing(adapter string, version int) string {
	for name, s := range c.Services {
		for _, share := range s.Shares {
			if share.Adapter == adapter && (version == 0 || share.Version == version) {
				return name
			}
		}
	}
	return ""
}

func (c *Catalog) applyService(ch Change) (Change, string) {
	old := c.Services[ch.Name]
	back := Change{Kind: RetireService, Name: ch.Name}
	if old != nil {
		back = Change{Kind: SetService, Name: ch.Name, Shares: old.Shares}
	}
	if ch.Kind == RetireService {
		if old == nil {
			return Change{}, "no such service"
		}
		delete(c.Services, ch.Name)
		return back, ""
	}
	if !validName(ch.Name) || c.Adapters[ch.Name] != nil {
		return Change{}, "the name is not valid or an adapter has it"
	}
	if reason := c.checkShares(ch.Shares); reason != "" {
		return Change{}, reason
	}
	c.Services[ch.Name] = &Service{Name: ch.Name, Shares: ch.Shares}
	return back, ""
}

func (c *Catalog) checkShares(shares []Share) string {
	sum := 0
	base := ""
	for _, s := range shares {
		a := c.Adapters[s.Adapter]
		if a == nil {
			return fmt.Sprintf("no adapter %q", s.Adapter)
		}
		if _, ok := a.version(s.Version); s.Version != 0 && !ok {
			return fmt.Sprintf("adapter %q has no version %d in service", s.Adapter, s.Version)
		}
		if base != "" && a.Base != base {
			return "the shares are on different base models"
		}
		base = a.Base
		sum += s.Percent
	}
	if sum != 100 {
		return fmt.Sprintf("the shares add up to %d percent, not 100", sum)
	}
	return ""
}

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

func (c *Catalog) applyClass(ch Change) (Change, string) {
	old, had := c.Classes[ch.Name]
	back := Change{Kind: ResetClass, Name: ch.Name}
	if had {
		back = Change{Kind: SetClass, Name: ch.Name, Class: &old}
	}
	if ch.Kind == ResetClass {
		delete(c.Classes, ch.Name)
		return back, ""
	}
	if ch.Class == nil || ch.Class.StallWeight < 0 || ch.Class.MaxQueuedTokens < 0 {
		return Change{}, "a class needs a stall weight and a queue limit of zero or more"
	}
	c.Classes[ch.Name] = *ch.Class
	return back, ""
}

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

func (c *Catalog) applyBudget(ch Change) (Change, string) {
	if ch.Budget == nil || ch.Budget.LoadsPerSecond < 0 || ch.Budget.AtFullSpeed < 0 {
		return Change{}, "a budget is loads a second and loads at once, zero or more"
	}
	old := c.Budget
	c.Budget = *ch.Budget
	return Change{Kind: SetBudget, Budget: &old}, ""
}

const maxNameLength = 200

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, r := range name {
		ok := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("._/-", r)
		if !ok {
			return false
		}
	}
	return true
}
