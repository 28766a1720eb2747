// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package query

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/models/daemon/table"
	"github.com/shelfledge/shelfledge/services/daemon/journal"
	"github.com/shelfledge/shelfledge/services/daemon/node"
)

// definition is one table: its columns, and how its rows are made here.
type definition struct {
	columns []table.Column
	// wide tables are the sum of every instance's part.
	wide  bool
	build func(s *Service, t *table.Table)
}

func text(names ...string) []table.Column {
	out := make([]table.Column, 0, len(names))
	for _, name := range names {
		kind := table.Text
		if rest, ok := strings.CutPrefix(name, "#"); ok {
			kind, name = table.Number, rest
		}
		if rest, ok := strings.CutPrefix(name, "?"); ok {
			kind, name = table.Bool, rest
		}
		out = append(out, table.Column{Name: name, Kind: kind})
	}
	return out
}

// definitions lists the tables; # marks columns of numbers, ? those of true and false.
var definitions = map[string]definition{
	"adapters":  {columns: text("name", "base", "#live", "#versions"), build: adapters},
	"versions":  {columns: text("adapter", "#version", "source", "?live", "?retired", "?pinned", "?preload"), build: versions},
	"services":  {columns: text("name", "adapter", "#version", "#percent"), build: services},
	"rules":     {columns: text("#position", "name", "class", "caller", "base", "adapter", "hall", "from", "to", "zone", "halls", "#priority", "?refuse"), build: rules},
	"classes":   {columns: text("name", "#priority", "#weight", "#queue", "?patient"), build: classes},
	"revisions": {columns: text("#revision", "at", "operator", "id", "#changes", "command"), build: revisions},
	"halls":     {columns: text("hall", "#revision", "#age", "?cut", "speaker"), build: halls},
	"instances": {columns: text("instance", "hall", "address", "?alive", "?leaving", "?listed", "#revision", "#age", "pools"), wide: true, build: instances},
	"endpoints": {columns: text("endpoint", "hall", "pool", "placer", "?up", "?leaving", "?drained", "?frozen", "?uncertain", "#running", "#max_batch", "#used", "#slots", "#fence", "incarnation"), wide: true, build: endpoints},
	"slots":     {columns: text("endpoint", "hall", "adapter", "state", "#running", "?foreign", "?closing", "?pinned", "#age", "#idle", "#value"), wide: true, build: slots},
	"loads":     {columns: text("endpoint", "hall", "adapter", "#age"), wide: true, build: loads},
	"waiting":   {columns: text("request", "hall", "pool", "caller", "class", "adapter", "#tokens", "#age", "cause"), wide: true, build: waiting},
	"tickets":   {columns: text("ticket", "hall", "request", "endpoint", "adapter", "entry", "#fence"), wide: true, build: tickets},
	"events":    {columns: text("at", "instance", "kind", "request", "adapter", "endpoint", "pool", "other", "#fence", "#revision", "#value", "cause"), wide: true, build: events},
}

