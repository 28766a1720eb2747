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
	entryCount    = 3
	entryCallers  = 12
	entryTries    = 5
	entryAdapters = 60
	entryIPBase   = 21
	workerCount   = 4
	streamEvents  = 8
	// inForceLimit bounds the time from the end of the traffic until a new route answers at each entry.
	inForceLimit = 2 * time.Second
)

// entries is a store and workers of the users' platform with shelfledge-entry processes before them.
type entries struct {
	fleet
	store  *platformstandin.Store
	models []*platformstandin.Worker
	plain  []*platformstandin.Worker
}

// showEntries sends requests through three entries while a worker drains, an entry stops and a route is added.
func showEntries(args arguments, folder string) error {
	e := &entries{store: platformstandin.NewStore()}
	defer e.store.Close()
	e.startWorkers()
	defer e.closeWorkers()
	defer e.close()
	if err := e.startEntries(args, folder); err != nil {
		return err
	}
	results, failed := load{requests: e.requests(args.Requests), callers: entryCallers, tries: entryTries, troubles: map[int]func() error{
		args.Requests / 4: func() error {
			fmt.Println("a model worker drains")
			e.models[0].Drain()
			return nil
		},
		args.Requests / 2: func() error {
			fmt.Println("an entry is told to stop")
			return e.processes[0].stop()
		},
		args.Requests * 3 / 4: func() error {
			fmt.Println("a configuration with one more route is put")
			e.store.Put(platformstandin.ConfigurationKey, platformstandin.Configuration(2, map[string]string{"/new/": platformstandin.PlainService}))
			return nil
		},
	}}.run()
	return errors.Join(failed, report(results, "chat", "hold", "status"), refusals(results), e.checkNewRoute(), e.checkWorkers(results))
}

func (e *entries) startWorkers() {
	e.store.Put(platformstandin.ConfigurationKey, platformstandin.Configuration(1, nil))
	for i := range workerCount {
		e.models = append(e.models, platformstandin.NewWorker(e.store, platformstandin.WorkerOptions{
			ID: fmt.Sprintf("i-model-%d", i), Service: platformstandin.ModelService, Zone: "h1", Slots: 16, Model: platformstandin.Model,
			Capacity: 8, LoadTime: 60 * time.Millisecond, Events: streamEvents, Pause: 4 * time.Millisecond,
		}))
		e.plain = append(e.plain, platformstandin.NewWorker(e.store, platformstandin.WorkerOptions{
			ID: fmt.Sprintf("i-plain-%d", i), Service: platformstandin.PlainService, Zone: "h1", Slots: 8,
		}))
	}
}

func (e *entries) closeWorkers() {
	for _, worker := range append(e.models, e.plain...) {
		worker.Close()
	}
}

func (e *entries) startEntries(args arguments, folder string) error {
	var ips []string
	for i := range entryCount {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", entryIPBase+i))
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
		q.send = func() reply { return e.send(e.next(), "/"+q.class+"/x", adapter) }
		out = append(out, q)
	}
	return out
}

// send makes one attempt and checks the answer.
func (e *entries) send(to *process, path, adapter string) reply {
	began := time.Now()
	a := platformstandin.Call{Path: path, Adapter: adapter, Body: "prompt"}.Send(context.Background(), to.callers)
	r := reply{detail: fmt.Sprintf("%+v at %s", a, to.name), first: time.Since(began), attempt: a.ID}
	switch {
	case errors.Is(a.Err, syscall.ECONNREFUSED):
		// An entry that has ended took nothing; the balancer goes to another one.
		r.outcome = refused
	case a.Err == nil && a.Status == http.StatusServiceUnavailable:
		seconds, _ := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		r.outcome, r.wait = refused, time.Duration(seconds*float64(time.Second))
	case a.Err != nil || a.Status != http.StatusOK || a.Header.Get(platformstandin.HeaderRequestID) != a.ID || a.Header.Get(platformstandin.HeaderSeal) == "":
		r.outcome = wrong
	}
	for event := 1; r.outcome == answered && adapter != "" && event <= streamEvents; event++ {
		if !strings.Contains(a.Body, platformstandin.Event(event, a.ID, adapter)) {
			r.outcome = wrong
		}
	}
	return r
}

// refusals gives an error for each request that was refused at every attempt.
func refusals(results []result) error {
	var failed []error
	for _, r := range results {
		if r.outcome == refused {
			failed = append(failed, fmt.Errorf("%s was refused %d times, last as %s", r.id, r.tries, r.detail))
		}
	}
	return errors.Join(failed...)
}

// checkNewRoute checks that the added route answers at each entry that still runs.
func (e *entries) checkNewRoute() error {
	for _, p := range e.processes[1:] {
		var last reply
		inForce := func() bool {
			last = e.send(p, "/new/", "")
			return last.outcome == answered
		}
		if !processes.Poll(inForceLimit, inForce) {
			return fmt.Errorf("the new route is not in force at %s: %s", p.name, last.detail)
		}
	}
	return nil
}

// checkWorkers checks by the workers' own account that each answered attempt ran once, that no
// attempt ran twice, and that no load went beyond a worker's places.
func (e *entries) checkWorkers(results []result) error {
	workers := append(append([]*platformstandin.Worker(nil), e.models...), e.plain...)
	runs := platformstandin.RunCounts(workers...)
	var failed []error
	for _, worker := range workers {
		if count := worker.Overfull(); count > 0 {
			failed = append(failed, fmt.Errorf("%d orders went beyond a worker's places", count))
		}
	}
	for id, count := range runs {
		if count > 1 {
			failed = append(failed, fmt.Errorf("%s ran %d times", id, count))
		}
	}
	for _, r := range results {
		if r.outcome == answered && runs[r.attempt] != 1 {
			failed = append(failed, fmt.Errorf("%s was answered as %s, which ran %d times", r.id, r.attempt, runs[r.attempt]))
		}
	}
	return errors.Join(failed...)
}
