// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package command

import (
	"context"
	"fmt"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/language"
	"github.com/shelfledge/shelfledge/services/daemon/configuration"
)

// Options are what the service works with.
type Options struct {
	Store *configuration.Store
	// Current gives the configuration in force here, Offer puts an accepted record in force here.
	Current func() *catalog.Catalog
	Offer   func(r fleet.Records)
	// Halls gives each hall's revision in force, with its age.
	Halls func() []HallState
	Now   func() time.Time
}

// HallState is a hall's revision in force as known here.
type HallState struct {
	Hall     string
	Revision int64
	Age      time.Duration
	Silent   bool
}

// Service carries out commands.
type Service struct {
	options Options
}

// New makes a service.
func New(o Options) *Service {
	return &Service{options: o}
}

// Request is one batch of commands, all or none.
type Request struct {
	ID       string
	Operator string
	Text     string
	Wait     time.Duration
	Changes  []*language.Change
}

// HallResult tells whether a change is in force in a hall.
type HallResult struct {
	Hall    string        `json:"hall"`
	InForce bool          `json:"in_force"`
	After   time.Duration `json:"after_ns"`
	Silent  bool          `json:"silent"`
}

// Result is what became of a batch.
type Result struct {
	Revision int64        `json:"revision"`
	ID       string       `json:"id"`
	DryRun   bool         `json:"dry_run"`
	Repeated bool         `json:"repeated"`
	Changes  []string     `json:"changes"`
	Halls    []HallResult `json:"halls"`
}

// InForce tells whether the change is in force in every hall.
func (r Result) InForce() bool {
	for _, h := range r.Halls {
		if !h.InForce {
			return false
		}
	}
	return true
}

// Execute commits a batch and waits, up to its limit, until it is in force in every hall.
func (s *Service) Execute(ctx context.Context, r Request) (Result, error) {
	began := s.options.Now()
	p, dry, err := s.propose(ctx, r)
	if err != nil {
		return Result{}, err
	}
	if dry {
		return s.preview(ctx, p)
	}
	c, err := s.options.Store.Commit(ctx, p)
	if err != nil {
		return Result{}, err
	}
	if !c.Repeated {
		s.options.Offer(fleet.Records{Head: c.Record.Revision, Records: [][]byte{c.Encoded}})
	}
	result := Result{Revision: c.Record.Revision, ID: p.ID, Repeated: c.Repeated, Changes: describe(c.Record.Changes)}
	result.Halls = s.wait(ctx, c.Record.Revision, began, r.Wait)
	return result, nil
}

func (s *Service) propose(ctx context.Context, r Request) (configuration.Proposal, bool, error) {
	p := configuration.Proposal{ID: r.ID, Operator: r.Operator, Command: shorten(r.Text)}
	t := translator{current: s.options.Current(), undo: func(revision int64) ([]catalog.Change, error) { return s.inverse(ctx, revision) }}
	dry := false
	for _, c := range r.Changes {
		changes, err := t.translate(c)
		if err != nil {
			return p, false, err
		}
		p.Changes = append(p.Changes, changes...)
		dry = dry || c.DryRun
		if c.IfRevision != nil {
			p.BasedOn = int64(*c.IfRevision)
		}
	}
	return p, dry, nil
}

// maxCommandText bounds a command's text as it is stored with the record, in bytes.
const maxCommandText = 400

func shorten(text string) string {
	if len(text) <= maxCommandText {
		return text
	}
	return text[:maxCommandText] + "..."
}

func (s *Service) inverse(ctx context.Context, revision int64) ([]catalog.Change, error) {
	r, found, err := s.options.Store.Record(ctx, revision)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, ErrMeaning{Reason: fmt.Sprintf("revision %d is not stored any more, or never was", revision)}
	}
	return r.Inverse, nil
}

func (s *Service) preview(ctx context.Context, p configuration.Proposal) (Result, error) {
	r, err := s.options.Store.Preview(ctx, p)
	if err != nil {
		return Result{}, err
	}
	return Result{Revision: r.Revision, ID: p.ID, DryRun: true, Changes: describe(r.Changes)}, nil
}

const (
	// maxDescribed bounds the changes that an answer describes one by one.
	maxDescribed = 50
	// waitPoll is how often the halls' revisions are looked at, in memory, while a command waits; a change is in force
	// everywhere after 264 ms (docs/design/0004-data-path.md). Not varied.
	waitPoll = 10 * time.Millisecond
)

func describe(changes []catalog.Change) []string {
	var out []string
	for i, c := range changes {
		if i == maxDescribed {
			return append(out, fmt.Sprintf("and %d more", len(changes)-i))
		}
		out = append(out, Describe(c))
	}
	return out
}

// Describe tells a change in plain words.
func Describe(c catalog.Change) string {
	name := c.Name
	if c.Version > 0 {
		name = fleet.AdapterRef{Name: c.Name, Version: c.Version}.String()
	}
	switch c.Kind {
	case catalog.CreateAdapter:
		return fmt.Sprintf("create adapter %s", name)
	case catalog.SetService:
		text := "service " + name + " becomes"
		for _, s := range c.Shares {
			text += fmt.Sprintf(" %s@%d %d%%", s.Adapter, s.Version, s.Percent)
		}
		return text
	case catalog.SetBudget:
		return fmt.Sprintf("budget becomes %g loads a second, %d at once", c.Budget.LoadsPerSecond, c.Budget.AtFullSpeed)
	}
	return fmt.Sprintf("%s %s", c.Kind, name)
}

// wait looks until every hall has the revision in force or the time is up.
func (s *Service) wait(ctx context.Context, revision int64, began time.Time, limit time.Duration) []HallResult {
	after := make(map[string]time.Duration)
	for {
		states := s.options.Halls()
		results, all := s.results(states, revision, began, after)
		if all || s.options.Now().Sub(began) >= limit {
			return results
		}
		select {
		case <-ctx.Done():
			return results
		case <-time.After(waitPoll):
		}
	}
}

func (s *Service) results(states []HallState, revision int64, began time.Time, after map[string]time.Duration) ([]HallResult, bool) {
	all := true
	results := make([]HallResult, 0, len(states))
	for _, h := range states {
		in := h.Revision >= revision
		if _, known := after[h.Hall]; in && !known {
			after[h.Hall] = s.options.Now().Sub(began)
		}
		all = all && in
		results = append(results, HallResult{Hall: h.Hall, InForce: in, After: after[h.Hall], Silent: h.Silent})
	}
	return results, all
}
