// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package operatorclient_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/shelfctl/operatorclient"
	"github.com/shelfledge/shelfledge/routers/daemon/operator"
)

// fakeDaemon answers successive requests with the given error kinds in order and repeats the last kind after that; an empty kind is a
// success.
type fakeDaemon struct {
	address netip.AddrPort
	calls   atomic.Int64
	ids     chan string
}

func newFakeDaemon(t *testing.T, kinds ...operator.ErrorKind) *fakeDaemon {
	t.Helper()
	d := &fakeDaemon{ids: make(chan string, 100)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		var in operator.RunRequest
		if err := json.NewDecoder(q.Body).Decode(&in); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.ids <- in.ID
		kind := kinds[min(int(d.calls.Add(1)), len(kinds))-1]
		out := operator.RunResponse{Operator: "ana"}
		if kind != "" {
			out.Error = &operator.Error{Kind: kind, Message: "because"}
		}
		_ = json.NewEncoder(w).Encode(out)
	}))
	t.Cleanup(server.Close)
	d.address = netip.MustParseAddrPort(server.Listener.Addr().String())
	return d
}

func runStatements(rounds int, daemons ...*fakeDaemon) (operator.RunResponse, error) {
	o := operatorclient.Options{HTTP: &http.Client{Timeout: 5 * time.Second}, Rounds: rounds}
	for _, d := range daemons {
		o.Addresses = append(o.Addresses, d.address)
	}
	return operatorclient.New(o).Run(context.Background(), "show adapters")
}

// closedDaemon returns a daemon whose listener is closed.
func closedDaemon() *fakeDaemon {
	server := httptest.NewServer(http.NotFoundHandler())
	d := &fakeDaemon{address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	server.Close()
	return d
}

func TestRunTriesNextDaemonAfterConnectionFailure(t *testing.T) {
	d := newFakeDaemon(t, "")
	out, err := runStatements(1, closedDaemon(), d)
	require.NoError(t, err)
	require.Equal(t, "ana", out.Operator)
}

func TestRunRetriesOnlyUnavailableAndUnsettled(t *testing.T) {
	for kind, secondCalls := range map[operator.ErrorKind]int64{
		"": 0, operator.KindSyntax: 0, operator.KindSemantic: 0, operator.KindConflict: 0, operator.KindDenied: 0, operator.KindTooMany: 0,
		operator.KindUnavailable: 1, operator.KindUnsettled: 1,
	} {
		first, second := newFakeDaemon(t, kind), newFakeDaemon(t, "")
		_, err := runStatements(2, first, second)
		require.NoError(t, err)
		require.Equal(t, int64(1), first.calls.Load(), "%q", kind)
		require.Equal(t, secondCalls, second.calls.Load(), "%q", kind)
	}
}

func TestRunKeepsIdentifierOnRetry(t *testing.T) {
	d := newFakeDaemon(t, operator.KindUnsettled, "")
	_, err := runStatements(3, d)
	require.NoError(t, err)
	require.Equal(t, <-d.ids, <-d.ids)
}

func TestRunReturnsAnswerOfLastRound(t *testing.T) {
	d := newFakeDaemon(t, operator.KindUnavailable)
	out, err := runStatements(2, d)
	require.NoError(t, err)
	require.Equal(t, operator.KindUnavailable, out.Error.Kind)
	require.Equal(t, int64(2), d.calls.Load())
}

func TestRunReturnsErrNoDaemon(t *testing.T) {
	_, err := runStatements(1)
	require.Equal(t, operatorclient.ErrNoDaemon{Reason: "no address is given"}, err)
	_, err = runStatements(1, closedDaemon())
	require.True(t, operatorclient.IsErrNoDaemon(err))
}
