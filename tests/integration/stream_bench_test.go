// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package integration_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/tests/standin"
	"github.com/shelfledge/shelfledge/tools/stats"
)

// benchClusterOptions returns the options of a cluster of one hall whose engines run batch streams at once, with the given time between two
// tokens.
func benchClusterOptions(step time.Duration, batch int) standin.ClusterOptions {
	o := oneHallOptions()
	o.EnginesPerHall, o.MaxBatch, o.Step, o.Load = 2, batch, step, time.Millisecond
	return o
}

// newBenchFleet starts one daemon whose limits do not restrict the benchmarks, with one adapter pinned and preloaded.
func newBenchFleet(b *testing.B, step time.Duration, batch int) *testFleet {
	limits := map[string]any{"max_requests": 100000, "leave_notice": "1ms", "default_wait": "10m"}
	decision := map[string]any{"tenant_batch_share": 1.0, "tenant_share": 1.0}
	f := newFleet(b, benchClusterOptions(step, batch), map[string]any{"limits": limits, "decision": decision}, "h1-i1")
	out := f.runStatements("h1-i1", "create adapter a-0 base base-a version 1; create adapter a-1 base base-a version 1; pin a-0@1; preload a-0@1")
	require.Nil(b, out.Error)
	return f
}

// target is where a stream is requested: at the daemon, at a proxy or directly at an engine.
type target struct {
	url    string
	model  string
	header http.Header
}

// daemonTarget returns the caller listener of the daemon as target.
func (f *testFleet) daemonTarget() target {
	return target{url: "http://" + f.addresses["h1-i1"].Callers.String(), model: "a-0@1", header: http.Header{"X-Class": {"kiosk"}}}
}

// loadDirectTarget loads an adapter on the engine at the address and returns the engine as target. No daemon uses this engine.
func (f *testFleet) loadDirectTarget(b *testing.B, at netip.AddrPort) target {
	resp, err := http.Post("http://"+at.String()+"/v1/load_lora_adapter", "application/json", strings.NewReader(`{"lora_name":"straight@1","lora_path":"straight"}`))
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
	return target{url: "http://" + at.String(), model: "straight@1", header: http.Header{}}
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8192, DisableCompression: true}}

