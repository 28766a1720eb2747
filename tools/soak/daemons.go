// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tests/standin"
	"github.com/shelfledge/shelfledge/tools/processes"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
	"github.com/shelfledge/shelfledge/tools/soak/plan"
	"github.com/shelfledge/shelfledge/tools/soak/traffic"
)

const (
	// daemonIPs is the format of the daemons' addresses; it takes a number from 1 on.
	daemonIPs = "127.0.5.%d"
	// daemonNotice is how long a stopping daemon reports that it is not ready before it closes. daemonDrain bounds the rest of the stop.
	daemonNotice = time.Second
	daemonDrain  = 8 * time.Second
	// daemonAdapters is the number of adapters.
	daemonAdapters = 60
	// noIdleLimit stands for an idle limit in the bounds: within a run, daemons close no idle connection.
	noIdleLimit = time.Hour
)

// daemonKinds are the kinds of step of a soak of daemons. There, endpoint-killed restarts an engine.
var daemonKinds = []plan.Kind{
	plan.Stop, plan.StopTwice, plan.Kill, plan.Freeze, plan.EndpointKilled, plan.LinkSlow, plan.LinkCut, plan.LinkDeaf, plan.LinkReset, plan.Busy,
}

// daemonSite is a cluster of stand-ins with processes of shelfledged in front of it.
type daemonSite struct {
	*site

	cluster *standin.Cluster
	list    []instancelist.Entry

	mutex sync.Mutex
	runs  []platformstandin.RunEvent
}

// runDaemons runs one soak of shelfledged and prints its report.
func runDaemons(args arguments) error {
	site, err := newSite(args, "daemons")
	if err != nil {
		return err
	}
	d := &daemonSite{site: site}
	if err := d.start(); err != nil {
		d.close()
		return fmt.Errorf("%w; logs are in %s", err, d.folder)
	}
	steps := plan.Draw(args.Seed, d.planOptions())
	attempts, lag := d.play(steps)
	usages := d.usages()
	d.close()
	return d.reportRun(d.record(attempts, lag), usages, steps)
}

// planOptions returns the options of the plan. Without --only, all of daemonKinds may be drawn.
func (d *daemonSite) planOptions() plan.Options {
	only := d.args.kinds()
	if only == nil {
		only = daemonKinds
	}
	return plan.Options{
		Span: time.Duration(d.args.Seconds) * time.Second, Instances: d.args.Instances, Endpoints: len(d.cluster.Engines), Only: only,
	}
}

// start starts the stand-ins and all daemons, and creates the adapters.
func (d *daemonSite) start() error {
	var names []string
	for i := range min(d.args.Halls, d.args.Instances) {
		names = append(names, hall(i, d.args.Halls))
	}
	var err error
	d.cluster, err = standin.StartCluster(standin.ClusterOptions{
		Halls: names, EnginesPerHall: max(1, d.args.Endpoints/len(names)), Bases: []string{"base-a", "base-b"}, Slots: 4, MaxBatch: 16,
		Step: 20 * time.Millisecond, Load: 300 * time.Millisecond, UnfencedEvery: 4, ListLag: 500 * time.Millisecond, StoreRate: 8, StoreConcurrency: 4,
		OnRunStart: d.recordBegin,
	})
	if err != nil {
		return err
	}
	if err := d.startDaemons(); err != nil {
		return err
	}
	d.cluster.List.Set(d.list)
	if err := d.awaitReady(); err != nil {
		return err
	}
	_, err = standin.RunShelfctl(filepath.Join(d.args.Bin, "shelfctl"), d.list[0].Operator, d.folder, standin.AdapterCommands(daemonAdapters))
	return err
}

