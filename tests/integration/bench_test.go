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

// benchCluster has one hall with room for many streams of one adapter.
func benchCluster(step time.Duration, batch int) standin.ClusterOptions {
	o := oneHall()
	o.EnginesPerHall, o.MaxBatch, o.Step, o.Load = 2, batch, step, time.Millisecond
	return o
}

func benchFleet(b *testing.B, step time.Duration, batch int) *testFleet {
	limits := map[string]any{"max_requests": 100000, "leave_notice": "1ms", "default_wait": "10m"}
	decision := map[string]any{"tenant_batch_share": 1.0, "tenant_share": 1.0}
	f := newFleet(b, benchCluster(step, batch), map[string]any{"limits": limits, "decision": decision}, "h1-i1")
	out := f.run("h1-i1", "create adapter a-0 base base-a version 1; create adapter a-1 base base-a version 1; pin a-0@1; preload a-0@1")
	require.Nil(b, out.Error)
	return f
}

// target is where a stream is asked for: through the daemon or straight from the engine.
type target struct {
	url    string
	model  string
	header http.Header
}

func (f *testFleet) viaDaemon() target {
	return target{url: "http://" + f.places["h1-i1"].Callers.String(), model: "a-0@1", header: http.Header{"X-Class": {"kiosk"}}}
}

// direct loads the adapter on the second engine, where the daemon does not use it.
func (f *testFleet) direct(b *testing.B, at netip.AddrPort) target {
	resp, err := http.Post("http://"+at.String()+"/v1/load_lora_adapter", "application/json", strings.NewReader(`{"lora_name":"straight@1","lora_path":"straight"}`))
	require.NoError(b, err)
	require.NoError(b, resp.Body.Close())
	return target{url: "http://" + at.String(), model: "straight@1", header: http.Header{}}
}

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8192, DisableCompression: true}}

// stream reads one answer to its end and gives the time to its first token.
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
	began := time.Now()
	resp, err := benchClient.Do(q)
	require.NoError(b, err)
	defer func() { _ = resp.Body.Close() }()
	in := bufio.NewReader(resp.Body)
	_, err = in.ReadSlice('\n')
	require.NoError(b, err)
	first := time.Since(began)
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

// freeEndpoint is an engine of the cluster that no daemon knows.
func freeEndpoint(b *testing.B, o standin.ClusterOptions) netip.AddrPort {
	c, err := standin.StartCluster(o)
	require.NoError(b, err)
	b.Cleanup(c.Close)
	return c.Engines[0].Address
}

// BenchmarkFirstToken gives what the daemon adds to the first token on an idle machine.
func BenchmarkFirstToken(b *testing.B) {
	f := benchFleet(b, time.Millisecond, 256)
	straight := f.direct(b, freeEndpoint(b, unfenced(benchCluster(time.Millisecond, 256))))
	through := f.viaDaemon()
	var with, without []time.Duration
	for i := 0; b.Loop(); i++ {
		with = append(with, through.stream(b, fmt.Sprintf("w%d", i), 2))
		without = append(without, straight.stream(b, fmt.Sprintf("s%d", i), 2))
	}
	b.ReportMetric(float64((median(with) - median(without)).Microseconds()), "added-us/first-token")
	b.ReportMetric(float64(median(with))/float64(median(without)), "ratio")
}

func unfenced(o standin.ClusterOptions) standin.ClusterOptions {
	o.UnfencedEvery = 1
	return o
}

// BenchmarkStreams gives the processor time and memory that the daemon adds to many streams at once.
func BenchmarkStreams(b *testing.B) {
	for _, streams := range []int{1000, 4000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			const step, tokens = 100 * time.Millisecond, 50
			o := benchCluster(step, streams)
			f := benchFleet(b, step, streams)
			straight := f.direct(b, freeEndpoint(b, unfenced(o)))
			f.viaDaemon().stream(b, "warm", 1)
			for b.Loop() {
				cpuStraight, memoryStraight := measure(b, straight, "s", streams, tokens)
				bare, end := bareProxy(b, straight)
				cpuBare, memoryBare := measure(b, bare, "b", streams, tokens)
				end()
				cpuThrough, memoryThrough := measure(b, f.viaDaemon(), "w", streams, tokens)
				count := float64(streams * tokens)
				b.ReportMetric(float64((cpuThrough-cpuStraight).Nanoseconds())/count/1000, "added-cpu-us/token")
				b.ReportMetric(float64((cpuBare-cpuStraight).Nanoseconds())/count/1000, "bare-cpu-us/token")
				b.ReportMetric(float64(cpuThrough-cpuStraight)/float64(cpuBare-cpuStraight), "added-to-bare")
				b.ReportMetric((memoryBare-memoryStraight)/float64(streams)/1024, "bare-KB/stream")
				b.ReportMetric((memoryThrough-memoryStraight)/float64(streams)/1024, "added-KB/stream")
			}
		})
	}
}

// bareProxy is the least that any proxy of HTTP streams does: read, write, flush.
func bareProxy(b *testing.B, to target) (target, func()) {
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
	end := func() {
		server.Close()
		client.CloseIdleConnections()
	}
	return target{url: server.URL, model: to.model, header: to.header}, end
}

// measure runs many streams at once and gives the processor time of the whole process
// and its memory half way.
func measure(b *testing.B, t target, prefix string, streams, tokens int) (time.Duration, float64) {
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
		// Garbage is not what a stream needs; stacks shrink only in a collection.
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		memory <- float64(m.HeapAlloc + m.StackInuse)
	})
	group.Wait()
	used := cpuTime() - before
	// Idle connections of one half would count against the other's files.
	benchClient.CloseIdleConnections()
	return used, <-memory
}
