// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package capacity_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/models/daemon/table"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
	"github.com/shelfledge/shelfledge/modules/daemon/language"
	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/services/daemon/once"
	"github.com/shelfledge/shelfledge/services/daemon/placement"
	queries "github.com/shelfledge/shelfledge/services/daemon/query"
	"github.com/shelfledge/shelfledge/services/daemon/routing"
)

// measurement is one row of the table of slopes.
type measurement struct {
	name string
	// size names the quantity that grows, unit the unit of the measured cost. target is the expected size, for which
	// docs/capacity-shelfledged.md needs the cost.
	size, unit string
	sizes      []int
	target     int
	measure    func(size int) float64
}

var measurements = []measurement{
	{"one decision", "endpoints", "us", []int{10, 25, 50, 75}, 75, decisionTime},
	{"node, processor time per second", "nodes per hall", "us", []int{4, 10, 20, 40}, 40, nodeCPUTime},
	{"node, bytes sent per second", "nodes per hall", "B", []int{4, 10, 20, 40}, 40, nodeBytesSent},
	{"busiest node, bytes sent per second", "halls", "B", []int{2, 4, 6, 8}, 8, bytesSentByHalls},
	{"busiest node, bytes received per second", "halls", "B", []int{2, 4, 6, 8}, 8, bytesReceivedByHalls},
	{"placer, processor time per second", "requests per second", "us", []int{50, 100, 200, 400}, 167, placerCPUTime},
	{"placer, bytes sent per second", "requests per second", "B", []int{50, 100, 200, 400}, 167, placerBytesSent},
	{"entry, bytes sent per second", "requests per second", "B", []int{10, 20, 40, 80}, 13, entryBytesSent},
	{"catalog, heap", "adapters", "KB", []int{2000, 5500, 11000, 22000}, 22000, catalogHeap},
	{"catalog, one change", "adapters", "us", []int{2000, 5500, 11000, 22000}, 22000, catalogChangeTime},
	{"query over all adapters", "adapters", "us", []int{2000, 5500, 11000, 22000}, 22000, queryTime},
	{"router, heap of one summary", "resident adapters", "B", []int{100, 200, 400, 800}, 600, routerHeap},
	{"claims in one write", "concurrent callers", "claims", []int{1, 8, 16, 32}, 32, claimsPerWrite},
}

// BenchmarkCapacity logs each cost at its sizes, with the line fitted through the results and the cost that the line gives for the target.
func BenchmarkCapacity(b *testing.B) {
	for _, m := range measurements {
		b.Run(m.name, func(b *testing.B) {
			for b.Loop() {
				m.report(b)
			}
		})
	}
}

func (m measurement) report(b *testing.B) {
	var xs, ys []float64
	for _, size := range m.sizes {
		y := m.measure(size)
		xs, ys = append(xs, float64(size)), append(ys, y)
	}
	fitted := fitLine(xs, ys)
	b.Logf("by %s %v: %.4g %s; slope %.4g, intercept %.4g, max deviation %.1f%%; at %d: %.4g %s",
		m.size, m.sizes, ys, m.unit, fitted.slope, fitted.intercept, fitted.maxDeviation*100, m.target, fitted.intercept+fitted.slope*float64(m.target), m.unit)
}

const (
	endpointsPerHall = 75
	nodesPerHall     = 6
	knownAdapters    = 22000
	repeats          = 5
)

