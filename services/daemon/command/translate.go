// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package command

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/language"
)

// ErrInvalidCommand reports a command that is syntactically correct but invalid, such as one that names an unknown service.
type ErrInvalidCommand struct {
	Reason string
}

// Error returns the reason.
func (e ErrInvalidCommand) Error() string { return e.Reason }

// translator translates parsed commands into configuration changes. It reads the current configuration and does not modify it.
type translator struct {
	current *catalog.Catalog
	// inverseOf returns the changes that undo a revision.
	inverseOf func(revision int64) ([]catalog.Change, error)
}

func (t translator) translate(c *language.Change) ([]catalog.Change, error) {
	switch {
	case c.Create != nil:
		return t.create(c.Create)
	case c.Alter != nil:
		return t.alter(c.Alter)
	case c.Retire != nil:
		return t.retire(c.Retire)
	case c.Restore != nil:
		return adapterRefChange(catalog.RestoreVersion, c.Restore)
	case c.Live != nil:
		return adapterRefChange(catalog.SetLive, c.Live)
	case c.Budget != nil:
		b := catalog.Budget{LoadsPerSecond: float64(*c.Budget.Rate), AtFullSpeed: int(*c.Budget.AtOnce)}
		return singleChange(catalog.Change{Kind: catalog.SetBudget, Budget: &b})
	case c.Class != nil:
		return classChange(c.Class)
	case c.ResetClass != nil:
		return singleChange(catalog.Change{Kind: catalog.ResetClass, Name: c.ResetClass.Text})
	case c.Roll != nil:
		return t.roll(c.Roll)
	case c.Undo != nil:
		return t.inverseOf(int64(*c.Undo))
	}
	return t.translateMarker(c)
}

// translateMarker translates the commands that set or clear a marker: pins, preloads and drains.
func (t translator) translateMarker(c *language.Change) ([]catalog.Change, error) {
	switch {
	case c.Pin != nil:
		return adapterRefChange(catalog.SetPin, c.Pin)
	case c.Unpin != nil:
		return adapterRefChange(catalog.ClearPin, c.Unpin)
	case c.Preload != nil:
		return adapterRefChange(catalog.SetPreload, c.Preload)
	case c.Unpreload != nil:
		return adapterRefChange(catalog.ClearPreload, c.Unpreload)
	case c.Drain != nil:
		return singleChange(catalog.Change{Kind: catalog.SetDrain, Name: c.Drain.Endpoint + c.Drain.Hall})
	case c.Undrain != nil:
		return singleChange(catalog.Change{Kind: catalog.ClearDrain, Name: c.Undrain.Endpoint + c.Undrain.Hall})
	}
	return nil, ErrInvalidCommand{Reason: "the command is empty"}
}

func singleChange(c catalog.Change) ([]catalog.Change, error) {
	return []catalog.Change{c}, nil
}

func adapterRefChange(kind catalog.ChangeKind, r *language.Ref) ([]catalog.Change, error) {
	ref, err := fleet.ParseAdapterRef(r.Text)
	if err != nil {
		return nil, ErrInvalidCommand{Reason: fmt.Sprintf("column %d: %s", r.Pos.Column, err)}
	}
	return singleChange(catalog.Change{Kind: kind, Name: ref.Name, Version: ref.Version})
}

func (t translator) create(c *language.Create) ([]catalog.Change, error) {
	switch {
	case c.Adapter != nil:
		return adapterChange(c.Adapter)
	case c.Version != nil:
		return versionChanges(c.Version)
	case c.Service != nil:
		if t.current.Services[c.Service.Name] != nil {
			return nil, ErrInvalidCommand{Reason: fmt.Sprintf("service %q exists already; use change service", c.Service.Name)}
		}
		return serviceChange(c.Service)
	}
	for _, r := range t.current.Rules {
		if r.Name == c.Rule.Name {
			return nil, ErrInvalidCommand{Reason: fmt.Sprintf("rule %q exists already; use change rule", c.Rule.Name)}
		}
	}
	return ruleChange(c.Rule)
}

