//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
)

// EngineOptions describe one model engine.
type EngineOptions struct {
	ID, Service, Zone, Model string
	Slots                    int
	// Step is the time of one step of the batch. Each step makes one event of each running stream.
	Step time.Duration
	// Jitter is by how much a step may be shorter or longer.
	Jitter time.Duration
	// Events is the number of events of a whole stream.
	Events int
	// Put writes the engine's entry into the store.
	Put func(key string, value any)
	// Record writes a line into the record of the case.
	Record func(format string, values ...any)
}

// Engine is a model engine that runs streams in batches: all running streams get their next event at the same step.
type Engine struct {
	options  EngineOptions
	server   *http.Server
	listener net.Listener
	mutex    sync.Mutex
	step     time.Duration
	running  map[*stream]bool
	queued   int
}

// stream is one running request. ticks gets a value for each step.
type stream struct{ ticks chan struct{} }

// NewEngine starts an engine on a free port of a loopback address and writes its entry into the store.
func NewEngine(ip string, options EngineOptions) (*Engine, error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	e := &Engine{options: options, listener: listener, step: options.Step, running: make(map[*stream]bool)}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	go e.runBatch()
	e.describe()
	return e, nil
}

// ID returns the instance id of the engine.
func (e *Engine) ID() string { return e.options.ID }

// Close ends the engine.
func (e *Engine) Close() { _ = e.server.Close() }

// SetSlowness makes each step take factor times as long.
func (e *Engine) SetSlowness(factor float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.step = time.Duration(float64(e.options.Step) * factor)
}

// Running returns the number of running streams.
func (e *Engine) Running() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.running)
}

func (e *Engine) models() []map[string]any {
	return []map[string]any{{"name": e.options.Model, "version": 1, "adapters": []string{}}}
}

func (e *Engine) describe() {
	e.options.Put(platformstandin.EndpointKey(e.options.ID), map[string]any{
		"service": e.options.Service, "address": e.listener.Addr().String(), "zone": e.options.Zone, "version": "1",
		"slots": e.options.Slots, "state": "ready", "cold_remaining_ms": 0, "sequence": 0, "phase": "mixed", "models": e.models(),
	})
}

// runBatch is the loop of the engine: one step after another.
func (e *Engine) runBatch() {
	next := time.Now()
	for {
		e.mutex.Lock()
		step := e.step
		for s := range e.running {
			select {
			case s.ticks <- struct{}{}:
			default:
			}
		}
		e.mutex.Unlock()
		next = next.Add(step)
		if e.options.Jitter > 0 {
			next = next.Add(rand.N(2*e.options.Jitter) - e.options.Jitter)
		}
		if now := time.Now(); next.Before(now) {
			next = now
		}
		time.Sleep(time.Until(next))
	}
}

// ServeHTTP serves reports, orders and requests.
func (e *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get(Wire.ExpectInstance); expected != "" && expected != e.options.ID {
		writer.Header().Set("X-Instance-Id", e.options.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case Wire.ReportPath:
		e.serveReport(writer)
	case Wire.OrderPath:
		// The engine holds its base model; no case of the review asks for adapters.
		writer.WriteHeader(http.StatusOK)
	default:
		e.serveStream(writer, request)
	}
}

func (e *Engine) serveReport(writer http.ResponseWriter) {
	e.mutex.Lock()
	active, queued := len(e.running), e.queued
	e.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"phase": "mixed", "models": e.models(), "utilization": false, "sequence": 0, "queued": queued, "active": active,
		"kv_used": active * 1000, "kv_total": 129799, "handles": 0,
	})
}

// begin takes a slot for a stream; it returns nil if all are taken.
func (e *Engine) begin() *stream {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.running) >= e.options.Slots {
		return nil
	}
	s := &stream{ticks: make(chan struct{}, 1)}
	e.running[s] = true
	return s
}

func (e *Engine) end(s *stream) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	delete(e.running, s)
}

// serveStream runs a request: one event a step, after the event that Last-Event-Id names.
func (e *Engine) serveStream(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(Wire.RequestID)
	writer.Header().Set(Wire.RequestID, id)
	_, _ = io.Copy(io.Discard, request.Body)
	if id == "" || request.Header.Get("X-Model") != e.options.Model {
		writer.Header().Set(Wire.NotRun, "1")
		writer.WriteHeader(map[bool]int{true: http.StatusBadRequest, false: http.StatusMisdirectedRequest}[id == ""])
		return
	}
	s := e.begin()
	if s == nil {
		writer.Header().Set(Wire.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end(s)
	after := request.Header.Get("Last-Event-Id")
	last, _ := strconv.Atoi(after)
	e.options.Record("run    %s at %s after %q begins", id, e.options.ID, after)
	made := last
	defer func() {
		e.options.Record("run    %s at %s after %q ends, last event made %d", id, e.options.ID, after, made)
	}()
	controller := http.NewResponseController(writer)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set(Wire.Seal, e.options.ID+"."+id)
	for made < e.options.Events {
		select {
		case <-request.Context().Done():
			return
		case <-s.ticks:
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s %s %d\n\n", made+1, e.options.ID, id, made+1); err != nil {
			return
		}
		made++
		if controller.Flush() != nil {
			return
		}
	}
}
