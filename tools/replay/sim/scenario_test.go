// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package sim_test

import (
	"fmt"

	"github.com/shelfledge/shelfledge/tools/replay/sim"
)

const (
	hour         = 3600.0
	adapterCount = 5000
)

var bases = []string{"base-a", "base-b"}

// scenarios maps names to functions that add a trace to the builder and return the fleet to replay it on. The traces
// have Zipf popularity over thousands of adapters, daily load curves, popularity flips, overnight batch load and faults.
var scenarios = map[string]func(b *traceBuilder) sim.FleetFile{
	"dakar": dakar, "plovdiv": plovdiv, "storm": storm, "quiet": quiet, "flood": flood, "large": large,
}

// hallName returns the name of the hall with an index.
func hallName(index int) string {
	return fmt.Sprintf("h%d", index+1)
}

func numberedNames(prefix string, count int) []string {
	out := make([]string, 0, count)
	for i := 1; i <= count; i++ {
		out = append(out, fmt.Sprintf("%s-%02d", prefix, i))
	}
	return out
}

// newFleet returns halls of two instances each. The endpoints of a hall alternate between the base models; every fourth
// endpoint does not check fences.
func newFleet(halls, endpoints int, loadMS float64, store sim.WeightStore, classes ...sim.ClassEntry) sim.FleetFile {
	f := sim.FleetFile{WeightStore: store, Classes: classes}
	for h := range halls {
		f.Halls = append(f.Halls, sim.HallEntry{Name: hallName(h), Instances: []string{hallName(h) + "-i1", hallName(h) + "-i2"}})
	}
	for n := range endpoints {
		h := hallName(n % halls)
		f.Endpoints = append(f.Endpoints, sim.EndpointEntry{
			Name: fmt.Sprintf("%s-e%d", h, n/halls+1), Hall: h, Bases: []string{bases[n/halls%len(bases)]},
			Slots: 8, MaxBatch: 32, StepMS: 25, PrefillTokensPerMS: 8, LoadMS: loadMS, ChecksFence: n%4 != 3,
		})
	}
	return f
}

func dakarFleet(endpoints int, store sim.WeightStore) sim.FleetFile {
	return newFleet(3, endpoints, 900, store, sim.ClassEntry{Name: "kiosk", Priority: 10, StallWeight: 4},
		sim.ClassEntry{Name: "traveller", Priority: 8, StallWeight: 2}, sim.ClassEntry{Name: "overnight", Priority: 1, StallWeight: 0.1})
}

// dakarTraffic adds a morning of traffic in three halls. The popularity of the adapters changes halfway.
func dakarTraffic(b *traceBuilder, period float64) sim.FleetFile {
	b.addStream(trafficStream{
		class: "kiosk", callers: numberedNames("kiosk", 20), halls: 3, prefix: "fare", adapters: adapterCount / 2, exponent: 1.1,
		prompt: 180, output: 40, deadline: 15000, once: 0.02, rate: cosineRate(0.4, 2.2, period), flipAt: period / 2,
	}, period)
	b.addStream(trafficStream{
		class: "traveller", callers: numberedNames("port", 10), halls: 3, prefix: "book", adapters: adapterCount / 2, exponent: 1.0,
		prompt: 400, output: 120, deadline: 60000, once: 0.05, rate: cosineRate(0.3, 1.6, period), flipAt: period / 2,
	}, period)
	b.addStream(trafficStream{
		class: "overnight", callers: numberedNames("agent", 4), halls: 3, prefix: "fare", adapters: 60, exponent: 0.8,
		prompt: 2000, output: 300, rate: constantRate(0.15),
	}, period)
	return dakarFleet(12, sim.WeightStore{LoadsPerSecond: 3, AtFullSpeed: 2})
}

func dakar(b *traceBuilder) sim.FleetFile {
	return dakarTraffic(b, hour)
}

