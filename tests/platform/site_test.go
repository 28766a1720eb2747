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

// site is a complete deployment in one process: a store, workers and entry instances.
type site struct {
	t     *testing.T
	store *standin.Store
	// models and plain are the workers of the model service and of the plain service.
	models  []*standin.Worker
	plain   []*standin.Worker
	entries []*entryProcess
	ports   standin.Ports
	ips     []string
	// cuttable makes the instances reach the workers through links that can be cut.
	cuttable bool
	// retryWindow replaces the window of the settings' retry budget unless it is 0.
	retryWindow time.Duration
}

// entryProcess is one entry instance of a site.
type entryProcess struct {
	name    string
	ip      string
	process *process.Process
	log     *standin.Output
	ended   bool
	// storeCut makes the store unreachable for this instance alone. peersCut makes the peers unreachable.
	storeCut atomic.Bool
	peersCut atomic.Bool
	// network is the instance's path to the workers.
	network *workerNetwork
	mutex   sync.Mutex
	links   []net.Conn
}

// cutPeers closes the links to the peers. With cut, new links are refused until the next call.
func (e *entryProcess) cutPeers(cut bool) {
	e.peersCut.Store(cut)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, link := range e.links {
		_ = link.Close()
	}
	e.links = nil
}

// withPeerCut returns a dial function that refuses connections to peers while peersCut is set.
func (e *entryProcess) withPeerCut(dial func(context.Context, netip.AddrPort) (net.Conn, error)) func(context.Context, netip.AddrPort) (net.Conn, error) {
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

// cutClient returns a store client whose calls time out while storeCut is set.
func (e *entryProcess) cutClient(client store.Client) store.Client {
	waitIfCut := func(ctx context.Context) error {
		if !e.storeCut.Load() {
			return nil
		}
		<-ctx.Done()
		return &store.UnknownError{Cause: ctx.Err()}
	}
	cutClient := client
	cutClient.Get = func(ctx context.Context, key string) (store.Item, error) {
		if err := waitIfCut(ctx); err != nil {
			return store.Item{}, err
		}
		return client.Get(ctx, key)
	}
	cutClient.Range = func(ctx context.Context, prefix, after string) (store.Page, error) {
		if err := waitIfCut(ctx); err != nil {
			return store.Page{}, err
		}
		return client.Range(ctx, prefix, after)
	}
	cutClient.Watch = func(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Event, int64, error) {
		if err := waitIfCut(ctx); err != nil {
			return nil, after, err
		}
		return client.Watch(ctx, prefix, after, wait)
	}
	cutClient.Commit = func(ctx context.Context, transaction store.Transaction) (int64, error) {
		if err := waitIfCut(ctx); err != nil {
			return 0, err
		}
		return client.Commit(ctx, transaction)
	}
	cutClient.RenewLease = func(ctx context.Context, lease int64) error {
		if err := waitIfCut(ctx); err != nil {
			return err
		}
		return client.RenewLease(ctx, lease)
	}
	return cutClient
}

const (
	waitTimeout  = 15 * time.Second
	pollInterval = 10 * time.Millisecond
)

// fewWorkers is the usual number of workers of each service of a site.
const fewWorkers = 2

// newSite starts a store, two workers of each service and the given number of entry instances, and waits until all instances are ready.
func newSite(t *testing.T, entries int) *site {
	t.Helper()
	return startSite(t, siteOptions{entries: entries, workers: fewWorkers})
}

// newCuttableSite is newSite with instances that reach the workers through links that can be cut. Such a link accepts connections also for a
// worker that has ended.
func newCuttableSite(t *testing.T, entries int) *site {
	t.Helper()
	return startSite(t, siteOptions{entries: entries, workers: fewWorkers, cuttable: true})
}

// siteOptions are the number of entry instances, that of the workers of each service, and whether the instances reach the workers through
// links that can be cut.
type siteOptions struct {
	entries, workers int
	cuttable         bool
	// retryWindow replaces the window of the settings' retry budget unless it is 0.
	retryWindow time.Duration
}

func startSite(t *testing.T, options siteOptions) *site {
	t.Helper()
	s := &site{t: t, store: standin.NewStore(), cuttable: options.cuttable, retryWindow: options.retryWindow}
	t.Cleanup(s.close)
	s.store.Put("op/config", standin.WithLongDeadlineRoute(standin.Configuration(1, nil)))
	for i := range options.workers {
		s.models = append(s.models, standin.NewWorker(s.store, standin.WorkerOptions{
			ID: fmt.Sprintf("i-model-%d", i), Service: standin.ModelService, Zone: "h1", Slots: 8, Model: standin.Model,
			Capacity: 8, LoadTime: 30 * time.Millisecond, Events: 5, Pause: 5 * time.Millisecond,
		}))
		s.plain = append(s.plain, standin.NewWorker(s.store, standin.WorkerOptions{
			ID: fmt.Sprintf("i-plain-%d", i), Service: standin.PlainService, Zone: "h1", Slots: 8,
		}))
	}
	for i := range options.entries {
		s.ips = append(s.ips, fmt.Sprintf("127.0.0.%d", i+11))
	}
	var err error
	s.ports, err = standin.FreePorts(s.ips)
	require.NoError(t, err)
	for i := range options.entries {
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
	e := &entryProcess{name: fmt.Sprintf("entry-%d", i), ip: s.ips[i], log: &standin.Output{}, network: newWorkerNetwork(s.t)}
	encoded, err := json.Marshal(standin.Settings(e.name, "h1", e.ip, s.ports, s.seeds(), s.store.Address()))
	require.NoError(s.t, err)
	settings, err := platform.ParseSettings(encoded)
	require.NoError(s.t, err)
	options := settings.Process(logrus.InfoLevel, s.ports.Metrics)
	options.LogOutput = e.log
	if s.retryWindow > 0 {
		options.Coordinator.Retry.Window = s.retryWindow
	}
	if s.cuttable {
		options.DialEndpoint = e.network.dial
	}
	options.Environment = func(retire func(deployment.EndpointID)) coordinator.Environment {
		environment := settings.Environment(retire)
		environment.Store = e.cutClient(environment.Store)
		environment.Dial = e.withPeerCut(environment.Dial)
		environment.SendOrder = e.network.withCut(environment.SendOrder)
		return environment
	}
	e.process = process.New(options)
	require.NoError(s.t, e.process.Start())
	return e
}

// seeds returns the addresses of the first three instances. Only the IPs are used; the port is arbitrary.
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

// waitFor waits up to waitTimeout until the condition holds, and fails the test otherwise.
func (s *site) waitFor(what string, condition func() bool) {
	s.t.Helper()
	s.waitWithin(waitTimeout, what, condition)
}

// waitWithin waits until the condition holds, and fails the test if it does not hold within limit.
func (s *site) waitWithin(limit time.Duration, what string, condition func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			require.FailNow(s.t, "timed out waiting", "%s", what)
		}
		time.Sleep(pollInterval)
	}
}

// call is one request of a caller to one of the entry instances.
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
	request := standin.Call{Method: c.method, Path: c.path, Adapter: c.adapter, Body: c.body, Header: c.header, From: c.from}
	return request.Send(ctx, fmt.Sprintf("%s:%d", s.ips[c.entry], s.ports.Callers))
}

// runCount returns how often a request ran at the workers of the site.
func (s *site) runCount(id string) int {
	return standin.RunCounts(append(append([]*standin.Worker(nil), s.models...), s.plain...)...)[id]
}

func (s *site) setPlainFaults(faults standin.WorkerFaults) {
	for _, worker := range s.plain {
		worker.SetFaults(faults)
	}
}

func (s *site) setModelFaults(faults standin.WorkerFaults) {
	for _, worker := range s.models {
		worker.SetFaults(faults)
	}
}

// hasLogged reports whether the log of an instance contains a text.
func (s *site) hasLogged(i int, text string) bool {
	return strings.Contains(s.entries[i].log.String(), text)
}
