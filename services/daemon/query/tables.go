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
		t.Add(table.NewText(a.Name), table.NewText(a.Base), table.NewNumber(a.Live), table.NewNumber(len(a.Versions)))
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
			t.Add(table.NewText(a.Name), table.NewNumber(v.Number), table.NewText(v.Source), table.NewBool(v.Number == a.Live), table.NewBool(v.Retired), table.NewBool(c.Pins[ref]), table.NewBool(c.Preloads[ref]))
		}
	}
}

func buildServices(s *Service, t *table.Table) {
	all := s.options.Catalog().Services
	for _, name := range sortedNames(all) {
		service := all[name]
		for _, share := range service.Shares {
			t.Add(table.NewText(service.Name), table.NewText(share.Adapter), table.NewNumber(share.Version), table.NewNumber(share.Percent))
		}
	}
}

func buildRules(s *Service, t *table.Table) {
	for i, r := range s.options.Catalog().Rules {
		t.Add(table.NewNumber(i+1), table.NewText(r.Name), table.NewText(r.Class), table.NewText(r.Caller), table.NewText(r.Base), table.NewText(r.Adapter), table.NewText(r.Hall),
			table.NewText(formatMinuteOfDay(r.From)), table.NewText(formatMinuteOfDay(r.To)), table.NewText(r.Zone), table.NewText(strings.Join(r.Halls, "+")), table.NewNumber(r.Priority), table.NewBool(r.Refuse))
	}
}

// minutesPerHour is used to convert minutes since midnight to a time of day.
const minutesPerHour = int(time.Hour / time.Minute)

// formatMinuteOfDay formats minutes since midnight as a time of day, such as 08:30.
func formatMinuteOfDay(minute int) string {
	return fmt.Sprintf("%02d:%02d", minute/minutesPerHour, minute%minutesPerHour)
}

func buildClasses(s *Service, t *table.Table) {
	list := s.options.Catalog().EffectiveClasses(s.options.Classes)
	slices.SortFunc(list, func(a, b fleet.Class) int { return strings.Compare(a.Name, b.Name) })
	for _, c := range list {
		t.Add(table.NewText(c.Name), table.NewNumber(c.Priority), table.NewNumber(c.StallWeight), table.NewNumber(c.MaxQueuedTokens), table.NewBool(c.Patient))
	}
}

func buildRevisions(s *Service, t *table.Table) {
	var records []catalog.Record
	s.options.View(func(_ time.Time, n *node.Node) { records = n.Records() })
	for _, r := range records {
		t.Add(table.NewNumber(r.Revision), table.NewText(r.At.Format(time.RFC3339)), table.NewText(r.Operator), table.NewText(r.ID), table.NewNumber(len(r.Changes)), table.NewText(r.Command))
	}
}

func buildHalls(s *Service, t *table.Table) {
	s.options.View(func(now time.Time, n *node.Node) {
		for _, h := range n.Halls(now) {
			t.Add(table.NewText(h.Hall), table.NewNumber(h.Revision), table.NewSeconds(h.Age), table.NewBool(h.CutOff), table.NewText(h.Speaker.ID))
		}
	})
}

// buildInstances adds only the row of this instance, so that the fleet-wide table contains each instance once, with the state
// that the instance itself reports.
func buildInstances(s *Service, t *table.Table) {
	s.options.View(func(now time.Time, n *node.Node) {
		i := n.Instances(now)[0]
		t.Add(table.NewText(i.Instance.ID), table.NewText(i.Instance.Hall), table.NewText(i.Instance.Address.String()), table.NewBool(i.Alive), table.NewBool(i.Leaving),
			table.NewBool(i.Listed), table.NewNumber(i.Revision), table.NewSeconds(i.Age), table.NewText(strings.Join(i.Pools, " ")))
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
			t.Add(table.NewText(e.Endpoint), table.NewText(s.options.Self.Hall), table.NewText(p.Pool), table.NewText(s.options.Self.ID), table.NewBool(e.Up), table.NewBool(e.Leaving),
				table.NewBool(e.Drained), table.NewBool(e.Frozen), table.NewBool(e.Uncertain), table.NewNumber(e.Running), table.NewNumber(e.MaxBatch), table.NewNumber(e.Used), table.NewNumber(e.Slots),
				table.NewNumber(e.Fence), table.NewText(e.Incarnation))
		}
	})
}

func buildSlots(s *Service, t *table.Table) {
	s.forEachPool(func(now time.Time, p node.PoolView) {
		for _, slot := range p.Slots {
			t.Add(table.NewText(slot.Endpoint), table.NewText(s.options.Self.Hall), table.NewText(slot.Adapter), table.NewText(slot.State), table.NewNumber(slot.Running), table.NewBool(slot.Foreign),
				table.NewBool(slot.Closing), table.NewBool(slot.Pinned), table.NewSeconds(now.Sub(slot.Since)), table.NewSeconds(now.Sub(slot.LastUsed)), table.NewNumber(slot.Value))
		}
	})
}

func buildLoads(s *Service, t *table.Table) {
	s.forEachPool(func(now time.Time, p node.PoolView) {
		for _, slot := range p.Slots {
			if slot.State == "loading" {
				t.Add(table.NewText(slot.Endpoint), table.NewText(s.options.Self.Hall), table.NewText(slot.Adapter), table.NewSeconds(now.Sub(slot.Since)))
			}
		}
	})
}

func buildWaiting(s *Service, t *table.Table) {
	s.forEachPool(func(now time.Time, p node.PoolView) {
		for _, w := range p.Waiting {
			t.Add(table.NewText(w.Request), table.NewText(s.options.Self.Hall), table.NewText(p.Pool), table.NewText(w.Caller), table.NewText(w.Class), table.NewText(w.Adapter),
				table.NewNumber(w.Tokens), table.NewSeconds(now.Sub(w.Queued)), table.NewText(w.Cause))
		}
	})
}

func buildTickets(s *Service, t *table.Table) {
	s.forEachPool(func(_ time.Time, p node.PoolView) {
		for _, ticket := range p.Tickets {
			t.Add(table.NewText(ticket.ID), table.NewText(s.options.Self.Hall), table.NewText(ticket.RequestID), table.NewText(ticket.Endpoint), table.NewText(ticket.Adapter.String()), table.NewText(ticket.Entry),
				table.NewNumber(ticket.Fence))
		}
	})
}

func buildEvents(s *Service, t *table.Table) {
	for _, e := range s.options.Journal.Find(journal.FindEventsOptions{}) {
		addEvent(t, e)
	}
}

func addEvent(t *table.Table, e fleet.Event) {
	t.Add(table.NewText(e.At.UTC().Format(time.RFC3339Nano)), table.NewText(e.Instance), table.NewText(string(e.Kind)), table.NewText(e.Request), table.NewText(e.Adapter),
		table.NewText(e.Endpoint), table.NewText(e.Pool), table.NewText(e.Other), table.NewNumber(e.Fence), table.NewNumber(e.Revision), table.NewNumber(e.Value), table.NewText(e.Cause))
}
