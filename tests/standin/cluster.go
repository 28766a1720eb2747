// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
)

// ClusterOptions say what a cluster of stand-ins holds.
type ClusterOptions struct {
	Halls          []string
	EnginesPerHall int
	Bases          []string
	Slots          int
	MaxBatch       int
	Step           time.Duration
	Load           time.Duration
	// UnfencedEvery makes each so-manieth engine of a hall check no fences; zero for none.
	UnfencedEvery int
	ListLag       time.Duration
	StoreRate     float64
	StoreAtOnce   int
	// Began gets each begin of a run, with the engine's name and the identifier that a daemon gave the run, if set.
	Began func(engine, id string)
}

// DefaultClusterOptions give a small cluster that is quick enough for tests.
func DefaultClusterOptions() ClusterOptions {
	return ClusterOptions{
		Halls: []string{"h1", "h2"}, EnginesPerHall: 2, Bases: []string{"base-a"}, Slots: 4, MaxBatch: 16, Step: 10 * time.Millisecond,
		Load: 30 * time.Millisecond, ListLag: 200 * time.Millisecond, StoreRate: 20, StoreAtOnce: 4,
	}
}

// EngineEntry is one engine with its place.
type EngineEntry struct {
	Name, Hall, Base string
	Address          netip.AddrPort
	ChecksFence      bool
	Engine           *Engine
}

// Cluster is everything around the product, on loopback.
type Cluster struct {
	Options ClusterOptions
	Engines []*EngineEntry
	KV      *KV
	List    *List
	Store   *Store
	Plain   *Plain

	KVAddress    netip.AddrPort
	ListAddress  netip.AddrPort
	PlainAddress netip.AddrPort

	servers []*http.Server
	stop    chan struct{}
}

// StartCluster starts all stand-ins on ports that the system picks.
func StartCluster(o ClusterOptions) (*Cluster, error) {
	c := &Cluster{
		Options: o, KV: NewKV(), List: NewList(o.ListLag), Store: NewStore(o.StoreRate, o.StoreAtOnce, o.Load),
		Plain: NewPlain(5 * time.Millisecond), stop: make(chan struct{}),
	}
	var err error
	serve := func(h http.Handler) netip.AddrPort {
		var at netip.AddrPort
		if err == nil {
			at, err = c.serve(h)
		}
		return at
	}
	c.KVAddress = serve(c.KV.Handler())
	c.ListAddress = serve(c.List.Handler())
	c.PlainAddress = serve(c.Plain.Handler())
	for _, hall := range o.Halls {
		for n := range o.EnginesPerHall {
			e := c.engine(hall, n)
			e.Address = serve(e.Engine.Handler())
			c.Engines = append(c.Engines, e)
			go e.Engine.Run(c.stop)
		}
	}
	return c, err
}

func (c *Cluster) engine(hall string, n int) *EngineEntry {
	o := c.Options
	checks := o.UnfencedEvery == 0 || (n+1)%o.UnfencedEvery != 0
	e := &EngineEntry{Name: fmt.Sprintf("%s-e%d", hall, n+1), Hall: hall, Base: o.Bases[n%len(o.Bases)], ChecksFence: checks}
	options := EngineOptions{
		Name: e.Name, Base: e.Base, Slots: o.Slots, MaxBatch: o.MaxBatch, Step: o.Step, ChecksFence: checks, Fetch: c.Store.Fetch,
	}
	if o.Began != nil {
		options.Began = func(id string) { o.Began(e.Name, id) }
	}
	e.Engine = NewEngine(options)
	return e
}

func (c *Cluster) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("stand-in: %w", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	c.servers = append(c.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close ends all stand-ins.
func (c *Cluster) Close() {
	close(c.stop)
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// InstancePlace is where an instance listens; zero ports are picked by the system.
type InstancePlace struct {
	ID        string
	Hall      string
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
}

// Loopback makes a place whose ports the system picks.
func Loopback(id, hall string) InstancePlace {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	return InstancePlace{ID: id, Hall: hall, Callers: anyPort, Operators: anyPort, Peers: anyPort}
}

// OperatorKey is the key of the one operator of stand-in settings.
const OperatorKey = "stand-in-operator-key"

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// settingsFile mirrors the daemon's settings as far as stand-ins need them.
type settingsFile map[string]any

// SettingsText gives the settings of an instance, with changes laid over them.
func (c *Cluster) SettingsText(p InstancePlace, changes map[string]any) string {
	var endpoints []settingsFile
	for _, e := range c.Engines {
		endpoints = append(endpoints, settingsFile{
			"name": e.Name, "hall": e.Hall, "kind": "engine", "address": e.Address, "bases": []string{e.Base}, "slots": c.Options.Slots,
			"max_batch": c.Options.MaxBatch, "step": c.Options.Step.String(), "load": c.Options.Load.String(), "checks_fence": e.ChecksFence,
		})
	}
	for _, hall := range c.Options.Halls {
		endpoints = append(endpoints, settingsFile{
			"name": hall + "-tickets", "hall": hall, "kind": "plain", "address": c.PlainAddress, "max_batch": 64, "prefix": "/tickets/",
		})
	}
	all := settingsFile{
		"instance": settingsFile{"id": p.ID, "hall": p.Hall},
		"listen": settingsFile{
			"callers": settingsFile{"address": p.Callers}, "operators": settingsFile{"address": p.Operators}, "peers": settingsFile{"address": p.Peers},
		},
		"halls": c.Options.Halls, "endpoints": endpoints,
		"classes": []settingsFile{
			{"name": "kiosk", "priority": 10, "stall_weight": 4}, {"name": "traveller", "priority": 8, "stall_weight": 2},
			{"name": "overnight", "priority": 1, "stall_weight": 0.1, "patient": true},
		},
		"kv": settingsFile{"addresses": []netip.AddrPort{c.KVAddress}}, "platform": settingsFile{"list": c.ListAddress},
		"weight_store": settingsFile{"loads_per_second": c.Options.StoreRate, "at_full_speed": c.Options.StoreAtOnce},
		"limits":       settingsFile{"leave_notice": "200ms"},
		"operators":    settingsFile{"keys": []settingsFile{{"name": "demo", "role": "admin", "sha256": hashOf(OperatorKey)}}, "failures_per_minute": 1000},
		"log":          settingsFile{"level": "info"},
	}
	for name, value := range changes {
		all[name] = value
	}
	text, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		panic(err)
	}
	return string(text)
}

// ListEntry gives an instance's line in the platform's list.
func ListEntry(p InstancePlace) instancelist.Entry {
	return instancelist.Entry{Name: p.ID, Kind: instancelist.KindInstance, Hall: p.Hall, Address: p.Peers, Operator: p.Operators, State: instancelist.StateLive}
}

// Violations lists every promise that an engine saw broken.
func (c *Cluster) Violations() []string {
	var out []string
	for _, e := range c.Engines {
		for _, v := range e.Engine.Violations() {
			out = append(out, e.Name+": "+v)
		}
	}
	return out
}

// Runs counts how often each request began to run on any engine.
func (c *Cluster) Runs() map[string]int {
	out := make(map[string]int)
	for _, e := range c.Engines {
		for id, count := range e.Engine.Runs() {
			out[id] += count
		}
	}
	return out
}
