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

// tableDefinition defines the columns of a table and the function that builds the rows of this instance.
type tableDefinition struct {
	columns []table.Column
	// fleetWide marks tables that consist of the rows of all instances. The other tables contain only the rows of the instance that answers.
	fleetWide bool
	build     func(s *Service, t *table.Table)
}

// newColumns returns columns with the given names. The prefix # marks a column of numbers and ? a column of booleans; all other
// columns hold text.
func newColumns(names ...string) []table.Column {
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

// tableDefinitions holds all tables by name.
var tableDefinitions = map[string]tableDefinition{
	"adapters":  {columns: newColumns("name", "base", "#live", "#versions"), build: buildAdapters},
	"versions":  {columns: newColumns("adapter", "#version", "source", "?live", "?retired", "?pinned", "?preload"), build: buildVersions},
	"services":  {columns: newColumns("name", "adapter", "#version", "#percent"), build: buildServices},
	"rules":     {columns: newColumns("#position", "name", "class", "caller", "base", "adapter", "hall", "from", "to", "zone", "halls", "#priority", "?refuse"), build: buildRules},
	"classes":   {columns: newColumns("name", "#priority", "#weight", "#queue", "?patient"), build: buildClasses},
	"revisions": {columns: newColumns("#revision", "at", "operator", "id", "#changes", "command"), build: buildRevisions},
	"halls":     {columns: newColumns("hall", "#revision", "#age", "?cut", "speaker"), build: buildHalls},
	"instances": {columns: newColumns("instance", "hall", "address", "?alive", "?leaving", "?listed", "#revision", "#age", "pools"), fleetWide: true, build: buildInstances},
	"endpoints": {columns: newColumns("endpoint", "hall", "pool", "placer", "?up", "?leaving", "?drained", "?frozen", "?uncertain", "#running", "#max_batch", "#used", "#slots", "#fence", "incarnation"), fleetWide: true, build: buildEndpoints},
	"slots":     {columns: newColumns("endpoint", "hall", "adapter", "state", "#running", "?foreign", "?closing", "?pinned", "#age", "#idle", "#value"), fleetWide: true, build: buildSlots},
	"loads":     {columns: newColumns("endpoint", "hall", "adapter", "#age"), fleetWide: true, build: buildLoads},
	"waiting":   {columns: newColumns("request", "hall", "pool", "caller", "class", "adapter", "#tokens", "#age", "cause"), fleetWide: true, build: buildWaiting},
	"tickets":   {columns: newColumns("ticket", "hall", "request", "endpoint", "adapter", "entry", "#fence"), fleetWide: true, build: buildTickets},
	"events":    {columns: newColumns("at", "instance", "kind", "request", "adapter", "endpoint", "pool", "other", "#fence", "#revision", "#value", "cause"), fleetWide: true, build: buildEvents},
}

// Tables returns the sorted names of all tables.
func Tables() []string {
	out := make([]string, 0, len(tableDefinitions))
	for name := range tableDefinitions {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// LocalTable returns a table with the rows of this instance only, or ErrUnknownTable if the table is unknown.
func (s *Service) LocalTable(name string) (*table.Table, error) {
	d, ok := tableDefinitions[name]
	if !ok {
		return nil, ErrUnknownTable{Name: name}
	}
	t := &table.Table{Columns: d.columns}
	d.build(s, t)
	return t, nil
}

func buildAdapters(s *Service, t *table.Table) {
	all := s.options.Catalog().Adapters
	t.Rows = make([][]table.Value, 0, len(all))
	for _, name := range sortedNames(all) {
		a := all[name]
		t.Add(table.T(a.Name), table.T(a.Base), table.N(a.Live), table.N(len(a.Versions)))
	}
}

// sortedNames returns the sorted keys of a map. Sorting the keys is cheaper than sorting the rows that are built from the map.
func sortedNames[V any](all map[string]V) []string {
	return slices.Sorted(maps.Keys(all))
}

func buildVersions(s *Service, t *table.Table) {
	c := s.options.Catalog()
	for _, name := range sortedNames(c.Adapters) {
		a := c.Adapters[name]
		for _, v := range a.Versions {
			ref := fleet.AdapterRef{Name: a.Name, Version: v.Number}
			t.Add(table.T(a.Name), table.N(v.Number), table.T(v.Source), table.B(v.Number == a.Live), table.B(v.Retired), table.B(c.Pins[ref]), table.B(c.Preloads[ref]))
		}
	}
}

func buildServices(s *Service, t *table.Table) {
	all := s.options.Catalog().Services
	for _, name := range sortedNames(all) {
		service := all[name]
		for _, share := range service.Shares {
			t.Add(table.T(service.Name), table.T(share.Adapter), table.N(share.Version), table.N(share.Percent))
		}
	}
}

func buildRules(s *Service, t *table.Table) {
	for i, r := range s.options.Catalog().Rules {
		t.Add(table.N(i+1), table.T(r.Name), table.T(r.Class), table.T(r.Caller), table.T(r.Base), table.T(r.Adapter), table.T(r.Hall),
			table.T(formatMinuteOfDay(r.From)), table.T(formatMinuteOfDay(r.To)), table.T(r.Zone), table.T(strings.Join(r.Halls, "+")), table.N(r.Priority), table.B(r.Refuse))
	}
}

// minutesPerHour is used to convert minutes since midnight to a time of day.
const minutesPerHour = int(time.Hour / time.Minute)

// formatMinuteOfDay formats minutes since midnight as a time of day, such as 08:30.
func formatMinuteOfDay(minute int) string {
	return fmt.Sprintf("%02d:%02d", minute/minutesPerHour, minute%minutesPerHour)
}

func buildClasses(s *Service, t *table.Table) {
	list := s.options.Catalog().ClassList(s.options.Classes)
	slices.SortFunc(list, func(a, b fleet.Class) int { return strings.Compare(a.Name, b.Name) })
	for _, c := range list {
		t.Add(table.T(c.Name), table.N(c.Priority), table.N(c.StallWeight), table.N(c.MaxQueuedTokens), table.B(c.Patient))
	}
}

func buildRevisions(s *Service, t *table.Table) {
	var records []catalog.Record
	s.options.View(func(_ time.Time, n *node.Node) { records = n.Records() })
	for _, r := range records {
		t.Add(table.N(r.Revision), table.T(r.At.Format(time.RFC3339)), table.T(r.Operator), table.T(r.ID), table.N(len(r.Changes)), table.T(r.Command))
	}
}

func buildHalls(s *Service, t *table.Table) {
	s.options.View(func(now time.Time, n *node.Node) {
		for _, h := range n.Halls(now) {
			t.Add(table.T(h.Hall), table.N(h.Revision), table.D(h.Age), table.B(h.Cut), table.T(h.Speaker.ID))
		}
	})
}

// buildInstances adds only the row of this instance, so that the fleet-wide table contains each instance once, with the state
// that the instance itself reports.
func buildInstances(s *Service, t *table.Table) {
	s.options.View(func(now time.Time, n *node.Node) {
		i := n.Instances(now)[0]
		t.Add(table.T(i.Instance.ID), table.T(i.Instance.Hall), table.T(i.Instance.Address.String()), table.B(i.Alive), table.B(i.Leaving),
			table.B(i.Listed), table.N(i.Revision), table.D(i.Age), table.T(strings.Join(i.Pools, " ")))
	})
}

// forEachPool calls visit for each pool that this instance places.
func (s *Service) forEachPool(visit func(now time.Time, p node.PoolView)) {
	s.options.View(func(now time.Time, n *node.Node) {
		for _, p := range n.Pools(now) {
			visit(now, p)
		}
	})
}

func buildEndpoints(s *Service, t *table.Table) {
	s.forEachPool(func(_ time.Time, p node.PoolView) {
		for _, e := range p.Endpoints {
			t.Add(table.T(e.Endpoint), table.T(s.options.Self.Hall), table.T(p.Pool), table.T(s.options.Self.ID), table.B(e.Up), table.B(e.Leaving),
				table.B(e.Drained), table.B(e.Frozen), table.B(e.Uncertain), table.N(e.Running), table.N(e.MaxBatch), table.N(e.Used), table.N(e.Slots),
				table.N(e.Fence), table.T(e.Incarnation))
		}
	})
}

func buildSlots(s *Service, t *table.Table) {
	s.forEachPool(func(now time.Time, p node.PoolView) {
		for _, slot := range p.Slots {
			t.Add(table.T(slot.Endpoint), table.T(s.options.Self.Hall), table.T(slot.Adapter), table.T(slot.State), table.N(slot.Running), table.B(slot.Foreign),
				table.B(slot.Closing), table.B(slot.Pinned), table.D(now.Sub(slot.Since)), table.D(now.Sub(slot.LastUsed)), table.N(slot.Value))
		}
	})
}

func buildLoads(s *Service, t *table.Table) {
	s.forEachPool(func(now time.Time, p node.PoolView) {
		for _, slot := range p.Slots {
			if slot.State == "loading" {
				t.Add(table.T(slot.Endpoint), table.T(s.options.Self.Hall), table.T(slot.Adapter), table.D(now.Sub(slot.Since)))
			}
		}
	})
}

func buildWaiting(s *Service, t *table.Table) {
	s.forEachPool(func(now time.Time, p node.PoolView) {
		for _, w := range p.Waiting {
			t.Add(table.T(w.Request), table.T(s.options.Self.Hall), table.T(p.Pool), table.T(w.Caller), table.T(w.Class), table.T(w.Adapter),
				table.N(w.Tokens), table.D(now.Sub(w.Queued)), table.T(w.Cause))
		}
	})
}

func buildTickets(s *Service, t *table.Table) {
	s.forEachPool(func(_ time.Time, p node.PoolView) {
		for _, ticket := range p.Tickets {
			t.Add(table.T(ticket.ID), table.T(s.options.Self.Hall), table.T(ticket.RequestID), table.T(ticket.Endpoint), table.T(ticket.Adapter.String()), table.T(ticket.Entry),
				table.N(ticket.Fence))
		}
	})
}

func buildEvents(s *Service, t *table.Table) {
	for _, e := range s.options.Journal.Find(journal.FindEventsOptions{}) {
		addEvent(t, e)
	}
}

func addEvent(t *table.Table, e fleet.Event) {
	t.Add(table.T(e.At.UTC().Format(time.RFC3339Nano)), table.T(e.Instance), table.T(string(e.Kind)), table.T(e.Request), table.T(e.Adapter),
		table.T(e.Endpoint), table.T(e.Pool), table.T(e.Other), table.N(e.Fence), table.N(e.Revision), table.N(e.Value), table.T(e.Cause))
}
