// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/asynclog"
	"github.com/shelfledge/shelfledge/modules/entry/metric"
	"github.com/shelfledge/shelfledge/modules/entry/peerstream"
	"github.com/shelfledge/shelfledge/modules/entry/store"
	"github.com/shelfledge/shelfledge/platform"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/forecast"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/report"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/waiting"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/wire"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/loading"
	"github.com/shelfledge/shelfledge/services/entry/retry"
)

// The sizes at which the states of the entry program are measured: those of the users' grown sites, and what 2,000 routes give.
const (
	entryAdapters  = 10000
	entryEndpoints = 140
	entryMembers   = 90
	entryRoutes    = 2000
	// largestValueRoutes give a value of about 1 MB, the most that the users' store holds in one.
	largestValueRoutes = 5500
	// adaptersAnEndpoint is how many each holds where every adapter is resident once.
	adaptersAnEndpoint = (entryAdapters + entryEndpoints - 1) / entryEndpoints
	// entryRequests is how many requests of one instance are in flight, and how many wait, in the rows that say so.
	entryRequests = 1000
	modelName     = "base-large"
	serviceName   = "generate-large"
	kilobyte      = 1000
)

var entryStart = time.Unix(1_800_000_000, 0)

// entryState is one state of the entry program; build gives it, made of nothing that is held elsewhere.
type entryState struct {
	name  string
	build func() any
}

var entryStates = []entryState{
	{"configuration, parsed, 2,000 routes", func() any { return parsed(configurationValue(1, entryRoutes)) }},
	{"configuration, parsed, 1 MB", func() any { return parsed(configurationValue(1, largestValueRoutes)) }},
	{"operators' keys, 2,000 routes", func() any { return keysOf(configurationItem(1, entryRoutes)) }},
	{"operators' keys, 10,000 named versions", func() any { return keysOf(versionItems()...) }},
	{"named versions, 10,000", func() any { return namedVersions() }},
	{"directory, 140 endpoints and 10,000 copies", func() any { return filledDirectory() }},
	{"directory, 10,000 endpoints that are gone", func() any { return directoryOfGone(entryAdapters) }},
	{"counter of requests, 10,000 adapters in a report", func() any { return busyCounter() }},
	{"refused callers, 10,000", func() any { return refusedCallers(entryAdapters) }},
	{"forecasts, 10,000 loads", func() any { return fullBook() }},
	{"waiting requests, 1,000", func() any { return waitingRequests() }},
	{"retry window, 10,000 requests", func() any { return retryWindow() }},
	{"figures, 2,000 routes", func() any { return figuresOfRoutes() }},
	{"log lines, reader stopped", func() any { return stoppedLog(300) }},
	{"log lines of 64 KiB, reader stopped", func() any { return stoppedLog(64 << 10) }},
	{"planner: plan of 140 endpoints and 10,000 copies", func() any { return filledPlanner() }},
	{"planner: plan with 10,000 adapters in demand", func() any { return demandedPlanner() }},
	{"planner: 90 members with 100 requests each", func() any { return busyMembers() }},
}

// BenchmarkEntryCapacityState prints what each state takes of the heap and of stacks.
func BenchmarkEntryCapacityState(b *testing.B) {
	for _, one := range entryStates {
		b.Run(one.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(bytesOf(one.build))/kilobyte, "KB")
			}
		})
	}
}

// BenchmarkEntryCapacityMessage prints the size of the largest messages between instances, and of a configuration's value.
func BenchmarkEntryCapacityMessage(b *testing.B) {
	sizes := []struct {
		name string
		make func() int
	}{
		{"configuration, value, 2,000 routes", func() int { return len(configurationValue(1, entryRoutes)) }},
		{"configuration, value, 1 MB", func() int { return len(configurationValue(1, largestValueRoutes)) }},
		{"whole view", func() int { return len(frameOf(wire.Message{View: wholeView()})) }},
		{"view with a configuration of 2,000 routes", func() int { return len(frameOf(viewWith(configurationItem(1, entryRoutes)))) }},
		{"report of 10,000 adapters asked for", func() int { return len(frameOf(wire.Message{Report: fullReport()})) }},
		{"report of 100 requests in flight", func() int { return len(frameOf(wire.Message{Report: reportOf(0)})) }},
	}
	for _, one := range sizes {
		b.Run(one.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(one.make())/kilobyte, "KB")
			}
		})
	}
}

// bytesOf gives by how much a state makes the heap and the stacks grow.
func bytesOf(build func() any) int64 {
	before := heapAndStacks()
	kept := build()
	used := heapAndStacks() - before
	runtime.KeepAlive(kept)
	return used
}

func heapAndStacks() int64 {
	heap := heapInUse()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return heap + int64(m.StackInuse)
}

