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

// testDaemon serves operators for one hall, with its own key-value service.
type testDaemon struct {
	kv      *standin.KV
	catalog *catalog.Catalog
	handler http.HandlerFunc
}

const allowedFailures = 2

func newTestDaemon(t *testing.T) *testDaemon {
	t.Helper()
	d := &testDaemon{kv: standin.NewKV(), catalog: catalog.New()}
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
	d.handler = operator.New(operator.Options{
		Access: checker, Metrics: metric.New(metric.Options{}), Now: now, Query: query.New(query.Options{Catalog: current}),
		Command: command.New(command.Options{
			Store: configuration.NewStore(client, "/test", now), Current: current, ApplyRecords: offer, Now: now,
			HallStates: func() []command.HallState { return []command.HallState{{Hall: "h1", Revision: d.catalog.Revision}} },
		}),
	}).Routes()[0].Handler
	return d
}

// send runs a text with the given key; the key of each role is the name of the role.
func (d *testDaemon) send(t *testing.T, key, text string) (*httptest.ResponseRecorder, operator.RunResponse) {
	t.Helper()
	body, err := json.Marshal(operator.RunRequest{Text: text})
	require.NoError(t, err)
	q := httptest.NewRequest(http.MethodPost, "/operator/v1/run", bytes.NewReader(body))
	q.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	d.handler(w, q)
	var out operator.RunResponse
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &out), w.Body.String())
	return w, out
}

const createStatement = "create adapter a base b version 1"

func TestStatementsRequireRoles(t *testing.T) {
	needs := map[string][]string{
		"show adapters":    {"read", "change", "admin"},
		createStatement:    {"change", "admin"},
		"drain endpoint e": {"change", "admin"},
		"drain hall h1":    {"admin"},
		"set budget 3 loads per second 2 at once":        {"admin"},
		"show adapters; drain hall h1":                   {"admin"},
		"create adapter z base b; undo revision 1":       {"admin"},
		"dry run create adapter a base b; show adapters": {"change", "admin"},
	}
	for text, roles := range needs {
		for _, role := range []string{"read", "change", "admin"} {
			_, out := newTestDaemon(t).send(t, role, text)
			denied := out.Error != nil && out.Error.Kind == operator.KindDenied
			require.Equal(t, !slices.Contains(roles, role), denied, "%s as %s: %+v", text, role, out.Error)
		}
	}
}

func TestPartlyDeniedTextIsNotExecuted(t *testing.T) {
	d := newTestDaemon(t)
	w, out := d.send(t, "change", createStatement+"; drain hall h1")
	require.Equal(t, http.StatusForbidden, w.Code)
	require.Empty(t, out.Answers)
	require.Empty(t, d.kv.Dump())
}

func TestConsecutiveChangesFormOneBatch(t *testing.T) {
	d := newTestDaemon(t)
	w, out := d.send(t, "change", createStatement+"; pin a@1; show adapters; unpin a@1")
	require.Equal(t, http.StatusOK, w.Code, "%+v", out.Error)
	require.Len(t, out.Answers, 3)
	require.Len(t, out.Answers[0].Change.Changes, 2)
	require.Len(t, out.Answers[1].Table.Rows, 1, "the query must see the changes before it")
	require.Equal(t, int64(2), out.Answers[2].Change.Revision)
	require.NotEqual(t, out.Answers[0].Change.ID, out.Answers[2].Change.ID)
}

func TestAnswersBeforeErrorAreReturned(t *testing.T) {
	w, out := newTestDaemon(t).send(t, "change", createStatement+"; show nothing; pin a@1")
	require.Equal(t, http.StatusBadRequest, w.Code)
	require.Equal(t, operator.KindSemantic, out.Error.Kind)
	require.Len(t, out.Answers, 1)
}

func TestErrorKindAndStatus(t *testing.T) {
	d := newTestDaemon(t)
	w, out := d.send(t, "read", "shw adapters")
	require.Equal(t, http.StatusBadRequest, w.Code)
	require.Equal(t, operator.KindSyntax, out.Error.Kind)
	require.Equal(t, 1, out.Error.Column)
	_, out = d.send(t, "change", createStatement)
	require.Nil(t, out.Error)
	d.send(t, "change", "pin a@1")
	w, out = d.send(t, "change", "unpin a@1 if revision 1")
	require.Equal(t, http.StatusConflict, w.Code)
	require.Equal(t, operator.KindConflict, out.Error.Kind)
	d.kv.SetFaults(standin.KVFaults{Down: true})
	w, out = d.send(t, "change", "unpin a@1")
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, operator.KindUnavailable, out.Error.Kind)
}

func TestTooManyFailedLoginsSetRetryAfter(t *testing.T) {
	d := newTestDaemon(t)
	for range allowedFailures {
		w, out := d.send(t, "wrong", "show adapters")
		require.Equal(t, http.StatusForbidden, w.Code)
		require.Equal(t, operator.KindDenied, out.Error.Kind)
	}
	w, out := d.send(t, "admin", "show adapters")
	require.Equal(t, http.StatusTooManyRequests, w.Code)
	require.Equal(t, operator.KindTooMany, out.Error.Kind)
	require.Equal(t, "61", w.Header().Get("Retry-After"))
}
