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
	daemonSeed     = 7
	daemonCallers  = 80
	daemonTries    = 6
	daemonAdapters = 120
	// onceEvery makes each so-manieth request one that must not be repeated, whoever repeats it.
	onceEvery = 5
	// zipfExponent and zipfOffset make few adapters popular.
	zipfExponent = 1.1
	zipfOffset   = 2
	// afterLost is the wait after a connection that broke, as of a daemon that has just gone.
	afterLost = 50 * time.Millisecond
	// beyondRetryAfter is added to the wait that a refusal names, which is in whole seconds.
	beyondRetryAfter = 20 * time.Millisecond
)

// daemons is a cluster of stand-ins with shelfledged processes before it.
type daemons struct {
	fleet
	cluster *standin.Cluster
	entries []instancelist.Entry
	folder  string
}

// showDaemons sends requests through four daemons in two halls while an engine restarts and a daemon stops.
func showDaemons(args arguments, folder string) error {
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
	defer d.close()
	for _, id := range []string{"h1-i1", "h1-i2", "h2-i1", "h2-i2"} {
		if err := d.startDaemon(filepath.Join(args.Bin, "shelfledged"), id); err != nil {
			return err
		}
	}
	cluster.List.Set(d.entries)
	if err := d.waitReady(); err != nil {
		return err
	}
	if err := d.register(filepath.Join(args.Bin, "shelfctl")); err != nil {
		return err
	}
	results, failed := load{requests: d.requests(args.Requests), callers: daemonCallers, tries: daemonTries, troubles: map[int]func() error{
		args.Requests / 3: func() error {
			fmt.Println("an engine restarts")
			cluster.Engines[0].Engine.Restart()
			return nil
		},
		args.Requests / 2: func() error {
			fmt.Println("a daemon is told to stop")
			return d.processes[1].stop()
		},
	}}.run()
	return errors.Join(failed, report(results, "kiosk", "traveller", "overnight"), d.checkEngines(results))
}

func (d *daemons) startDaemon(program, id string) error {
	ports, err := platformstandin.FreePorts([]string{"127.0.0.1"})
	if err != nil {
		return err
	}
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port) }
	place := standin.InstanceAddresses{ID: id, Hall: id[:2], Callers: at(ports.Callers), Operators: at(ports.Ready), Peers: at(ports.Peers)}
	d.entries = append(d.entries, standin.ListEntry(place))
	p := &process{name: id, callers: place.Callers.String(), ready: "http://" + place.Callers.String() + "/readyz"}
	if err := p.start(program, d.folder, []byte(d.cluster.SettingsText(place, nil))); err != nil {
		return err
	}
	d.processes = append(d.processes, p)
	return nil
}

// register creates the adapters, two versions each, and a service, with the operators' tool.
func (d *daemons) register(program string) error {
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
		c := standin.Call{ID: fmt.Sprintf("demo-%04d", i), Class: classes[i%len(classes)], Caller: "demo", Tokens: 10 + random.IntN(30), Once: i%onceEvery == 0}
		c.Model = standin.Adapter(int(popular.Uint64()), 1+random.IntN(standin.AdapterVersions))
		out = append(out, request{id: c.ID, class: c.Class, send: func() reply { return d.send(c) }})
	}
	return out
}

// send makes one attempt and checks the answer.
func (d *daemons) send(c standin.Call) reply {
	a := c.Send(context.Background(), d.next().callers)
	r := reply{stalled: a.Stalled, first: a.TimeToFirstEvent}
	r.detail = fmt.Sprintf("status %d, %s %s, at %s, text %q, error %v", a.Status, a.Outcome, a.ErrorCode, a.Endpoint, a.Text, a.Err)
	switch {
	case a.Done && a.Model == c.Model && a.Text == c.ExpectedText():
		r.outcome = answered
	case a.Status == 0:
		r.outcome, r.wait = refused, afterLost
	case a.Status != http.StatusOK && a.Outcome == "not_run":
		r.outcome, r.wait = refused, a.RetryAfter+beyondRetryAfter
	case a.Outcome != "":
		r.outcome = unknown
	default:
		r.outcome = wrong
	}
	return r
}

// checkEngines checks by the engines' own account that no promise broke and no once-request ran twice.
func (d *daemons) checkEngines(results []result) error {
	loads, evictions := 0, 0
	for _, e := range d.cluster.Engines {
		l, v := e.Engine.LoadCounts()
		loads, evictions = loads+l, evictions+v
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
		if i%onceEvery == 0 && runs[r.id] > 1 {
			failed = append(failed, fmt.Errorf("%s must run once and ran %d times", r.id, runs[r.id]))
		}
	}
	return errors.Join(failed...)
}
