// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/platform"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/process"
	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// site is a whole deployment in one process: a store, workers and entries.
type site struct {
	t       *testing.T
	store   *standin.Store
	models  []*standin.Worker
	plain   []*standin.Worker
	entries []*entryProcess
	ports   standin.Ports
	ips     []string
}

type entryProcess struct {
	name    string
	ip      string
	process *process.Process
	log     *standin.Output
	ended   bool
	// cut makes the store unreachable for this entry alone, peersCut its peers.
	cut      atomic.Bool
	peersCut atomic.Bool
	mutex    sync.Mutex
	links    []net.Conn
}

// cutPeers breaks the links to other entries and makes new ones impossible until it is told otherwise.
func (e *entryProcess) cutPeers(cut bool) {
	e.peersCut.Store(cut)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, link := range e.links {
		_ = link.Close()
	}
	e.links = nil
}

// gatedDial dials peers unless the entry is cut from them.
func (e *entryProcess) gatedDial(dial func(context.Context, netip.AddrPort) (net.Conn, error)) func(context.Context, netip.AddrPort) (net.Conn, error) {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		if e.peersCut.Load() {
			return nil, syscall.ECONNREFUSED
		}
		conn, err := dial(ctx, address)
		if err == nil {
			e.mutex.Lock()
			e.links = append(e.links, conn)
			e.mutex.Unlock()
		}
		return conn, err
	}
}

// gated makes a store's calls fail as long as the entry is cut from it.
func (e *entryProcess) gated(client store.Client) store.Client {
	gate := func(ctx context.Context) error {
		if !e.cut.Load() {
			return nil
		}
		<-ctx.Done()
		return &store.UnknownError{Cause: ctx.Err()}
	}
	gated := client
	gated.Get = func(ctx context.Context, key string) (store.Item, error) {
		if err := gate(ctx); err != nil {
			return store.Item{}, err
		}
		return client.Get(ctx, key)
	}
	gated.Range = func(ctx context.Context, prefix, after string) (store.Page, error) {
		if err := gate(ctx); err != nil {
			return store.Page{}, err
		}
		return client.Range(ctx, prefix, after)
	}
	gated.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
		if err := gate(ctx); err != nil {
			return nil, after, err
		}
		return client.Watch(ctx, prefix, after, wait)
	}
	gated.Commit = func(ctx context.Context, transaction store.Transaction) (int64, error) {
		if err := gate(ctx); err != nil {
			return 0, err
		}
		return client.Commit(ctx, transaction)
	}
	gated.RenewLease = func(ctx context.Context, lease int64) error {
		if err := gate(ctx); err != nil {
			return err
		}
		return client.RenewLease(ctx, lease)
	}
	return gated
}

const (
	patience = 15 * time.Second
	pace     = 10 * time.Millisecond
)

func newSite(t *testing.T, entries int) *site {
	t.Helper()
	s := &site{t: t, store: standin.NewStore()}
	t.Cleanup(s.close)
	s.store.Put("op/config", standin.WithPatientRoute(standin.Configuration(1, nil)))
	for i := range 2 {
		s.models = append(s.models, standin.NewWorker(s.store, standin.WorkerOptions{
			ID: fmt.Sprintf("i-model-%d", i), Service: standin.ModelService, Zone: "h1", Slots: 8, Model: standin.Model,
			Capacity: 8, LoadTime: 30 * time.Millisecond, Events: 5, Pause: 5 * time.Millisecond,
		}))
		s.plain = append(s.plain, standin.NewWorker(s.store, standin.WorkerOptions{
			ID: fmt.Sprintf("i-plain-%d", i), Service: standin.PlainService, Zone: "h1", Slots: 8,
		}))
	}
	for i := range entries {
		s.ips = append(s.ips, fmt.Sprintf("127.0.0.%d", i+11))
	}
	var err error
	s.ports, err = standin.FreePorts(s.ips)
	require.NoError(t, err)
	for i := range entries {
		s.entries = append(s.entries, s.startEntry(i))
	}
	s.waitFor("all entries are ready", func() bool {
		for i := range s.entries {
			if !s.isReady(i) {
				return false
			}
		}
		return true
	})
	return s
}

func (s *site) startEntry(i int) *entryProcess {
	s.t.Helper()
	e := &entryProcess{name: fmt.Sprintf("entry-%d", i), ip: s.ips[i], log: &standin.Output{}}
	encoded, err := json.Marshal(standin.Settings(e.name, "h1", e.ip, s.ports, s.seeds(), s.store.Address()))
	require.NoError(s.t, err)
	settings, err := platform.ParseSettings(encoded)
	require.NoError(s.t, err)
	options := settings.Process(logrus.InfoLevel, s.ports.Metrics)
	options.LogOutput = e.log
	options.Environment = func(retire func(deployment.EndpointID)) coordinator.Environment {
		environment := settings.Environment(retire)
		environment.Store = e.gated(environment.Store)
		environment.Dial = e.gatedDial(environment.Dial)
		return environment
	}
	e.process = process.New(options)
	require.NoError(s.t, e.process.Start())
	return e
}

// seeds are the first entries, at a port that only their IP counts of.
func (s *site) seeds() []string {
	var seeds []string
	for _, ip := range s.ips[:min(3, len(s.ips))] {
		seeds = append(seeds, ip+":1")
	}
	return seeds
}

func (s *site) close() {
	for _, e := range s.entries {
		if !e.ended {
			e.process.Kill()
		}
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", e.name, e.log.String())
		}
	}
	for _, worker := range append(s.models, s.plain...) {
		worker.Close()
	}
	s.store.Close()
}

func (s *site) kill(i int) {
	s.entries[i].process.Kill()
	s.entries[i].ended = true
}

func (s *site) isReady(i int) bool {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/-/readyz", s.ips[i], s.ports.Ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *site) waitFor(what string, condition func() bool) {
	s.t.Helper()
	s.waitAtMost(patience, what, condition)
}

// waitAtMost is for what must come true within a time of its own.
func (s *site) waitAtMost(limit time.Duration, what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			require.FailNow(s.t, "waited in vain", "%s", what)
		}
		time.Sleep(pace)
	}
}

// call is one request of a caller to one of the entries.
type call struct {
	entry   int
	method  string
	path    string
	adapter string
	body    string
	header  map[string]string
	from    netip.Addr
}

func (s *site) do(c call) standin.Answer {
	return s.send(context.Background(), c)
}

func (s *site) send(ctx context.Context, c call) standin.Answer {
	one := standin.Call{Method: c.method, Path: c.path, Adapter: c.adapter, Body: c.body, Header: c.header, From: c.from}
	return one.Send(ctx, fmt.Sprintf("%s:%d", s.ips[c.entry], s.ports.Callers))
}

// runsOf gives how often a request ran, over all workers.
func (s *site) runsOf(id string) int {
	return standin.RunCounts(append(append([]*standin.Worker(nil), s.models...), s.plain...)...)[id]
}

func (s *site) eachPlain(faults standin.WorkerFaults) {
	for _, worker := range s.plain {
		worker.SetFaults(faults)
	}
}

func (s *site) eachModel(faults standin.WorkerFaults) {
	for _, worker := range s.models {
		worker.SetFaults(faults)
	}
}

// logged tells whether an entry's log has a text.
func (s *site) logged(i int, text string) bool {
	return strings.Contains(s.entries[i].log.String(), text)
}
