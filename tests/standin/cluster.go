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

// ClusterOptions are the sizes and times of a cluster of fakes.
type ClusterOptions struct {
	Halls          []string
	EnginesPerHall int
	Bases          []string
	Slots          int
	MaxBatch       int
	Step           time.Duration
	Load           time.Duration
	// UnfencedEvery makes every n-th engine of a hall, with n = UnfencedEvery, check no fences. Zero makes all engines check them.
	UnfencedEvery    int
	ListLag          time.Duration
	StoreRate        float64
	StoreConcurrency int
	// OnRunStart is called when a run begins, with the name of the engine and the request ID that the daemon gave the run, if set.
	OnRunStart func(engine, id string)
}

// DefaultClusterOptions returns the options of a small cluster that is fast enough for tests.
func DefaultClusterOptions() ClusterOptions {
	return ClusterOptions{
		Halls: []string{"h1", "h2"}, EnginesPerHall: 2, Bases: []string{"base-a"}, Slots: 4, MaxBatch: 16, Step: 10 * time.Millisecond,
		Load: 30 * time.Millisecond, ListLag: 200 * time.Millisecond, StoreRate: 20, StoreConcurrency: 4,
	}
}

// EngineEntry is one engine with its name, hall, base model and address.
type EngineEntry struct {
	Name, Hall, Base string
	Address          netip.AddrPort
	ChecksFence      bool
	Engine           *Engine
}

// Cluster is the environment of the daemon, served on loopback ports.
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

// StartCluster starts all fakes on ports that the system chooses.
func StartCluster(o ClusterOptions) (*Cluster, error) {
	c := &Cluster{
		Options: o, KV: NewKV(), List: NewList(o.ListLag), Store: NewStore(o.StoreRate, o.StoreConcurrency, o.Load),
		Plain: NewPlain(5 * time.Millisecond), stop: make(chan struct{}),
	}
	var err error
	serve := func(h http.Handler) netip.AddrPort {
		var address netip.AddrPort
		if err == nil {
			address, err = c.serve(h)
		}
		return address
	}
	c.KVAddress = serve(c.KV.Handler())
	c.ListAddress = serve(c.List.Handler())
	c.PlainAddress = serve(c.Plain.Handler())
	for _, hall := range o.Halls {
		for n := range o.EnginesPerHall {
			e := c.newEngine(hall, n)
			e.Address = serve(e.Engine.Handler())
			c.Engines = append(c.Engines, e)
			go e.Engine.Run(c.stop)
		}
	}
	return c, err
}

func (c *Cluster) newEngine(hall string, n int) *EngineEntry {
	o := c.Options
	checks := o.UnfencedEvery == 0 || (n+1)%o.UnfencedEvery != 0
	e := &EngineEntry{Name: fmt.Sprintf("%s-e%d", hall, n+1), Hall: hall, Base: o.Bases[n%len(o.Bases)], ChecksFence: checks}
	options := EngineOptions{
		Name: e.Name, Base: e.Base, Slots: o.Slots, MaxBatch: o.MaxBatch, Step: o.Step, ChecksFence: checks, Fetch: c.Store.Fetch,
	}
	if o.OnRunStart != nil {
		options.OnRunStart = func(id string) { o.OnRunStart(e.Name, id) }
	}
	e.Engine = NewEngine(options)
	return e
}

func (c *Cluster) serve(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen for a fake service: %w", err)
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

// Close stops all fakes.
func (c *Cluster) Close() {
	close(c.stop)
	for _, s := range c.servers {
		_ = s.Close()
	}
}

// InstanceAddresses is an instance with the addresses on which it listens. The system chooses a port that is zero.
type InstanceAddresses struct {
	ID        string
	Hall      string
	Callers   netip.AddrPort
	Operators netip.AddrPort
	Peers     netip.AddrPort
}

// LoopbackInstance returns an instance that listens on loopback ports which the system chooses.
func LoopbackInstance(id, hall string) InstanceAddresses {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	return InstanceAddresses{ID: id, Hall: hall, Callers: anyPort, Operators: anyPort, Peers: anyPort}
}

// OperatorKey is the key of the only operator in the settings that SettingsText returns.
const OperatorKey = "stand-in-operator-key"

func sha256Hex(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// settingsMap is an object of the daemon's settings.
type settingsMap map[string]any

// SettingsText returns the settings of an instance as JSON. The changes replace top-level fields.
func (c *Cluster) SettingsText(p InstanceAddresses, changes map[string]any) string {
	var endpoints []settingsMap
	for _, e := range c.Engines {
		endpoints = append(endpoints, settingsMap{
			"name": e.Name, "hall": e.Hall, "kind": "engine", "address": e.Address, "bases": []string{e.Base}, "slots": c.Options.Slots,
			"max_batch": c.Options.MaxBatch, "step": c.Options.Step.String(), "load": c.Options.Load.String(), "checks_fence": e.ChecksFence,
		})
	}
	for _, hall := range c.Options.Halls {
		endpoints = append(endpoints, settingsMap{
			"name": hall + "-tickets", "hall": hall, "kind": "plain", "address": c.PlainAddress, "max_batch": 64, "prefix": "/tickets/",
		})
	}
	all := settingsMap{
		"instance": settingsMap{"id": p.ID, "hall": p.Hall},
		"listen": settingsMap{
			"callers": settingsMap{"address": p.Callers}, "operators": settingsMap{"address": p.Operators}, "peers": settingsMap{"address": p.Peers},
		},
		"halls": c.Options.Halls, "endpoints": endpoints,
		"classes": []settingsMap{
			{"name": "kiosk", "priority": 10, "stall_weight": 4}, {"name": "traveller", "priority": 8, "stall_weight": 2},
			{"name": "overnight", "priority": 1, "stall_weight": 0.1, "patient": true},
		},
		"kv": settingsMap{"addresses": []netip.AddrPort{c.KVAddress}}, "platform": settingsMap{"list": c.ListAddress},
		"weight_store": settingsMap{"loads_per_second": c.Options.StoreRate, "at_full_speed": c.Options.StoreConcurrency},
		"limits":       settingsMap{"leave_notice": "200ms"},
		"operators":    settingsMap{"keys": []settingsMap{{"name": "demo", "role": "admin", "sha256": sha256Hex(OperatorKey)}}, "failures_per_minute": 1000},
		"log":          settingsMap{"level": "info"},
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

// ListEntry returns the entry of an instance in the platform's list.
func ListEntry(p InstanceAddresses) instancelist.Entry {
	return instancelist.Entry{Name: p.ID, Kind: instancelist.KindInstance, Hall: p.Hall, Address: p.Peers, Operator: p.Operators, State: instancelist.StateLive}
}

// Violations returns the violations of all engines; see Engine.Violations.
func (c *Cluster) Violations() []string {
	var out []string
	for _, e := range c.Engines {
		for _, v := range e.Engine.Violations() {
			out = append(out, e.Name+": "+v)
		}
	}
	return out
}

// Runs returns how often each request began to run on the engines, by request ID.
func (c *Cluster) Runs() map[string]int {
	out := make(map[string]int)
	for _, e := range c.Engines {
		for id, count := range e.Engine.Runs() {
			out[id] += count
		}
	}
	return out
}
