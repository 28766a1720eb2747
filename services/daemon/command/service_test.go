// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package command_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/modules/daemon/language"
	"github.com/shelfledge/shelfledge/services/daemon/command"
	"github.com/shelfledge/shelfledge/services/daemon/configuration"
	"github.com/shelfledge/shelfledge/tests/standin"
)

// testOperator executes commands against a service on which each committed change is in force immediately.
type testOperator struct {
	*command.Service
	kv           *standin.KV
	catalog      *catalog.Catalog
	halls        func(revision int64) []command.HallState
	appliedCount int
	commandCount int
}

func newTestOperator(t *testing.T) *testOperator {
	t.Helper()
	o := &testOperator{kv: standin.NewKV(), catalog: catalog.New()}
	server := httptest.NewServer(o.kv.Handler())
	t.Cleanup(server.Close)
	client := kv.New(kv.Options{Addresses: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}})
	history := catalog.NewHistory()
	o.halls = func(revision int64) []command.HallState { return []command.HallState{{Hall: "h1", Revision: revision}} }
	o.Service = command.New(command.Options{
		Store:   configuration.NewStore(client, "/test", time.Now),
		Current: func() *catalog.Catalog { return o.catalog },
		ApplyRecords: func(r fleet.Records) {
			next, err := history.Advance(o.catalog, r.Snapshot, r.Records, false)
			require.NoError(t, err)
			o.catalog = next
			o.appliedCount++
		},
		HallStates: func() []command.HallState { return o.halls(o.catalog.Revision) },
		Now:        time.Now,
	})
	return o
}

// execute runs the commands of text as one batch, with the given identifier or, by default, a new one.
func (o *testOperator) execute(t *testing.T, text string, id ...string) (command.Result, error) {
	t.Helper()
	statements, err := language.Parse(text)
	require.NoError(t, err, text)
	o.commandCount++
	r := command.Request{ID: fmt.Sprint("c", o.commandCount), Operator: "ana", Text: text, Wait: 5 * time.Second}
	if len(id) > 0 {
		r.ID = id[0]
	}
	for _, s := range statements {
		require.NotNil(t, s.Change, text)
		r.Changes = append(r.Changes, s.Change)
	}
	return o.Execute(context.Background(), r)
}

func (o *testOperator) mustExecute(t *testing.T, text string) command.Result {
	t.Helper()
	r, err := o.execute(t, text)
	require.NoError(t, err, text)
	return r
}

const createAdapterAndService = "create adapter a base b version 1; create version a@2; create service s as a@1"

// shares returns the shares of service s as text.
func (o *testOperator) shares() string {
	var out []string
	for _, s := range o.catalog.Services["s"].Shares {
		out = append(out, fmt.Sprintf("%s@%d %d", s.Adapter, s.Version, s.Percent))
	}
	return strings.Join(out, ", ")
}

func TestBatchIsCommittedAsOneRevisionOrNotAtAll(t *testing.T) {
	o := newTestOperator(t)
	r := o.mustExecute(t, createAdapterAndService)
	require.Equal(t, int64(1), r.Revision)
	require.True(t, r.InForce())
	require.Len(t, r.Changes, 3)
	_, err := o.execute(t, "create adapter c base b; create adapter a base b")
	require.ErrorContains(t, err, "it exists already")
	require.Nil(t, o.catalog.Adapters["c"])
	require.Equal(t, int64(1), o.catalog.Revision)
}

func TestRollSplitsSharesBetweenNewAndOldVersion(t *testing.T) {
	o := newTestOperator(t)
	o.mustExecute(t, createAdapterAndService)
	o.mustExecute(t, "roll service s to a@2 at 10%")
	require.Equal(t, "a@1 90, a@2 10", o.shares())
	o.mustExecute(t, "roll service s to a@2 at 50%")
	require.Equal(t, "a@1 50, a@2 50", o.shares())
	o.mustExecute(t, "roll back service s")
	require.Equal(t, "a@1 100", o.shares())
	o.mustExecute(t, "roll service s to a@2")
	require.Equal(t, "a@2 100", o.shares())
}

func TestInvalidServiceAndRuleCommandsAreRejected(t *testing.T) {
	o := newTestOperator(t)
	o.mustExecute(t, createAdapterAndService)
	for text, reason := range map[string]string{
		"roll service x to a@2":            `no service "x"`,
		"roll service s to a@2 at 101%":    "a share is at most 100%",
		"roll service s to a@1 at 10%":     "the service has no other version to keep the rest",
		"roll back service s":              `service "s" is not between two versions; use undo revision`,
		"roll back service x":              `no service "x"`,
		"create service s as a@2":          `service "s" exists already; use change service`,
		"change service x as a@2":          `no service "x"`,
		"change rule x for class y refuse": `no rule "x"`,
	} {
		_, err := o.execute(t, text)
		require.ErrorContains(t, err, reason, text)
	}
	require.Equal(t, 1, o.appliedCount)
}

