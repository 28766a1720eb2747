// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/processes"
)

const (
	entryCount       = 3
	entryConcurrency = 12
	entryMaxAttempts = 5
	entryAdapters    = 60
	firstEntryIP     = 21
	workerCount      = 4
	streamEvents     = 8
	// newRouteTimeout is the maximum time from the end of the traffic until every entry process serves a new route.
	newRouteTimeout = 2 * time.Second
)

// entries is a stand-in of the users' platform (store and workers) with shelfledge-entry processes in front of it.
type entries struct {
	processGroup
	store        *platformstandin.Store
	modelWorkers []*platformstandin.Worker
	plainWorkers []*platformstandin.Worker
}

// runEntries sends requests through three entry processes while a worker drains, an entry process stops and a route is added.
func runEntries(args arguments, folder string) error {
	e := &entries{store: platformstandin.NewStore()}
	defer e.store.Close()
	e.startWorkers()
	defer e.closeWorkers()
	defer e.stopAll()
	if err := e.startEntries(args, folder); err != nil {
		return err
	}
	results, failed := loadRun{requests: e.requests(args.Requests), callers: entryConcurrency, tries: entryMaxAttempts, faults: map[int]func() error{
		args.Requests / 4: func() error {
			fmt.Println("draining a model worker")
			e.modelWorkers[0].Drain()
			return nil
		},
		args.Requests / 2: func() error {
			fmt.Println("stopping an entry process")
			return e.processes[0].stop()
		},
		args.Requests * 3 / 4: func() error {
			fmt.Println("storing a configuration with one more route")
			e.store.Put(platformstandin.ConfigurationKey, platformstandin.Configuration(2, map[string]string{"/new/": platformstandin.PlainService}))
			return nil
		},
	}}.sendAll()
	return errors.Join(failed, printReport(results, "chat", "hold", "status"), refusalErrors(results), e.checkNewRoute(), e.checkWorkers(results))
}

func (e *entries) startWorkers() {
	e.store.Put(platformstandin.ConfigurationKey, platformstandin.Configuration(1, nil))
	for i := range workerCount {
		e.modelWorkers = append(e.modelWorkers, platformstandin.NewWorker(e.store, platformstandin.WorkerOptions{
			ID: fmt.Sprintf("i-model-%d", i), Service: platformstandin.ModelService, Zone: "h1", Slots: 16, Model: platformstandin.Model,
			Capacity: 8, LoadTime: 60 * time.Millisecond, Events: streamEvents, Pause: 4 * time.Millisecond,
		}))
		e.plainWorkers = append(e.plainWorkers, platformstandin.NewWorker(e.store, platformstandin.WorkerOptions{
			ID: fmt.Sprintf("i-plain-%d", i), Service: platformstandin.PlainService, Zone: "h1", Slots: 8,
		}))
	}
}

func (e *entries) closeWorkers() {
	for _, worker := range append(e.modelWorkers, e.plainWorkers...) {
		worker.Close()
	}
}

func (e *entries) startEntries(args arguments, folder string) error {
	var ips []string
	for i := range entryCount {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", firstEntryIP+i))
	}
	ports, err := platformstandin.FreePorts(ips)
	if err != nil {
		return err
	}
	for i, ip := range ips {
		p := &process{name: fmt.Sprintf("entry-%d", i), callers: fmt.Sprintf("%s:%d", ip, ports.Callers)}
		p.ready = fmt.Sprintf("http://%s:%d/-/readyz", ip, ports.Ready)
		settings, err := json.Marshal(platformstandin.Settings(p.name, "h1", ip, ports, nil, e.store.Address()))
		if err != nil {
			return err
		}
		if err := p.start(args.Bin+"/shelfledge-entry", folder, settings, "--metrics-port", fmt.Sprint(ports.Metrics)); err != nil {
			return err
		}
		e.processes = append(e.processes, p)
	}
	return e.waitReady()
}

func (e *entries) requests(count int) []request {
	random := rand.New(rand.NewPCG(1, 1))
	var out []request
	for i := range count {
		q := request{id: fmt.Sprintf("request %d", i), class: []string{"chat", "hold", "status", "chat"}[random.IntN(4)]}
		adapter := ""
		if q.class == "chat" {
			adapter = fmt.Sprintf("a%d", min(random.IntN(entryAdapters), random.IntN(entryAdapters)))
		}
		q.send = func() reply { return e.send(e.nextProcess(), "/"+q.class+"/x", adapter) }
		out = append(out, q)
	}
	return out
}

// send makes one attempt and checks the answer.
func (e *entries) send(to *process, path, adapter string) reply {
	started := time.Now()
	a := platformstandin.Call{Path: path, Adapter: adapter, Body: "prompt"}.Send(context.Background(), to.callers)
	r := reply{detail: fmt.Sprintf("%+v at %s", a, to.name), latency: time.Since(started), attempt: a.ID}
	switch {
	case errors.Is(a.Err, syscall.ECONNREFUSED):
		// A process that has ended did not accept the request; the load balancer retries it at another process.
		r.outcome = refused
	case a.Err == nil && a.Status == http.StatusServiceUnavailable:
		seconds, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		r.outcome, r.wait = refused, time.Duration(seconds*float64(time.Second))
	case a.Err != nil || a.Status != http.StatusOK || a.Header.Get(platformstandin.HeaderRequestID) != a.ID || a.Header.Get(platformstandin.HeaderSeal) == "":
		r.outcome = invalid
	}
	for event := 1; r.outcome == answered && adapter != "" && event <= streamEvents; event++ {
		if !strings.Contains(a.Body, platformstandin.Event(event, a.ID, adapter)) {
			r.outcome = invalid
		}
	}
	return r
}

// refusalErrors returns an error for each request that was refused at every attempt.
func refusalErrors(results []result) error {
	var failed []error
	for _, r := range results {
		if r.outcome == refused {
			failed = append(failed, fmt.Errorf("%s was refused at all %d attempts, last reply: %s", r.id, r.tries, r.detail))
		}
	}
	return errors.Join(failed...)
}

// checkNewRoute checks that the added route answers at each entry process that still runs.
func (e *entries) checkNewRoute() error {
	for _, p := range e.processes[1:] {
		var last reply
		routeServed := func() bool {
			last = e.send(p, "/new/", "")
			return last.outcome == answered
		}
		if !processes.Poll(newRouteTimeout, routeServed) {
			return fmt.Errorf("%s does not serve the new route; last reply: %s", p.name, last.detail)
		}
	}
	return nil
}

// checkWorkers checks by the workers' own records that each answered attempt ran exactly once, that no attempt ran
// twice, and that no load exceeded the capacity of a worker.
func (e *entries) checkWorkers(results []result) error {
	workers := append(append([]*platformstandin.Worker(nil), e.modelWorkers...), e.plainWorkers...)
	runs := platformstandin.RunCounts(workers...)
	var failed []error
	for _, worker := range workers {
		if count := worker.Overfull(); count > 0 {
			failed = append(failed, fmt.Errorf("%d load orders exceeded the capacity of a worker", count))
		}
	}
	for id, count := range runs {
		if count > 1 {
			failed = append(failed, fmt.Errorf("attempt %s ran %d times", id, count))
		}
	}
	for _, r := range results {
		if r.outcome == answered && runs[r.attempt] != 1 {
			failed = append(failed, fmt.Errorf("%s was answered by attempt %s, which ran %d times", r.id, r.attempt, runs[r.attempt]))
		}
	}
	return errors.Join(failed...)
}
