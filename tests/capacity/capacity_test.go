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

// figure is one row of the table of slopes.
type figure struct {
	name string
	// size is what grows, unit what is measured; target is the size to come that docs/capacity-shelfledged.md asks about.
	size, unit string
	sizes      []int
	target     int
	measure    func(size int) float64
}

var figures = []figure{
	{"one decision", "endpoints", "us", []int{10, 25, 50, 75}, 75, decision},
	{"node, processor time a second", "nodes a hall", "us", []int{4, 10, 20, 40}, 40, nodeProcessor},
	{"node, bytes sent a second", "nodes a hall", "B", []int{4, 10, 20, 40}, 40, nodeBytes},
	{"busiest node, bytes sent a second", "halls", "B", []int{2, 4, 6, 8}, 8, bytesSentByHalls},
	{"busiest node, bytes received a second", "halls", "B", []int{2, 4, 6, 8}, 8, bytesReceivedByHalls},
	{"placer, processor time a second", "requests per s", "us", []int{50, 100, 200, 400}, 167, placerProcessor},
	{"placer, bytes sent a second", "requests per s", "B", []int{50, 100, 200, 400}, 167, placerBytes},
	{"entry, bytes sent a second", "requests per s", "B", []int{10, 20, 40, 80}, 13, entryBytes},
	{"catalog, heap", "adapters", "KB", []int{2000, 5500, 11000, 22000}, 22000, catalogHeap},
	{"catalog, one change", "adapters", "us", []int{2000, 5500, 11000, 22000}, 22000, catalogChange},
	{"query over all adapters", "adapters", "us", []int{2000, 5500, 11000, 22000}, 22000, query},
	{"router, heap of one summary", "resident", "B", []int{100, 200, 400, 800}, 600, routerHeap},
	{"claims in one write", "callers at once", "claims", []int{1, 8, 16, 32}, 32, claimsPerWrite},
}

// BenchmarkCapacity prints each figure at its sizes, and the line fitted through them.
func BenchmarkCapacity(b *testing.B) {
	for _, f := range figures {
		b.Run(f.name, func(b *testing.B) {
			for b.Loop() {
				f.report(b)
			}
		})
	}
}

func (f figure) report(b *testing.B) {
	var xs, ys []float64
	for _, size := range f.sizes {
		y := f.measure(size)
		xs, ys = append(xs, float64(size)), append(ys, y)
	}
	fitted := fit(xs, ys)
	b.Logf("by %s %v: %.4g %s; slope %.4g, at zero %.4g, error %.1f%%; at %d: %.4g %s",
		f.size, f.sizes, ys, f.unit, fitted.slope, fitted.atZero, fitted.deviation*100, f.target, fitted.atZero+fitted.slope*float64(f.target), f.unit)
}

const (
	endpointsAHall = 75
	nodesAHall     = 6
	knownAdapters  = 22000
	repeats        = 5
)

// decision gives the time of one request's way through a placer, submitted and returned.
func decision(endpoints int) float64 {
	const rounds = 20000
	now := time.Unix(1000, 0)
	var specs []fleet.Endpoint
	for n := range endpoints {
		specs = append(specs, fleet.Endpoint{
			Name: fmt.Sprintf("e%02d", n), Hall: "h1", Kind: fleet.KindEngine, Bases: []string{"base"}, Slots: slots, MaxBatch: 32,
			Step: 25 * time.Millisecond, Load: time.Second, ChecksFence: true,
		})
	}
	o := placement.DefaultOptions()
	o.Classes = []fleet.Class{{Name: "c", Priority: 5, StallWeight: 1}}
	p := placement.NewPlacer("h1/base", "i1", specs, o)
	var resident []fleet.AdapterRef
	for n, spec := range specs {
		in := placement.Inspection{Endpoint: spec.Name, Incarnation: spec.Name, StartedAt: now, Up: true}
		for i := range slots {
			in.Resident = append(in.Resident, fleet.AdapterRef{Name: fmt.Sprintf("a-%d", n*slots+i), Version: 1})
		}
		resident = append(resident, in.Resident...)
		p.TakeOverEndpoint(now, in, 1, now)
	}
	for i := range knownAdapters {
		p.Submit(now, ask(fmt.Sprintf("known-%d", i), fleet.AdapterRef{Name: fmt.Sprintf("cold-%d", i), Version: 1}, now))
		p.Withdraw(now, fmt.Sprintf("known-%d", i))
	}
	began := time.Now()
	for i := range rounds {
		now = now.Add(100 * time.Microsecond)
		for _, e := range p.Submit(now, ask(fmt.Sprintf("q%d", i), resident[i*7%len(resident)], now)) {
			if g, ok := e.(placement.Grant); ok {
				p.ReturnTicket(now, g.Ticket.ID)
			}
		}
	}
	return float64(time.Since(began).Microseconds()) / rounds
}