func (t translator) alter(c *language.Alter) ([]catalog.Change, error) {
	if c.Service != nil {
		if t.current.Services[c.Service.Name] == nil {
			return nil, ErrInvalidCommand{Reason: fmt.Sprintf("no service %q", c.Service.Name)}
		}
		return serviceChange(c.Service)
	}
	for _, r := range t.current.Rules {
		if r.Name == c.Rule.Name {
			return ruleChange(c.Rule)
		}
	}
	return nil, ErrInvalidCommand{Reason: fmt.Sprintf("no rule %q", c.Rule.Name)}
}

func (t translator) retire(c *language.Retire) ([]catalog.Change, error) {
	switch {
	case c.Adapter != nil:
		return singleChange(catalog.Change{Kind: catalog.RetireAdapter, Name: c.Adapter.Text})
	case c.Version != nil:
		return adapterRefChange(catalog.RetireVersion, c.Version)
	case c.Service != nil:
		return singleChange(catalog.Change{Kind: catalog.RetireService, Name: c.Service.Text})
	}
	return singleChange(catalog.Change{Kind: catalog.RetireRule, Name: c.Rule.Text})
}

func adapterChange(c *language.AdapterClause) ([]catalog.Change, error) {
	ch := catalog.Change{Kind: catalog.CreateAdapter, Name: c.Name, Base: c.Base, Source: c.Source}
	if c.Version != nil {
		ch.Version = int(*c.Version)
	}
	return singleChange(ch)
}

func versionChanges(c *language.VersionClause) ([]catalog.Change, error) {
	changes, err := adapterRefChange(catalog.CreateVersion, c.Ref)
	if err != nil {
		return nil, err
	}
	changes[0].Source = c.Source
	if c.Live {
		changes = append(changes, catalog.Change{Kind: catalog.SetLive, Name: changes[0].Name, Version: changes[0].Version})
	}
	return changes, nil
}

func serviceChange(c *language.ServiceClause) ([]catalog.Change, error) {
	var shares []catalog.Share
	for _, s := range c.Shares {
		share := catalog.Share{Adapter: s.Adapter, Percent: catalog.TotalPercent}
		if ref, err := fleet.ParseAdapterRef(s.Adapter); err == nil {
			share.Adapter, share.Version = ref.Name, ref.Version
		}
		if s.Percent != nil {
			share.Percent = int(*s.Percent)
		}
		shares = append(shares, share)
	}
	return singleChange(catalog.Change{Kind: catalog.SetService, Name: c.Name, Shares: shares})
}

// roll assigns the requested share of a service to the new version and the remaining share to the first other version of the
// service.
func (t translator) roll(c *language.Roll) ([]catalog.Change, error) {
	if c.Back != nil {
		return t.rollBack(c.Back.Text)
	}
	s := t.current.Services[c.Service]
	if s == nil {
		return nil, ErrInvalidCommand{Reason: fmt.Sprintf("no service %q", c.Service)}
	}
	ref, err := fleet.ParseAdapterRef(c.To.Text)
	if err != nil {
		return nil, ErrInvalidCommand{Reason: fmt.Sprintf("column %d: %s", c.To.Pos.Column, err)}
	}
	percent := catalog.TotalPercent
	if c.Percent != nil {
		percent = int(*c.Percent)
	}
	if percent > catalog.TotalPercent {
		return nil, ErrInvalidCommand{Reason: "a share is at most 100%"}
	}
	next := catalog.Share{Adapter: ref.Name, Version: ref.Version, Percent: percent}
	shares := []catalog.Share{next}
	if percent < catalog.TotalPercent {
		old, found := previousShare(s, next)
		if !found {
			return nil, ErrInvalidCommand{Reason: "the service has no other version to keep the rest"}
		}
		old.Percent = catalog.TotalPercent - percent
		// The old version must come first, because rollBack returns to the first share.
		shares = []catalog.Share{old, next}
	}
	return singleChange(catalog.Change{Kind: catalog.SetService, Name: c.Service, Shares: shares})
}

