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

func threeHallOptions() standin.ClusterOptions {
	o := standin.DefaultClusterOptions()
	o.Halls = []string{"h1", "h2", "h3"}
	return o
}

// instanceIDs returns the IDs of count instances, distributed evenly over three halls.
func instanceIDs(count int) []string {
	var ids []string
	for i := range count {
		ids = append(ids, fmt.Sprintf("h%d-i%d", i%3+1, i/3+1))
	}
	return ids
}

// BenchmarkInForce reports the time from the start of a change until it is in force in all halls, with 20 daemons in three halls.
func BenchmarkInForce(b *testing.B) {
	f := newFleet(b, threeHallOptions(), nil, instanceIDs(20)...)
	var times []time.Duration
	for i := 0; b.Loop(); i++ {
		start := time.Now()
		out := f.runStatements("h1-i1", fmt.Sprintf("create adapter x-%d base base-a", i))
		require.Nil(b, out.Error)
		require.True(b, out.Answers[0].Change.InForce(), "%+v", out.Answers[0].Change.Halls)
		times = append(times, time.Since(start))
	}
	b.ReportMetric(float64(median(times).Milliseconds()), "ms-median")
	b.ReportMetric(float64(times[len(times)*99/100].Milliseconds()), "ms-p99")
}

// BenchmarkCatalog reports the cost of creating 22,000 adapters with two versions each.
func BenchmarkCatalog(b *testing.B) {
	const adapters, batch = 22000, 2000
	for b.Loop() {
		f := newFleet(b, standin.DefaultClusterOptions(), nil, "h1-i1", "h2-i1")
		_, before, _, _ := f.cluster.KV.Usage()
		start := time.Now()
		for from := 0; from < adapters; from += batch {
			var text strings.Builder
			for i := from; i < from+batch; i++ {
				fmt.Fprintf(&text, "create adapter adapter-%05d base base-a version 1 source weights/adapter-%05d/1; create version adapter-%05d@2;\n", i, i, i)
			}
			out := f.runStatements("h1-i1", text.String())
			require.Nil(b, out.Error)
			require.True(b, out.Answers[0].Change.InForce())
		}
		took := time.Since(start)
		_, writes, bytes, largest := f.cluster.KV.Usage()
		b.ReportMetric(took.Seconds(), "s")
		b.ReportMetric(float64(writes-before), "writes")
		b.ReportMetric(float64(bytes)/1024, "KB-written")
		b.ReportMetric(float64(largest)/1024, "KB-largest")
	}
}

// BenchmarkTakeover reports the time from the loss of a pool's placer until another instance places the pool with all endpoints up.
func BenchmarkTakeover(b *testing.B) {
	var times []time.Duration
	for b.Loop() {
		f := newFleet(b, oneHallOptions(), nil, "h1-i1", "h1-i2", "h1-i3")
		lost := f.placerOf("h1/base-a")
		f.killDaemon(lost)
		start := time.Now()
		f.waitFor(func() bool { return f.placerOf("h1/base-a") != "" }, "no instance becomes the placer of h1/base-a")
		times = append(times, time.Since(start))
	}
	b.ReportMetric(float64(median(times).Milliseconds()), "ms-median")
}

// placerOf returns the running instance that places a pool and sees all its endpoints up, or an empty ID.
func (f *testFleet) placerOf(pool string) string {
	for id, d := range f.daemons {
		isPlacer := false
		d.Control().View(func(now time.Time, n *node.Node) {
			for _, p := range n.Pools(now) {
				up := p.Pool == pool
				for _, e := range p.Endpoints {
					up = up && e.Up
				}
				isPlacer = isPlacer || up
			}
		})
		if isPlacer {
			return id
		}
	}
	return ""
}

