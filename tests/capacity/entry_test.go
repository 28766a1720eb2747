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

// The sizes at which the states of the entry program are measured: those of the users' sites after their growth, and a configuration of
// 2,000 routes.
const (
	entryAdapters  = 10000
	entryEndpoints = 140
	entryMembers   = 90
	entryRoutes    = 2000
	// largestValueRoutes is the number of routes whose configuration takes about 1 MB, the largest value that the users' store accepts.
	largestValueRoutes = 5500
	// adaptersPerEndpoint is the number of adapters on each endpoint where every adapter is resident on one endpoint.
	adaptersPerEndpoint = (entryAdapters + entryEndpoints - 1) / entryEndpoints
	// entryRequests is the number of waiting requests of one instance; the retry window counts ten times as many.
	entryRequests = 1000
	modelName     = "base-large"
	serviceName   = "generate-large"
	kilobyte      = 1000
)

var baseTime = time.Unix(1_800_000_000, 0)

// stateCase is one state of the entry program whose memory is measured. build returns the state, which shares no memory with anything
// that existed before.
type stateCase struct {
	name  string
	build func() any
}

var stateCases = []stateCase{
	{"configuration, parsed, 2,000 routes", func() any { return parseConfiguration(configurationValue(1, entryRoutes)) }},
	{"configuration, parsed, 1 MB", func() any { return parseConfiguration(configurationValue(1, largestValueRoutes)) }},
	{"operators' keys, 2,000 routes", func() any { return newKeys(configurationItem(1, entryRoutes)) }},
	{"operators' keys, 10,000 named versions", func() any { return newKeys(versionItems()...) }},
	{"named versions, 10,000", func() any { return namedVersions() }},
	{"directory, 140 endpoints and 10,000 copies", func() any { return filledDirectory() }},
	{"directory, 10,000 removed endpoints", func() any { return directoryOfRemoved(entryAdapters) }},
	{"request counter, 10,000 adapters in a report", func() any { return counterAfterReport() }},
	{"refused callers, 10,000", func() any { return refusedCallers(entryAdapters) }},
	{"announced loads, 10,000", func() any { return fullAnnouncements() }},
	{"waiting requests, 1,000", func() any { return waitingRequests() }},
	{"retry window, 10,000 requests", func() any { return retryWindow() }},
	{"request metrics, 2,000 routes", func() any { return routeMetrics() }},
	{"log lines, reader stopped", func() any { return blockedLog(300) }},
	{"log lines of 64 KiB, reader stopped", func() any { return blockedLog(64 << 10) }},
	{"planner: plan of 140 endpoints and 10,000 copies", func() any { return plannerWithCopies() }},
	{"planner: plan with 10,000 adapters in demand", func() any { return plannerWithDemand() }},
	{"planner: 90 members with 100 requests each", func() any { return membersWithRequests() }},
}

// BenchmarkEntryCapacityState reports the heap and stack memory that each state uses.
func BenchmarkEntryCapacityState(b *testing.B) {
	for _, c := range stateCases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(memoryUsedBy(c.build))/kilobyte, "KB")
			}
		})
	}
}

// BenchmarkEntryCapacityMessage reports the sizes of the largest messages between instances and of a configuration value in the store.
func BenchmarkEntryCapacityMessage(b *testing.B) {
	sizes := []struct {
		name string
		make func() int
	}{
		{"configuration, value, 2,000 routes", func() int { return len(configurationValue(1, entryRoutes)) }},
		{"configuration, value, 1 MB", func() int { return len(configurationValue(1, largestValueRoutes)) }},
		{"whole view", func() int { return len(encodeFrame(wire.Message{View: fullView()})) }},
		{"view with a configuration of 2,000 routes", func() int { return len(encodeFrame(viewWithItems(configurationItem(1, entryRoutes)))) }},
		{"report with demand for 10,000 adapters", func() int { return len(encodeFrame(wire.Message{Report: demandReport()})) }},
		{"report of 100 requests in flight", func() int { return len(encodeFrame(wire.Message{Report: inFlightReport(0)})) }},
	}
	for _, c := range sizes {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(c.make())/kilobyte, "KB")
			}
		})
	}
}

