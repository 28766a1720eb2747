// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package operator_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/modules/daemon/metric"
	"github.com/shelfledge/shelfledge/routers/daemon/operator"
	"github.com/shelfledge/shelfledge/services/daemon/access"
	"github.com/shelfledge/shelfledge/services/daemon/command"
	"github.com/shelfledge/shelfledge/services/daemon/configuration"
	"github.com/shelfledge/shelfledge/services/daemon/query"
	"github.com/shelfledge/shelfledge/tests/standin"
)

// daemon answers operators, with a key-value service of its own and one hall.
type daemon struct {
	kv      *standin.KV
	catalog *catalog.Catalog
	run     http.HandlerFunc
}

const allowedFailures = 2

func newDaemon(t *testing.T) *daemon {
	t.Helper()
	d := &daemon{kv: standin.NewKV(), catalog: catalog.New()}
	server := httptest.NewServer(d.kv.Handler())
	t.Cleanup(server.Close)
	var keys []access.Key
	for _, role := range []access.Role{access.RoleRead, access.RoleChange, access.RoleAdmin} {
		sum := sha256.Sum256([]byte(role.String()))
		keys = append(keys, access.Key{Operator: access.Operator{Name: "op-" + role.String(), Role: role}, SHA256: hex.EncodeToString(sum[:])})
	}
	checker, err := access.New(keys, allowedFailures)
	require.NoError(t, err)
	current := func() *catalog.Catalog { return d.catalog }
	history := catalog.NewHistory()
	offer := func(r fleet.Records) {
		next, err := history.Advance(d.catalog, r.Snapshot, r.Records, false)
		require.NoError(t, err)
		d.catalog = next
	}
	client := kv.New(kv.Options{Addresses: []netip.AddrPort{netip.MustParseAddrPort(server.Listener.Addr().String())}})
	now := func() time.Time { return time.Unix(1000, 0) }
	d.run = operator.New(operator.Options{
		Access: checker, Metrics: metric.New(metric.Options{}), Now: now, Query: query.New(query.Options{Catalog: current}),
		Command: command.New(command.Options{
			Store: configuration.NewStore(client, "/test", now), Current: current, Offer: offer, Now: now,
			HallStates: func() []command.HallState { return []command.HallState{{Hall: "h1", Revision: d.catalog.Revision}} },
		}),
	}).Routes()[0].Handler
	return d
}

// ask sends a text with the key of a role, which is the role's own name.
func (d *daemon) ask(t *testing.T, key, text string) (*httptest.ResponseRecorder, operator.RunResponse) {
	t.Helper()
	body, err := json.Marshal(operator.RunRequest{Text: text})
	require.NoError(t, err)
	q := httptest.NewRequest(http.MethodPost, "/operator/v1/run", bytes.NewReader(body))
	q.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	d.run(w, q)
	var out operator.RunResponse
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &out), w.Body.String())
	return w, out
}

const create = "create adapter a base b version 1"

func TestEachStatementNeedsItsRole(t *testing.T) {
	needs := map[string][]string{
		"show adapters":    {"read", "change", "admin"},
		create:             {"change", "admin"},
		"drain endpoint e": {"change", "admin"},
		"drain hall h1":    {"admin"},
		"set budget 3 loads per second 2 at once":        {"admin"},
		"show adapters; drain hall h1":                   {"admin"},
		"create adapter z base b; undo revision 1":       {"admin"},
		"dry run create adapter a base b; show adapters": {"change", "admin"},
	}
	for text, roles := range needs {
		for _, role := range []string{"read", "change", "admin"} {
			_, out := newDaemon(t).ask(t, role, text)
			denied := out.Error != nil && out.Error.Kind == operator.KindDenied
			require.Equal(t, !slices.Contains(roles, role), denied, "%s as %s: %+v", text, role, out.Error)
		}
	}
}

func TestATextThatIsPartlyDeniedIsNotBegun(t *testing.T) {
	d := newDaemon(t)
	w, out := d.ask(t, "change", create+"; drain hall h1")
	require.Equal(t, http.StatusForbidden, w.Code)
	require.Empty(t, out.Answers)
	require.Empty(t, d.kv.Dump())
}

func TestChangesThatFollowOneAnotherAreOneBatch(t *testing.T) {
	d := newDaemon(t)
	w, out := d.ask(t, "change", create+"; pin a@1; show adapters; unpin a@1")
	require.Equal(t, http.StatusOK, w.Code, "%+v", out.Error)
	require.Len(t, out.Answers, 3)
	require.Len(t, out.Answers[0].Change.Changes, 2)
	require.Len(t, out.Answers[1].Table.Rows, 1, "the query sees what came before it")
	require.Equal(t, int64(2), out.Answers[2].Change.Revision)
	require.NotEqual(t, out.Answers[0].Change.ID, out.Answers[2].Change.ID)
}

func TestWhatWasDoneBeforeAnErrorIsTold(t *testing.T) {
	w, out := newDaemon(t).ask(t, "change", create+"; show nothing; pin a@1")
	require.Equal(t, http.StatusBadRequest, w.Code)
	require.Equal(t, operator.KindMeaning, out.Error.Kind)
	require.Len(t, out.Answers, 1)
}

func TestErrorsHaveTheirKindAndStatus(t *testing.T) {
	d := newDaemon(t)
	w, out := d.ask(t, "read", "shw adapters")
	require.Equal(t, http.StatusBadRequest, w.Code)
	require.Equal(t, operator.KindSyntax, out.Error.Kind)
	require.Equal(t, 1, out.Error.Column)
	_, out = d.ask(t, "change", create)
	require.Nil(t, out.Error)
	d.ask(t, "change", "pin a@1")
	w, out = d.ask(t, "change", "unpin a@1 if revision 1")
	require.Equal(t, http.StatusConflict, w.Code)
	require.Equal(t, operator.KindConflict, out.Error.Kind)
	d.kv.SetFaults(standin.KVFaults{Down: true})
	w, out = d.ask(t, "change", "unpin a@1")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, operator.KindUnavailable, out.Error.Kind)
}

func TestTooManyFailuresAreToldWhenToComeBack(t *testing.T) {
	d := newDaemon(t)
	for range allowedFailures {
		w, out := d.ask(t, "wrong", "show adapters")
		require.Equal(t, http.StatusForbidden, w.Code)
		require.Equal(t, operator.KindDenied, out.Error.Kind)
	}
	w, out := d.ask(t, "admin", "show adapters")
	require.Equal(t, http.StatusTooManyRequests, w.Code)
	require.Equal(t, operator.KindTooMany, out.Error.Kind)
	require.Equal(t, "61", w.Header().Get("Retry-After"))
}
