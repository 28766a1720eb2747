// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package catalog_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// TestMain sets a fixed seed for rapid, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// drawChange draws a change of any kind, with one of three names.
func drawChange(t *rapid.T) catalog.Change {
	kinds := []catalog.ChangeKind{
		catalog.CreateAdapter, catalog.RetireAdapter, catalog.CreateVersion, catalog.RetireVersion, catalog.RestoreVersion, catalog.SetLive,
		catalog.SetService, catalog.RetireService, catalog.SetRule, catalog.RetireRule, catalog.SetClass, catalog.ResetClass, catalog.SetPin,
		catalog.ClearPin, catalog.SetPreload, catalog.ClearPreload, catalog.SetDrain, catalog.ClearDrain, catalog.SetBudget,
	}
	c := catalog.Change{
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), Name: fmt.Sprintf("n%d", rapid.IntRange(0, 2).Draw(t, "name")), Base: "base",
		Version: rapid.IntRange(1, 3).Draw(t, "version"),
	}
	switch c.Kind {
	case catalog.SetService:
		c.Shares = []catalog.Share{{Adapter: c.Name, Version: c.Version, Percent: 100}}
		c.Name = "s" + c.Name
	case catalog.RetireService:
		c.Name = "s" + c.Name
	case catalog.SetRule:
		c.Rule = &catalog.Rule{Name: c.Name, Priority: c.Version}
	case catalog.SetClass:
		c.Class = &fleet.Class{Name: c.Name, Priority: c.Version}
	case catalog.SetBudget:
		c.Budget = &catalog.Budget{LoadsPerSecond: 1, AtFullSpeed: c.Version}
	}
	return c
}

// encodeWithoutRevision returns the snapshot encoding of the catalog with revision zero, for comparison.
func encodeWithoutRevision(t require.TestingT, c *catalog.Catalog) string {
	copied := *c
	copied.Revision = 0
	data, err := catalog.EncodeSnapshot(&copied)
	require.NoError(t, err)
	return string(data)
}

// TestUndoRestores checks that the inverse of each accepted change restores the catalog, that a rejected change does not modify the
// catalog, and that a snapshot preserves its content.
func TestUndoRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := catalog.New()
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			before := encodeWithoutRevision(t, current)
			c := drawChange(t)
			next, inverse, err := current.Apply(int64(i+1), []catalog.Change{c})
			require.Equal(t, before, encodeWithoutRevision(t, current), "Apply must not modify the catalog")
			if err != nil {
				require.ErrorAs(t, err, new(catalog.ErrBadChange))
				continue
			}
			restored, _, err := next.Apply(int64(i+2), inverse)
			require.NoError(t, err, "%+v", c)
			if c.Kind != catalog.CreateVersion {
				require.Equal(t, before, encodeWithoutRevision(t, restored), "%+v", c)
			}
			data, err := catalog.EncodeSnapshot(next)
			require.NoError(t, err)
			decoded, err := catalog.DecodeSnapshot(data)
			require.NoError(t, err)
			require.Equal(t, encodeWithoutRevision(t, next), encodeWithoutRevision(t, decoded))
			current = next
		}
	})
}

func TestApplyIsAtomic(t *testing.T) {
	c := catalog.New()
	_, _, err := c.Apply(1, []catalog.Change{{Kind: catalog.CreateAdapter, Name: "a", Base: "b"}, {Kind: catalog.SetLive, Name: "missing", Version: 1}})
	require.ErrorContains(t, err, "change 2")
	require.Empty(t, c.Adapters)
}

func TestRemovedVersionNumberIsNotReused(t *testing.T) {
	c, inverse, err := catalog.New().Apply(1, []catalog.Change{{Kind: catalog.CreateAdapter, Name: "a", Base: "b", Version: 1}})
	require.NoError(t, err)
	require.NotEmpty(t, inverse)
	c, inverse, err = c.Apply(2, []catalog.Change{{Kind: catalog.CreateVersion, Name: "a", Version: 2, Source: "x"}})
	require.NoError(t, err)
	c, _, err = c.Apply(3, inverse)
	require.NoError(t, err)
	_, err = c.Resolve("a@2", 0)
	require.ErrorAs(t, err, new(catalog.ErrVersionNotExist))
	_, _, err = c.Apply(4, []catalog.Change{{Kind: catalog.CreateVersion, Name: "a", Version: 2, Source: "y"}})
	require.Error(t, err, "a@2 must not get different weights")
}

func TestAdvanceIgnoresOldRecordsAndRejectsGaps(t *testing.T) {
	h, c := catalog.NewHistory(), catalog.New()
	var records [][]byte
	for i := int64(1); i <= 5; i++ {
		data, err := catalog.EncodeRecord(catalog.Record{Revision: i, Changes: []catalog.Change{{Kind: catalog.CreateAdapter, Name: fmt.Sprintf("a%d", i), Base: "b"}}})
		require.NoError(t, err)
		records = append(records, data)
	}
	c, err := h.Advance(c, nil, records[:3], false)
	require.NoError(t, err)
	require.EqualValues(t, 3, c.Revision)
	same, err := h.Advance(c, nil, records[:2], false)
	require.NoError(t, err)
	require.EqualValues(t, 3, same.Revision)
	_, err = h.Advance(c, nil, records[4:], false)
	require.ErrorContains(t, err, "does not follow")
	oldSnapshot, err := catalog.EncodeSnapshot(catalog.New())
	require.NoError(t, err)
	same, err = h.Advance(c, oldSnapshot, nil, false)
	require.NoError(t, err)
	require.EqualValues(t, 3, same.Revision)
}

func TestRuleMatchesWindowAcrossMidnight(t *testing.T) {
	r := catalog.Rule{From: 22 * 60, To: 6 * 60, Zone: "UTC"}
	for hour, want := range map[int]bool{21: false, 22: true, 23: true, 0: true, 5: true, 6: false, 12: false} {
		require.Equal(t, want, r.Matches(time.Date(2026, 1, 1, hour, 0, 0, 0, time.UTC), fleet.Request{}), "hour %d", hour)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := catalog.EncodeSnapshot(catalog.New())
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, errSnapshot := catalog.DecodeSnapshot(data)
		_, errRecord := catalog.DecodeRecord(data)
		for _, err := range []error{errSnapshot, errRecord} {
			if err != nil {
				require.ErrorAs(t, err, new(catalog.ErrBadEncoding))
			}
		}
	})
}

// TestRetireAdapterErrorNamesFirstServiceByName guards against a search of the services in map order, which made the error name a
// different service each time.
func TestRetireAdapterErrorNamesFirstServiceByName(t *testing.T) {
	changes := []catalog.Change{{Kind: catalog.CreateAdapter, Name: "fare", Base: "base", Version: 1}}
	for _, name := range []string{"d", "b", "a", "c"} {
		changes = append(changes, catalog.Change{Kind: catalog.SetService, Name: name, Shares: []catalog.Share{{Adapter: "fare", Version: 1, Percent: 100}}})
	}
	used, _, err := catalog.New().Apply(1, changes)
	require.NoError(t, err)
	for range 20 {
		_, _, err := used.Apply(2, []catalog.Change{{Kind: catalog.RetireAdapter, Name: "fare"}})
		require.ErrorContains(t, err, `service "a" uses it`)
	}
}
