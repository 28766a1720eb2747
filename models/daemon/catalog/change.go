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

// ChangeKind is the kind of a change.
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

// Change is one change of a revision; Kind determines which of the other fields are used.
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

// Record is a set of changes that was accepted as one revision.
type Record struct {
	ID       string    `json:"id"`
	Revision int64     `json:"revision"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Command  string    `json:"command"`
	Changes  []Change  `json:"changes"`
	// Inverse holds the changes that undo the record when they are applied as a new revision.
	Inverse []Change `json:"inverse"`
}

// Summary returns a short description of the changes.
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

// Apply returns a new catalog with the changes applied and the given revision, and the changes that undo them. If one change is not
// allowed, Apply returns ErrBadChange and applies none.
func (c *Catalog) Apply(revision int64, changes []Change) (*Catalog, []Change, error) {
	out := c.clone()
	out.Revision = revision
	inverse := make([]Change, 0, len(changes))
	for i, ch := range changes {
		undo, reason := out.apply(ch)
		if reason != "" {
			return nil, nil, ErrBadChange{Index: i, Kind: ch.Kind, Name: ch.Name, Reason: reason}
		}
		inverse = append(inverse, undo)
	}
	slices.Reverse(inverse)
	return out, inverse, nil
}

// apply applies one change in place, to a catalog that is not published yet. It returns the inverse of the change, or the reason why
// the change is not allowed.
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
		return c.applyPinOrPreload(ch, c.Pins, SetPin, ClearPin)
	case SetPreload, ClearPreload:
		return c.applyPinOrPreload(ch, c.Preloads, SetPreload, ClearPreload)
	case SetDrain, ClearDrain:
		return c.applyDrain(ch)
	case SetBudget:
		return c.applyBudget(ch)
	}
	return Change{}, "unknown kind of change"
}