// decisionTime returns the time, in microseconds, that a placer takes to grant one request and to take its ticket back, with knownAdapters
// other adapters known.
func decisionTime(endpoints int) float64 {
	const rounds = 20000
	now := time.Unix(1000, 0)
	var specs []fleet.Endpoint
	for n := range endpoints {
		specs = append(specs, fleet.Endpoint{
			Name: fmt.Sprintf("e%02d", n), Hall: "h1", Kind: fleet.KindEngine, Bases: []string{"base"}, Slots: slotsPerEndpoint, MaxBatch: 32,
			Step: 25 * time.Millisecond, Load: time.Second, ChecksFence: true,
		})
	}
	o := placement.DefaultOptions()
	o.Classes = []fleet.Class{{Name: "c", Priority: 5, StallWeight: 1}}
	p := placement.NewPlacer("h1/base", "i1", specs, o)
	var resident []fleet.AdapterRef
	for n, spec := range specs {
		in := placement.Inspection{Endpoint: spec.Name, Incarnation: spec.Name, StartedAt: now, Up: true}
		for i := range slotsPerEndpoint {
			in.Resident = append(in.Resident, fleet.AdapterRef{Name: fmt.Sprintf("a-%d", n*slotsPerEndpoint+i), Version: 1})
		}
		resident = append(resident, in.Resident...)
		p.TakeOverEndpoint(now, in, 1, now)
	}
	for i := range knownAdapters {
		p.Submit(now, newRequest(fmt.Sprintf("known-%d", i), fleet.AdapterRef{Name: fmt.Sprintf("cold-%d", i), Version: 1}, now))
		p.Withdraw(now, fmt.Sprintf("known-%d", i))
	}
	start := time.Now()
	for i := range rounds {
		now = now.Add(100 * time.Microsecond)
		for _, e := range p.Submit(now, newRequest(fmt.Sprintf("q%d", i), resident[i*7%len(resident)], now)) {
			if g, ok := e.(placement.Grant); ok {
				p.ReturnTicket(now, g.Ticket.ID)
			}
		}
	}
	return float64(time.Since(start).Microseconds()) / rounds
}

func newRequest(id string, ref fleet.AdapterRef, now time.Time) fleet.Request {
	return fleet.Request{
		ID: id, Caller: "caller", Class: "c", Base: "base", Adapter: ref, PromptTokens: 200, OutputTokens: 100, Entry: "i1", Deadline: now.Add(time.Minute),
	}
}

func nodeCPUTime(nodes int) float64 {
	return newSimFleet(1, nodes, endpointsPerHall).maxCostPerSecond(func(s *simNode) float64 { return float64(s.cpuTime.Microseconds()) })
}

func nodeBytesSent(nodes int) float64 {
	return newSimFleet(1, nodes, endpointsPerHall).maxCostPerSecond(func(s *simNode) float64 { return float64(s.sent) })
}

func bytesSentByHalls(halls int) float64 {
	return newSimFleet(halls, nodesPerHall, endpointsPerHall).maxCostPerSecond(func(s *simNode) float64 { return float64(s.sent) })
}

func bytesReceivedByHalls(halls int) float64 {
	return newSimFleet(halls, nodesPerHall, endpointsPerHall).maxCostPerSecond(func(s *simNode) float64 { return float64(s.received) })
}

// newCatalog returns a catalog of the given number of adapters with two versions each.
func newCatalog(adapters int) *catalog.Catalog {
	var changes []catalog.Change
	for i := range adapters {
		name := fmt.Sprintf("adapter-%05d", i)
		changes = append(changes,
			catalog.Change{Kind: catalog.CreateAdapter, Name: name, Base: "base-a", Version: 1, Source: "weights/" + name + "/1"},
			catalog.Change{Kind: catalog.CreateVersion, Name: name, Version: 2, Source: "weights/" + name + "/2"})
	}
	c, _, err := catalog.New().Apply(1, changes)
	if err != nil {
		panic(err)
	}
	return c
}

