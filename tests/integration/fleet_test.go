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

// testFleet is a cluster of stand-ins with daemons in front of it, all in one process.
type testFleet struct {
	t       testing.TB
	cluster *standin.Cluster
	daemons map[string]*process.Daemon
	places  map[string]standin.InstanceAddresses
	changes map[string]any
}

// patience bounds every wait of a test; it decides nothing, save that a hung test fails.
const patience = 30 * time.Second

func newFleet(t testing.TB, o standin.ClusterOptions, changes map[string]any, ids ...string) *testFleet {
	c, err := standin.StartCluster(o)
	require.NoError(t, err)
	f := &testFleet{t: t, cluster: c, daemons: make(map[string]*process.Daemon), places: make(map[string]standin.InstanceAddresses), changes: changes}
	t.Cleanup(f.close)
	for _, id := range ids {
		f.start(id)
	}
	f.publish()
	for _, id := range ids {
		f.waitReady(id)
	}
	return f
}

// start runs a daemon; its hall is the part of its name before the dash.
func (f *testFleet) start(id string) {
	hall, _, _ := strings.Cut(id, "-")
	place := standin.LoopbackInstance(id, hall)
	s, err := setting.Parse(id, []byte(f.cluster.SettingsText(place, f.changes)))
	require.NoError(f.t, err)
	entry, err := log.New(log.Options{Level: "error", Format: "text", Output: io.Discard})
	require.NoError(f.t, err)
	d, err := process.Start(process.Options{Settings: s, Log: entry})
	require.NoError(f.t, err)
	a := d.Addresses()
	place.Callers, place.Operators, place.Peers = a.Callers, a.Operators, a.Peers
	f.daemons[id] = d
	f.places[id] = place
}

// publish tells the platform's list of the daemons that run.
func (f *testFleet) publish(leaving ...string) {
	var entries []instancelist.Entry
	for id := range f.daemons {
		entries = append(entries, standin.ListEntry(f.places[id]))
	}
	for _, name := range leaving {
		entries = append(entries, instancelist.Entry{Name: name, Kind: instancelist.KindEndpoint, State: instancelist.StateLeaving})
	}
	f.cluster.List.Set(entries)
}

func (f *testFleet) waitReady(id string) {
	f.eventually(func() bool { return f.daemons[id].Ready() }, "daemon %s does not become ready", id)
}

func (f *testFleet) eventually(holds func() bool, format string, args ...any) {
	f.t.Helper()
	require.Eventually(f.t, holds, patience, 10*time.Millisecond, format, args)
}

func (f *testFleet) kill(id string) {
	f.daemons[id].Kill()
	delete(f.daemons, id)
}

func (f *testFleet) close() {
	for _, d := range f.daemons {
		d.Kill()
	}
	f.cluster.Close()
}

// run sends statements to a daemon and gives the answer.
func (f *testFleet) run(id, text string) operator.RunResponse {
	body, err := json.Marshal(operator.RunRequest{Text: text, WaitMS: 10000})
	require.NoError(f.t, err)
	q, err := http.NewRequest(http.MethodPost, "http://"+f.places[id].Operators.String()+"/operator/v1/run", bytes.NewReader(body))
	require.NoError(f.t, err)
	q.Header.Set("Authorization", "Bearer "+standin.OperatorKey)
	resp, err := http.DefaultClient.Do(q)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	var out operator.RunResponse
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// createAdapters makes adapters a-0 and on, each with versions one and two, version one live.
func (f *testFleet) createAdapters(id string, count int) {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, "create adapter a-%d base base-a version 1; create version a-%d@2;\n", i, i)
	}
	out := f.run(id, text.String())
	require.Nil(f.t, out.Error)
	require.True(f.t, out.Answers[0].Change.InForce(), "not in force: %+v", out.Answers[0].Change.Halls)
}

// send sends a call to an instance and gives the answer.
func (f *testFleet) send(ctx context.Context, instance string, c standin.Call) standin.Answer {
	return c.Send(ctx, f.places[instance].Callers.String())
}
