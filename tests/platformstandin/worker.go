// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

// WorkerOptions are the size and speed of a worker.
type WorkerOptions struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Model is its base model; empty for a plain service.
	Model    string
	Capacity int
	LoadTime time.Duration
	// Events and Pause are the length and pace of a stream, unless its query names others.
	Events int
	Pause  time.Duration
	// Address is where it listens; empty for a free port of 127.0.0.1.
	Address string
	// Crash is called before Worker.Crash where a request crashes the worker, and may end the process; nil for none.
	Crash func()
	// Journal gets each begin and end of a run, if set; it must not call the worker.
	Journal func(RunEvent)
}

// Registry takes a worker's own entry.
type Registry struct {
	Put    func(key string, value any)
	Remove func(key string)
}

// RunPhase is what a RunEvent tells of a run.
type RunPhase string

// The phases of a run.
const (
	// RunBegan: the worker began to work on the request.
	RunBegan RunPhase = "began"
	// RunWhole: the worker has written its whole answer.
	RunWhole RunPhase = "whole"
	// RunCanceled: whoever sent the request closed the connection before.
	RunCanceled RunPhase = "canceled"
	// RunCrashed: the worker ended by it.
	RunCrashed RunPhase = "crashed"
	// RunArrived: a request arrived, whether or not it runs; told once the worker has said something of itself in an answer.
	RunArrived RunPhase = "arrived"
	// RunTold: whoever sent the request has an answer in which the worker says something of itself.
	RunTold RunPhase = "told"
	// RunBroke: the worker itself broke the answer off, hung or answered with an error.
	RunBroke RunPhase = "broke"
)

// RunEvent is the begin or the end of a run.
type RunEvent struct {
	At    time.Time `json:"at"`
	Phase RunPhase  `json:"phase"`
	// Endpoint is the worker; ID, Adapter, Version and Resumed are the run's.
	Endpoint string `json:"endpoint"`
	ID       string `json:"id"`
	Adapter  string `json:"adapter,omitempty"`
	Version  int    `json:"version,omitempty"`
	Resumed  string `json:"resumed,omitempty"`
	// Said is what the worker says of itself in the answer.
	Said Notice `json:"said,omitzero"`
}