func (d *daemonSite) startDaemons() error {
	var ips []string
	for i := range d.args.Instances {
		ips = append(ips, fmt.Sprintf(daemonIPs, i+1))
	}
	ports, err := platformstandin.FreePorts(ips)
	if err != nil {
		return err
	}
	for i, ip := range ips {
		one, err := d.newDaemon(place{name: fmt.Sprintf("daemon-%d", i), hall: hall(i, d.args.Halls), ip: ip, ports: ports})
		if err != nil {
			return err
		}
		if err := one.start(); err != nil {
			return err
		}
		d.instances = append(d.instances, one)
	}
	return nil
}

// newDaemon returns an instance that runs shelfledged and adds it to the instance list.
func (d *daemonSite) newDaemon(at place) (*instance, error) {
	one, err := newInstance(d.site, at, d.cluster.KVAddress.String())
	if err != nil {
		return nil, err
	}
	address := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr(at.ip), port) }
	listens := standin.InstanceAddresses{
		ID: at.name, Hall: at.hall, Callers: address(at.ports.Callers), Operators: address(at.ports.Ready), Peers: address(at.ports.Peers),
	}
	d.list = append(d.list, standin.ListEntry(listens))
	one.ready = "http://" + at.callers() + "/readyz"
	one.command = func(at place, store string) (processes.Command, error) {
		settings := d.cluster.SettingsText(listens, map[string]any{
			"kv":     map[string]any{"addresses": []string{store}},
			"limits": map[string]any{"leave_notice": daemonNotice.String(), "drain_limit": daemonDrain.String()},
		})
		return processes.Command{Name: at.name, Program: filepath.Join(d.args.Bin, "shelfledged"), Folder: d.folder, Settings: []byte(settings)}, nil
	}
	return one, nil
}

// recordBegin records that an engine begins to run a request. The daemon appends "~" and a suffix to the caller's identifier to
// distinguish its attempts; recordBegin removes the suffix.
func (d *daemonSite) recordBegin(engine, id string) {
	callerID, _, _ := strings.Cut(id, "~")
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.runs = append(d.runs, platformstandin.RunEvent{At: time.Now(), Phase: platformstandin.RunBegan, Endpoint: engine, ID: callerID})
}

// play sends the requests of all callers while it executes the plan. It returns the attempts and the meter of the soak's own lag.
func (d *daemonSite) play(steps []plan.Step) ([]ledger.Attempt, *lagMeter) {
	background, end := context.WithCancel(context.Background())
	defer end()
	lag := newLagMeter()
	go lag.run(background)
	balancer := traffic.NewBalancer(d.targets())
	go balancer.Run(background)
	sending, stopSending := context.WithTimeout(background, time.Duration(d.args.Seconds)*time.Second)
	defer stopSending()
	crowd := newDaemonCallers(balancer, d.args)
	crowd.start(sending)
	d.execute(sending, steps, d.executeStep)
	return crowd.wait(), lag
}

// executeStep executes one step. The number of the step varies the details that its kind does not fix.
func (d *daemonSite) executeStep(ctx context.Context, step plan.Step, number int) error {
	switch {
	case step.Kind == plan.Busy:
		return d.keepBusy(ctx, step)
	case step.Kind == plan.EndpointKilled:
		engine := d.cluster.Engines[step.Target%len(d.cluster.Engines)]
		engine.Engine.Restart()
		return nil
	case d.disturbInstance(step, number), d.disturbStoreLink(step):
		return nil
	}
	return fmt.Errorf("no step of daemons: %q", step.Kind)
}

// record combines the records of callers, engines and the soak itself.
func (d *daemonSite) record(attempts []ledger.Attempt, lag *lagMeter) *ledger.Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return &ledger.Record{
		Attempts: attempts, Runs: d.runs, Disruptions: d.recorder.disruptions, Exits: d.recorder.exits, EndpointViolations: d.cluster.Violations(), Lag: lag.maxLag,
		Bounds: ledger.Bounds{Grace: daemonNotice + daemonDrain, GraceMargin: graceMargin, IdleLimit: noIdleLimit},
	}
}

// close stops all processes and stand-ins.
func (d *daemonSite) close() {
	d.site.close()
	if d.cluster != nil {
		d.cluster.Close()
	}
}