// catalogHeap returns the heap, in KiB, of a catalog decoded from a snapshot, as a follower holds it.
func catalogHeap(adapters int) float64 {
	data, err := catalog.EncodeSnapshot(newCatalog(adapters))
	if err != nil {
		panic(err)
	}
	before := heapInUse()
	c, err := catalog.DecodeSnapshot(data)
	if err != nil {
		panic(err)
	}
	used := heapInUse() - before
	runtime.KeepAlive(c)
	return float64(used) / 1024
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// shortestTime returns the shortest of several run times of work, in microseconds.
func shortestTime(work func()) float64 {
	shortest := time.Duration(1<<63 - 1)
	for range repeats {
		start := time.Now()
		work()
		shortest = min(shortest, time.Since(start))
	}
	return float64(shortest.Nanoseconds()) / 1000
}

func catalogChangeTime(adapters int) float64 {
	c := newCatalog(adapters)
	return shortestTime(func() {
		if _, _, err := c.Apply(2, []catalog.Change{{Kind: catalog.SetLive, Name: "adapter-00001", Version: 2}}); err != nil {
			panic(err)
		}
	})
}

func queryTime(adapters int) float64 {
	c := newCatalog(adapters)
	s := queries.New(queries.Options{Catalog: func() *catalog.Catalog { return c }, Now: time.Now})
	statements, err := language.Parse("show adapters where name like '*7' and live > 0 order by name desc limit 10")
	if err != nil {
		panic(err)
	}
	return shortestTime(func() {
		t, err := s.LocalTable("adapters")
		if err != nil {
			panic(err)
		}
		var out *table.Table
		if out, err = queries.Evaluate(statements[0].Show, t); err != nil {
			panic(err)
		}
		runtime.KeepAlive(out)
	})
}

func routerHeap(resident int) float64 {
	pool := fleet.Pool{Name: "h1/base", Hall: "h1", Bases: []string{"base"}}
	summary := fleet.PoolSummary{Pool: pool.Name, Epoch: 1, Seq: 1, Full: true}
	for i := range resident {
		summary.Added = append(summary.Added, fmt.Sprintf("adapter-%05d@1", i))
	}
	before := heapInUse()
	r := routing.NewRouter("h1", []fleet.Pool{pool}, routing.DefaultOptions())
	r.ApplySummary(time.Unix(1000, 0), summary)
	used := heapInUse() - before
	runtime.KeepAlive(r)
	runtime.KeepAlive(summary)
	return float64(used)
}

// claimsPerWrite returns the mean number of claims in one write while the given number of callers claim concurrently.
func claimsPerWrite(callers int) float64 {
	const rounds = 20
	var mutex sync.Mutex
	writes := 0
	store := once.Store{
		Txn: func(context.Context, kv.TxnRequest) (kv.TxnResponse, error) {
			mutex.Lock()
			writes++
			mutex.Unlock()
			return kv.TxnResponse{Succeeded: true}, nil
		},
		Get:   func(context.Context, string) (kv.Pair, bool, error) { return kv.Pair{}, false, nil },
		Grant: func(context.Context, time.Duration) (int64, error) { return 1, nil },
	}
	c := once.New(store, once.DefaultOptions("/x", "i1"), time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	for round := range rounds {
		var group sync.WaitGroup
		for i := range callers {
			group.Add(1)
			go func() {
				defer group.Done()
				c.Claim(ctx, "caller", fmt.Sprintf("%d-%d", round, i))
			}()
		}
		group.Wait()
	}
	return float64(rounds*callers) / float64(writes)
}

// ticketCosts runs one hall in which one node requests tickets from another at the given rate per second. It returns the costs of the
// placer and of the entry per second, without their cost at rest.
func ticketCosts(rate int) (placer, entry simNode) {
	const span = 10 * time.Second
	f := newSimFleet(1, 4, 25)
	var placerNode, entryNode *simNode
	for _, s := range f.nodes {
		if len(s.node.Pools(f.now)) > 0 && placerNode == nil {
			placerNode = s
			continue
		}
		entryNode = s
	}
	pool := placerNode.node.Pools(f.now)[0]
	f.run(span)
	idlePlacer, idleEntry := *placerNode, *entryNode
	gap := time.Second / time.Duration(rate)
	for i := range rate * int(span/time.Second) {
		f.run(gap / tickInterval * tickInterval)
		f.messages.RunUntil(&f.now, f.now.Add(gap%tickInterval))
		ref, err := fleet.ParseAdapterRef(pool.Slots[i%len(pool.Slots)].Adapter)
		if err != nil {
			panic(err)
		}
		request := newRequest(fmt.Sprintf("q%d", i), ref, f.now)
		request.Base = pool.Pool[len("h0/"):]
		f.runTimed(entryNode, func() []node.Effect { return entryNode.node.Submit(f.now, request) })
	}
	cost := func(after *simNode, before simNode) simNode {
		// No requests were sent in the first span, which is as long as the second: its cost is the idle cost of the second span.
		idle := before.cpuTime
		return simNode{
			cpuTime: max(0, after.cpuTime-before.cpuTime-idle) / (span / time.Second),
			sent:    max(0, after.sent-2*before.sent) / int(span/time.Second),
		}
	}
	return cost(placerNode, idlePlacer), cost(entryNode, idleEntry)
}

func placerCPUTime(rate int) float64 {
	placer, _ := ticketCosts(rate)
	return float64(placer.cpuTime.Microseconds())
}

func placerBytesSent(rate int) float64 {
	placer, _ := ticketCosts(rate)
	return float64(placer.sent)
}

func entryBytesSent(rate int) float64 {
	_, entry := ticketCosts(rate)
	return float64(entry.sent)
}
