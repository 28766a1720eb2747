// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
	"github.com/shelfledge/shelfledge/modules/daemon/log"
	"github.com/shelfledge/shelfledge/modules/daemon/setting"
	"github.com/shelfledge/shelfledge/routers/daemon/operator"
	"github.com/shelfledge/shelfledge/services/daemon/process"
	"github.com/shelfledge/shelfledge/tests/standin"
)

// testFleet is a cluster of stand-ins for engines, key-value service and platform, with daemons in front of it, all in one process.
type testFleet struct {
	t       testing.TB
	cluster *standin.Cluster
	daemons map[string]*process.Daemon
	// addresses holds the listen addresses of each instance that was started.
	addresses map[string]standin.InstanceAddresses
	// settingsChanges replaces parts of the daemons' default settings.
	settingsChanges map[string]any
	// sent is the number of requests that serves has sent.
	sent int
}

// waitTimeout bounds every wait of a test, so that a test that hangs fails. No result depends on its value otherwise.
const waitTimeout = 30 * time.Second

func newFleet(t testing.TB, o standin.ClusterOptions, changes map[string]any, ids ...string) *testFleet {
	c, err := standin.StartCluster(o)
	require.NoError(t, err)
	f := &testFleet{t: t, cluster: c, daemons: make(map[string]*process.Daemon), addresses: make(map[string]standin.InstanceAddresses), settingsChanges: changes}
	t.Cleanup(f.close)
	for _, id := range ids {
		f.startDaemon(id)
	}
	f.publishList()
	for _, id := range ids {
		f.waitReady(id)
	}
	return f
}

// startDaemon starts a daemon. Its hall is the part of the ID before the dash.
func (f *testFleet) startDaemon(id string) {
	hall, _, _ := strings.Cut(id, "-")
	place := standin.LoopbackInstance(id, hall)
	s, err := setting.Parse(id, []byte(f.cluster.SettingsText(place, f.settingsChanges)))
	require.NoError(f.t, err)
	entry, err := log.New(log.Options{Level: "error", Format: "text", Output: io.Discard})
	require.NoError(f.t, err)
	d, err := process.Start(process.Options{Settings: s, Log: entry})
	require.NoError(f.t, err)
	a := d.Addresses()
	place.Callers, place.Operators, place.Peers = a.Callers, a.Operators, a.Peers
	f.daemons[id] = d
	f.addresses[id] = place
}

// publishList sets the platform's instance list to the running daemons and the leaving endpoints.
func (f *testFleet) publishList(leaving ...string) {
	var entries []instancelist.Entry
	for id := range f.daemons {
		entries = append(entries, standin.ListEntry(f.addresses[id]))
	}
	for _, name := range leaving {
		entries = append(entries, instancelist.Entry{Name: name, Kind: instancelist.KindEndpoint, State: instancelist.StateLeaving})
	}
	f.cluster.List.Set(entries)
}

func (f *testFleet) waitReady(id string) {
	f.waitFor(func() bool { return f.daemons[id].Ready() }, "daemon %s does not become ready", id)
}

func (f *testFleet) waitFor(condition func() bool, format string, args ...any) {
	f.t.Helper()
	require.Eventually(f.t, condition, waitTimeout, 10*time.Millisecond, format, args)
}

func (f *testFleet) killDaemon(id string) {
	f.daemons[id].Kill()
	delete(f.daemons, id)
}

func (f *testFleet) close() {
	for _, d := range f.daemons {
		d.Kill()
	}
	f.cluster.Close()
}

// runStatements sends operator statements to a daemon and returns the answer.
func (f *testFleet) runStatements(id, text string) operator.RunResponse {
	body, err := json.Marshal(operator.RunRequest{Text: text, WaitMS: 10000})
	require.NoError(f.t, err)
	q, err := http.NewRequest(http.MethodPost, "http://"+f.addresses[id].Operators.String()+"/operator/v1/run", bytes.NewReader(body))
	require.NoError(f.t, err)
	q.Header.Set("Authorization", "Bearer "+standin.OperatorKey)
	resp, err := http.DefaultClient.Do(q)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var out operator.RunResponse
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// createAdapters creates count adapters named a-0, a-1 and so on, each with versions 1 and 2, of which version 1 is live.
func (f *testFleet) createAdapters(id string, count int) {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "create adapter a-%d base base-a version 1; create version a-%d@2;\n", i, i)
	}
	out := f.runStatements(id, text.String())
	require.Nil(f.t, out.Error)
	require.True(f.t, out.Answers[0].Change.InForce(), "change not in force in all halls: %+v", out.Answers[0].Change.Halls)
}

// sendCall sends a caller's request to an instance and returns the answer.
func (f *testFleet) sendCall(ctx context.Context, instance string, c standin.Call) standin.Answer {
	return c.Send(ctx, f.addresses[instance].Callers.String())
}