// Tables lists the names of all tables.
func Tables() []string {
	out := make([]string, 0, len(definitions))
	for name := range definitions {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Local makes this instance's part of a table.
func (s *Service) Local(name string) (*table.Table, error) {
	d, ok := definitions[name]
	if !ok {
		return nil, ErrNoTable{Name: name}
	}
	t := &table.Table{Columns: d.columns}
	d.build(s, t)
	return t, nil
}

func adapters(s *Service, t *table.Table) {
	all := s.options.Catalog().Adapters
	t.Rows = make([][]table.Value, 0, len(all))
	for _, name := range sortedNames(all) {
		a := all[name]
		t.Add(table.T(a.Name), table.T(a.Base), table.N(a.Live), table.N(len(a.Versions)))
	}
}

// sortedNames puts a map's names in order, which is cheaper than sorting the rows made from it.
func sortedNames[V any](all map[string]V) []string {
	return slices.Sorted(maps.Keys(all))
}

func versions(s *Service, t *table.Table) {
	c := s.options.Catalog()
	for _, name := range sortedNames(c.Adapters) {
		a := c.Adapters[name]
		for _, v := range a.Versions {
			ref := fleet.AdapterRef{Name: a.Name, Version: v.Number}
			t.Add(table.T(a.Name), table.N(v.Number), table.T(v.Source), table.B(v.Number == a.Live), table.B(v.Retired), table.B(c.Pins[ref]), table.B(c.Preloads[ref]))
		}
	}
}

func services(s *Service, t *table.Table) {
	all := s.options.Catalog().Services
	for _, name := range sortedNames(all) {
		x := all[name]
		for _, share := range x.Shares {
			t.Add(table.T(x.Name), table.T(share.Adapter), table.N(share.Version), table.N(share.Percent))
		}
	}
}

func rules(s *Service, t *table.Table) {
	for i, r := range s.options.Catalog().Rules {
		t.Add(table.N(i+1), table.T(r.Name), table.T(r.Class), table.T(r.Caller), table.T(r.Base), table.T(r.Adapter), table.T(r.Hall),
			table.T(clock(r.From)), table.T(clock(r.To)), table.T(r.Zone), table.T(strings.Join(r.Halls, "+")), table.N(r.Priority), table.B(r.Refuse))
	}
}

// minutesPerHour turns minutes after midnight into a time of day.
const minutesPerHour = int(time.Hour / time.Minute)

func clock(minute int) string {
	return fmt.Sprintf("%02d:%02d", minute/minutesPerHour, minute%minutesPerHour)
}

func classes(s *Service, t *table.Table) {
	list := s.options.Catalog().ClassList(s.options.Classes)
	slices.SortFunc(list, func(a, b fleet.Class) int { return strings.Compare(a.Name, b.Name) })
	for _, c := range list {
		t.Add(table.T(c.Name), table.N(c.Priority), table.N(c.StallWeight), table.N(c.MaxQueuedTokens), table.B(c.Patient))
	}
}

func revisions(s *Service, t *table.Table) {
	var records []catalog.Record
	s.options.View(func(_ time.Time, n *node.Node) { records = n.Records() })
	for _, r := range records {
		t.Add(table.N(r.Revision), table.T(r.At.Format(time.RFC3339)), table.T(r.Operator), table.T(r.ID), table.N(len(r.Changes)), table.T(r.Command))
	}
}

func halls(s *Service, t *table.Table) {
	s.options.View(func(now time.Time, n *node.Node) {
		for _, h := range n.Halls(now) {
			t.Add(table.T(h.Hall), table.N(h.Revision), table.D(h.Age), table.B(h.Cut), table.T(h.Speaker.ID))
		}
	})
}

// instances gives only this instance's own line, so that the sum over all shows each once, as it sees itself.
func instances(s *Service, t *table.Table) {
	s.options.View(func(now time.Time, n *node.Node) {
		i := n.Instances(now)[0]
		t.Add(table.T(i.Instance.ID), table.T(i.Instance.Hall), table.T(i.Instance.Address.String()), table.B(i.Alive), table.B(i.Leaving),
			table.B(i.Listed), table.N(i.Revision), table.D(i.Age), table.T(strings.Join(i.Pools, " ")))
	})
}

func (s *Service) eachPool(use func(now time.Time, p node.PoolView)) {
	s.options.View(func(now time.Time, n *node.Node) {
		for _, p := range n.Pools(now) {
			use(now, p)
		}
	})
}

func endpoints(s *Service, t *table.Table) {
	s.eachPool(func(_ time.Time, p node.PoolView) {
		for _, e := range p.Endpoints {
			t.Add(table.T(e.Endpoint), table.T(s.options.Self.Hall), table.T(p.Pool), table.T(s.options.Self.ID), table.B(e.Up), table.B(e.Leaving),
				table.B(e.Drained), table.B(e.Frozen), table.B(e.Uncertain), table.N(e.Running), table.N(e.MaxBatch), table.N(e.Used), table.N(e.Slots),
				table.N(e.Fence), table.T(e.Incarnation))
		}
	})
}

func slots(s *Service, t *table.Table) {
	s.eachPool(func(now time.Time, p node.PoolView) {
		for _, x := range p.Slots {
			t.Add(table.T(x.Endpoint), table.T(s.options.Self.Hall), table.T(x.Adapter), table.T(x.State), table.N(x.Running), table.B(x.Foreign),
				table.B(x.Closing), table.B(x.Pinned), table.D(now.Sub(x.Since)), table.D(now.Sub(x.LastUsed)), table.N(x.Value))
		}
	})
}

func loads(s *Service, t *table.Table) {
	s.eachPool(func(now time.Time, p node.PoolView) {
		for _, x := range p.Slots {
			if x.State == "loading" {
				t.Add(table.T(x.Endpoint), table.T(s.options.Self.Hall), table.T(x.Adapter), table.D(now.Sub(x.Since)))
			}
		}
	})
}

func waiting(s *Service, t *table.Table) {
	s.eachPool(func(now time.Time, p node.PoolView) {
		for _, w := range p.Waiting {
			t.Add(table.T(w.Request), table.T(s.options.Self.Hall), table.T(p.Pool), table.T(w.Caller), table.T(w.Class), table.T(w.Adapter),
				table.N(w.Tokens), table.D(now.Sub(w.Queued)), table.T(w.Cause))
		}
	})
}

func tickets(s *Service, t *table.Table) {
	s.eachPool(func(_ time.Time, p node.PoolView) {
		for _, x := range p.Tickets {
			t.Add(table.T(x.ID), table.T(s.options.Self.Hall), table.T(x.RequestID), table.T(x.Endpoint), table.T(x.Adapter.String()), table.T(x.Entry), table.N(x.Fence))
		}
	})
}

func events(s *Service, t *table.Table) {
	for _, e := range s.options.Journal.Find(journal.FindEventsOptions{}) {
		addEvent(t, e)
	}
}

func addEvent(t *table.Table, e fleet.Event) {
	t.Add(table.T(e.At.UTC().Format(time.RFC3339Nano)), table.T(e.Instance), table.T(string(e.Kind)), table.T(e.Request), table.T(e.Adapter),
		table.T(e.Endpoint), table.T(e.Pool), table.T(e.Other), table.N(e.Fence), table.N(e.Revision), table.N(e.Value), table.T(e.Cause))
}
