//go:build review

// Command driver plays case 1: streams that may be resumed, while one engine after another turns slow.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shelfledge/shelfledge/review/standin"
	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	exitHeld, exitBroken, exitNotRun = 0, 1, 2

	host, model, service = "site.example", "m0", "llm"
	engineCount          = 13
	slowEngines          = 2
	eventsPerStream      = 30
	callersDeadline      = 15 * time.Second
	// normalStep is a pause between events that is within itl_target_ms. slowness and slowFor are the largest dose of srv_slow in the site
	// file, and two of 13 engines are a share of 0.154, below its 0.16. A slow step that has begun ends up to a second after
	// slowFor, which is still within the 6.5 s of the site file.
	normalStep = 200 * time.Millisecond
	stepJitter = 300 * time.Microsecond
	slowness   = 5
	slowFor    = 5400 * time.Millisecond
	slowPause  = time.Second
	perSecond  = 60
	playFor    = 90 * time.Second
)

func main() { os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")) }

func configuration() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "describe-batch", "hostname": host, "path_prefix": "/batch/", "type": "streaming", "timeout_ms": callersDeadline.Milliseconds(),
			"target_latency_ms": 1000, "priority": 1, "service": service, "max_attempts": 2, "resumable": true, "itl_target_ms": 250, "sticky": true,
		}},
		"services": []map[string]any{{
			"name": service, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "engine": map[string]any{
				"slots": 64, "kv_capacity": 129799, "weights_mb": 67000, "adapter_capacity": 21, "loads_per_s": 2.8,
				"models": []map[string]any{{"name": model, "weights_mb": 65100, "load_time_s": 3.9, "adapters": 3000, "adapter_mb": 12}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func run(program, folder string, trouble bool) int {
	record, err := standin.NewRecord(folder + "/record.txt")
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer record.Close()
	temporary, err := os.MkdirTemp("", "review-1-")
	if err != nil {
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temporary) }()
	}
	store := platformstandin.NewStore()
	defer store.Close()
	store.Put(platformstandin.ConfigurationKey, configuration())
	zones := []string{"hall-a", "hall-b", "hall-c"}
	var engines []*standin.Engine
	for i := range engineCount {
		e, err := standin.NewEngine(fmt.Sprintf("127.0.11.%d", i+1), standin.EngineOptions{
			ID: fmt.Sprintf("i-engine%d", i+1), Service: service, Zone: zones[i%len(zones)], Model: model, Slots: 64, Step: normalStep, Events: eventsPerStream, Jitter: stepJitter,
			Put: func(key string, value any) { store.Put(key, value) }, Record: record.Linef,
		})
		if err != nil {
			record.Sayf("%v", err)
			return exitNotRun
		}
		defer e.Close()
		engines = append(engines, e)
	}
	entries, err := standin.NewEntries(program, temporary, zones, "127.0.12.%d", func(int) string { return store.Address() })
	if err != nil {
		record.Sayf("%v", err)
		return exitNotRun
	}
	for _, e := range entries {
		defer e.Kill()
		if err := e.Start(); err != nil {
			record.Sayf("%v", err)
			return exitNotRun
		}
	}
	if !standin.AwaitReady(entries, 20*time.Second) {
		record.Sayf("the entry processes do not become ready")
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), playFor)
	defer cancel()
	if trouble {
		go slowDown(ctx, engines, record)
	}
	c := &callers{record: record, entries: entries}
	c.play(ctx)
	for _, e := range entries {
		if !e.Ready() {
			record.Sayf("%s is not ready at the end", e.Name)
		}
	}
	record.Sayf("streams %d, whole %d, ended early %d, refused or failed %d; ORDER broken in %d: twice %d, missing %d",
		c.sent.Load(), c.whole.Load(), c.early.Load(), c.failed.Load(), c.broken.Load(), c.twice.Load(), c.missing.Load())
	switch {
	case c.broken.Load() > 0:
		return exitBroken
	case c.whole.Load() < c.sent.Load()/4:
		record.Sayf("too few streams were whole for a judgement")
		return exitNotRun
	default:
		return exitHeld
	}
}

// slowDown makes some engines at a time slow, one pair after the other.
func slowDown(ctx context.Context, engines []*standin.Engine, record *standin.Record) {
	for first := 0; ; first += slowEngines {
		select {
		case <-ctx.Done():
			return
		case <-time.After(slowPause):
		}
		for i := range slowEngines {
			e := engines[(first+i)%len(engines)]
			record.Linef("trouble %s works %d times as long, %d streams run there", e.ID(), slowness, e.Running())
			e.SetSlowness(slowness)
		}
		time.Sleep(slowFor)
		for i := range slowEngines {
			e := engines[(first+i)%len(engines)]
			e.SetSlowness(1)
			record.Linef("trouble %s works as before", e.ID())
		}
	}
}

type callers struct {
	record                                             *standin.Record
	entries                                            []*standin.Entry
	sent, whole, early, failed, broken, twice, missing atomic.Int64
}

// play sends requests at an even rate and waits for their answers.
func (c *callers) play(ctx context.Context) {
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	var open sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			open.Wait()
			return
		case <-ticker.C:
			open.Go(func() { c.call(c.entries[i%len(c.entries)]) })
		}
	}
}

// call sends one request and checks the events of its answer.
func (c *callers) call(entry *standin.Entry) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(context.Background(), callersDeadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Callers()+"/batch/2f", bytes.NewReader(make([]byte, 2900)))
	if err != nil {
		return
	}
	request.Host = host
	for name, value := range map[string]string{
		standin.Wire.RequestID: id, "X-Model": model, standin.Wire.Tokens: "1460,80", "X-Deadline-Ms": fmt.Sprint(callersDeadline.Milliseconds()),
		standin.Wire.Parts: fmt.Sprintf("5c1e07a2:800,%08x:660", rand.Uint32()),
	} {
		request.Header.Set(name, value)
	}
	c.sent.Add(1)
	c.record.Linef("send   %s to %s", id, entry.Name)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		c.failed.Add(1)
		c.record.Linef("answer %s: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.failed.Add(1)
		c.record.Linef("answer %s: status %d", id, response.StatusCode)
		return
	}
	c.check(id, response)
}

// check reads the events: each must have the number after that of the one before it.
func (c *callers) check(id string, response *http.Response) {
	lines := bufio.NewReader(response.Body)
	expected, broken := 1, false
	var seen []string
	for {
		line, err := lines.ReadString('\n')
		if text, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok && err == nil {
			fields := strings.Fields(text)
			number, _ := strconv.Atoi(fields[2])
			seen = append(seen, fmt.Sprintf("%d(%s)", number, fields[0]))
			if fields[1] != id {
				broken = true
				c.record.Linef("ORDER  %s gets an event of %s", id, fields[1])
			}
			switch {
			case number < expected:
				broken = true
				c.twice.Add(1)
			case number > expected:
				broken = true
				c.missing.Add(1)
			}
			expected = number + 1
		}
		if err == nil {
			continue
		}
		isWhole := err.Error() == "EOF" && expected == eventsPerStream+1
		switch {
		case isWhole:
			c.whole.Add(1)
		case err.Error() == "EOF":
			broken = true
			c.record.Linef("ORDER  %s ends as complete before its last event", id)
		default:
			c.early.Add(1)
		}
		if broken {
			c.broken.Add(1)
			c.record.Linef("ORDER  %s broken: %s", id, strings.Join(seen, " "))
		}
		c.record.Linef("answer %s: whole %v, events %d, end %v", id, isWhole, len(seen), err)
		return
	}
}