// configurationValue makes a configuration in the platform's form, of some 180 bytes a route as the users' largest ones have.
func configurationValue(version int64, routes int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, `{"version":%d,"routes":[`, version)
	for i := range routes {
		if i > 0 {
			text.WriteString(",")
		}
		fmt.Fprintf(&text, `{"name":"route-%05d","hostname":"tenant-%04d.example","path_prefix":"/x%05d/","type":"safe","timeout_ms":8000,`+
			`"target_latency_ms":800,"service":"%s","max_attempts":2}`, i, i/4, i, serviceName)
	}
	fmt.Fprintf(&text, `],"services":[{"name":"%s","engine":{"slots":16,"weights_mb":80000,"adapter_capacity":100,"loads_per_s":1,`+
		`"models":[{"name":"%s","weights_mb":20000,"adapter_mb":100}]}}],"limits":{"max_body_bytes":1000000}}`, serviceName, modelName)
	return []byte(text.String())
}

func parsed(value []byte) *deployment.Configuration {
	configuration, err := platform.ParseConfiguration(value)
	if err != nil {
		panic(err)
	}
	return configuration
}

func configurationItem(version int64, routes int) store.Item {
	return store.Item{Key: "op/config", Value: configurationValue(version, routes), Revision: version}
}

func versionItems() []store.Item {
	items := make([]store.Item, 0, entryAdapters)
	for i := range entryAdapters {
		items = append(items, store.Item{
			Key: fmt.Sprintf("op/version/%s/adapter-%05d", modelName, i), Revision: int64(i + 1),
			Value: fmt.Appendf(nil, `{"model":"%s","adapter":"adapter-%05d","version":%d}`, modelName, i, 1),
		})
	}
	return items
}

func keysOf(items ...store.Item) *follow.Keys {
	keys := follow.NewKeys()
	for _, item := range items {
		keys.Put(item)
	}
	return keys
}

func namedVersions() *follow.Versions {
	versions := follow.NewVersions()
	for i := range entryAdapters {
		versions.Put(entryStart, entryStart, entryAdapter(i), 1)
	}
	return versions
}

func entryAdapter(number int) deployment.Adapter {
	return deployment.Adapter{Model: modelName, Name: fmt.Sprintf("adapter-%05d", number)}
}

func entryEndpointID(number int) deployment.EndpointID {
	return deployment.EndpointID(fmt.Sprintf("i-%010x", number))
}

// entryEndpoint is one that holds its part of all adapters.
func entryEndpoint(number int) deployment.Endpoint {
	endpoint := deployment.Endpoint{
		ID: entryEndpointID(number), Service: serviceName, Hall: fmt.Sprintf("hall-%d", number%4), Slots: 16, Models: []string{modelName},
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number / 256), byte(number % 256)}), 7000),
		Adapters: make(map[deployment.Adapter]int64),
	}
	for i := range adaptersAnEndpoint {
		endpoint.Adapters[entryAdapter((number*adaptersAnEndpoint+i)%entryAdapters)] = 1
	}
	return endpoint
}

// filledDirectory is a follower's: it has its own copy of what the planner offers, and remembers what was held.
func filledDirectory() *directory.Directory {
	d := directory.New()
	for i := range entryEndpoints {
		d.Put(entryEndpoint(i), 1)
		offered := entryEndpoint(i)
		d.SetOffered(offered.ID, offered.Models, offered.Adapters)
	}
	d.UpdateHeld(entryStart)
	return d
}

// directoryOfGone has seen so many endpoints drain and go.
func directoryOfGone(endpoints int) *directory.Directory {
	d := directory.New()
	for i := range endpoints {
		d.Put(deployment.Endpoint{ID: entryEndpointID(i), Service: serviceName, State: deployment.Draining}, 1)
		d.Remove(entryEndpointID(i), 2)
	}
	return d
}

func entryKey(number int) deployment.ServiceAdapter {
	return deployment.ServiceAdapter{Service: serviceName, Adapter: entryAdapter(number)}
}

func busyCounter() *report.Counter {
	counter := report.NewCounter()
	for i := range entryAdapters {
		counter.AddArrival(entryKey(i), 0)
	}
	counter.Collect(entryStart, 0)
	return counter
}

func refusedCallers(count int) *report.Counter {
	counter := report.NewCounter()
	for i := range count {
		counter.ExpectRetry(entryKey(i), entryStart, time.Second)
	}
	return counter
}

func fullBook() *forecast.Announcements {
	book := forecast.NewAnnouncements()
	for i := range entryAdapters {
		book.Set(entryKey(i), entryStart)
	}
	return book
}

func waitingRequests() *waiting.Queue[int] {
	queue := &waiting.Queue[int]{}
	for i := range entryRequests {
		queue.Add(waiting.New[int](&deployment.Request{ID: fmt.Sprintf("%016x", i), Service: serviceName, Adapter: entryAdapter(i)}, nil))
	}
	return queue
}

