// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	entries      = 3
	workers      = 4
	adapters     = 60
	callers      = 12
	requests     = 50
	startLimit   = 20 * time.Second
	startPace    = 50 * time.Millisecond
	workerLoad   = 60 * time.Millisecond
	eventPause   = 4 * time.Millisecond
	events       = 8
	drainAfter   = time.Second
	stopAfter    = 2 * time.Second
	changeAfter  = 3 * time.Second
	sharedIPBase = 21
)

// demo is a running deployment of stand-ins and entry processes.
type demo struct {
	folder    string
	store     *standin.Store
	models    []*standin.Worker
	plain     []*standin.Worker
	ips       []string
	ports     standin.Ports
	processes []*exec.Cmd
	running   sync.WaitGroup
}

func run(program string) error {
	folder, err := os.MkdirTemp("", "shelfledge-demo-")
	if err != nil {
		return err
	}
	d := &demo{folder: folder, store: standin.NewStore()}
	defer d.close()
	d.startWorkers()
	if err := d.startEntries(program); err != nil {
		return err
	}
	if err := d.waitReady(); err != nil {
		return err
	}
	fmt.Printf("%d entries are ready before %d model workers and %d plain ones\n", entries, workers, workers)
	traffic := newTraffic(d)
	troubles := d.scheduleTroubles(traffic)
	traffic.run()
	troubles.Wait()
	return d.report(traffic)
}

func (d *demo) startWorkers() {
	d.store.Put("op/config", standin.Configuration(1, nil))
	for i := range workers {
		d.models = append(d.models, standin.NewWorker(d.store, standin.WorkerOptions{
			ID: fmt.Sprintf("i-model-%d", i), Service: standin.ModelService, Zone: "h1", Slots: 16, Model: standin.Model,
			Capacity: 8, LoadTime: workerLoad, Events: events, Pause: eventPause,
		}))
		d.plain = append(d.plain, standin.NewWorker(d.store, standin.WorkerOptions{
			ID: fmt.Sprintf("i-plain-%d", i), Service: standin.PlainService, Zone: "h1", Slots: 8,
		}))
	}
}

func (d *demo) startEntries(program string) error {
	for i := range entries {
		d.ips = append(d.ips, fmt.Sprintf("127.0.0.%d", sharedIPBase+i))
	}
	ports, err := standin.FreePorts(d.ips)
	if err != nil {
		return err
	}
	d.ports = ports
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		encoded, err := json.Marshal(standin.Settings(name, "h1", d.ips[i], ports, nil, d.store.Address()))
		if err != nil {
			return err
		}
		settings := filepath.Join(d.folder, name+".json")
		if err := os.WriteFile(settings, encoded, 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(d.folder, name+".log"))
		if err != nil {
			return err
		}
		process := exec.Command(program, "--settings", settings, "--metrics-port", fmt.Sprint(ports.Metrics))
		process.Stdout, process.Stderr = log, log
		if err := process.Start(); err != nil {
			return err
		}
		d.processes = append(d.processes, process)
		d.running.Go(func() {
			_ = process.Wait()
			_ = log.Close()
		})
	}
	return nil
}

func (d *demo) waitReady() error {
	deadline := time.Now().Add(startLimit)
	for i := range entries {
		for !d.ready(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry-%d does not become ready; its log is in %s", i, d.folder)
			}
			time.Sleep(startPace)
		}
	}
	return nil
}

func (d *demo) ready(i int) bool {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/-/readyz", d.ips[i], d.ports.Ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// scheduleTroubles drains a worker, stops an entry and changes the configuration in mid-traffic.
func (d *demo) scheduleTroubles(traffic *traffic) *sync.WaitGroup {
	var troubles sync.WaitGroup
	troubles.Go(func() {
		time.Sleep(drainAfter)
		d.models[0].Drain()
		fmt.Println("a model worker drains")
		time.Sleep(stopAfter - drainAfter)
		traffic.leave(0)
		_ = d.processes[0].Process.Signal(syscall.SIGTERM)
		fmt.Println("an entry is told to stop")
		time.Sleep(changeAfter - stopAfter)
		d.store.Put("op/config", standin.Configuration(2, map[string]string{"/new/": standin.PlainService}))
		fmt.Println("a configuration with one more route is put")
	})
	return &troubles
}

func (d *demo) report(traffic *traffic) error {
	time.Sleep(2 * time.Second)
	for i := 1; i < entries; i++ {
		if err := traffic.check(func() int { return i }, "/new/", ""); err != nil {
			return fmt.Errorf("the new route is not in force at entry-%d: %w", i, err)
		}
	}
	overfull := 0
	for _, worker := range d.models {
		overfull += worker.Overfull()
	}
	fmt.Printf("%d requests answered whole, %d refused as not run and tried again, %d answers wrong\n", traffic.answered, traffic.refused, len(traffic.wrong))
	if overfull > 0 {
		return fmt.Errorf("%d orders went beyond a worker's places", overfull)
	}
	if len(traffic.wrong) > 0 {
		return errors.Join(traffic.wrong...)
	}
	fmt.Println("every answer was whole, from the adapter that was asked for, and no request ran twice")
	return nil
}

func (d *demo) close() {
	for _, process := range d.processes {
		_ = process.Process.Signal(syscall.SIGTERM)
	}
	d.running.Wait()
	for _, worker := range append(d.models, d.plain...) {
		worker.Close()
	}
	d.store.Close()
	_ = os.RemoveAll(d.folder)
}
