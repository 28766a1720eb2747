// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// WorkerOptions are the identity, the size and the speed of a worker.
type WorkerOptions struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Software is the software version in the worker's store entry; empty for DefaultSoftware.
	Software string
	// Model is the base model of the worker; empty for a worker of a plain service.
	Model string
	// Unloaded makes the worker hold its base model only once it has loaded it from the weight store.
	Unloaded bool
	Capacity int
	LoadTime time.Duration
	// Events is the number of events of a stream, and Pause the time between them. The query of a request overrides them.
	Events int
	Pause  time.Duration
	// UntilClose is the share of answers, from 0 to 1, that end with their connection, with neither a length nor chunks. CutOff is the share
	// of these that the worker breaks off: streams inside an event by a close or a reset, plain answers in their middle by a reset.
	UntilClose, CutOff float64
	// Address is the address on which the worker listens; empty for a free port of 127.0.0.1.
	Address string
	// Crash is called before Worker.Crash if a request crashes the worker, and may end the process; nil for none.
	Crash func()
	// Journal receives each event of a run, if set. It must not call the worker.
	Journal func(RunEvent)
	// KillingPart is the beginning of the names of parts of prompts with which requests crash the worker as soon as it begins to answer them;
	// empty for none.
	KillingPart string
	// Room is how many requests the worker accepts at once, until SetRoom is called.
	Room Room
}

// DefaultSoftware is the software version of workers whose options have none.
const DefaultSoftware = "v1"

// Registry writes and removes the store entry of a worker.
type Registry struct {
	Put    func(key string, value any)
	Remove func(key string)
}

// WorkerFaults are the faults of a worker. The zero value has none.
type WorkerFaults struct {
	// Errors is how many of the next requests run and are answered with 500, and Resets how many run and have their connection
	// reset. Sheds is how many are rejected without a run, and Hangs how many are never answered.
	Errors, Resets, Sheds, Hangs int
	// ErrorStatus replaces the status 500 of Errors unless it is 0. ErrorBytes is the size of their bodies.
	ErrorStatus, ErrorBytes int
	// BreakAfter is the number of complete events of an interrupted stream, which ends in the middle of the next event.
	BreakAfter int
	// Breaks is how many of the next streams are interrupted.
	Breaks int
	// UntilClose makes answers end with their connection, with neither a length nor chunks.
	UntilClose bool
	// Extras is how many of the next answers are sent twice on their connection.
	Extras int
	// Unsealed is how many of the next answers lack the seal header of the worker.
	Unsealed int
	// Endless is what is sent without end in place of all answers to requests.
	Endless EndlessKind
	// LoseOrders is how many of the next orders are executed and not answered.
	LoseOrders int
	// KeepsQueued makes a queued request begin although its sender has closed the connection.
	KeepsQueued bool
	// Says is the notice in each answer, whatever the store entry of the worker contains. With a Rest, each request is rejected.
	Says Notice
}

// Run is one request that a worker began to run.
type Run struct {
	ID      string
	Adapter string
	// Version is the version of the adapter, and Software that of the worker's software.
	Version  int
	Software string
	Deadline string
	Resumed  string
	Canceled bool
	// UntilClose reports whether the answer has neither a length nor chunks.
	UntilClose bool
	// Endless reports whether the worker sent bytes without end in place of the answer.
	Endless bool
	// Began is when the worker began to run the request.
	Began time.Time
}

// Worker is a fake endpoint that writes its own entry to the store.
type Worker struct {
	options     WorkerOptions
	registry    Registry
	server      *httptest.Server
	connections *stallableListener
	mutex       sync.Mutex
	faults      WorkerFaults
	sequence    int64
	adapters    map[string]int
	pending     map[string]time.Time
	versions    map[string]int
	inUse       map[string]int
	runs        []*Run
	arrivals    []time.Time
	// hasAnnounced is set once an answer has had a notice.
	hasAnnounced bool
	// rests are the times at which requests were rejected with a time to rest.
	rests             []time.Time
	orders            []ReceivedOrder
	overCapacityLoads int
	// modelLoads are when loads of the base model began.
	modelLoads []time.Time
	state      string
	room       roomState
	// queueWait is how long each request waits before it begins. queued is how many requests wait.
	queueWait time.Duration
	queued    int
	// describedSequence is the sequence at the last write of the store entry. stop ends the heartbeats.
	describedSequence int64
	stop              chan struct{}
}

// EndpointKey returns the key of the store entry of a worker.
func EndpointKey(id string) string {
	return "servers/" + id
}

// NewWorker starts a worker and writes its entry to a store in the same process.
func NewWorker(store *Store, options WorkerOptions) *Worker {
	return NewRegisteredWorker(Registry{Put: func(key string, value any) { store.Put(key, value) }, Remove: store.Remove}, options)
}

