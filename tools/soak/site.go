// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/processes"
	"github.com/shelfledge/shelfledge/tools/soak/ledger"
	"github.com/shelfledge/shelfledge/tools/soak/outside"
	"github.com/shelfledge/shelfledge/tools/soak/traffic"
)

const (
	// storeIP is the control address of the store. endpointIPs is the format of the endpoints' control addresses and instanceIPs that
	// of the instances' addresses; each takes a number from 1 on.
	storeIP     = "127.0.2.1"
	endpointIPs = "127.0.3.%d"
	instanceIPs = "127.0.4.%d"
	// startTimeout bounds the start of a process and stopTimeout its planned stop. Observed starts and stops are far shorter.
	startTimeout = 30 * time.Second
	stopTimeout  = 12 * time.Second
	// plainServiceInterval makes every third endpoint a plain service; the other endpoints serve a model.
	plainServiceInterval = 3
)

// site is a deployment of a store, endpoints and instances, each in a process of its own.
type site struct {
	args           arguments
	folder         string
	self           string
	log            *logrus.Entry
	recorder       *recorder
	store          *processes.Process
	storeHandle    *outside.StoreHandle
	endpoints      []*endpoint
	instances      []*instance
	operator       *operator
	activeCrashers []*crasher
}

// hall returns the hall of an instance or endpoint, of the given number of halls.
func hall(i, halls int) string {
	return fmt.Sprintf("h%d", 1+i%halls)
}

// start starts all processes and returns when all instances are ready.
func (s *site) start() error {
	if err := s.startStore(); err != nil {
		return err
	}
	s.operator = newOperator(s)
	if err := s.operator.writeConfiguration(); err != nil {
		return err
	}
	if err := s.startEndpoints(); err != nil {
		return err
	}
	return s.startInstances()
}

func (s *site) startStore() error {
	ports, err := platformstandin.FreePorts([]string{storeIP})
	if err != nil {
		return err
	}
	control := fmt.Sprintf("%s:%d", storeIP, ports.Callers)
	s.store, err = processes.Start(processes.Command{
		Name: "store", Program: s.self, Folder: s.folder, Arguments: []string{"store", "--control", control},
	})
	if err != nil {
		return err
	}
	s.storeHandle = outside.NewStoreHandle(control)
	up := func() bool {
		_, err := s.storeHandle.Address()
		return err == nil
	}
	if !processes.Poll(startTimeout, up) {
		return fmt.Errorf("the store does not come up")
	}
	return nil
}

func (s *site) startEndpoints() error {
	var ips []string
	for i := range s.args.Endpoints {
		ips = append(ips, fmt.Sprintf(endpointIPs, i+1))
	}
	for i, ip := range ips {
		e := &endpoint{site: s, index: i, ip: ip}
		if err := e.startNext(); err != nil {
			return err
		}
		s.endpoints = append(s.endpoints, e)
	}
	return nil
}

func (s *site) startInstances() error {
	var ips, seeds []string
	for i := range s.args.Instances {
		ips = append(ips, fmt.Sprintf(instanceIPs, i+1))
	}
	ports, err := platformstandin.FreePorts(ips)
	if err != nil {
		return err
	}
	for _, ip := range ips[:min(len(ips), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports.Callers))
	}
	store, err := s.storeHandle.Address()
	if err != nil {
		return err
	}
	for i, ip := range ips {
		one, err := newEntry(s, s.programs(i), place{name: fmt.Sprintf("instance-%d", i), hall: hall(i, s.args.Halls), ip: ip, ports: ports}, seeds, store)
		if err != nil {
			return err
		}
		if err := one.start(); err != nil {
			return err
		}
		s.instances = append(s.instances, one)
	}
	return s.awaitReady()
}

// programs returns the folder with the programs that an instance runs.
func (s *site) programs(i int) string {
	if s.args.Former != "" && i%2 == 1 {
		return s.args.Former
	}
	return s.args.Bin
}

// awaitReady waits until all instances are ready.
func (s *site) awaitReady() error {
	// An idle keep-alive connection would be counted as an open connection of a caller.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, one := range s.instances {
		if !processes.Poll(startTimeout, func() bool { return processes.RespondsOK(client, one.ready) }) {
			return fmt.Errorf("%s does not become ready", one.name)
		}
	}
	return nil
}

func (s *site) targets() []traffic.Target {
	var targets []traffic.Target
	for _, one := range s.instances {
		targets = append(targets, one.target())
	}
	return targets
}

// close stops all processes. Instances stop first, so that stopping the store and the endpoints disturbs no instance.
func (s *site) close() {
	var ending sync.WaitGroup
	for _, one := range s.instances {
		ending.Go(one.close)
	}
	ending.Wait()
	for _, e := range s.endpoints {
		ending.Go(e.close)
	}
	ending.Wait()
	if s.store != nil {
		s.store.Terminate(stopTimeout)
	}
}

// journals returns the paths of the files in which endpoints record their runs.
func (s *site) journals() ([]string, error) {
	return filepath.Glob(filepath.Join(s.folder, "*.runs.jsonl"))
}

// recorder collects the actions of the soak itself and the process exits for the record of the run.
type recorder struct {
	mutex       sync.Mutex
	disruptions []ledger.Disruption
	departures  []ledger.Departure
	endpoints   []ledger.EndpointSpan
	namings     []ledger.Naming
	exits       []ledger.Exit
	overfull    int
}

func (n *recorder) addDisruption(trouble ledger.Fault, target string, from, to time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.disruptions = append(n.disruptions, ledger.Disruption{Fault: trouble, Target: target, From: from, To: to})
}

func (n *recorder) addDeparture(id string, acknowledged time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.departures = append(n.departures, ledger.Departure{Endpoint: id, Acknowledged: acknowledged})
}

// addEndpoint records that an endpoint serves streams from now on.
func (n *recorder) addEndpoint(id, software string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.endpoints = append(n.endpoints, ledger.EndpointSpan{Endpoint: id, Software: software, From: time.Now()})
}

// endEndpoint records that an endpoint serves no further streams.
func (n *recorder) endEndpoint(id string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for i := range n.endpoints {
		if one := &n.endpoints[i]; one.Endpoint == id && one.To.IsZero() {
			one.To = time.Now()
		}
	}
}

func (n *recorder) addNaming(naming ledger.Naming) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.namings = append(n.namings, naming)
}

func (n *recorder) exit(exit ledger.Exit) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.exits = append(n.exits, exit)
}