// Notice is what a worker says of itself in an answer.
type Notice struct {
	// Limit is the requests a second that it takes, and Rest the seconds for which it wants nothing; empty for none.
	Limit   string `json:"limit,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
	Rest    string `json:"rest,omitempty"`
}

// WorkerFaults are the troubles of a worker; the zero value is a sound one.
type WorkerFaults struct {
	// Errors, Resets, Sheds and Hangs are how many coming requests end so: with 500 after a
	// run, by a reset after a run, refused without a run, never.
	Errors, Resets, Sheds, Hangs int
	// BreakAfter breaks coming streams off after so many events, in the middle of the next.
	BreakAfter int
	// Breaks is how many streams break off.
	Breaks int
	// Extras is how many coming answers are followed by a second one.
	Extras int
	// Unsealed is how many successes come without the worker's mark.
	Unsealed int
	// LoseOrders is how many coming orders are carried out and not answered.
	LoseOrders int
	// KeepsQueued has what waits in the worker's queue begin though its caller has closed the connection.
	KeepsQueued bool
	// Says is what each answer says of the worker, whatever its entry says; with a Rest, each request is turned away.
	Says Notice
}

// Run is one request that a worker began to work on.
type Run struct {
	ID       string
	Adapter  string
	Version  int
	Deadline string
	Resumed  string
	Canceled bool
	// Began is when the worker began to work on it.
	Began time.Time
}

// OrderSeen is one order that arrived.
type OrderSeen struct {
	Operation string
	Adapter   string
	Holder    string
	Token     int64
	At        time.Time
}

// Worker is one endpoint that keeps its own entry in the store.
type Worker struct {
	options  WorkerOptions
	registry Registry
	server   *httptest.Server
	links    *silentListener
	mutex    sync.Mutex
	faults   WorkerFaults
	sequence int64
	adapters map[string]int
	pending  map[string]time.Time
	versions map[string]int
	inUse    map[string]int
	runs     []*Run
	arrivals []time.Time
	// hasSaid is set once an answer says something of the worker.
	hasSaid bool
	// rests is when requests were turned away with a time to rest.
	rests    []time.Time
	orders   []OrderSeen
	overfull int
	state    string
	// queueWait is how long each request waits before it begins; queued is how many wait.
	queueWait time.Duration
	queued    int
	// described is the sequence at the last description; stop ends the heartbeats.
	described int64
	stop      chan struct{}
}

// EntryKey is the key of a worker's own entry.
func EntryKey(id string) string {
	return "servers/" + id
}

// NewWorker starts a worker and writes its entry into a store of the same process.
func NewWorker(store *Store, options WorkerOptions) *Worker {
	return NewRegisteredWorker(Registry{Put: func(key string, value any) { store.Put(key, value) }, Remove: store.Remove}, options)
}

// NewRegisteredWorker starts a worker and writes its entry.
func NewRegisteredWorker(registry Registry, options WorkerOptions) *Worker {
	w := &Worker{
		options: options, registry: registry, adapters: make(map[string]int), pending: make(map[string]time.Time),
		versions: make(map[string]int), inUse: make(map[string]int), state: "ready", stop: make(chan struct{}),
	}
	w.server = httptest.NewUnstartedServer(w)
	if options.Address != "" {
		// As httptest does where it finds no port of its own.
		_ = w.server.Listener.Close()
		listener, err := net.Listen("tcp4", options.Address)
		if err != nil {
			panic(err)
		}
		w.server.Listener = listener
	}
	w.links = newSilentListener(w.server.Listener)
	w.server.Listener = w.links
	w.server.Start()
	w.Describe()
	go w.beat()
	return w
}

// BeatPace is the pause between two heartbeats.
const BeatPace = 300 * time.Millisecond

// beat describes the worker again when what it holds has changed.
func (w *Worker) beat() {
	ticker := time.NewTicker(BeatPace)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.mutex.Lock()
			w.settle()
			due := w.sequence != w.described && w.state == "ready"
			w.mutex.Unlock()
			if due {
				w.Describe()
			}
		}
	}
}

// SilenceOpen lets all open connections fall silent for good, without an end of any; new ones work.
func (w *Worker) SilenceOpen() {
	w.links.silence()
}

// ResetOpen closes all open connections.
func (w *Worker) ResetOpen() {
	w.server.CloseClientConnections()
}

// Close ends the worker without a word.
func (w *Worker) Close() {
	w.endBeats()
	w.server.CloseClientConnections()
	w.server.Close()
}

// Crash ends the worker at once with all that it does: connections to its address are refused. Its entry stays.
func (w *Worker) Crash() {
	w.endBeats()
	// The server ends anyway.
	_ = w.server.Config.Close()
}

// HasEnded tells whether the worker has crashed or was closed.
func (w *Worker) HasEnded() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.state == "closed"
}

// ID is the worker's name.
func (w *Worker) ID() string {
	return w.options.ID
}

// Address is where the worker listens.
func (w *Worker) Address() string {
	return w.server.Listener.Addr().String()
}

func (w *Worker) endBeats() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.state != "closed" {
		w.state = "closed"
		close(w.stop)
	}
}

// Describe writes the worker's entry.
func (w *Worker) Describe() {
	w.mutex.Lock()
	w.settle()
	w.described = w.sequence
	entry := map[string]any{
		"service": w.options.Service, "address": w.server.Listener.Addr().String(), "zone": w.options.Zone, "version": "v1",
		"slots": w.options.Slots, "state": w.state, "cold_remaining_ms": 0, "sequence": 0, "models": w.models(),
	}
	w.mutex.Unlock()
	w.registry.Put(EntryKey(w.options.ID), entry)
}

// Drain says that the worker leaves.
func (w *Worker) Drain() {
	w.mutex.Lock()
	w.state = "draining"
	w.mutex.Unlock()
	w.Describe()
}

// Vanish removes the entry without a notice.
func (w *Worker) Vanish() {
	w.mutex.Lock()
	w.state = "gone"
	w.mutex.Unlock()
	w.registry.Remove(EntryKey(w.options.ID))
}

// SetFaults replaces the troubles.
func (w *Worker) SetFaults(faults WorkerFaults) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults = faults
}

// SetQueueWait makes each coming request wait before it begins, as in the queue of an endpoint that is full.
func (w *Worker) SetQueueWait(wait time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queueWait = wait
}

// Queued is how many requests wait to begin.
func (w *Worker) Queued() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.queued
}

// SetLoadTime sets how long each coming load takes.
func (w *Worker) SetLoadTime(loadTime time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.options.LoadTime = loadTime
}

// Name names the version that later loads of an adapter bring.
func (w *Worker) Name(adapter string, version int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.versions[adapter] = version
}

// Runs gives what ran so far.
func (w *Worker) Runs() []Run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	copied := make([]Run, 0, len(w.runs))
	for _, run := range w.runs {
		copied = append(copied, *run)
	}
	return copied
}

// Orders gives the orders that arrived so far.
func (w *Worker) Orders() []OrderSeen {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return slices.Clone(w.orders)
}

// Overfull is how many orders went beyond the worker's places.
func (w *Worker) Overfull() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.overfull
}

func (w *Worker) models() []map[string]any {
	if w.options.Model == "" {
		return []map[string]any{}
	}
	names := []string{}
	for adapter, version := range w.adapters {
		names = append(names, fmt.Sprintf("%s@%d", adapter, version))
	}
	return []map[string]any{{"name": w.options.Model, "version": 1, "adapters": names}}
}

// settle ends the loads whose time is over.
func (w *Worker) settle() {
	now := time.Now()
	for adapter, at := range w.pending {
		if now.Before(at) {
			continue
		}
		delete(w.pending, adapter)
		w.adapters[adapter] = max(1, w.versions[adapter])
	}
}

// ServeHTTP serves one call.
func (w *Worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.options.ID {
		writer.Header().Set("X-Instance-Id", w.options.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/-/order":
		w.serveOrder(writer, request)
	case "/-/report":
		w.serveReport(writer)
	default:
		w.serveRequest(writer, request)
	}
}

func (w *Worker) serveReport(writer http.ResponseWriter) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.settle()
	pending := []string{}
	for adapter := range w.pending {
		pending = append(pending, w.options.Model+"/"+adapter+"@1")
	}
	reply(writer, http.StatusOK, map[string]any{"models": w.models(), "sequence": w.sequence, "pending": pending})
}

func (w *Worker) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Operation string `json:"operation"`
		Adapter   string `json:"adapter"`
		Expected  *int64 `json:"expected_count"`
		Holder    string `json:"holder"`
		Token     int64  `json:"fencing_token"`
	}
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil || body.Holder == "" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.settle()
	w.orders = append(w.orders, OrderSeen{Operation: body.Operation, Adapter: body.Adapter, Holder: body.Holder, Token: body.Token, At: time.Now()})
	status := http.StatusConflict
	if body.Expected == nil || *body.Expected == w.sequence {
		status = w.take(body.Operation, body.Adapter)
	}
	if take(&w.faults.LoseOrders) {
		panic(http.ErrAbortHandler)
	}
	writer.WriteHeader(status)
}

// take carries an order out.
func (w *Worker) take(operation, adapter string) int {
	_, resident := w.adapters[adapter]
	_, coming := w.pending[adapter]
	if operation == "unload" {
		if !resident {
			return http.StatusOK
		}
		if w.inUse[adapter] > 0 {
			return http.StatusConflict
		}
		delete(w.adapters, adapter)
		w.sequence++
		return http.StatusOK
	}
	switch {
	case resident && w.adapters[adapter] >= w.versions[adapter]:
		return http.StatusOK
	case coming:
		return http.StatusAccepted
	}
	if !resident && len(w.adapters)+len(w.pending) >= w.options.Capacity {
		w.overfull++
	}
	w.sequence++
	w.pending[adapter] = time.Now().Add(w.options.LoadTime)
	return http.StatusAccepted
}