// plovdiv adds the end of an agents' working day and a night of batch load in four halls.
func plovdiv(b *traceBuilder) sim.FleetFile {
	b.addStream(trafficStream{
		class: "agent", callers: numberedNames("coop", 12), halls: 4, prefix: "parcel", adapters: adapterCount, exponent: 1.0,
		prompt: 500, output: 150, deadline: 60000, once: 0.03, rate: cosineRate(0.2, 1.2, hour),
	}, hour)
	b.addStream(trafficStream{
		class: "app", callers: numberedNames("app", 3), halls: 4, prefix: "parcel", adapters: 400, exponent: 1.1,
		prompt: 150, output: 40, deadline: 15000, rate: cosineRate(0.1, 0.6, hour),
	}, hour)
	for i := range 6 {
		from := float64(i) * hour / 6
		b.addStream(trafficStream{
			class: "overnight", callers: numberedNames("office", 5), halls: 4, prefix: "note", adapters: 150, exponent: 0.7,
			prompt: 1500, output: 350, rate: constantBetween(8, from, from+150),
		}, hour)
	}
	return newFleet(4, 12, 1200, sim.WeightStore{LoadsPerSecond: 3, AtFullSpeed: 10}, sim.ClassEntry{Name: "agent", Priority: 8, StallWeight: 2},
		sim.ClassEntry{Name: "app", Priority: 10, StallWeight: 4}, sim.ClassEntry{Name: "overnight", Priority: 1, StallWeight: 0.1})
}

// storm adds the Dakar traffic together with endpoint restarts, failing loads, a slow weight store and one hall cut.
func storm(b *traceBuilder) sim.FleetFile {
	f := dakarTraffic(b, hour/2)
	b.addEvent(200, sim.Line{Event: sim.EndpointRestart, Endpoint: "h1-e2"})
	b.addEvent(260, sim.Line{Event: sim.LoadFails, Endpoint: "h1-e3", Count: 4})
	b.addEvent(420, sim.Line{Event: sim.EndpointLeaving, Endpoint: "h2-e1"})
	b.addEvent(600, sim.Line{Event: sim.StoreRate, Rate: 1, UntilMS: 840000})
	b.addEvent(700, sim.Line{Event: sim.HallCut, Hall: "h3", UntilMS: 1000000})
	b.addEvent(760, sim.Line{Event: sim.EndpointRestart, Endpoint: "h3-e1"})
	b.addEvent(900, sim.Line{Event: sim.KVDown, UntilMS: 1300000})
	b.addEvent(1100, sim.Line{Event: sim.InstanceLost, Instance: "h1-i2"})
	for _, endpoint := range []string{"h1-e1", "h2-e2", "h3-e2"} {
		b.addEvent(1200, sim.Line{Event: sim.EndpointRestart, Endpoint: endpoint})
	}
	return f
}

// quiet adds the traffic of three customers, the reference for flood.
func quiet(b *traceBuilder) sim.FleetFile {
	b.addStream(trafficStream{
		class: "traveller", callers: numberedNames("quiet", 3), halls: 3, prefix: "book", adapters: 60, exponent: 0.9,
		prompt: 400, output: 120, deadline: 60000, rate: constantRate(1.5),
	}, hour/4)
	return dakarFleet(12, sim.WeightStore{LoadsPerSecond: 3, AtFullSpeed: 2})
}

// flood adds quiet's traffic and one more customer, which sends many times what the fleet can run.
func flood(b *traceBuilder) sim.FleetFile {
	f := quiet(b)
	b.addStream(trafficStream{
		class: "traveller", callers: []string{"flooder"}, halls: 3, prefix: "book", adapters: 60, exponent: 0.9,
		prompt: 800, output: 250, deadline: 60000, rate: constantBetween(60, 200, 500),
	}, hour/4)
	return f
}

// large adds 200,000 requests on a larger fleet, to measure the speed of the replay tool.
func large(b *traceBuilder) sim.FleetFile {
	b.addStream(trafficStream{
		class: "traveller", callers: numberedNames("port", 40), halls: 3, prefix: "book", adapters: 22000, exponent: 1.0,
		prompt: 300, output: 80, deadline: 60000, rate: constantRate(56),
	}, hour)
	return dakarFleet(75, sim.WeightStore{LoadsPerSecond: 20, AtFullSpeed: 16})
}
