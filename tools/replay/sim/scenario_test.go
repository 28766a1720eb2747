// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim_test

import (
	"fmt"

	"github.com/shelfledge/shelfledge/tools/replay/sim"
)

const (
	hour        = 3600.0
	adapterPool = 5000
)

var bases = []string{"base-a", "base-b"}

// scenarios draw a trace from a seed: Zipf popularity over thousands of adapters, daily tides, popularity flips, overnight
// volume and faults. Each draws a trace and gives the fleet that it is replayed on.
var scenarios = map[string]func(b *builder) sim.FleetFile{
	"dakar": dakar, "plovdiv": plovdiv, "storm": storm, "quiet": quiet, "flood": flood, "large": large,
}

// hall names a hall by its index.
func hall(index int) string {
	return fmt.Sprintf("h%d", index+1)
}

func names(prefix string, count int) []string {
	out := make([]string, 0, count)
	for i := 1; i <= count; i++ {
		out = append(out, fmt.Sprintf("%s-%02d", prefix, i))
	}
	return out
}

// fleet makes halls of two instances, with endpoints of one model in turn, of which each fourth checks no fences.
func fleet(halls, endpoints int, loadMS float64, store sim.WeightStore, classes ...sim.ClassEntry) sim.FleetFile {
	f := sim.FleetFile{WeightStore: store, Classes: classes}
	for h := range halls {
		f.Halls = append(f.Halls, sim.HallEntry{Name: hall(h), Instances: []string{hall(h) + "-i1", hall(h) + "-i2"}})
	}
	for n := range endpoints {
		h := hall(n % halls)
		f.Endpoints = append(f.Endpoints, sim.EndpointEntry{
			Name: fmt.Sprintf("%s-e%d", h, n/halls+1), Hall: h, Bases: []string{bases[n/halls%len(bases)]},
			Slots: 8, MaxBatch: 32, StepMS: 25, PrefillTokensPerMS: 8, LoadMS: loadMS, ChecksFence: n%4 != 3,
		})
	}
	return f
}

func dakarFleet(endpoints int, store sim.WeightStore) sim.FleetFile {
	return fleet(3, endpoints, 900, store, sim.ClassEntry{Name: "kiosk", Priority: 10, StallWeight: 4},
		sim.ClassEntry{Name: "traveller", Priority: 8, StallWeight: 2}, sim.ClassEntry{Name: "overnight", Priority: 1, StallWeight: 0.1})
}

// dakarTide is a morning over three halls, with a popularity flip between ports in its middle.
func dakarTide(b *builder, period float64) sim.FleetFile {
	b.add(stream{
		class: "kiosk", callers: names("kiosk", 20), halls: 3, prefix: "fare", adapters: adapterPool / 2, exponent: 1.1,
		prompt: 180, output: 40, deadline: 15000, once: 0.02, rate: tide(0.4, 2.2, period), flipAt: period / 2,
	}, period)
	b.add(stream{
		class: "traveller", callers: names("port", 10), halls: 3, prefix: "book", adapters: adapterPool / 2, exponent: 1.0,
		prompt: 400, output: 120, deadline: 60000, once: 0.05, rate: tide(0.3, 1.6, period), flipAt: period / 2,
	}, period)
	b.add(stream{
		class: "overnight", callers: names("agent", 4), halls: 3, prefix: "fare", adapters: 60, exponent: 0.8,
		prompt: 2000, output: 300, rate: steady(0.15),
	}, period)
	return dakarFleet(12, sim.WeightStore{LoadsPerSecond: 3, AtFullSpeed: 2})
}

func dakar(b *builder) sim.FleetFile {
	return dakarTide(b, hour)
}

// plovdiv is the end of a day of agents and a night of volume over four halls.
func plovdiv(b *builder) sim.FleetFile {
	b.add(stream{
		class: "agent", callers: names("coop", 12), halls: 4, prefix: "parcel", adapters: adapterPool, exponent: 1.0,
		prompt: 500, output: 150, deadline: 60000, once: 0.03, rate: tide(0.2, 1.2, hour),
	}, hour)
	b.add(stream{
		class: "app", callers: names("app", 3), halls: 4, prefix: "parcel", adapters: 400, exponent: 1.1,
		prompt: 150, output: 40, deadline: 15000, rate: tide(0.1, 0.6, hour),
	}, hour)
	for i := range 6 {
		from := float64(i) * hour / 6
		b.add(stream{
			class: "overnight", callers: names("office", 5), halls: 4, prefix: "note", adapters: 150, exponent: 0.7,
			prompt: 1500, output: 350, rate: between(8, from, from+150),
		}, hour)
	}
	return fleet(4, 12, 1200, sim.WeightStore{LoadsPerSecond: 3, AtFullSpeed: 10}, sim.ClassEntry{Name: "agent", Priority: 8, StallWeight: 2},
		sim.ClassEntry{Name: "app", Priority: 10, StallWeight: 4}, sim.ClassEntry{Name: "overnight", Priority: 1, StallWeight: 0.1})
}

// storm is the Dakar morning with restarts, failing loads, a slow weight store and one hall cut.
func storm(b *builder) sim.FleetFile {
	f := dakarTide(b, hour/2)
	b.event(200, sim.Line{Event: sim.EndpointRestart, Endpoint: "h1-e2"})
	b.event(260, sim.Line{Event: sim.LoadFails, Endpoint: "h1-e3", Count: 4})
	b.event(420, sim.Line{Event: sim.EndpointLeaving, Endpoint: "h2-e1"})
	b.event(600, sim.Line{Event: sim.StoreRate, Rate: 1, UntilMS: 840000})
	b.event(700, sim.Line{Event: sim.HallCut, Hall: "h3", UntilMS: 1000000})
	b.event(760, sim.Line{Event: sim.EndpointRestart, Endpoint: "h3-e1"})
	b.event(900, sim.Line{Event: sim.KVDown, UntilMS: 1300000})
	b.event(1100, sim.Line{Event: sim.InstanceLost, Instance: "h1-i2"})
	for _, endpoint := range []string{"h1-e1", "h2-e2", "h3-e2"} {
		b.event(1200, sim.Line{Event: sim.EndpointRestart, Endpoint: endpoint})
	}
	return f
}

// quiet is three customers alone, the yardstick for flood.
func quiet(b *builder) sim.FleetFile {
	b.add(stream{
		class: "traveller", callers: names("quiet", 3), halls: 3, prefix: "book", adapters: 60, exponent: 0.9,
		prompt: 400, output: 120, deadline: 60000, rate: steady(1.5),
	}, hour/4)
	return dakarFleet(12, sim.WeightStore{LoadsPerSecond: 3, AtFullSpeed: 2})
}

// flood is quiet with one more customer that sends many times what the fleet can run.
func flood(b *builder) sim.FleetFile {
	f := quiet(b)
	b.add(stream{
		class: "traveller", callers: []string{"flooder"}, halls: 3, prefix: "book", adapters: 60, exponent: 0.9,
		prompt: 800, output: 250, deadline: 60000, rate: between(60, 200, 500),
	}, hour/4)
	return f
}

// large is 200,000 requests on a larger fleet, for the replay tool's own speed.
func large(b *builder) sim.FleetFile {
	b.add(stream{
		class: "traveller", callers: names("port", 40), halls: 3, prefix: "book", adapters: 22000, exponent: 1.0,
		prompt: 300, output: 80, deadline: 60000, rate: steady(56),
	}, hour)
	return dakarFleet(75, sim.WeightStore{LoadsPerSecond: 20, AtFullSpeed: 16})
}