func ask(id string, ref fleet.AdapterRef, now time.Time) fleet.Request {
	return fleet.Request{
		ID: id, Caller: "caller", Class: "c", Base: "base", Adapter: ref, PromptTokens: 200, OutputTokens: 100, Entry: "i1", Deadline: now.Add(time.Minute),
	}
}

func nodeProcessor(nodes int) float64 {
	return newSimFleet(1, nodes, endpointsAHall).most(func(s *simNode) float64 { return float64(s.processor.Microseconds()) })
}

func nodeBytes(nodes int) float64 {
	return newSimFleet(1, nodes, endpointsAHall).most(func(s *simNode) float64 { return float64(s.sent) })
}

func bytesSentByHalls(halls int) float64 {
	return newSimFleet(halls, nodesAHall, endpointsAHall).most(func(s *simNode) float64 { return float64(s.sent) })
}

func bytesReceivedByHalls(halls int) float64 {
	return newSimFleet(halls, nodesAHall, endpointsAHall).most(func(s *simNode) float64 { return float64(s.received) })
}

// catalogOf makes a configuration of so many adapters with two versions each.
func catalogOf(adapters int) *catalog.Catalog {
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

// catalogHeap counts what a follower holds: the catalog as read from a snapshot.
func catalogHeap(adapters int) float64 {
	data, err := catalog.EncodeSnapshot(catalogOf(adapters))
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

// best gives the shortest of several times, in microseconds.
func best(work func()) float64 {
	shortest := time.Duration(1<<63 - 1)
	for range repeats {
		began := time.Now()
		work()
		shortest = min(shortest, time.Since(began))
	}
	return float64(shortest.Nanoseconds()) / 1000
}

func catalogChange(adapters int) float64 {
	c := catalogOf(adapters)
	return best(func() {
		if _, _, err := c.Apply(2, []catalog.Change{{Kind: catalog.SetLive, Name: "adapter-00001", Version: 2}}); err != nil {
			panic(err)
		}
	})
}

func query(adapters int) float64 {
	c := catalogOf(adapters)
	s := queries.New(queries.Options{Catalog: func() *catalog.Catalog { return c }, Now: time.Now})
	statements, err := language.Parse("show adapters where name like '*7' and live > 0 order by name desc limit 10")
	if err != nil {
		panic(err)
	}
	return best(func() {
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

// claimsPerWrite gives the claims that one write carries while so many callers claim at once.
func claimsPerWrite(atOnce int) float64 {
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
		for i := range atOnce {
			group.Add(1)
			go func() {
				defer group.Done()
				c.Claim(ctx, "caller", fmt.Sprintf("%d-%d", round, i))
			}()
		}
		group.Wait()
	}
	return float64(rounds*atOnce) / float64(writes)
}

// ticketFleet runs one hall in which one node asks another for tickets at a rate, and
// gives the placer's and the entry's cost of it, per second.
func ticketFleet(rate int) (placer, entry simNode) {
	const span = 10 * time.Second
	f := newSimFleet(1, 4, 25)
	var holder, asker *simNode
	for _, s := range f.nodes {
		if len(s.node.Pools(f.now)) > 0 && holder == nil {
			holder = s
			continue
		}
		asker = s
	}
	pool := holder.node.Pools(f.now)[0]
	f.run(span)
	quietHolder, quietAsker := *holder, *asker
	gap := time.Second / time.Duration(rate)
	for i := range rate * int(span/time.Second) {
		f.run(gap / tickEvery * tickEvery)
		f.messages.RunUntil(&f.now, f.now.Add(gap%tickEvery))
		ref, err := fleet.ParseAdapterRef(pool.Slots[i%len(pool.Slots)].Adapter)
		if err != nil {
			panic(err)
		}
		request := ask(fmt.Sprintf("q%d", i), ref, f.now)
		request.Base = pool.Pool[len("h0/"):]
		f.act(asker, func() []node.Effect { return asker.node.Submit(f.now, request) })
	}
	cost := func(after *simNode, before simNode) simNode {
		// The second span is as long as the first, whose cost is the quiet one.
		quiet := before.processor
		return simNode{
			processor: max(0, after.processor-before.processor-quiet) / (span / time.Second),
			sent:      max(0, after.sent-2*before.sent) / int(span/time.Second),
		}
	}
	return cost(holder, quietHolder), cost(asker, quietAsker)
}

func placerProcessor(rate int) float64 {
	placer, _ := ticketFleet(rate)
	return float64(placer.processor.Microseconds())
}

func placerBytes(rate int) float64 {
	placer, _ := ticketFleet(rate)
	return float64(placer.sent)
}

func entryBytes(rate int) float64 {
	_, entry := ticketFleet(rate)
	return float64(entry.sent)
}