// memoryUsedBy returns by how many bytes building a state makes the heap and the stacks grow.
func memoryUsedBy(build func() any) int64 {
	before := heapAndStacks()
	state := build()
	used := heapAndStacks() - before
	runtime.KeepAlive(state)
	return used
}

func heapAndStacks() int64 {
	heap := heapInUse()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return heap + int64(m.StackInuse)
}

// configurationValue returns a configuration in the platform's encoding, with about 180 bytes per route as in the users' largest
// configurations.
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

func parseConfiguration(value []byte) *deployment.Configuration {
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

func newKeys(items ...store.Item) *follow.Keys {
	keys := follow.NewKeys()
	for _, item := range items {
		keys.Put(item)
	}
	return keys
}

func namedVersions() *follow.Versions {
	versions := follow.NewVersions()
	for i := range entryAdapters {
		versions.Put(baseTime, baseTime, entryAdapter(i), 1)
	}
	return versions
}

func entryAdapter(number int) deployment.Adapter {
	return deployment.Adapter{Model: modelName, Name: fmt.Sprintf("adapter-%05d", number)}
}

func entryEndpointID(number int) deployment.EndpointID {
	return deployment.EndpointID(fmt.Sprintf("i-%010x", number))
}

// newEntryEndpoint returns an endpoint on which its share of all adapters is resident.
func newEntryEndpoint(number int) deployment.Endpoint {
	endpoint := deployment.Endpoint{
		ID: entryEndpointID(number), Service: serviceName, Hall: fmt.Sprintf("hall-%d", number%4), Slots: 16, Models: []string{modelName},
		Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(number / 256), byte(number % 256)}), 7000),
		Adapters: make(map[deployment.Adapter]int64),
	}
	for i := range adaptersPerEndpoint {
		endpoint.Adapters[entryAdapter((number*adaptersPerEndpoint+i)%entryAdapters)] = 1
	}
	return endpoint
}

// filledDirectory returns a directory as a follower has it: with its own copy of the models and adapters that the planner offers, and with
// a record of the adapters that each endpoint holds.
func filledDirectory() *directory.Directory {
	d := directory.New()
	for i := range entryEndpoints {
		d.Put(newEntryEndpoint(i), 1)
		offered := newEntryEndpoint(i)
		d.SetOffered(offered.ID, offered.Models, offered.Adapters)
	}
	d.UpdateHeld(baseTime)
	return d
}

// directoryOfRemoved returns a directory from which the given number of draining endpoints were removed.
func directoryOfRemoved(endpoints int) *directory.Directory {
	d := directory.New()
	for i := range endpoints {
		d.Put(deployment.Endpoint{ID: entryEndpointID(i), Service: serviceName, State: deployment.Draining}, 1)
		d.Remove(entryEndpointID(i), 2)
	}
	return d
}

func serviceAdapter(number int) deployment.ServiceAdapter {
	return deployment.ServiceAdapter{Service: serviceName, Adapter: entryAdapter(number)}
}

func counterAfterReport() *report.Counter {
	counter := report.NewCounter()
	for i := range entryAdapters {
		counter.AddArrival(serviceAdapter(i), 0)
	}
	counter.Collect(baseTime, 0)
	return counter
}

func refusedCallers(count int) *report.Counter {
	counter := report.NewCounter()
	for i := range count {
		counter.ExpectRetry(serviceAdapter(i), "", baseTime, time.Second)
	}
	return counter
}

func fullAnnouncements() *forecast.Announcements {
	announcements := forecast.NewAnnouncements()
	for i := range entryAdapters {
		announcements.Set(serviceAdapter(i), baseTime)
	}
	return announcements
}

func waitingRequests() *waiting.Queue[int] {
	queue := &waiting.Queue[int]{}
	for i := range entryRequests {
		queue.Add(waiting.New[int](&deployment.Request{ID: fmt.Sprintf("%016x", i), Service: serviceName, Adapter: entryAdapter(i)}, nil))
	}
	return queue
}

func retryWindow() *retry.Budget {
	budget := retry.NewBudget(retry.Options{Ratio: 0.2, Extra: 50, Window: time.Minute}, baseTime)
	for i := range 10 * entryRequests {
		budget.RecordRequest(baseTime.Add(time.Duration(i)*time.Millisecond), serviceName)
	}
	return budget
}