// previousShare returns the first share of the service whose adapter or version differs from that of next.
func previousShare(s *catalog.Service, next catalog.Share) (catalog.Share, bool) {
	for _, share := range s.Shares {
		if share.Adapter != next.Adapter || share.Version != next.Version {
			return share, true
		}
	}
	return catalog.Share{}, false
}

// rollBack assigns the whole service to its first share, which is the version before the last roll.
func (t translator) rollBack(name string) ([]catalog.Change, error) {
	s := t.current.Services[name]
	if s == nil {
		return nil, ErrInvalidCommand{Reason: fmt.Sprintf("no service %q", name)}
	}
	if len(s.Shares) <= 1 {
		return nil, ErrInvalidCommand{Reason: fmt.Sprintf("service %q is not between two versions; use undo revision", name)}
	}
	old := s.Shares[0]
	old.Percent = catalog.TotalPercent
	return singleChange(catalog.Change{Kind: catalog.SetService, Name: name, Shares: []catalog.Share{old}})
}

// classChange translates a command that sets a class. An empty name is valid: it denotes the class of requests that name no
// class. The settings file does not accept the empty name, because there it cannot be distinguished from an omitted name.
func classChange(c *language.ClassClause) ([]catalog.Change, error) {
	f := fleet.Class{Name: c.Name, Priority: int(*c.Priority), StallWeight: float64(*c.Weight), Patient: c.Patient}
	if c.Queue != nil {
		f.MaxQueuedTokens = int(*c.Queue)
	}
	return singleChange(catalog.Change{Kind: catalog.SetClass, Name: c.Name, Class: &f})
}

func ruleChange(c *language.RuleClause) ([]catalog.Change, error) {
	r := catalog.Rule{Name: c.Name}
	for _, condition := range c.Conditions {
		setCondition(&r, condition)
	}
	if c.Window != nil {
		if err := setWindow(&r, c.Window); err != nil {
			return nil, err
		}
	}
	for _, a := range c.Actions {
		r.Halls = append(r.Halls, a.Halls...)
		r.Refuse = r.Refuse || a.Refuse
		if a.Priority != nil {
			r.Priority = int(*a.Priority)
		}
	}
	return singleChange(catalog.Change{Kind: catalog.SetRule, Name: c.Name, Rule: &r})
}

func setCondition(r *catalog.Rule, c *language.RuleCondition) {
	switch strings.ToLower(c.Field) {
	case "class":
		r.Class = c.Pattern
	case "caller":
		r.Caller = c.Pattern
	case "base":
		r.Base = c.Pattern
	case "adapter":
		r.Adapter = c.Pattern
	case "hall":
		r.Hall = c.Pattern
	}
}

func setWindow(r *catalog.Rule, w *language.Window) error {
	from, err := minuteOfDay(w.From)
	if err != nil {
		return err
	}
	to, err := minuteOfDay(w.To)
	if err != nil {
		return err
	}
	r.From, r.To, r.Zone = from, to, w.Zone
	return nil
}

const (
	hoursPerDay    = 24
	minutesPerHour = 60
)

// minuteOfDay parses a time of day such as 08:30 and returns the minutes since midnight; 24:00 is the end of the day.
func minuteOfDay(text string) (int, error) {
	// If the text has no colon, m is empty and Atoi below returns an error.
	h, m, _ := strings.Cut(text, ":")
	hour, errHour := strconv.Atoi(h)
	minute, errMinute := strconv.Atoi(m)
	if errHour != nil || errMinute != nil || hour > hoursPerDay || minute >= minutesPerHour {
		return 0, ErrInvalidCommand{Reason: fmt.Sprintf("%q is no time of day", text)}
	}
	return hour*minutesPerHour + minute, nil
}