// NewRegisteredWorker starts a worker and writes its entry to the registry.
func NewRegisteredWorker(registry Registry, options WorkerOptions) *Worker {
	if options.Software == "" {
		options.Software = DefaultSoftware
	}
	w := &Worker{
		options: options, registry: registry, adapters: make(map[string]int), pending: make(map[string]time.Time),
		versions: make(map[string]int), inUse: make(map[string]int), state: "ready", stop: make(chan struct{}), room: newRoomState(options.Room),
	}
	w.server = httptest.NewUnstartedServer(w)
	if options.Address != "" {
		// Panic if the worker cannot listen, as httptest does.
		_ = w.server.Listener.Close()
		w.server.Listener = listenAgain(options.Address)
	}
	w.connections = newStallableListener(w.server.Listener)
	w.server.Listener = w.connections
	w.server.Start()
	w.Describe()
	go w.heartbeatLoop()
	return w
}

// listenTimeout is how long a worker waits for an address that another socket of the host uses for a moment.
const listenTimeout = 2 * time.Second

// listenAgain listens on the address of a former worker.
func listenAgain(address string) net.Listener {
	deadline := time.Now().Add(listenTimeout)
	for {
		listener, err := net.Listen("tcp4", address)
		if err == nil {
			return listener
		}
		if time.Now().After(deadline) {
			panic(err)
		}
		time.Sleep(listenTimeout / 100)
	}
}

// HeartbeatInterval is the interval of the heartbeats.
const HeartbeatInterval = 300 * time.Millisecond

// heartbeatLoop writes the store entry of the worker again when the adapters that it holds have changed.
func (w *Worker) heartbeatLoop() {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case <-ticker.C:
			w.mutex.Lock()
			w.finishLoads()
			due := w.sequence != w.describedSequence && w.state == "ready"
			w.mutex.Unlock()
			if due {
				w.Describe()
			}
		}
	}
}

// StallOpenConnections stalls all open connections permanently without closing them. New connections work.
func (w *Worker) StallOpenConnections() {
	w.connections.stallOpen()
}

// CloseOpenConnections closes all open connections.
func (w *Worker) CloseOpenConnections() {
	w.server.CloseClientConnections()
}

// Close ends the worker. Its store entry stays.
func (w *Worker) Close() {
	w.stopHeartbeats()
	w.server.CloseClientConnections()
	w.server.Close()
}

// Crash ends the worker and all its requests at once, so that connections to its address are refused. Its store entry stays.
func (w *Worker) Crash() {
	w.stopHeartbeats()
	// The server ends even if its listener cannot be closed.
	_ = w.server.Config.Close()
}

// HasEnded reports whether the worker has crashed or was closed.
func (w *Worker) HasEnded() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.state == "closed"
}

// ID returns the ID of the worker.
func (w *Worker) ID() string {
	return w.options.ID
}

// Address returns the address on which the worker listens.
func (w *Worker) Address() string {
	return w.server.Listener.Addr().String()
}

func (w *Worker) stopHeartbeats() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.state != "closed" {
		w.state = "closed"
		close(w.stop)
	}
}

// Describe writes the store entry of the worker.
func (w *Worker) Describe() {
	w.mutex.Lock()
	w.finishLoads()
	w.describedSequence = w.sequence
	entry := map[string]any{
		"service": w.options.Service, "address": w.server.Listener.Addr().String(), "zone": w.options.Zone, "version": w.options.Software,
		"slots": w.options.Slots, "state": w.state, "cold_remaining_ms": 0, "sequence": 0, "models": w.models(),
	}
	w.mutex.Unlock()
	w.registry.Put(EndpointKey(w.options.ID), entry)
}

// Drain writes to the store that the worker leaves.
func (w *Worker) Drain() {
	w.mutex.Lock()
	w.state = "draining"
	w.mutex.Unlock()
	w.Describe()
}

// Deregister removes the store entry of the worker without draining the worker first.
func (w *Worker) Deregister() {
	w.mutex.Lock()
	w.state = "gone"
	w.mutex.Unlock()
	w.registry.Remove(EndpointKey(w.options.ID))
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(faults WorkerFaults) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults = faults
}

// SetQueueWait makes each later request wait before it begins, as in the queue of an endpoint that is full.
func (w *Worker) SetQueueWait(wait time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.queueWait = wait
}

// Queued returns how many requests wait to begin.
func (w *Worker) Queued() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.queued
}

// SetLoadTime sets how long each later load takes.
func (w *Worker) SetLoadTime(loadTime time.Duration) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.options.LoadTime = loadTime
}

// SetAdapterVersion sets the version that later loads of an adapter result in.
func (w *Worker) SetAdapterVersion(adapter string, version int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.versions[adapter] = version
}

// Runs returns the requests that began to run so far.
func (w *Worker) Runs() []Run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	copied := make([]Run, 0, len(w.runs))
	for _, run := range w.runs {
		copied = append(copied, *run)
	}
	return copied
}

// ServeHTTP serves orders, reports and the requests of callers.
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
