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
	// storeIP steers the store, endpointIPs count up those at which endpoints are steered, instanceIPs those of instances.
	storeIP     = "127.0.2.1"
	endpointIPs = "127.0.3.%d"
	instanceIPs = "127.0.4.%d"
	// upLimit bounds the start of a process and endLimit its planned end; both are far beyond what was seen.
	upLimit  = 30 * time.Second
	endLimit = 12 * time.Second
	// halls is in how many halls the site stands.
	halls = 3
	// plainEvery is of how many endpoints one is a plain service.
	plainEvery = 3
)

// site is a store, endpoints and instances as processes.
type site struct {
	args      arguments
	folder    string
	self      string
	log       *logrus.Entry
	notes     *notes
	store     *processes.Process
	storeAt   *outside.StoreHandle
	endpoints []*endpoint
	instances []*instance
	operator  *operator
	crashing  []*crasher
}

func hall(i int) string {
	return fmt.Sprintf("h%d", 1+i%halls)
}

// start starts all processes and waits until all instances are ready.
func (s *site) start() error {
	if err := s.startStore(); err != nil {
		return err
	}
	s.operator = newOperator(s)
	if err := s.operator.put(); err != nil {
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
	s.storeAt = outside.NewStoreHandle(control)
	up := func() bool {
		_, err := s.storeAt.Address()
		return err == nil
	}
	if !processes.Poll(upLimit, up) {
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
		e := &endpoint{site: s, place: i, ip: ip}
		if err := e.begin(); err != nil {
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
	store, err := s.storeAt.Address()
	if err != nil {
		return err
	}
	for i, ip := range ips {
		one, err := newEntry(s, place{name: fmt.Sprintf("instance-%d", i), hall: hall(i), ip: ip, ports: ports}, seeds, store)
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

// awaitReady waits until all instances are ready.
func (s *site) awaitReady() error {
	// A connection that is kept would be taken for a caller's.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for _, one := range s.instances {
		if !processes.Poll(upLimit, func() bool { return processes.RespondsOK(client, one.ready) }) {
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

// close ends all processes by plan; instances first, so that the others' ends disturb nobody.
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
		s.store.Terminate(endLimit)
	}
}

// journals gives the files in which endpoints note their runs.
func (s *site) journals() ([]string, error) {
	return filepath.Glob(filepath.Join(s.folder, "*.runs.jsonl"))
}

// notes collects what the soak itself did, for the record.
type notes struct {
	mutex       sync.Mutex
	disruptions []ledger.Disruption
	departures  []ledger.Departure
	namings     []ledger.Naming
	exits       []ledger.Exit
	overfull    int
}

func (n *notes) disrupt(trouble ledger.Trouble, target string, from, to time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.disruptions = append(n.disruptions, ledger.Disruption{Trouble: trouble, Target: target, From: from, To: to})
}

func (n *notes) depart(id string, acknowledged time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.departures = append(n.departures, ledger.Departure{Endpoint: id, Acknowledged: acknowledged})
}

func (n *notes) name(naming ledger.Naming) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.namings = append(n.namings, naming)
}

func (n *notes) exit(exit ledger.Exit) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.exits = append(n.exits, exit)
}
