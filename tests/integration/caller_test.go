// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/tests/standin"
)

// openTickets returns the number of tickets that the pools of a daemon have granted and not got back.
func (f *testFleet) openTickets(id string) int {
	count := 0
	f.daemons[id].Control().View(func(now time.Time, n *node.Node) {
		for _, p := range n.Pools(now) {
			count += len(p.Tickets)
		}
	})
	return count
}

func TestCallerDisconnectCancelsRequestAtEndpoint(t *testing.T) {
	f := newFleet(t, oneHallOptions(), nil, "h1-i1")
	f.createAdapters("h1-i1", 1)
	ctx, cancel := context.WithCancel(context.Background())
	answers := make(chan standin.Answer)
	go func() {
		answers <- f.sendCall(ctx, "h1-i1", standin.Call{ID: "long", Model: "a-0@1", Class: "kiosk", Caller: "test", Tokens: 1_000_000})
	}()
	f.waitFor(func() bool { return f.openTickets("h1-i1") == 1 }, "the request does not start")
	f.waitFor(func() bool { return len(f.cluster.Runs()) == 1 }, "the request does not run")
	cancel()
	require.False(t, (<-answers).Done)
	f.waitFor(func() bool { return f.openTickets("h1-i1") == 0 }, "the ticket is not returned")
	for _, e := range f.cluster.Engines {
		require.Zero(t, e.Engine.Running(), "the endpoint still runs a request whose caller has disconnected")
	}
}

func TestPlainServiceRequestRunsOnceAcrossInstances(t *testing.T) {
	f := newFleet(t, oneHallOptions(), nil, "h1-i1", "h1-i2")
	send := func(instance, method, body, id string) (int, string) {
		q, err := http.NewRequest(method, "http://"+f.addresses[instance].Callers.String()+"/tickets/cabin", strings.NewReader(body))
		require.NoError(t, err)
		if id != "" {
			q.Header.Set("X-Request-Id", id)
			q.Header.Set("X-Once", "true")
		}
		resp, err := http.DefaultClient.Do(q)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(text)
	}
	status, text := send("h1-i1", http.MethodPost, "book 1", "")
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "POST /tickets/cabin book 1", text)
	status, _ = send("h1-i1", http.MethodPost, "book 2", "pay-2")
	require.Equal(t, http.StatusOK, status)
	status, text = send("h1-i2", http.MethodPost, "book 2", "pay-2")
	require.Equal(t, http.StatusConflict, status, "a repetition by the load balancer at another instance")
	require.Contains(t, text, `"outcome":"unknown"`)
	require.Equal(t, 1, f.cluster.Plain.Calls("book 2"))
	status, _ = send("h1-i2", http.MethodGet, "", "")
	require.Equal(t, http.StatusOK, status)
}

func TestQueriesCoverFleetAndListMissingInstance(t *testing.T) {
	f := newFleet(t, threeHallOptions(), nil, instanceIDs(6)...)
	f.createAdapters("h1-i1", 30)
	for i := range 60 {
		c := standin.Call{ID: fmt.Sprintf("x-%d", i), Model: fmt.Sprintf("a-%d@1", i%30), Class: "kiosk", Caller: "test", Tokens: 2}
		require.True(t, f.sendCall(context.Background(), instanceIDs(6)[i%6], c).Done)
	}
	f.waitFor(func() bool { return len(f.runStatements("h3-i2", "show instances").Answers[0].Table.Rows) == 6 }, "the instance does not list all six instances")
	lines := strings.Join(f.runStatements("h2-i1", "explain request x-7").Answers[0].Explain.Lines, "\n")
	require.Contains(t, lines, "got a place on")
	require.Contains(t, lines, "ended on")
	lines = strings.Join(f.runStatements("h2-i1", "explain adapter a-7").Answers[0].Explain.Lines, "\n")
	require.Contains(t, lines, "version 1 is live")
	require.Contains(t, lines, "is being loaded on")
	lines = strings.Join(f.runStatements("h2-i1", "explain revision 1").Answers[0].Explain.Lines, "\n")
	require.Contains(t, lines, "in force in hall h3")
	evictions := f.runStatements("h1-i2", "show events where kind = evict").Answers[0].Table
	require.NotEmpty(t, evictions.Rows, "30 adapters do not fit into 24 slots")
	f.killDaemon("h2-i2")
	parts := f.runStatements("h1-i1", "show slots").Answers[0].Parts
	require.Len(t, parts, 3)
	missing := ""
	for _, p := range parts {
		missing += strings.Join(p.Missing, " ")
	}
	require.Equal(t, "h2-i2", missing, "a dead instance is listed as missing")
}
