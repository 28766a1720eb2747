// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package query

import (
	"context"
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/models/daemon/table"
	"github.com/shelfledge/shelfledge/modules/daemon/language"
	"github.com/shelfledge/shelfledge/modules/daemon/peerlink"
	"github.com/shelfledge/shelfledge/services/daemon/journal"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// Options are what the service works with.
type Options struct {
	Self    fleet.Instance
	Classes []fleet.Class
	Catalog func() *catalog.Catalog
	View    func(read func(now time.Time, n *node.Node))
	Ask     func(ctx context.Context, to netip.AddrPort, q peerlink.Question) (peerlink.Answer, error)
	Journal *journal.Journal
	// Timeout bounds the wait for other instances' parts.
	Timeout time.Duration
	Now     func() time.Time
}

// Service answers queries.
type Service struct {
	options Options
}

// New makes a service.
func New(o Options) *Service {
	return &Service{options: o}
}

// Part tells how one hall's part of an answer came about.
type Part struct {
	Hall   string        `json:"hall"`
	Age    time.Duration `json:"age_ns"`
	Silent bool          `json:"silent"`
	// Missing names instances of the hall that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// Result is an answer with the account of its parts.
type Result struct {
	Table table.Table `json:"table"`
	Parts []Part      `json:"parts"`
}

// Complete tells whether every hall and instance answered.
func (r Result) Complete() bool {
	for _, p := range r.Parts {
		if p.Silent || len(p.Missing) > 0 {
			return false
		}
	}
	return true
}

// Show answers a query, for the whole fleet where the table is made of every instance's part.
func (s *Service) Show(ctx context.Context, q *language.Show) (Result, error) {
	all, parts, err := s.gather(ctx, q.Table)
	if err != nil {
		return Result{}, err
	}
	out, err := Evaluate(q, all)
	if err != nil {
		return Result{}, err
	}
	return Result{Table: *out, Parts: parts}, nil
}
