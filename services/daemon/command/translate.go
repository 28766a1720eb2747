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

// ErrMeaning reports a command that is well formed and makes no sense.
type ErrMeaning struct {
	Reason string
}

// Error gives the reason.
func (e ErrMeaning) Error() string { return e.Reason }

// translator turns statements into changes; what the present configuration says is only read.
type translator struct {
	current *catalog.Catalog
	// undo finds the inverse of a revision.
	undo func(revision int64) ([]catalog.Change, error)
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
		return refChange(catalog.RestoreVersion, c.Restore)
	case c.Live != nil:
		return refChange(catalog.SetLive, c.Live)
	case c.Budget != nil:
		b := catalog.Budget{LoadsPerSecond: float64(*c.Budget.Rate), AtFullSpeed: int(*c.Budget.AtOnce)}
		return one(catalog.Change{Kind: catalog.SetBudget, Budget: &b})
	case c.Class != nil:
		return class(c.Class)
	case c.ResetClass != nil:
		return one(catalog.Change{Kind: catalog.ResetClass, Name: c.ResetClass.Text})
	case c.Roll != nil:
		return t.roll(c.Roll)
	case c.Undo != nil:
		return t.undo(int64(*c.Undo))
	}
	return t.mark(c)
}

func (t translator) mark(c *language.Change) ([]catalog.Change, error) {
	switch {
	case c.Pin != nil:
		return refChange(catalog.SetPin, c.Pin)
	case c.Unpin != nil:
		return refChange(catalog.ClearPin, c.Unpin)
	case c.Preload != nil:
		return refChange(catalog.SetPreload, c.Preload)
	case c.Unpreload != nil:
		return refChange(catalog.ClearPreload, c.Unpreload)
	case c.Drain != nil:
		return one(catalog.Change{Kind: catalog.SetDrain, Name: c.Drain.Endpoint + c.Drain.Hall})
	case c.Undrain != nil:
		return one(catalog.Change{Kind: catalog.ClearDrain, Name: c.Undrain.Endpoint + c.Undrain.Hall})
	}
	return nil, ErrMeaning{Reason: "the command is empty"}
}

func one(c catalog.Change) ([]catalog.Change, error) {
	return []catalog.Change{c}, nil
}

func refChange(kind catalog.ChangeKind, r *language.Ref) ([]catalog.Change, error) {
	ref, err := fleet.ParseAdapterRef(r.Text)
	if err != nil {
		return nil, ErrMeaning{Reason: fmt.Sprintf("column %d: %s", r.Pos.Column, err)}
	}
	return one(catalog.Change{Kind: kind, Name: ref.Name, Version: ref.Version})
}

func (t translator) create(c *language.Create) ([]catalog.Change, error) {
	switch {
	case c.Adapter != nil:
		return adapter(c.Adapter)
	case c.Version != nil:
		return version(c.Version)
	case c.Service != nil:
		if t.current.Services[c.Service.Name] != nil {
			return nil, ErrMeaning{Reason: fmt.Sprintf("service %q exists already; use change service", c.Service.Name)}
		}
		return service(c.Service)
	}
	for _, r := range t.current.Rules {
		if r.Name == c.Rule.Name {
			return nil, ErrMeaning{Reason: fmt.Sprintf("rule %q exists already; use change rule", c.Rule.Name)}
		}
	}
	return rule(c.Rule)
}

func (t translator) alter(c *language.Alter) ([]catalog.Change, error) {
	if c.Service != nil {
		if t.current.Services[c.Service.Name] == nil {
			return nil, ErrMeaning{Reason: fmt.Sprintf("no service %q", c.Service.Name)}
		}
		return service(c.Service)
	}
	for _, r := range t.current.Rules {
		if r.Name == c.Rule.Name {
			return rule(c.Rule)
		}
	}
	return nil, ErrMeaning{Reason: fmt.Sprintf("no rule %q", c.Rule.Name)}
}

func (t translator) retire(c *language.Retire) ([]catalog.Change, error) {
	switch {
	case c.Adapter != nil:
		return one(catalog.Change{Kind: catalog.RetireAdapter, Name: c.Adapter.Text})
	case c.Version != nil:
		return refChange(catalog.RetireVersion, c.Version)
	case c.Service != nil:
		return one(catalog.Change{Kind: catalog.RetireService, Name: c.Service.Text})
	}
	return one(catalog.Change{Kind: catalog.RetireRule, Name: c.Rule.Text})
}