// routeMetrics returns metrics that have counted a success, a refusal and a retry for each route.
func routeMetrics() *metric.Metrics {
	metrics := metric.New(func() metric.Gauges { return metric.Gauges{} })
	for i := range entryRoutes {
		name := fmt.Sprintf("route-%05d", i)
		metrics.ObserveRequest(metric.Request{Route: name, Status: 200, Retries: 1, First: time.Second, Whole: time.Second})
		metrics.ObserveRequest(metric.Request{Route: name, Status: 503, Reason: "adapter not loaded", Whole: time.Second})
	}
	return metrics
}

// blockedWriter is a log output whose Write never returns.
type blockedWriter struct{}

func (blockedWriter) Write([]byte) (int, error) { select {} }

// blockedLog returns a log writer whose queue was filled with lines of the given length while its output is blocked.
func blockedLog(length int) *asynclog.Writer {
	// The values of the entry process (services/entry/process).
	const burst, queue = 1500, 512
	writer := asynclog.New(asynclog.Options{
		Output: blockedWriter{}, LinesPerSecond: 300, Burst: burst, Queue: queue, Now: func() time.Time { return baseTime },
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

func plannerWithCopies() *loading.Planner {
	planner := loading.NewPlanner(entryEngine(), loading.Options{Random: func() float64 { return 0 }})
	for i := range entryEndpoints {
		endpoint := newEntryEndpoint(i)
		planner.SetEndpoint(baseTime, endpoint, 1, false)
		held := make(map[deployment.Adapter]time.Time, len(endpoint.Adapters))
		for adapter := range endpoint.Adapters {
			held[adapter] = baseTime
		}
		planner.RememberHeld(endpoint.ID, held)
	}
	return planner
}

// plannerWithDemand returns a planner without endpoints to which, for each adapter, one member has reported a waiting request.
func plannerWithDemand() *loading.Planner {
	planner := loading.NewPlanner(entryEngine(), loading.Options{Random: func() float64 { return 0 }})
	for m := range entryMembers {
		var demands []loading.Demand
		for i := m; i < entryAdapters; i += entryMembers {
			demands = append(demands, loading.Demand{Adapter: entryAdapter(i), Waiting: 1, InTime: time.Second, Arrivals: 1})
		}
		planner.Report(baseTime, memberName(m), demands)
	}
	return planner
}

func memberName(number int) string {
	return fmt.Sprintf("edge-hall-%03d", number)
}

// inFlightReport returns the report of a member with 100 requests in flight, each for a different adapter.
func inFlightReport(number int) *wire.Report {
	const requests = 100
	r := &wire.Report{Instance: memberName(number)}
	for i := range requests {
		id := entryEndpointID(i)
		r.InFlight = append(r.InFlight, wire.EndpointCount{ID: id, Count: 1})
		r.InUse = append(r.InUse, wire.CopyCount{ID: id, Model: modelName, Name: entryAdapter(number*requests + i).Name, Count: 1})
	}
	return r
}

func membersWithRequests() *member.Table {
	table := member.NewTable()
	for i := range entryMembers {
		table.Join(memberName(i), nil)
		table.ApplyReport(baseTime, inFlightReport(i))
	}
	return table
}

func demandReport() *wire.Report {
	counter := report.NewCounter()
	for i := range entryAdapters {
		counter.AddArrival(serviceAdapter(i), 0)
	}
	return &wire.Report{Instance: memberName(0), Demands: counter.Collect(baseTime, 0).List()}
}

func fullView() *wire.View {
	v := &wire.View{Planner: memberName(0), Term: 3, Heartbeat: true, Full: true, Members: entryMembers + 1}
	for _, status := range filledDirectory().Endpoints() {
		v.Endpoints = append(v.Endpoints, wire.EndpointFromStatus(status))
	}
	return v
}

func viewWithItems(items ...store.Item) wire.Message {
	return wire.Message{View: &wire.View{Planner: memberName(0), Term: 3, Members: entryMembers + 1, Items: items}}
}

func encodeFrame(message wire.Message) peerstream.Frame {
	frame, err := peerstream.Encode(message)
	if err != nil {
		panic(err)
	}
	return frame
}
