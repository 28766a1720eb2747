// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/modules/daemon/engine"
)

// EngineOptions are the size and speed of an engine.
type EngineOptions struct {
	Name        string
	Base        string
	Slots       int
	MaxBatch    int
	Step        time.Duration
	ChecksFence bool
	// Fetch fetches weights from the weight store.
	Fetch func(name string) error
	// OnRunStart is called when a run begins, with the request ID that the daemon gave the run, if set. It must not call the engine.
	OnRunStart func(id string)
}

// Engine is a fake model engine with continuous batching and adapter slots.
type Engine struct {
	options     EngineOptions
	mutex       sync.Mutex
	incarnation int
	fence       uint64
	holder      string
	resident    map[string]bool
	loading     map[string]bool
	runs        map[string]*run
	queue       []*run
	running     int
	runCounts   map[string]int
	violations  []string
	loads       int
	evictions   int
}

// run is one request on the engine.
type run struct {
	id         string
	model      string
	nonce      string
	tokens     int
	generated  int
	started    bool
	ended      bool
	aborted    bool
	changed    chan struct{}
	readers    int
	lastReadAt time.Time
}

// resumeTimeout is how long a run without a reader continues before it is cancelled.
const resumeTimeout = 3 * time.Second

// NewEngine returns an engine without adapters. Call Run to process its requests.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{options: o, runCounts: make(map[string]int)}
	e.reset()
	return e
}

func (e *Engine) reset() {
	e.incarnation++
	e.fence, e.holder = 0, ""
	e.resident = make(map[string]bool)
	e.loading = make(map[string]bool)
	for _, r := range e.runs {
		r.aborted = true
		close(r.changed)
	}
	e.runs = make(map[string]*run)
	e.queue = nil
	e.running = 0
}

// Restart unloads all adapters, aborts all runs and starts a new incarnation of the engine.
func (e *Engine) Restart() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.reset()
}

// Violations returns the cases in which an adapter was unloaded while a running or queued request used it.
func (e *Engine) Violations() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return slices.Clone(e.violations)
}

// Runs returns how often each request began to run on the engine, by request ID.
func (e *Engine) Runs() map[string]int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return maps.Clone(e.runCounts)
}

// LoadCounts returns the numbers of loads and evictions so far.
func (e *Engine) LoadCounts() (loads, evictions int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.loads, e.evictions
}

// Run executes the steps of the batch until stop is closed.
func (e *Engine) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(e.options.Step)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			e.step(now)
		}
	}
}

// step generates one token for each running request and starts queued requests in free places of the batch.
func (e *Engine) step(now time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, r := range e.runs {
		if !r.started || r.ended {
			continue
		}
		if r.readers == 0 && now.Sub(r.lastReadAt) > resumeTimeout {
			e.endRun(r, true)
			continue
		}
		r.generated++
		if r.generated >= r.tokens {
			e.endRun(r, false)
			continue
		}
		r.notifyReaders()
	}
	e.startQueued()
}

// notifyReaders wakes the readers of a run after a change.
func (r *run) notifyReaders() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (e *Engine) endRun(r *run, aborted bool) {
	r.ended, r.aborted = true, aborted
	if r.started {
		e.running--
	}
	r.notifyReaders()
	if r.readers == 0 {
		delete(e.runs, r.id)
	}
}

func (e *Engine) startQueued() {
	for len(e.queue) > 0 && e.running < e.options.MaxBatch {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if r.ended {
			continue
		}
		if !e.resident[r.model] {
			e.violations = append(e.violations, "the adapter of a queued request was unloaded: "+r.model)
		}
		r.started = true
		e.running++
		e.runCounts[r.id]++
		if e.options.OnRunStart != nil {
			e.options.OnRunStart(r.id)
		}
	}
}

// Handler returns a handler for the engine's paths.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { e.mutex.Lock(); e.headers(w); e.mutex.Unlock() })
	mux.HandleFunc("GET /metrics", e.metrics)
	mux.HandleFunc("POST /v1/fence", e.setFence)
	mux.HandleFunc("POST /v1/load_lora_adapter", e.load)
	mux.HandleFunc("POST /v1/unload_lora_adapter", e.unload)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("DELETE /v1/requests/{id...}", e.cancel)
	return mux
}

func (e *Engine) headers(w http.ResponseWriter) {
	h := w.Header()
	h.Set(engine.HeaderIncarnation, e.incarnationName())
	h.Set(engine.HeaderFence, strconv.FormatUint(e.fence, 10))
	h.Set(engine.HeaderHolder, e.holder)
}

func (e *Engine) incarnationName() string {
	return e.options.Name + "-" + strconv.Itoa(e.incarnation)
}

type modelData struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Parent string `json:"parent,omitempty"`
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	data := []modelData{{ID: e.options.Base, Object: "model"}}
	for name := range e.resident {
		data = append(data, modelData{ID: name, Object: "model", Parent: e.options.Base})
	}
	e.headers(w)
	_ = json.NewEncoder(w).Encode(map[string]any{"object": "list", "data": data})
}

func (e *Engine) metrics(w http.ResponseWriter, _ *http.Request) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	running, waiting := make(map[string]bool), make(map[string]bool)
	for _, r := range e.runs {
		switch {
		case r.ended:
		case r.started:
			running[r.model] = true
		default:
			waiting[r.model] = true
		}
	}
	e.headers(w)
	_, _ = fmt.Fprintf(w, "vllm:num_requests_running %d\nvllm:num_requests_waiting %d\n", e.running, len(e.queue))
	_, _ = fmt.Fprintf(w, "vllm:lora_requests_info{max_lora=\"%d\",running_lora_adapters=\"%s\",waiting_lora_adapters=\"%s\"} %d\n",
		e.options.Slots, joined(running), joined(waiting), time.Now().Unix())
}

func joined(names map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(names)), ",")
}

// Running returns the number of requests in the batch.
func (e *Engine) Running() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.running
}