// BenchmarkLeaving reports the time from the publication of the list that names an endpoint as leaving until its last new request.
func BenchmarkLeaving(b *testing.B) {
	for b.Loop() {
		f := newFleet(b, oneHallOptions(), nil, "h1-i1", "h1-i2")
		f.createAdapters("h1-i1", 4)
		stop := make(chan struct{})
		var group sync.WaitGroup
		var mutex sync.Mutex
		var lastSentAt time.Time
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
					sentAt := time.Now()
					a := f.sendCall(context.Background(), []string{"h1-i1", "h1-i2"}[worker%2], standin.Call{ID: fmt.Sprintf("l-%d-%d", worker, i), Model: fmt.Sprintf("a-%d@1", i%4), Class: "kiosk", Caller: "test", Tokens: 2})
					mutex.Lock()
					if a.Endpoint == "h1-e1" && sentAt.After(lastSentAt) {
						lastSentAt = sentAt
					}
					mutex.Unlock()
				}
			}()
		}
		time.Sleep(2 * time.Second)
		publishedAt := time.Now()
		f.publishList("h1-e1")
		time.Sleep(4 * time.Second)
		close(stop)
		group.Wait()
		b.ReportMetric(float64(lastSentAt.Sub(publishedAt).Milliseconds()), "ms-to-last-new-request")
	}
}

// BenchmarkKilledUnderLoad reports how many requests are lost when one of six daemons is killed under load.
func BenchmarkKilledUnderLoad(b *testing.B) {
	for b.Loop() {
		f := newFleet(b, threeHallOptions(), nil, instanceIDs(6)...)
		f.createAdapters("h1-i1", 12)
		ids := instanceIDs(6)
		var others, killed tally
		var group sync.WaitGroup
		for i := range 240 {
			group.Add(1)
			go func() {
				defer group.Done()
				c := standin.Call{ID: fmt.Sprintf("k-%d", i), Model: fmt.Sprintf("a-%d@1", i%12), Class: "traveller", Caller: "test", Tokens: 60}
				a := f.sendCall(context.Background(), ids[i%6], c)
				if i%6 == 1 {
					killed.add(c, a)
					return
				}
				others.add(c, a)
			}()
		}
		time.Sleep(700 * time.Millisecond)
		f.killDaemon(ids[1])
		group.Wait()
		require.Empty(b, append(others.wrong, killed.wrong...))
		require.Zero(b, others.dropped+others.unknown, "a request that was not sent to the killed instance was lost")
		b.ReportMetric(float64(killed.dropped+killed.unknown), "lost-through-it")
		b.ReportMetric(float64(others.answered), "answered-elsewhere")
		b.ReportMetric(float64(others.notRun), "told-not-run-elsewhere")
		require.Empty(b, f.cluster.Violations())
	}
}

// BenchmarkKVCalls reports the calls per second to the key-value service of an idle fleet, and the claims per write with once-requests.
func BenchmarkKVCalls(b *testing.B) {
	const span = 10 * time.Second
	for b.Loop() {
		o := threeHallOptions()
		o.UnfencedEvery = 2
		f := newFleet(b, o, nil, instanceIDs(6)...)
		f.createAdapters("h1-i1", 3)
		time.Sleep(2 * time.Second)
		reads, writes, _, _ := f.cluster.KV.Usage()
		time.Sleep(span)
		idleReads, idleWrites, _, _ := f.cluster.KV.Usage()
		b.ReportMetric(float64(idleReads-reads)/span.Seconds(), "idle-reads/s")
		b.ReportMetric(float64(idleWrites-writes)/span.Seconds(), "idle-writes/s")
		var group sync.WaitGroup
		start := time.Now()
		for i := range 300 {
			group.Add(1)
			go func() {
				defer group.Done()
				f.sendCall(context.Background(), "h1-i1", standin.Call{ID: fmt.Sprintf("c-%d", i), Model: "a-0@1", Class: "kiosk", Caller: "test", Tokens: 2, Once: true})
			}()
		}
		group.Wait()
		_, busyWrites, _, _ := f.cluster.KV.Usage()
		b.ReportMetric(300/float64(max(1, busyWrites-idleWrites)), "claims/write")
		b.ReportMetric(300/time.Since(start).Seconds(), "once-requests/s")
	}
}
