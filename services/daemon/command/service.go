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

// Options holds the dependencies of a Service.
type Options struct {
	Store *configuration.Store
	// Current returns the configuration in force on this instance.
	Current func() *catalog.Catalog
	// ApplyRecords puts committed records in force on this instance.
	ApplyRecords func(r fleet.Records)
	// HallStates returns, for each hall, the revision in force and the age of that information.
	HallStates func() []HallState
	Now        func() time.Time
}

// HallState is the configuration revision in force in a hall, as last reported to this instance.
type HallState struct {
	Hall     string
	Revision int64
	// Age is the time since the last report of the hall.
	Age time.Duration
	// Silent reports whether the hall has stopped sending reports.
	Silent bool
}

// Service executes operators' commands.
type Service struct {
	options Options
}

// New returns a service with the given dependencies.
func New(o Options) *Service {
	return &Service{options: o}
}

// Request is a batch of commands that is committed as a whole or not at all.
type Request struct {
	// ID identifies the batch, so that a repeated request is committed only once.
	ID       string
	Operator string
	Text     string
	// Wait is how long to wait, at most, until the changes are in force in all halls.
	Wait    time.Duration
	Changes []*language.Change
}

// HallResult reports whether and after what time a change was in force in a hall.
type HallResult struct {
	Hall    string        `json:"hall"`
	InForce bool          `json:"in_force"`
	After   time.Duration `json:"after_ns"`
	Silent  bool          `json:"silent"`
}

// Result is the outcome of a batch.
type Result struct {
	Revision int64        `json:"revision"`
	ID       string       `json:"id"`
	DryRun   bool         `json:"dry_run"`
	Repeated bool         `json:"repeated"`
	Changes  []string     `json:"changes"`
	Halls    []HallResult `json:"halls"`
}

// InForce reports whether the change is in force in every hall.
func (r Result) InForce() bool {
	for _, h := range r.Halls {
		if !h.InForce {
			return false
		}
	}
	return true
}

// Execute commits a batch and waits until it is in force in every hall, but no longer than r.Wait. If any command of the
// batch is a dry run, Execute returns the changes without storing them.
func (s *Service) Execute(ctx context.Context, r Request) (Result, error) {
	began := s.options.Now()
	p, dry, err := s.buildProposal(ctx, r)
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
		s.options.ApplyRecords(fleet.Records{Head: c.Record.Revision, Records: [][]byte{c.Encoded}})
	}
	result := Result{Revision: c.Record.Revision, ID: p.ID, Repeated: c.Repeated, Changes: describeChanges(c.Record.Changes)}
	result.Halls = s.waitUntilInForce(ctx, c.Record.Revision, began, r.Wait)
	return result, nil
}

// buildProposal translates the commands of a request into a proposal and reports whether the request is a dry run.
func (s *Service) buildProposal(ctx context.Context, r Request) (configuration.Proposal, bool, error) {
	p := configuration.Proposal{ID: r.ID, Operator: r.Operator, Command: truncateCommand(r.Text)}
	t := translator{current: s.options.Current(), inverseOf: func(revision int64) ([]catalog.Change, error) { return s.inverseChanges(ctx, revision) }}
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

// maxCommandTextBytes is the maximum length of the command text that is stored with a record, in bytes.
const maxCommandTextBytes = 400

func truncateCommand(text string) string {
	if len(text) <= maxCommandTextBytes {
		return text
	}
	return text[:maxCommandTextBytes] + "..."
}

// inverseChanges returns the changes that undo a stored revision.
func (s *Service) inverseChanges(ctx context.Context, revision int64) ([]catalog.Change, error) {
	r, found, err := s.options.Store.Record(ctx, revision)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, ErrInvalidCommand{Reason: fmt.Sprintf("revision %d is not stored any more, or never was", revision)}
	}
	return r.Inverse, nil
}

func (s *Service) preview(ctx context.Context, p configuration.Proposal) (Result, error) {
	r, err := s.options.Store.Preview(ctx, p)
	if err != nil {
		return Result{}, err
	}
	return Result{Revision: r.Revision, ID: p.ID, DryRun: true, Changes: describeChanges(r.Changes)}, nil
}

const (
	// maxDescribedChanges is the maximum number of changes that a result describes individually.
	maxDescribedChanges = 50
	// hallPollInterval is the interval at which a waiting command reads the halls' revisions, which are in memory. A change is in
	// force in all halls after 264 ms (docs/design/0004-data-path.md).
	hallPollInterval = 10 * time.Millisecond
)

func describeChanges(changes []catalog.Change) []string {
	var out []string
	for i, c := range changes {
		if i == maxDescribedChanges {
			return append(out, fmt.Sprintf("and %d more", len(changes)-i))
		}
		out = append(out, Describe(c))
	}
	return out
}

// Describe returns a short description of a change for operators.
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

// waitUntilInForce polls the halls until the revision is in force in all of them, limit has passed since began, or ctx ends.
func (s *Service) waitUntilInForce(ctx context.Context, revision int64, began time.Time, limit time.Duration) []HallResult {
	after := make(map[string]time.Duration)
	for {
		states := s.options.HallStates()
		hallResults, all := s.hallResults(states, revision, began, after)
		if all || s.options.Now().Sub(began) >= limit {
			return hallResults
		}
		select {
		case <-ctx.Done():
			return hallResults
		case <-time.After(hallPollInterval):
		}
	}
}

// hallResults returns the result of each hall and reports whether the revision is in force in all of them. It records in after
// the time at which each hall was first seen with the revision in force.
func (s *Service) hallResults(states []HallState, revision int64, began time.Time, after map[string]time.Duration) ([]HallResult, bool) {
	all := true
	hallResults := make([]HallResult, 0, len(states))
	for _, h := range states {
		inForce := h.Revision >= revision
		if _, recorded := after[h.Hall]; inForce && !recorded {
			after[h.Hall] = s.options.Now().Sub(began)
		}
		all = all && inForce
		hallResults = append(hallResults, HallResult{Hall: h.Hall, InForce: inForce, After: after[h.Hall], Silent: h.Silent})
	}
	return hallResults, all
}