func TestUndoRestoresPreviousConfiguration(t *testing.T) {
	o := newTestOperator(t)
	o.mustExecute(t, createAdapterAndService)
	r := o.mustExecute(t, "change service s as a@2; pin a@2")
	o.mustExecute(t, fmt.Sprintf("undo revision %d", r.Revision))
	require.Equal(t, "a@1 100", o.shares())
	require.Empty(t, o.catalog.Pins)
	_, err := o.execute(t, "undo revision 99")
	require.EqualError(t, err, "revision 99 is not stored any more, or never was")
}

func TestRepeatedIdentifierIsCommittedOnce(t *testing.T) {
	o := newTestOperator(t)
	_, err := o.execute(t, createAdapterAndService, "same")
	require.NoError(t, err)
	again, err := o.execute(t, "create adapter z base b", "same")
	require.NoError(t, err)
	require.True(t, again.Repeated)
	require.Equal(t, int64(1), again.Revision)
	require.Equal(t, 1, o.appliedCount)
}

func TestDryRunStoresNothing(t *testing.T) {
	o := newTestOperator(t)
	r := o.mustExecute(t, "dry run create adapter a base b")
	require.True(t, r.DryRun)
	require.Equal(t, int64(1), r.Revision)
	require.Empty(t, o.kv.Dump())
	require.Zero(t, o.appliedCount)
}

func TestChangeBasedOnOldRevisionIsRejected(t *testing.T) {
	o := newTestOperator(t)
	o.mustExecute(t, createAdapterAndService)
	o.mustExecute(t, "pin a@1")
	_, err := o.execute(t, "pin a@2 if revision 1")
	require.True(t, catalog.IsErrRevisionConflict(err), "%v", err)
	o.mustExecute(t, "pin a@2 if revision 2")
}

func TestExecuteWaitsForHallsUpToWaitLimit(t *testing.T) {
	o := newTestOperator(t)
	polls := 0
	o.halls = func(revision int64) []command.HallState {
		polls++
		behind := command.HallState{Hall: "h2", Revision: revision - 1}
		if polls > 3 {
			behind.Revision = revision
		}
		return []command.HallState{{Hall: "h1", Revision: revision}, behind}
	}
	require.True(t, o.mustExecute(t, createAdapterAndService).InForce())
	require.Equal(t, 4, polls)

	o.halls = func(revision int64) []command.HallState {
		return []command.HallState{{Hall: "h1", Revision: revision}, {Hall: "h2", Silent: true}}
	}
	statements, err := language.Parse("pin a@1")
	require.NoError(t, err)
	r, err := o.Execute(context.Background(), command.Request{ID: "short", Changes: []*language.Change{statements[0].Change}, Wait: time.Millisecond})
	require.NoError(t, err)
	require.False(t, r.InForce())
	require.Equal(t, []bool{true, false}, []bool{r.Halls[0].InForce, r.Halls[1].InForce})
	require.True(t, r.Halls[1].Silent)
}

func TestRuleWindowIsParsedAsMinutesOfDay(t *testing.T) {
	o := newTestOperator(t)
	o.mustExecute(t, "create rule night for class x between 22:30 and 06:00 in UTC refuse")
	require.Equal(t, 22*60+30, o.catalog.Rules[0].From)
	require.Equal(t, 6*60, o.catalog.Rules[0].To)
	for _, text := range []string{"25:00", "08:60"} {
		_, err := o.execute(t, "create rule other for class x between "+text+" and 06:00 refuse")
		require.ErrorContains(t, err, "is no time of day", text)
	}
}

func TestDefaultClassCanBeSetAndReset(t *testing.T) {
	o := newTestOperator(t)
	for _, name := range []string{"''", `""`} {
		o.mustExecute(t, "set class "+name+" priority 7 weight 2 queue 1000 patient")
		require.Equal(t, map[string]fleet.Class{"": {Priority: 7, StallWeight: 2, MaxQueuedTokens: 1000, Patient: true}}, o.catalog.Classes)
		o.mustExecute(t, "reset class "+name)
		require.Empty(t, o.catalog.Classes)
	}
}
