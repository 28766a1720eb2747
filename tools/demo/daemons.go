// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tests/standin"
)

const (
	daemonSeed        = 7
	daemonConcurrency = 80
	daemonMaxAttempts = 6
	daemonAdapters    = 120
	// onceInterval selects the requests that must run at most once, whichever caller or daemon retries them: every onceInterval-th request.
	onceInterval = 5
	// zipfExponent and zipfOffset are the parameters of the Zipf distribution by which a few adapters get most requests.
	zipfExponent = 1.1
	zipfOffset   = 2
	// lostConnectionWait is the wait before a retry after a broken connection, such as to a daemon that has just stopped.
	lostConnectionWait = 50 * time.Millisecond
	// retryAfterMargin is added to the wait of a Retry-After header, which is given in whole seconds.
	retryAfterMargin = 20 * time.Millisecond
)

// daemons is a cluster of stand-in engines with shelfledged processes in front of it.
type daemons struct {
	processGroup
	cluster *standin.Cluster
	entries []instancelist.Entry
	folder  string
}

// runDaemons sends requests through four daemons in two halls while an engine restarts and a daemon stops.
func runDaemons(args arguments, folder string) error {
	cluster, err := standin.StartCluster(standin.ClusterOptions{
		Halls: []string{"h1", "h2"}, EnginesPerHall: 4, Bases: []string{"base-a", "base-b"}, Slots: 4, MaxBatch: 16,
		Step: 20 * time.Millisecond, Load: 300 * time.Millisecond, UnfencedEvery: 4, ListLag: 500 * time.Millisecond,
		StoreRate: 8, StoreConcurrency: 4,
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	d := &daemons{cluster: cluster, folder: folder}
	defer d.stopAll()
	for _, id := range []string{"h1-i1", "h1-i2", "h2-i1", "h2-i2"} {
		if err := d.startDaemon(filepath.Join(args.Bin, "shelfledged"), id); err != nil {
			return err
		}
	}
	cluster.List.Set(d.entries)
	if err := d.waitReady(); err != nil {
		return err
	}
	if err := d.registerAdapters(filepath.Join(args.Bin, "shelfctl")); err != nil {
		return err
	}
	results, failed := loadRun{requests: d.requests(args.Requests), callers: daemonConcurrency, tries: daemonMaxAttempts, faults: map[int]func() error{
		args.Requests / 3: func() error {
			fmt.Println("restarting an engine")
			cluster.Engines[0].Engine.Restart()
			return nil
		},
		args.Requests / 2: func() error {
			fmt.Println("stopping a daemon")
			return d.processes[1].stop()
		},
	}}.sendAll()
	return errors.Join(failed, printReport(results, "kiosk", "traveller", "overnight"), d.checkEngines(results))
}

func (d *daemons) startDaemon(program, id string) error {
	ports, err := platformstandin.FreePorts([]string{"127.0.0.1"})
	if err != nil {
		return err
	}
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port) }
	addresses := standin.InstanceAddresses{ID: id, Hall: id[:2], Callers: at(ports.Callers), Operators: at(ports.Ready), Peers: at(ports.Peers)}
	d.entries = append(d.entries, standin.ListEntry(addresses))
	p := &process{name: id, callers: addresses.Callers.String(), ready: "http://" + addresses.Callers.String() + "/readyz"}
	if err := p.start(program, d.folder, []byte(d.cluster.SettingsText(addresses, nil))); err != nil {
		return err
	}
	d.processes = append(d.processes, p)
	return nil
}

// registerAdapters creates the adapters with two versions each, and a service, by means of shelfctl.
func (d *daemons) registerAdapters(program string) error {
	out, err := standin.RunShelfctl(program, d.entries[0].Operator, d.folder, standin.AdapterCommands(daemonAdapters))
	if err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	for _, line := range append(lines[:1:1], lines[max(1, len(lines)-2):]...) {
		fmt.Println("shelfctl:", line)
	}
	return nil
}

func (d *daemons) requests(count int) []request {
	random := rand.New(rand.NewPCG(daemonSeed, daemonSeed))
	popular := rand.NewZipf(random, zipfExponent, zipfOffset, daemonAdapters-1)
	classes := []string{"kiosk", "traveller", "traveller", "overnight"}
	var out []request
	for i := range count {
		c := standin.Call{ID: fmt.Sprintf("demo-%04d", i), Class: classes[i%len(classes)], Caller: "demo", Tokens: 10 + random.IntN(30), Once: i%onceInterval == 0}
		c.Model = standin.Adapter(int(popular.Uint64()), 1+random.IntN(standin.AdapterVersions))
		out = append(out, request{id: c.ID, class: c.Class, send: func() reply { return d.send(c) }})
	}
	return out
}

// send makes one attempt and checks the answer.
func (d *daemons) send(c standin.Call) reply {
	a := c.Send(context.Background(), d.nextProcess().callers)
	r := reply{loadStall: a.Stalled, latency: a.TimeToFirstEvent}
	r.detail = fmt.Sprintf("status %d, %s %s, at %s, text %q, error %v", a.Status, a.Outcome, a.ErrorCode, a.Endpoint, a.Text, a.Err)
	switch {
	case a.Done && a.Model == c.Model && a.Text == c.ExpectedText():
		r.outcome = answered
	case a.Status == 0:
		r.outcome, r.wait = refused, lostConnectionWait
	case a.Status != http.StatusOK && a.Outcome == "not_run":
		r.outcome, r.wait = refused, a.RetryAfter+retryAfterMargin
	case a.Outcome != "":
		r.outcome = unknown
	default:
		r.outcome = invalid
	}
	return r
}

// checkEngines checks by the engines' own records that no invariant was violated and no once-request ran twice.
func (d *daemons) checkEngines(results []result) error {
	loads, evictions := 0, 0
	for _, e := range d.cluster.Engines {
		engineLoads, engineEvictions := e.Engine.LoadCounts()
		loads, evictions = loads+engineLoads, evictions+engineEvictions
	}
	fmt.Printf("loads %d, evictions %d\n", loads, evictions)
	runs := make(map[string]int)
	for id, count := range d.cluster.Runs() {
		callerID, _, _ := strings.Cut(id, "~")
		runs[callerID] += count
	}
	var failed []error
	for _, violation := range d.cluster.Violations() {
		failed = append(failed, errors.New(violation))
	}
	for i, r := range results {
		if i%onceInterval == 0 && runs[r.id] > 1 {
			failed = append(failed, fmt.Errorf("request %s must run at most once but ran %d times", r.id, runs[r.id]))
		}
	}
	return errors.Join(failed...)
}
