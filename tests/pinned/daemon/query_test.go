// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package daemon_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/language"
	"github.com/shelfledge/shelfledge/services/daemon/journal"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/query"
)

// eventsOfAllKinds returns one event of each kind.
func eventsOfAllKinds() []fleet.Event {
	var out []fleet.Event
	for i, kind := range []fleet.EventKind{
		fleet.EventTakeover, fleet.EventRelease, fleet.EventLoad, fleet.EventLoaded, fleet.EventLoadFailed, fleet.EventLoadGivenUp, fleet.EventEvict,
		fleet.EventUnloaded, fleet.EventOrderRefused, fleet.EventSlotUnknown, fleet.EventGrant, fleet.EventQueued, fleet.EventRefused, fleet.EventRetry,
		fleet.EventFinished, fleet.EventFreeze, fleet.EventThaw, fleet.EventMemberJoined, fleet.EventMemberLost, fleet.EventMemberLeft, fleet.EventRevision,
		fleet.EventRevisionBehind, fleet.EventRestarted, fleet.EventEndpointDown, fleet.EventEndpointUp, fleet.EventDrain, fleet.EventResume,
	} {
		out = append(out, fleet.Event{
			At: time.Date(2026, 3, 4, 5, 6, i, 7e6, time.UTC), Instance: "h1-i1", Kind: kind, Cause: "some_cause", Request: "kiosk-1~x", Adapter: "fare-1@2",
			Endpoint: "h1-e1", Pool: "h1/base-a", Other: "fare-2@1", Fence: 41, Revision: 12, Value: 1.5,
		})
	}
	return out
}

// runQuery returns the table of a show statement, or the lines of an explain statement.
func runQuery(t *testing.T, s *query.Service, text string) any {
	t.Helper()
	statements, err := language.Parse(text)
	require.NoError(t, err)
	require.Len(t, statements, 1)
	if x := statements[0].Explain; x != nil {
		out, err := s.Explain(context.Background(), x)
		require.NoError(t, err)
		return out
	}
	out, err := s.Show(context.Background(), statements[0].Show)
	if err != nil {
		return err.Error()
	}
	return out.Table
}

func TestEventsAndExplanations(t *testing.T) {
	configuration, err := catalog.DecodeSnapshot(compressZstd(t, readGolden(t, "snapshot.json")))
	require.NoError(t, err)
	began := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	kept := journal.New(100)
	for _, e := range eventsOfAllKinds() {
		kept.Add(e)
	}
	s := query.New(query.Options{
		Self: fleet.Instance{ID: "h1-i1", Hall: "h1", Address: netip.MustParseAddrPort("10.0.0.1:7400")}, Journal: kept, Timeout: waitTimeout,
		Catalog: func() *catalog.Catalog { return configuration }, Now: func() time.Time { return began },
		View: func(func(time.Time, *node.Node)) {},
	})
	out := make(map[string]any)
	for _, text := range []string{
		"show events", "show adapters", "show versions", "show services", "show rules", "show classes", "show revisions", "show halls", "show instances",
		"show endpoints", "show slots", "show loads", "show waiting", "show tickets", "show nothing", "show events where nothing = 1",
		"show events where value = many", "show events where kind like '['", "show count of events group by instance", "show count events",
		"show versions where not retired = true and (version >= 1 or adapter != x) order by adapter desc, version limit 2",
		"show versions where version < 2 and version <= 1 and version > 0 and adapter like 'fare-?'",
		"explain request kiosk-1", "explain request nobody", "explain adapter fare-1", "explain adapter nobody", "explain slot h1-e1",
		"explain slot h1-e1 fare-1@2", "explain revision 12",
	} {
		out[text] = runQuery(t, s, text)
	}
	checkGolden(t, "queries.json", out)
}

func TestSyntaxErrors(t *testing.T) {
	out := make(map[string]any)
	for _, text := range []string{
		"create adaptor x", "change x", "retire x", "restore x", "set x", "reset x", "roll x", "pin", "drain engine e1", "frobnicate", "undo revision seven",
		"set budget x loads per second 2 at once", "set class kiosk priority a", "show", "show slots where a =", "show slots order", "explain x",
		"create rule r for class x between noon and 6:00 refuse", "create rule r", "create service s", "create adapter a", "create version",
		"dry run", "set live a@1 if revision", "show slots limit -1", "show slots 'open", "create rule r run", "\n  pin a@1; pin !",
	} {
		_, err := language.Parse(text)
		syntax, ok := err.(language.ErrSyntax)
		require.True(t, ok, text)
		out[text] = map[string]any{"error": err.Error(), "line": syntax.Line, "column": syntax.Column, "point": syntax.Point(text)}
	}
	checkGolden(t, "syntax_errors.json", out)
}
