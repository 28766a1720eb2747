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

// gather builds a table of this instance's part and, where the table is wide, of all others' parts that come in time.
func (s *Service) gather(ctx context.Context, name string) (*table.Table, []Part, error) {
	t, err := s.Local(name)
	if err != nil {
		return nil, nil, err
	}
	if !definitions[name].wide {
		return t, nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	parts := s.gatherHalls(ctx, name, t)
	slices.SortFunc(parts, func(a, b Part) int { return strings.Compare(a.Hall, b.Hall) })
	return t, parts, nil
}

// source is one instance that is asked for a part: its own, or by wide that of its whole hall.
type source struct {
	hall    string
	id      string
	address netip.AddrPort
	wide    bool
}

// sources lists the other instances of the hall, and one instance of each other hall, its speaker.
func (s *Service) sources() []source {
	var out []source
	s.options.View(func(now time.Time, n *node.Node) {
		for _, i := range n.Instances(now)[1:] {
			if i.Alive || i.Listed {
				out = append(out, source{hall: i.Instance.Hall, id: i.Instance.ID, address: i.Instance.Address})
			}
		}
		for _, h := range n.Halls(now) {
			if h.Hall != s.options.Self.Hall {
				out = append(out, source{hall: h.Hall, id: h.Speaker.ID, address: h.Speaker.Address, wide: true})
			}
		}
	})
	return out
}

// gatherHalls asks the hall's instances and the other halls' speakers at once.
func (s *Service) gatherHalls(ctx context.Context, name string, t *table.Table) []Part {
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
			answer, err := s.ask(ctx, src, name)
			mutex.Lock()
			defer mutex.Unlock()
			s.merge(parts[src.hall], src, t, answer, err, s.options.Now().Sub(began))
		}()
	}
	asked.Wait()
	out := make([]Part, 0, len(parts))
	for _, p := range parts {
		out = append(out, *p)
	}
	return out
}

// ask gets one source's part, or peerlink.ErrUnreachable where its address is not known.
func (s *Service) ask(ctx context.Context, src source, name string) (peerlink.Answer, error) {
	if !src.address.IsValid() {
		return peerlink.Answer{}, peerlink.ErrUnreachable{To: src.address, Reason: "its address is not known"}
	}
	return s.options.Ask(ctx, src.address, peerlink.Question{Table: name, HallWide: src.wide})
}

// merge adds one part's rows, or notes its silence.
func (s *Service) merge(p *Part, src source, t *table.Table, a peerlink.Answer, err error, took time.Duration) {
	var rows [][]table.Value
	if err == nil {
		err = json.Unmarshal(a.Rows, &rows)
	}
	if err != nil {
		if src.wide {
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

// Answer answers a peer's question with this instance's part, or with the whole hall's.
func (s *Service) Answer(ctx context.Context, q peerlink.Question) (peerlink.Answer, error) {
	t, err := s.Local(q.Table)
	if err != nil {
		return peerlink.Answer{}, err
	}
	var silent []string
	if q.HallWide {
		silent = s.hallPart(ctx, q.Table, t)
	}
	rows, err := json.Marshal(t.Rows)
	return peerlink.Answer{Rows: rows, Silent: silent}, err
}

// hallPart adds the parts of this hall's other instances to a table and names those that did not answer.
func (s *Service) hallPart(ctx context.Context, name string, t *table.Table) []string {
	part := &Part{}
	for _, src := range s.sources() {
		if src.wide {
			continue
		}
		answer, err := s.ask(ctx, src, name)
		s.merge(part, src, t, answer, err, 0)
	}
	return part.Missing
}
