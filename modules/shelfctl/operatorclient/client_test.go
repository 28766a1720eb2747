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

// daemon answers with the given kinds of error in turn, and the last one for good; an empty kind is success.
type daemon struct {
	address netip.AddrPort
	calls   atomic.Int64
	ids     chan string
}

func newDaemon(t *testing.T, kinds ...operator.ErrorKind) *daemon {
	t.Helper()
	d := &daemon{ids: make(chan string, 100)}
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

func run(rounds int, daemons ...*daemon) (operator.RunResponse, error) {
	o := operatorclient.Options{HTTP: &http.Client{Timeout: 5 * time.Second}, Rounds: rounds}
	for _, d := range daemons {
		o.Addresses = append(o.Addresses, d.address)
	}
	return operatorclient.New(o).Run(context.Background(), "show adapters")
}

// closed is a daemon that does not listen any more.
func closed() *daemon {
	server := httptest.NewServer(http.NotFoundHandler())
	d := &daemon{address: netip.MustParseAddrPort(server.Listener.Addr().String())}
	server.Close()
	return d
}

func TestTheNextDaemonIsAskedWhereOneDoesNotAnswer(t *testing.T) {
	d := newDaemon(t, "")
	out, err := run(1, closed(), d)
	require.NoError(t, err)
	require.Equal(t, "ana", out.Operator)
}

func TestOneAnswerIsFinalUnlessAnotherMayBeBetter(t *testing.T) {
	for kind, others := range map[operator.ErrorKind]int64{
		"": 0, operator.KindSyntax: 0, operator.KindMeaning: 0, operator.KindConflict: 0, operator.KindDenied: 0, operator.KindTooMany: 0,
		operator.KindUnavailable: 1, operator.KindUnsettled: 1,
	} {
		first, second := newDaemon(t, kind), newDaemon(t, "")
		_, err := run(2, first, second)
		require.NoError(t, err)
		require.Equal(t, int64(1), first.calls.Load(), "%q", kind)
		require.Equal(t, others, second.calls.Load(), "%q", kind)
	}
}

func TestEveryTryHasTheSameIdentifier(t *testing.T) {
	d := newDaemon(t, operator.KindUnsettled, "")
	_, err := run(3, d)
	require.NoError(t, err)
	require.Equal(t, <-d.ids, <-d.ids)
}

func TestTheLastRoundsAnswerIsGiven(t *testing.T) {
	d := newDaemon(t, operator.KindUnavailable)
	out, err := run(2, d)
	require.NoError(t, err)
	require.Equal(t, operator.KindUnavailable, out.Error.Kind)
	require.Equal(t, int64(2), d.calls.Load())
}

func TestNoDaemonIsAnErrorOfItsOwn(t *testing.T) {
	_, err := run(1)
	require.Equal(t, operatorclient.ErrNoDaemon{Reason: "no address is given"}, err)
	_, err = run(1, closed())
	require.True(t, operatorclient.IsErrNoDaemon(err))
}
