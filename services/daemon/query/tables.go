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
		t.Add(table.NewText(a.Name), table.NewText(a.Base), table.NewNumber(a.Live), table.NewNumber(len(a.Versions)))
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
			t.Add(table.NewText(a.Name), table.NewNumber(v.Number), table.NewText(v.Source), table.NewBool(v.Number == a.Live), table.NewBool(v.Retired), table.NewBool(c.Pins[ref]), table.NewBool(c.Preloads[ref]))
		}
	}
}

func services(s *Service, t *table.Table) {
	all := s.options.Catalog().Services
	for _, name := range sortedNames(all) {
		x := all[name]
		for _, share := range x.Shares {
			t.Add(table.NewText(x.Name), table.NewText(share.Adapter), table.NewNumber(share.Version), table.NewNumber(share.Percent))
		}
	}
}

func rules(s *Service, t *table.Table) {
	for i, r := range s.options.Catalog().Rules {
		t.Add(table.NewNumber(i+1), table.NewText(r.Name), table.NewText(r.Class), table.NewText(r.Caller), table.NewText(r.Base), table.NewText(r.Adapter), table.NewText(r.Hall),
			table.NewText(clock(r.From)), table.NewText(clock(r.To)), table.NewText(r.Zone), table.NewText(strings.Join(r.Halls, "+")), table.NewNumber(r.Priority), table.NewBool(r.Refuse))
	}
}

// minutesPerHour turns minutes after midnight into a time of day.
const minutesPerHour = int(time.Hour / time.Minute)

func clock(minute int) string {
	return fmt.Sprintf("%02d:%02d", minute/minutesPerHour, minute%minutesPerHour)
}

func classes(s *Service, t *table.Table) {
	list := s.options.Catalog().EffectiveClasses(s.options.Classes)
	slices.SortFunc(list, func(a, b fleet.Class) int { return strings.Compare(a.Name, b.Name) })
	for _, c := range list {
		t.Add(table.NewText(c.Name), table.NewNumber(c.Priority), table.NewNumber(c.StallWeight), table.NewNumber(c.MaxQueuedTokens), table.NewBool(c.Patient))
	}
}

func revisions(s *Service, t *table.Table) {
	var records []catalog.Record
	s.options.View(func(_ time.Time, n *node.Node) { records = n.Records() })
	for _, r := range records {
		t.Add(table.NewNumber(r.Revision), table.NewText(r.At.Format(time.RFC3339)), table.NewText(r.Operator), table.NewText(r.ID), table.NewNumber(len(r.Changes)), table.NewText(r.Command))
	}
}

func halls(s *Service, t *table.Table) {
	s.options.View(func(now time.Time, n *node.Node) {
		for _, h := range n.Halls(now) {
			t.Add(table.NewText(h.Hall), table.NewNumber(h.Revision), table.NewSeconds(h.Age), table.NewBool(h.Cut), table.NewText(h.Speaker.ID))
		}
	})
}

// instances gives only this instance's own line, so that the sum over all shows each once, as it sees itself.
func instances(s *Service, t *table.Table) {
	s.options.View(func(now time.Time, n *node.Node) {
		i := n.Instances(now)[0]
		t.Add(table.NewText(i.Instance.ID), table.NewText(i.Instance.Hall), table.NewText(i.Instance.Address.String()), table.NewBool(i.Alive), table.NewBool(i.Leaving),
			table.NewBool(i.Listed), table.NewNumber(i.Revision), table.NewSeconds(i.Age), table.NewText(strings.Join(i.Pools, " ")))
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
			t.Add(table.NewText(e.Endpoint), table.NewText(s.options.Self.Hall), table.NewText(p.Pool), table.NewText(s.options.Self.ID), table.NewBool(e.Up), table.NewBool(e.Leaving),
				table.NewBool(e.Drained), table.NewBool(e.Frozen), table.NewBool(e.Uncertain), table.NewNumber(e.Running), table.NewNumber(e.MaxBatch), table.NewNumber(e.Used), table.NewNumber(e.Slots),
				table.NewNumber(e.Fence), table.NewText(e.Incarnation))
		}
	})
}

func slots(s *Service, t *table.Table) {
	s.eachPool(func(now time.Time, p node.PoolView) {
		for _, x := range p.Slots {
			t.Add(table.NewText(x.Endpoint), table.NewText(s.options.Self.Hall), table.NewText(x.Adapter), table.NewText(x.State), table.NewNumber(x.Running), table.NewBool(x.Foreign),
				table.NewBool(x.Closing), table.NewBool(x.Pinned), table.NewSeconds(now.Sub(x.Since)), table.NewSeconds(now.Sub(x.LastUsed)), table.NewNumber(x.Value))
		}
	})
}

func loads(s *Service, t *table.Table) {
	s.eachPool(func(now time.Time, p node.PoolView) {
		for _, x := range p.Slots {
			if x.State == "loading" {
				t.Add(table.NewText(x.Endpoint), table.NewText(s.options.Self.Hall), table.NewText(x.Adapter), table.NewSeconds(now.Sub(x.Since)))
			}
		}
	})
}

func waiting(s *Service, t *table.Table) {
	s.eachPool(func(now time.Time, p node.PoolView) {
		for _, w := range p.Waiting {
			t.Add(table.NewText(w.Request), table.NewText(s.options.Self.Hall), table.NewText(p.Pool), table.NewText(w.Caller), table.NewText(w.Class), table.NewText(w.Adapter),
				table.NewNumber(w.Tokens), table.NewSeconds(now.Sub(w.Queued)), table.NewText(w.Cause))
		}
	})
}

func tickets(s *Service, t *table.Table) {
	s.eachPool(func(_ time.Time, p node.PoolView) {
		for _, x := range p.Tickets {
			t.Add(table.NewText(x.ID), table.NewText(s.options.Self.Hall), table.NewText(x.RequestID), table.NewText(x.Endpoint), table.NewText(x.Adapter.String()), table.NewText(x.Entry), table.NewNumber(x.Fence))
		}
	})
}

func events(s *Service, t *table.Table) {
	for _, e := range s.options.Journal.Find(journal.FindEventsOptions{}) {
		addEvent(t, e)
	}
}

func addEvent(t *table.Table, e fleet.Event) {
	t.Add(table.NewText(e.At.UTC().Format(time.RFC3339Nano)), table.NewText(e.Instance), table.NewText(string(e.Kind)), table.NewText(e.Request), table.NewText(e.Adapter),
		table.NewText(e.Endpoint), table.NewText(e.Pool), table.NewText(e.Other), table.NewNumber(e.Fence), table.NewNumber(e.Revision), table.NewNumber(e.Value), table.NewText(e.Cause))
}
