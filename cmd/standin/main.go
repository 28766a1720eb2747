// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

// Command standin acts out the platform and the endpoints, for the demo and for tests only.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/shelfledge/shelfledge/tests/standin"
)

type arguments struct {
	Halls         []string      `help:"Halls." default:"h1,h2"`
	Engines       int           `help:"Engines in each hall." default:"3"`
	Bases         []string      `help:"Base models, given to the engines in turn." default:"base-a"`
	Slots         int           `help:"Adapter slots of an engine." default:"4"`
	MaxBatch      int           `help:"Requests in an engine's batch." default:"16"`
	Step          time.Duration `help:"Time of a batch step." default:"20ms"`
	Load          time.Duration `help:"Time of a load at full speed." default:"300ms"`
	UnfencedEvery int           `help:"Each so-manieth engine checks no fences; 0 for none." default:"3"`
	StoreRate     float64       `help:"Loads a second that the weight store serves." default:"8"`
	StoreAtOnce   int           `help:"Loads at once at full speed." default:"4"`
}

// report is what the control address tells: the places first, and what happened later.
type report struct {
	Control  netip.AddrPort         `json:"control"`
	KV       netip.AddrPort         `json:"kv"`
	List     netip.AddrPort         `json:"list"`
	Plain    netip.AddrPort         `json:"plain"`
	Engines  []*standin.EngineEntry `json:"engines"`
	Runs     map[string]int         `json:"runs,omitempty"`
	Broken   []string               `json:"broken,omitempty"`
	Loads    int                    `json:"loads"`
	Evicted  int                    `json:"evicted"`
	KVReads  int64                  `json:"kv_reads"`
	KVWrites int64                  `json:"kv_writes"`
}

func main() {
	var args arguments
	ctx := kong.Parse(&args, kong.Name("standin"), kong.Description("Stand-ins for the demo and tests."))
	ctx.FatalIfErrorf(run(args))
}

func run(args arguments) error {
	c, err := standin.StartCluster(standin.ClusterOptions{
		Halls: args.Halls, EnginesPerHall: args.Engines, Bases: args.Bases, Slots: args.Slots, MaxBatch: args.MaxBatch, Step: args.Step,
		Load: args.Load, UnfencedEvery: args.UnfencedEvery, ListLag: 500 * time.Millisecond, StoreRate: args.StoreRate, StoreAtOnce: args.StoreAtOnce,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("control address: %w", err)
	}
	control := l.Addr().(*net.TCPAddr).AddrPort()
	server := &http.Server{Handler: controlHandler(c, control), ReadHeaderTimeout: 10 * time.Second}
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	if err := json.NewEncoder(os.Stdout).Encode(reportOf(c, control)); err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	return server.Close()
}

func reportOf(c *standin.Cluster, control netip.AddrPort) report {
	r := report{Control: control, KV: c.KVAddress, List: c.ListAddress, Plain: c.PlainAddress, Engines: c.Engines, Runs: c.Runs(), Broken: c.Violations()}
	for _, e := range c.Engines {
		loads, evicted := e.Engine.Counts()
		r.Loads += loads
		r.Evicted += evicted
	}
	r.KVReads, r.KVWrites, _, _ = c.KV.Usage()
	return r
}

// controlHandler lets the demo cause faults and read what happened.
func controlHandler(c *standin.Cluster, control netip.AddrPort) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(reportOf(c, control))
	})
	mux.HandleFunc("POST /restart/{engine}", func(w http.ResponseWriter, q *http.Request) {
		e := c.Engine(q.PathValue("engine"))
		if e == nil {
			http.Error(w, "no such engine", http.StatusNotFound)
			return
		}
		e.Restart()
	})
	mux.HandleFunc("PUT /kv/faults", func(w http.ResponseWriter, q *http.Request) {
		var f standin.KVFaults
		if err := json.NewDecoder(q.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		c.KV.SetFaults(f)
	})
	return mux
}
