// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/daemon/node"
	"github.com/shelfledge/shelfledge/tests/standin"
)

func threeHalls() standin.ClusterOptions {
	o := standin.DefaultClusterOptions()
	o.Halls = []string{"h1", "h2", "h3"}
	return o
}

// instanceNames gives so many instances, in turn over three halls.
func instanceNames(count int) []string {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("h%d-i%d", i%3+1, i/3+1))
	}
	return ids
}

// BenchmarkInForce gives the time from a change's start to force in all halls, with 20 daemons in three halls.
func BenchmarkInForce(b *testing.B) {
	f := newFleet(b, threeHalls(), nil, instanceNames(20)...)
	var times []time.Duration
	for i := 0; b.Loop(); i++ {
		began := time.Now()
		out := f.run("h1-i1", fmt.Sprintf("create adapter x-%d base base-a", i))
		require.Nil(b, out.Error)
		require.True(b, out.Answers[0].Change.InForce(), "%+v", out.Answers[0].Change.Halls)
		times = append(times, time.Since(began))
	}
	b.ReportMetric(float64(median(times).Milliseconds()), "ms-median")
	b.ReportMetric(float64(times[len(times)*99/100].Milliseconds()), "ms-p99")
}

// BenchmarkCatalog gives the cost of loading 22,000 adapters with two versions each.
func BenchmarkCatalog(b *testing.B) {
	const adapters, batch = 22000, 2000
	for b.Loop() {
		f := newFleet(b, standin.DefaultClusterOptions(), nil, "h1-i1", "h2-i1")
		_, before, _, _ := f.cluster.KV.Usage()
		began := time.Now()
		for from := 0; from < adapters; from += batch {
			var text strings.Builder
			for i := from; i < from+batch; i++ {
				fmt.Fprintf(&text, "create adapter adapter-%05d base base-a version 1 source weights/adapter-%05d/1; create version adapter-%05d@2;\n", i, i, i)
			}
			out := f.run("h1-i1", text.String())
			require.Nil(b, out.Error)
			require.True(b, out.Answers[0].Change.InForce())
		}
		took := time.Since(began)
		_, writes, bytes, largest := f.cluster.KV.Usage()
		b.ReportMetric(took.Seconds(), "s")
		b.ReportMetric(float64(writes-before), "writes")
		b.ReportMetric(float64(bytes)/1024, "KB-written")
		b.ReportMetric(float64(largest)/1024, "KB-largest")
	}
}

// BenchmarkTakeover gives the time from an instance's loss until its hall's pools all have a live placer.
func BenchmarkTakeover(b *testing.B) {
	var times []time.Duration
	for b.Loop() {
		f := newFleet(b, oneHall(), nil, "h1-i1", "h1-i2", "h1-i3")
		lost := f.holderOf("h1/base-a")
		f.kill(lost)
		began := time.Now()
		f.eventually(func() bool { return f.holderOf("h1/base-a") != "" }, "nobody takes over")
		times = append(times, time.Since(began))
	}
	b.ReportMetric(float64(median(times).Milliseconds()), "ms-median")
}

// holderOf finds the live instance that places a pool with all its endpoints up, or gives an empty name.
func (f *testFleet) holderOf(pool string) string {
	for id, d := range f.daemons {
		holds := false
		d.Control().View(func(now time.Time, n *node.Node) {
			for _, p := range n.Pools(now) {
				up := p.Pool == pool
				for _, e := range p.Endpoints {
					up = up && e.Up
				}
				holds = holds || up
			}
		})
		if holds {
			return id
		}
	}
	return ""
}

// BenchmarkLeaving gives the time from the list's notice that an endpoint leaves to its last new request.
func BenchmarkLeaving(b *testing.B) {
	for b.Loop() {
		f := newFleet(b, oneHall(), nil, "h1-i1", "h1-i2")
		f.createAdapters("h1-i1", 4)
		stop := make(chan struct{})
		var group sync.WaitGroup
		var mutex sync.Mutex
		var last time.Time
		for worker := range 8 {
			group.Add(1)
			go func() {
				defer group.Done()
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					sent := time.Now()
					a := f.send(context.Background(), []string{"h1-i1", "h1-i2"}[worker%2], standin.Call{ID: fmt.Sprintf("l-%d-%d", worker, i), Model: fmt.Sprintf("a-%d@1", i%4), Class: "kiosk", Caller: "test", Tokens: 2})
					mutex.Lock()
					if a.Endpoint == "h1-e1" && sent.After(last) {
						last = sent
					}
					mutex.Unlock()
				}
			}()
		}
		time.Sleep(2 * time.Second)
		notice := time.Now()
		f.publish("h1-e1")
		time.Sleep(4 * time.Second)
		close(stop)
		group.Wait()
		b.ReportMetric(float64(last.Sub(notice).Milliseconds()), "ms-to-last-new-request")
	}
}

// BenchmarkKilledUnderLoad counts what is lost when one of six daemons is killed under load.
func BenchmarkKilledUnderLoad(b *testing.B) {
	for b.Loop() {
		f := newFleet(b, threeHalls(), nil, instanceNames(6)...)
		f.createAdapters("h1-i1", 12)
		ids := instanceNames(6)
		var y, through tally
		var group sync.WaitGroup
		for i := range 240 {
			group.Add(1)
			go func() {
				defer group.Done()
				c := standin.Call{ID: fmt.Sprintf("k-%d", i), Model: fmt.Sprintf("a-%d@1", i%12), Class: "traveller", Caller: "test", Tokens: 60}
				a := f.send(context.Background(), ids[i%6], c)
				if i%6 == 1 {
					through.add(c, a)
					return
				}
				y.add(c, a)
			}()
		}
		time.Sleep(700 * time.Millisecond)
		f.kill(ids[1])
		group.Wait()
		require.Empty(b, append(y.wrong, through.wrong...))
		require.Zero(b, y.dropped+y.unknown, "a request that did not run through the lost instance was lost")
		b.ReportMetric(float64(through.dropped+through.unknown), "lost-through-it")
		b.ReportMetric(float64(y.answered), "answered-elsewhere")
		b.ReportMetric(float64(y.notRun), "told-not-run-elsewhere")
		require.Empty(b, f.cluster.Violations())
	}
}

// BenchmarkKVCalls gives the calls a second to the key-value service, idle and with once-requests.
func BenchmarkKVCalls(b *testing.B) {
	const span = 10 * time.Second
	for b.Loop() {
		o := threeHalls()
		o.UnfencedEvery = 2
		f := newFleet(b, o, nil, instanceNames(6)...)
		f.createAdapters("h1-i1", 3)
		time.Sleep(2 * time.Second)
		reads, writes, _, _ := f.cluster.KV.Usage()
		time.Sleep(span)
		idleReads, idleWrites, _, _ := f.cluster.KV.Usage()
		b.ReportMetric(float64(idleReads-reads)/span.Seconds(), "idle-reads/s")
		b.ReportMetric(float64(idleWrites-writes)/span.Seconds(), "idle-writes/s")
		var group sync.WaitGroup
		began := time.Now()
		for i := range 300 {
			group.Add(1)
			go func() {
				defer group.Done()
				f.send(context.Background(), "h1-i1", standin.Call{ID: fmt.Sprintf("c-%d", i), Model: "a-0@1", Class: "kiosk", Caller: "test", Tokens: 2, Once: true})
			}()
		}
		group.Wait()
		_, busy, _, _ := f.cluster.KV.Usage()
		b.ReportMetric(300/float64(max(1, busy-idleWrites)), "claims/write")
		b.ReportMetric(300/time.Since(began).Seconds(), "once-requests/s")
	}
}
