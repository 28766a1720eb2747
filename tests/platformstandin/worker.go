// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platformstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
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
	// Events and Pause are the length and pace of a stream.
	Events int
	Pause  time.Duration
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
}

// Run is one request that a worker began to work on.
type Run struct {
	ID       string
	Adapter  string
	Version  int
	Deadline string
	Resumed  string
	Canceled bool
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
	store    *Store
	server   *httptest.Server
	mutex    sync.Mutex
	faults   WorkerFaults
	sequence int64
	adapters map[string]int
	pending  map[string]time.Time
	versions map[string]int
	inUse    map[string]int
	runs     []*Run
	orders   []OrderSeen
	overfull int
	state    string
	// described is the sequence at the last description; stop ends the heartbeats.
	described int64
	stop      chan struct{}
}

// NewWorker starts a worker and writes its entry.
func NewWorker(store *Store, options WorkerOptions) *Worker {
	w := &Worker{
		options: options, store: store, adapters: make(map[string]int), pending: make(map[string]time.Time),
		versions: make(map[string]int), inUse: make(map[string]int), state: "ready", stop: make(chan struct{}),
	}
	w.server = httptest.NewServer(w)
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

// Close ends the worker without a word.
func (w *Worker) Close() {
	w.endBeats()
	w.server.CloseClientConnections()
	w.server.Close()
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
		"slots": w.options.Slots, "state": w.state, "sequence": 0, "models": w.models(),
	}
	w.mutex.Unlock()
	w.store.Put("servers/"+w.options.ID, entry)
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
	w.store.Remove("servers/" + w.options.ID)
}

// SetFaults replaces the troubles.
func (w *Worker) SetFaults(faults WorkerFaults) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults = faults
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
	return append([]OrderSeen(nil), w.orders...)
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
	if w.faults.LoseOrders > 0 {
		w.faults.LoseOrders--
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

// fault is the trouble of one request.
type fault int

const (
	faultNone fault = iota
	faultError
	faultReset
	faultShed
	faultHang
)

func (w *Worker) nextFault() fault {
	for _, one := range []struct {
		count *int
		fault fault
	}{{&w.faults.Errors, faultError}, {&w.faults.Resets, faultReset}, {&w.faults.Sheds, faultShed}, {&w.faults.Hangs, faultHang}} {
		if *one.count > 0 {
			*one.count--
			return one.fault
		}
	}
	return faultNone
}

func (w *Worker) serveRequest(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	model, adapter, _ := strings.Cut(request.Header.Get("X-Model"), "/")
	w.mutex.Lock()
	w.settle()
	version, resident := w.adapters[adapter]
	trouble := w.nextFault()
	wrong := w.options.Model != "" && (model != w.options.Model || (adapter != "" && !resident))
	if expected := request.Header.Get("X-Expect-Version"); expected != "" && expected != strconv.Itoa(version) {
		wrong = true
	}
	if trouble == faultShed || wrong {
		w.mutex.Unlock()
		writer.Header().Set("X-Not-Executed", "1")
		if wrong {
			writer.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &Run{
		ID: request.Header.Get(HeaderRequestID), Adapter: adapter, Version: version,
		Deadline: request.Header.Get("X-Deadline-Ms"), Resumed: request.Header.Get("Last-Event-Id"),
	}
	w.runs = append(w.runs, run)
	w.inUse[adapter]++
	w.mutex.Unlock()
	defer func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.inUse[adapter]--
		run.Canceled = request.Context().Err() != nil
	}()
	w.answer(writer, request, trouble, run, body)
}

func (w *Worker) answer(writer http.ResponseWriter, request *http.Request, trouble fault, run *Run, body []byte) {
	switch trouble {
	case faultHang:
		<-request.Context().Done()
		return
	case faultReset:
		panic(http.ErrAbortHandler)
	}
	w.mutex.Lock()
	extra, unsealed := w.faults.Extras > 0, w.faults.Unsealed > 0
	w.faults.Extras -= boolCount(extra)
	w.faults.Unsealed -= boolCount(unsealed)
	w.mutex.Unlock()
	writer.Header().Set(HeaderRequestID, run.ID)
	if !unsealed {
		writer.Header().Set(HeaderSeal, w.options.ID+"."+run.ID)
	}
	if trouble == faultError {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if extra {
		w.answerTwice(writer, run)
		return
	}
	if w.options.Model != "" {
		w.stream(writer, request, run)
		return
	}
	_, _ = fmt.Fprintf(writer, "%s answers %s %s %s %q", w.options.ID, run.ID, request.Method, request.RequestURI, body)
}

func boolCount(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// answerTwice sends a whole answer and the same once more on the same connection.
func (w *Worker) answerTwice(writer http.ResponseWriter, run *Run) {
	conn, _, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	text := "twice"
	one := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", run.ID, w.options.ID, len(text), text)
	_, _ = conn.Write([]byte(one + one))
	time.Sleep(200 * time.Millisecond)
	_ = conn.Close()
}

// stream makes events with rising ids, after the one that the caller has.
func (w *Worker) stream(writer http.ResponseWriter, request *http.Request, run *Run) {
	first := 1
	if run.Resumed != "" {
		last, _ := strconv.Atoi(run.Resumed)
		first = last + 1
	}
	w.mutex.Lock()
	breakAfter := 0
	if w.faults.Breaks > 0 {
		w.faults.Breaks--
		breakAfter = w.faults.BreakAfter
	}
	w.mutex.Unlock()
	writer.Header().Set("Content-Type", "text/event-stream")
	for id := first; id <= w.options.Events; id++ {
		if breakAfter > 0 && id > breakAfter {
			_, _ = fmt.Fprintf(writer, "id: %d\ndata: half", id)
			_ = http.NewResponseController(writer).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(writer, Event(id, run.ID, run.Adapter))
		_ = http.NewResponseController(writer).Flush()
		select {
		case <-request.Context().Done():
			return
		case <-time.After(w.options.Pause):
		}
	}
}