func retryWindow() *retry.Budget {
	budget := retry.NewBudget(retry.Options{Ratio: 0.2, Extra: 50, Window: time.Minute}, entryStart)
	for i := range 10 * entryRequests {
		budget.RecordRequest(entryStart.Add(time.Duration(i)*time.Millisecond), serviceName)
	}
	return budget
}

// figuresOfRoutes has seen a success, a refusal and a retry of each route.
func figuresOfRoutes() *metric.Metrics {
	metrics := metric.New(func() metric.Gauges { return metric.Gauges{} })
	for i := range entryRoutes {
		name := fmt.Sprintf("route-%05d", i)
		metrics.ObserveRequest(metric.Request{Route: name, Status: 200, Retries: 1, First: time.Second, Whole: time.Second})
		metrics.ObserveRequest(metric.Request{Route: name, Status: 503, Reason: "adapter not loaded", Whole: time.Second})
	}
	return metrics
}

// stoppedOutput is a reader of the log that takes nothing until it is let go.
type stoppedOutput struct{}

func (stoppedOutput) Write([]byte) (int, error) { select {} }

func stoppedLog(length int) *asynclog.Writer {
	// The process' own settings (services/entry/process).
	const burst, queue = 1500, 512
	writer := asynclog.New(asynclog.Options{
		Output: stoppedOutput{}, LinesPerSecond: 300, Burst: burst, Queue: queue, Now: func() time.Time { return entryStart },
		Summary: func(time.Time, uint64) string { return "" },
	})
	line := make([]byte, length)
	for range burst {
		if _, err := writer.Write(line); err != nil {
			panic(err)
		}
	}
	return writer
}

func entryEngine() deployment.Engine {
	return deployment.Engine{
		Slots: 16, WeightsMB: 80000, AdapterCapacity: 100, LoadsPerSecond: 1,
		Models: []deployment.Model{{Name: modelName, WeightsMB: 20000, AdapterMB: 100}},
	}
}

func filledPlanner() *loading.Planner {
	planner := loading.NewPlanner(entryEngine(), loading.Options{Random: func() float64 { return 0 }})
	for i := range entryEndpoints {
		endpoint := entryEndpoint(i)
		planner.SetEndpoint(entryStart, endpoint, 1, false)
		held := make(map[deployment.Adapter]time.Time, len(endpoint.Adapters))
		for adapter := range endpoint.Adapters {
			held[adapter] = entryStart
		}
		planner.RememberHeld(endpoint.ID, held)
	}
	return planner
}

// demandedPlanner has no endpoints, and each adapter waited for at one member.
func demandedPlanner() *loading.Planner {
	planner := loading.NewPlanner(entryEngine(), loading.Options{Random: func() float64 { return 0 }})
	for m := range entryMembers {
		var demands []loading.Demand
		for i := m; i < entryAdapters; i += entryMembers {
			demands = append(demands, loading.Demand{Adapter: entryAdapter(i), Waiting: 1, InTime: time.Second, Arrivals: 1})
		}
		planner.Report(entryStart, memberName(m), demands)
	}
	return planner
}

func memberName(number int) string {
	return fmt.Sprintf("edge-hall-%03d", number)
}

// reportOf is a member's report with 100 requests in flight, each of an adapter of its own.
func reportOf(number int) *wire.Report {
	const requests = 100
	r := &wire.Report{Instance: memberName(number)}
	for i := range requests {
		id := entryEndpointID(i)
		r.InFlight = append(r.InFlight, wire.EndpointCount{ID: id, Count: 1})
		r.InUse = append(r.InUse, wire.CopyCount{ID: id, Model: modelName, Name: entryAdapter(number*requests + i).Name, Count: 1})
	}
	return r
}

func busyMembers() *member.Table {
	table := member.NewTable()
	for i := range entryMembers {
		table.Join(memberName(i), nil)
		table.ApplyReport(entryStart, reportOf(i))
	}
	return table
}

func fullReport() *wire.Report {
	counter := report.NewCounter()
	for i := range entryAdapters {
		counter.AddArrival(entryKey(i), 0)
	}
	return &wire.Report{Instance: memberName(0), Demands: counter.Collect(entryStart, 0).List()}
}

func wholeView() *wire.View {
	v := &wire.View{Planner: memberName(0), Term: 3, Heartbeat: true, Full: true, Members: entryMembers + 1}
	for _, status := range filledDirectory().Endpoints() {
		v.Endpoints = append(v.Endpoints, wire.EndpointFromStatus(status))
	}
	return v
}

func viewWith(items ...store.Item) wire.Message {
	return wire.Message{View: &wire.View{Planner: memberName(0), Term: 3, Members: entryMembers + 1, Items: items}}
}

func frameOf(message wire.Message) peerstream.Frame {
	frame, err := peerstream.Encode(message)
	if err != nil {
		panic(err)
	}
	return frame
}