func adapter(c *language.AdapterClause) ([]catalog.Change, error) {
	ch := catalog.Change{Kind: catalog.CreateAdapter, Name: c.Name, Base: c.Base, Source: c.Source}
	if c.Version != nil {
		ch.Version = int(*c.Version)
	}
	return one(ch)
}

func version(c *language.VersionClause) ([]catalog.Change, error) {
	changes, err := refChange(catalog.CreateVersion, c.Ref)
	if err != nil {
		return nil, err
	}
	changes[0].Source = c.Source
	if c.Live {
		changes = append(changes, catalog.Change{Kind: catalog.SetLive, Name: changes[0].Name, Version: changes[0].Version})
	}
	return changes, nil
}

func service(c *language.ServiceClause) ([]catalog.Change, error) {
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
	return one(catalog.Change{Kind: catalog.SetService, Name: c.Name, Shares: shares})
}

// roll gives the new version its share and leaves the rest where most of the service was.
func (t translator) roll(c *language.Roll) ([]catalog.Change, error) {
	if c.Back != nil {
		return t.rollBack(c.Back.Text)
	}
	s := t.current.Services[c.Service]
	if s == nil {
		return nil, ErrMeaning{Reason: fmt.Sprintf("no service %q", c.Service)}
	}
	ref, err := fleet.ParseAdapterRef(c.To.Text)
	if err != nil {
		return nil, ErrMeaning{Reason: fmt.Sprintf("column %d: %s", c.To.Pos.Column, err)}
	}
	percent := catalog.TotalPercent
	if c.Percent != nil {
		percent = int(*c.Percent)
	}
	if percent > catalog.TotalPercent {
		return nil, ErrMeaning{Reason: "a share is at most 100%"}
	}
	next := catalog.Share{Adapter: ref.Name, Version: ref.Version, Percent: percent}
	shares := []catalog.Share{next}
	if percent < catalog.TotalPercent {
		old, found := oldShare(s, next)
		if !found {
			return nil, ErrMeaning{Reason: "the service has no other version to keep the rest"}
		}
		old.Percent = catalog.TotalPercent - percent
		// The old version stays first, which is what rolling back returns to.
		shares = []catalog.Share{old, next}
	}
	return one(catalog.Change{Kind: catalog.SetService, Name: c.Service, Shares: shares})
}

func oldShare(s *catalog.Service, next catalog.Share) (catalog.Share, bool) {
	for _, share := range s.Shares {
		if share.Adapter != next.Adapter || share.Version != next.Version {
			return share, true
		}
	}
	return catalog.Share{}, false
}

func (t translator) rollBack(name string) ([]catalog.Change, error) {
	s := t.current.Services[name]
	if s == nil {
		return nil, ErrMeaning{Reason: fmt.Sprintf("no service %q", name)}
	}
	if len(s.Shares) <= 1 {
		return nil, ErrMeaning{Reason: fmt.Sprintf("service %q is not between two versions; use undo revision", name)}
	}
	old := s.Shares[0]
	old.Percent = catalog.TotalPercent
	return one(catalog.Change{Kind: catalog.SetService, Name: name, Shares: []catalog.Share{old}})
}

// class sets a class. The empty name is meant: it is the class of the requests that name none. The settings refuse it, since
// there it can't be told from a name that was left out.
func class(c *language.ClassClause) ([]catalog.Change, error) {
	f := fleet.Class{Name: c.Name, Priority: int(*c.Priority), StallWeight: float64(*c.Weight), Patient: c.Patient}
	if c.Queue != nil {
		f.MaxQueuedTokens = int(*c.Queue)
	}
	return one(catalog.Change{Kind: catalog.SetClass, Name: c.Name, Class: &f})
}

func rule(c *language.RuleClause) ([]catalog.Change, error) {
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
	return one(catalog.Change{Kind: catalog.SetRule, Name: c.Name, Rule: &r})
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

// minuteOfDay reads a time such as 08:30 as minutes after midnight; 24:00 ends a day.
func minuteOfDay(text string) (int, error) {
	// Without a colon the minutes are empty, which Atoi refuses below.
	h, m, _ := strings.Cut(text, ":")
	hour, errHour := strconv.Atoi(h)
	minute, errMinute := strconv.Atoi(m)
	if errHour != nil || errMinute != nil || hour > hoursPerDay || minute >= minutesPerHour {
		return 0, ErrMeaning{Reason: fmt.Sprintf("%q is no time of day", text)}
	}
	return hour*minutesPerHour + minute, nil
}