// stream requests one streamed answer, reads it to its end and returns the time to its first token.
func (t target) stream(b testing.TB, id string, tokens int) time.Duration {
	body, err := json.Marshal(map[string]any{
		"model": t.model, "stream": true, "max_tokens": tokens, "messages": []map[string]string{{"role": "user", "content": "bench " + id}},
	})
	require.NoError(b, err)
	q, err := http.NewRequest(http.MethodPost, t.url+"/v1/chat/completions", bytes.NewReader(body))
	require.NoError(b, err)
	for name, values := range t.header {
		q.Header[name] = values
	}
	q.Header.Set(engine.HeaderRequestID, id)
	start := time.Now()
	resp, err := benchClient.Do(q)
	require.NoError(b, err)
	defer func() { _ = resp.Body.Close() }()
	in := bufio.NewReader(resp.Body)
	_, err = in.ReadSlice('\n')
	require.NoError(b, err)
	first := time.Since(start)
	require.Equal(b, http.StatusOK, resp.StatusCode)
	_, err = io.Copy(io.Discard, in)
	require.NoError(b, err)
	return first
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func median(list []time.Duration) time.Duration {
	return stats.Percentile(list, 0.5)
}

// startSeparateEngine starts another cluster and returns the address of its first engine, which no daemon uses.
func startSeparateEngine(b *testing.B, o standin.ClusterOptions) netip.AddrPort {
	c, err := standin.StartCluster(o)
	require.NoError(b, err)
	b.Cleanup(c.Close)
	return c.Engines[0].Address
}

// BenchmarkFirstToken reports the latency that the daemon adds to the first token on an idle machine.
func BenchmarkFirstToken(b *testing.B) {
	f := newBenchFleet(b, time.Millisecond, 256)
	direct := f.loadDirectTarget(b, startSeparateEngine(b, withoutFences(benchClusterOptions(time.Millisecond, 256))))
	proxied := f.daemonTarget()
	var with, without []time.Duration
	for i := 0; b.Loop(); i++ {
		with = append(with, proxied.stream(b, fmt.Sprintf("w%d", i), 2))
		without = append(without, direct.stream(b, fmt.Sprintf("s%d", i), 2))
	}
	b.ReportMetric(float64((median(with) - median(without)).Microseconds()), "added-us/first-token")
	b.ReportMetric(float64(median(with))/float64(median(without)), "ratio")
}

func withoutFences(o standin.ClusterOptions) standin.ClusterOptions {
	o.UnfencedEvery = 1
	return o
}

// BenchmarkStreams reports the processor time and the memory that the daemon adds to many concurrent streams, and for comparison what a
// minimal proxy adds.
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{1000, 4000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			const step, tokens = 100 * time.Millisecond, 50
			o := benchClusterOptions(step, streams)
			f := newBenchFleet(b, step, streams)
			direct := f.loadDirectTarget(b, startSeparateEngine(b, withoutFences(o)))
			f.daemonTarget().stream(b, "warm", 1)
			for b.Loop() {
				cpuDirect, memoryDirect := measureStreams(b, direct, "s", streams, tokens)
				minimal, closeProxy := startMinimalProxy(b, direct)
				cpuMinimal, memoryMinimal := measureStreams(b, minimal, "b", streams, tokens)
				closeProxy()
				cpuDaemon, memoryDaemon := measureStreams(b, f.daemonTarget(), "w", streams, tokens)
				count := float64(streams * tokens)
				b.ReportMetric(float64((cpuDaemon-cpuDirect).Nanoseconds())/count/1000, "added-cpu-us/token")
				b.ReportMetric(float64((cpuMinimal-cpuDirect).Nanoseconds())/count/1000, "bare-cpu-us/token")
				b.ReportMetric(float64(cpuDaemon-cpuDirect)/float64(cpuMinimal-cpuDirect), "added-to-bare")
				b.ReportMetric((memoryMinimal-memoryDirect)/float64(streams)/1024, "bare-KB/stream")
				b.ReportMetric((memoryDaemon-memoryDirect)/float64(streams)/1024, "added-KB/stream")
			}
		})
	}
}

// startMinimalProxy starts a proxy that does only what any proxy of HTTP streams must do: read, write and flush.
func startMinimalProxy(b *testing.B, to target) (target, func()) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8192, DisableCompression: true}}
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		out, err := http.NewRequestWithContext(q.Context(), q.Method, to.url+q.URL.Path, q.Body)
		require.NoError(b, err)
		out.Header = q.Header
		resp, err := client.Do(out)
		require.NoError(b, err)
		defer func() { _ = resp.Body.Close() }()
		buffer := make([]byte, 4<<10)
		for {
			n, err := resp.Body.Read(buffer)
			if _, failed := w.Write(buffer[:n]); failed != nil || err != nil {
				return
			}
			w.(http.Flusher).Flush()
		}
	})
	server := httptest.NewServer(handler)
	closeProxy := func() {
		server.Close()
		client.CloseIdleConnections()
	}
	return target{url: server.URL, model: to.model, header: to.header}, closeProxy
}

// measureStreams runs many streams concurrently. It returns the processor time of the whole process, and its memory in the middle of the run.
func measureStreams(b *testing.B, t target, prefix string, streams, tokens int) (time.Duration, float64) {
	runtime.GC()
	before := cpuTime()
	var group sync.WaitGroup
	for i := range streams {
		group.Add(1)
		go func() {
			defer group.Done()
			t.stream(b, fmt.Sprintf("%s%d-%d", prefix, i, before), tokens)
		}()
	}
	memory := make(chan float64, 1)
	time.AfterFunc(time.Duration(tokens)*50*time.Millisecond, func() {
		// Collect first, so that garbage is not counted and stacks have shrunk, which happens only in a collection.
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		memory <- float64(m.HeapAlloc + m.StackInuse)
	})
	group.Wait()
	used := cpuTime() - before
	// Idle connections of one measurement would count against the file limit of the next.
	benchClient.CloseIdleConnections()
	return used, <-memory
}
