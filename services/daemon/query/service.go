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

// Options holds the dependencies and settings of a Service.
type Options struct {
	Self    fleet.Instance
	Classes []fleet.Class
	Catalog func() *catalog.Catalog
	// View calls read with the state of the control goroutine.
	View func(read func(now time.Time, n *node.Node))
	// AskPeer sends a question to a peer and returns its answer.
	AskPeer func(ctx context.Context, to netip.AddrPort, q peerlink.Question) (peerlink.Answer, error)
	Journal *journal.Journal
	// Timeout limits the wait for the parts of other instances.
	Timeout time.Duration
	Now     func() time.Time
}

// Service answers queries.
type Service struct {
	options Options
}

// New returns a service with the given options.
func New(o Options) *Service {
	return &Service{options: o}
}

// Part describes how complete and how old the rows of one hall are.
type Part struct {
	Hall string `json:"hall"`
	// Age is the longest time that a source of the hall took to answer.
	Age time.Duration `json:"age_ns"`
	// Silent reports whether the hall as a whole did not answer.
	Silent bool `json:"silent"`
	// Missing lists the instances of the hall that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// Result is the result of a query. Parts has an entry for each hall if the query covers the whole fleet.
type Result struct {
	Table table.Table `json:"table"`
	Parts []Part      `json:"parts"`
}

// Complete reports whether every hall and instance answered.
func (r Result) Complete() bool {
	for _, p := range r.Parts {
		if p.Silent || len(p.Missing) > 0 {
			return false
		}
	}
	return true
}

// Show answers a query. If the table is fleet-wide, the result includes the rows of all instances that answer in time.
func (s *Service) Show(ctx context.Context, q *language.Show) (Result, error) {
	all, parts, err := s.gatherTable(ctx, q.Table)
	if err != nil {
		return Result{}, err
	}
	out, err := Evaluate(q, all)
	if err != nil {
		return Result{}, err
	}
	return Result{Table: *out, Parts: parts}, nil
}
