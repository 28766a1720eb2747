// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package gen

import (
	"errors"
	"fmt"
	"sort"

	"github.com/shelfledge/shelfledge/tools/replay/sim"
)

// ErrNoScenario reports an unknown scenario name.
type ErrNoScenario struct {
	Name string
}

// Error names the scenarios that exist.
func (e ErrNoScenario) Error() string {
	return fmt.Sprintf("no scenario %q; there are %v", e.Name, Scenarios())
}

// IsErrNoScenario tells whether an error is an ErrNoScenario.
func IsErrNoScenario(err error) bool {
	var e ErrNoScenario
	return errors.As(err, &e)
}

var scenarios = map[string]func(seed uint64) Scenario{
	"dakar":   dakar,
	"plovdiv": plovdiv,
	"storm":   storm,
	"flood":   flood,
	"quiet":   quiet,
	"large":   large,
	"uniform": uniform,
	"steep":   steep,
}

// Scenarios lists the scenarios that Make knows.
func Scenarios() []string {
	out := make([]string, 0, len(scenarios))
	for name := range scenarios {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Make draws a scenario from a seed.
func Make(name string, seed uint64) (Scenario, error) {
	build, ok := scenarios[name]
	if !ok {
		return Scenario{}, ErrNoScenario{Name: name}
	}
	return build(seed), nil
}

const (
	hour        = 3600.0
	adapterPool = 5000
)

func dakarClasses() []sim.ClassEntry {
	return []sim.ClassEntry{
		{Name: "kiosk", Priority: 10, StallWeight: 4},
		{Name: "traveller", Priority: 8, StallWeight: 2},
		{Name: "overnight", Priority: 1, StallWeight: 0.1},
	}
}

func dakarShape() fleetShape {
	return fleetShape{
		halls: 3, instances: 2, endpoints: 12, bases: []string{"base-a", "base-b"}, slots: 8, batch: 32,
		stepMS: 25, prefill: 8, loadMS: 900, rate: 3, atFullSpeed: 2,
	}
}

func dakarStreams(period float64) []stream {
	bases := []string{"base-a", "base-b"}
	return []stream{
		{
			class: "kiosk", callers: names("kiosk", 20), halls: hallNames(3), prefix: "fare", bases: bases, adapters: adapterPool / 2,
			exponent: 1.1, prompt: 180, output: 40, deadline: 15000, once: 0.02, rate: tide(0.4, 2.2, period), flipAt: period / 2,
		},
		{
			class: "traveller", callers: names("port", 10), halls: hallNames(3), prefix: "book", bases: bases, adapters: adapterPool / 2,
			exponent: 1.0, prompt: 400, output: 120, deadline: 60000, once: 0.05, rate: tide(0.3, 1.6, period), flipAt: period / 2,
		},
		{
			class: "overnight", callers: names("agent", 4), halls: hallNames(3), prefix: "fare", bases: bases, adapters: 60,
			exponent: 0.8, prompt: 2000, output: 300, rate: steady(0.15),
		},
	}
}

// dakar is a morning tide over three halls, with a popularity flip between ports.
func dakar(seed uint64) Scenario {
	b := newBuilder(seed)
	for _, s := range dakarStreams(hour) {
		b.add(s, hour)
	}
	return Scenario{Fleet: dakarShape().build(dakarClasses()), Lines: b.sorted()}
}

func plovdivClasses() []sim.ClassEntry {
	return []sim.ClassEntry{
		{Name: "agent", Priority: 8, StallWeight: 2},
		{Name: "app", Priority: 10, StallWeight: 4},
		{Name: "overnight", Priority: 1, StallWeight: 0.1},
	}
}

func plovdivShape() fleetShape {
	return fleetShape{
		halls: 4, instances: 2, endpoints: 12, bases: []string{"base-a", "base-b"}, slots: 8, batch: 32,
		stepMS: 25, prefill: 8, loadMS: 1200, rate: 3, atFullSpeed: 10,
	}
}

// plovdiv is the end of a day of agents and a night of volume over four halls.
func plovdiv(seed uint64) Scenario {
	b := newBuilder(seed)
	bases := []string{"base-a", "base-b"}
	b.add(stream{
		class: "agent", callers: names("coop", 12), halls: hallNames(4), prefix: "parcel", bases: bases, adapters: adapterPool,
		exponent: 1.0, prompt: 500, output: 150, deadline: 60000, once: 0.03, rate: tide(0.2, 1.2, hour),
	}, hour)
	b.add(stream{
		class: "app", callers: names("app", 3), halls: hallNames(4), prefix: "parcel", bases: bases, adapters: 400,
		exponent: 1.1, prompt: 150, output: 40, deadline: 15000, rate: tide(0.1, 0.6, hour),
	}, hour)
	for i := 0; i < 6; i++ {
		from := float64(i) * hour / 6
		b.add(stream{
			class: "overnight", callers: names("office", 5), halls: hallNames(4), prefix: "note", bases: bases, adapters: 150,
			exponent: 0.7, prompt: 1500, output: 350, rate: between(8, from, from+150),
		}, hour)
	}
	return Scenario{Fleet: plovdivShape().build(plovdivClasses()), Lines: b.sorted()}
}

// storm is the Dakar morning with restarts, failing loads, a slow weight store and one hall cut.
func storm(seed uint64) Scenario {
	b := newBuilder(seed)
	for _, s := range dakarStreams(hour / 2) {
		b.add(s, hour/2)
	}
	b.event(200, sim.Line{Event: sim.EndpointRestart, Endpoint: "h1-e2"})
	b.event(260, sim.Line{Event: sim.LoadFails, Endpoint: "h1-e3", Count: 4})
	b.event(420, sim.Line{Event: sim.EndpointLeaving, Endpoint: "h2-e1"})
	b.event(600, sim.Line{Event: sim.StoreRate, Rate: 1, UntilMS: 840000})
	b.event(700, sim.Line{Event: sim.HallCut, Hall: "h3", UntilMS: 1000000})
	b.event(760, sim.Line{Event: sim.EndpointRestart, Endpoint: "h3-e1"})
	b.event(900, sim.Line{Event: sim.KVDown, UntilMS: 1300000})
	b.event(1100, sim.Line{Event: sim.InstanceLost, Instance: "h1-i2"})
	b.event(1200, sim.Line{Event: sim.EndpointRestart, Endpoint: "h1-e1"})
	b.event(1200, sim.Line{Event: sim.EndpointRestart, Endpoint: "h2-e2"})
	b.event(1200, sim.Line{Event: sim.EndpointRestart, Endpoint: "h3-e2"})
	return Scenario{Fleet: dakarShape().build(dakarClasses()), Lines: b.sorted()}
}

func quietStream() stream {
	return stream{
		class: "traveller", callers: names("quiet", 3), halls: hallNames(3), prefix: "book", bases: []string{"base-a", "base-b"}, adapters: 60,
		exponent: 0.9, prompt: 400, output: 120, deadline: 60000, rate: steady(1.5),
	}
}

// quiet is three quiet tenants alone, the yardstick for flood.
func quiet(seed uint64) Scenario {
	b := newBuilder(seed)
	b.add(quietStream(), hour/4)
	return Scenario{Fleet: dakarShape().build(dakarClasses()), Lines: b.sorted()}
}

// flood is the quiet scenario with one more tenant that sends many times what the fleet can run.
func flood(seed uint64) Scenario {
	b := newBuilder(seed)
	b.add(quietStream(), hour/4)
	b.add(stream{
		class: "traveller", callers: []string{"flooder"}, halls: hallNames(3), prefix: "book", bases: []string{"base-a", "base-b"}, adapters: 60,
		exponent: 0.9, prompt: 800, output: 250, deadline: 60000, rate: between(60, 200, 500),
	}, hour/4)
	return Scenario{Fleet: dakarShape().build(dakarClasses()), Lines: b.sorted()}
}

// large is 200,000 requests on a larger fleet, for the replay tool's own speed.
func large(seed uint64) Scenario {
	b := newBuilder(seed)
	shape := dakarShape()
	shape.endpoints, shape.rate, shape.atFullSpeed = 75, 20, 16
	b.add(stream{
		class: "traveller", callers: names("port", 40), halls: hallNames(3), prefix: "book", bases: []string{"base-a", "base-b"}, adapters: 22000,
		exponent: 1.0, prompt: 300, output: 80, deadline: 60000, rate: steady(56),
	}, hour)
	return Scenario{Fleet: shape.build(dakarClasses()), Lines: b.sorted()}
}

// uniform calls for a few hundred adapters with equal likelihood, the worst case for caching.
func uniform(seed uint64) Scenario {
	b := newBuilder(seed)
	b.add(stream{
		class: "kiosk", callers: names("kiosk", 8), halls: hallNames(3), prefix: "fare", bases: []string{"base-a", "base-b"}, adapters: 400,
		exponent: 0, prompt: 200, output: 60, deadline: 30000, rate: tide(0.5, 2.5, hour/2),
	}, hour/2)
	return Scenario{Fleet: dakarShape().build(dakarClasses()), Lines: b.sorted()}
}

// steep calls for very few adapters very often, with flips every ten minutes.
func steep(seed uint64) Scenario {
	b := newBuilder(seed)
	for i := 0; i < 3; i++ {
		from := float64(i) * hour / 6
		b.add(stream{
			class: "kiosk", callers: names("kiosk", 8), halls: hallNames(3), prefix: fmt.Sprintf("fare%d", i), bases: []string{"base-a", "base-b"},
			adapters: 2000, exponent: 1.5, prompt: 200, output: 60, deadline: 30000, rate: between(12, from, from+hour/6),
		}, hour/2)
	}
	return Scenario{Fleet: dakarShape().build(dakarClasses()), Lines: b.sorted()}
}
