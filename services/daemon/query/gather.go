// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package query

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/table"
	"github.com/shelfledge/shelfledge/modules/daemon/peerlink"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// gatherTable returns a table with this instance's rows and, if the table is fleet-wide, the rows of all other instances that
// answer within the timeout.
func (s *Service) gatherTable(ctx context.Context, name string) (*table.Table, []Part, error) {
	t, err := s.LocalTable(name)
	if err != nil {
		return nil, nil, err
	}
	if !tableDefinitions[name].fleetWide {
		return t, nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	parts := s.gatherParts(ctx, name, t)
	slices.SortFunc(parts, func(a, b Part) int { return strings.Compare(a.Hall, b.Hall) })
	return t, parts, nil
}

// partSource is an instance that is asked for its own part of a table or, if hallWide is set, for the part of its whole hall.
type partSource struct {
	hall     string
	id       string
	address  netip.AddrPort
	hallWide bool
}

// sources returns the other instances of this hall and one instance of each other hall, its speaker.
func (s *Service) sources() []partSource {
	var out []partSource
	s.options.View(func(now time.Time, n *node.Node) {
		for _, i := range n.Instances(now)[1:] {
			if i.Alive || i.Listed {
				out = append(out, partSource{hall: i.Instance.Hall, id: i.Instance.ID, address: i.Instance.Address})
			}
		}
		for _, h := range n.Halls(now) {
			if h.Hall != s.options.Self.Hall {
				out = append(out, partSource{hall: h.Hall, id: h.Speaker.ID, address: h.Speaker.Address, hallWide: true})
			}
		}
	})
	return out
}

// gatherParts asks the instances of this hall and the speakers of the other halls concurrently and adds their rows to the
// table. It returns one Part for each hall.
func (s *Service) gatherParts(ctx context.Context, name string, t *table.Table) []Part {
	parts := map[string]*Part{s.options.Self.Hall: {Hall: s.options.Self.Hall}}
	var mutex sync.Mutex
	var asked sync.WaitGroup
	for _, src := range s.sources() {
		if parts[src.hall] == nil {
			parts[src.hall] = &Part{Hall: src.hall}
		}
		asked.Add(1)
		go func() {
			defer asked.Done()
			began := s.options.Now()
			answer, err := s.askSource(ctx, src, name)
			mutex.Lock()
			defer mutex.Unlock()
			s.mergePart(parts[src.hall], src, t, answer, err, s.options.Now().Sub(began))
		}()
	}
	asked.Wait()
	out := make([]Part, 0, len(parts))
	for _, p := range parts {
		out = append(out, *p)
	}
	return out
}

// askSource requests the part of one source. It returns peerlink.ErrUnreachable if the address of the source is not known.
func (s *Service) askSource(ctx context.Context, src partSource, name string) (peerlink.Answer, error) {
	if !src.address.IsValid() {
		return peerlink.Answer{}, peerlink.ErrUnreachable{To: src.address, Reason: "its address is not known"}
	}
	return s.options.AskPeer(ctx, src.address, peerlink.Question{Table: name, HallWide: src.hallWide})
}

// mergePart adds the rows of an answer to the table. If the source did not answer or its answer is invalid, mergePart records
// this in p.
func (s *Service) mergePart(p *Part, src partSource, t *table.Table, a peerlink.Answer, err error, took time.Duration) {
	var rows [][]table.Value
	if err == nil {
		err = json.Unmarshal(a.Rows, &rows)
	}
	if err != nil {
		if src.hallWide {
			p.Silent = true
			return
		}
		p.Missing = append(p.Missing, src.id)
		return
	}
	p.Age = max(p.Age, took)
	p.Missing = append(p.Missing, a.Silent...)
	for _, row := range rows {
		if len(row) == len(t.Columns) {
			t.Rows = append(t.Rows, row)
		}
	}
}

// Answer answers a peer's question with the part of this instance or, if the question is hall-wide, of the whole hall.
func (s *Service) Answer(ctx context.Context, q peerlink.Question) (peerlink.Answer, error) {
	t, err := s.LocalTable(q.Table)
	if err != nil {
		return peerlink.Answer{}, err
	}
	var silent []string
	if q.HallWide {
		silent = s.mergeHallParts(ctx, q.Table, t)
	}
	rows, err := json.Marshal(t.Rows)
	return peerlink.Answer{Rows: rows, Silent: silent}, err
}

// mergeHallParts adds the rows of the other instances of this hall to a table and returns the identifiers of the instances that
// did not answer.
func (s *Service) mergeHallParts(ctx context.Context, name string, t *table.Table) []string {
	part := &Part{}
	for _, src := range s.sources() {
		if src.hallWide {
			continue
		}
		answer, err := s.askSource(ctx, src, name)
		s.mergePart(part, src, t, answer, err, 0)
	}
	return part.Missing
}
