// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// running is one run of the program beside a store and endpoints that note what arrives.
type running struct {
	t       *testing.T
	ports   ports
	store   *standin.Store
	proxy   *httptest.Server
	command *exec.Cmd
	ended   chan error
	errors  standin.Output
	mutex   sync.Mutex
	// describing keeps an older description from being written after a newer one.
	describing sync.Mutex
	log        []string
	calls      []string
	// seen are the requests and orders that arrived at endpoints, in a fixed form.
	seen map[string]string
	// loaded are the adapters that endpoints hold.
	loaded    map[string][]string
	endpoints *httptest.Server
	keeps     atomic.Int64
	repeats   atomic.Int64
	resumed   atomic.Int64
}

func newRunning(t *testing.T) *running {
	t.Helper()
	r := &running{
		t: t, ports: freePorts(t), store: standin.NewStore(), seen: make(map[string]string),
		loaded: map[string][]string{"e-resume-1": {"a0@1"}},
	}
	target := &url.URL{Scheme: "http", Host: r.store.Address()}
	forward := httputil.NewSingleHostReverseProxy(target)
	forward.ErrorHandler = func(writer http.ResponseWriter, _ *http.Request, _ error) { writer.WriteHeader(http.StatusBadGateway) }
	r.proxy = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		r.noteCall(request)
		if strings.HasPrefix(request.URL.Path, "/-/kv-keep/") && r.keeps.Add(1) == 1 {
			// The lease is over, as it is when the program was held up for long: the sign of life is written anew.
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		forward.ServeHTTP(writer, request)
	}))
	r.endpoints = httptest.NewServer(http.HandlerFunc(r.serveEndpoint))
	t.Cleanup(func() {
		r.endpoints.CloseClientConnections()
		r.endpoints.Close()
		r.proxy.CloseClientConnections()
		r.proxy.Close()
		r.store.Close()
	})
	return r
}

// start starts the program.
func (r *running) start() {
	r.t.Helper()
	settings := settingsFile(r.t, r.ports, r.proxy.Listener.Addr().String())
	r.command = exec.Command(builtProgram(r.t), "--settings="+settings, "--log-level=debug", "--metrics-port="+r.ports.metrics)
	output, err := r.command.StdoutPipe()
	require.NoError(r.t, err)
	r.command.Stderr = &r.errors
	require.NoError(r.t, r.command.Start())
	r.ended = make(chan error, 1)
	go func() {
		scanner := bufio.NewScanner(output)
		for scanner.Scan() {
			r.mutex.Lock()
			r.log = append(r.log, scanner.Text())
			r.mutex.Unlock()
		}
		r.ended <- r.command.Wait()
	}()
	r.t.Cleanup(func() { _ = r.command.Process.Kill() })
}

// lines gives the log so far.
func (r *running) lines() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.log)
}

func (r *running) waitFor(what string, condition func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			require.FailNow(r.t, "waited in vain", "%s; errors:\n%s\nlog:\n%s", what, r.errors.String(), strings.Join(r.lines(), "\n"))
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *running) logged(text string) bool {
	return strings.Contains(strings.Join(r.lines(), "\n"), text)
}

// noteCall notes a call of the store without what differs from run to run.
func (r *running) noteCall(request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	request.Body = io.NopCloser(bytes.NewReader(body))
	query := request.URL.Query()
	if query.Get("after") != "" && strings.Contains(request.URL.Path, "watch") {
		query.Set("after", "REVISION")
	}
	path := request.URL.Path
	if cut := strings.LastIndexByte(path, '/'); strings.Count(path, "/") > 2 {
		path = path[:cut] + "/LEASE"
	}
	text, _ := url.QueryUnescape(query.Encode())
	line := strings.Join([]string{request.Method, path, text, request.Header.Get("Content-Type"), storeBody(body)}, " | ")
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.calls = append(r.calls, line)
}

// storeBody gives the body of a store's call with its values decoded.
func storeBody(body []byte) string {
	if len(body) == 0 {
		return ""
	}
	var generic any
	if err := json.Unmarshal(body, &generic); err != nil {
		return string(body)
	}
	return encode(readable("", generic))
}

// readable replaces revisions and leases by their names, and values by what they hold.
func readable(name string, value any) any {
	switch part := value.(type) {
	case map[string]any:
		for key, one := range part {
			part[key] = readable(key, one)
		}
		return part
	case []any:
		for i, one := range part {
			part[i] = readable(name, one)
		}
		return part
	case float64:
		if (name == "revision" || name == "lease") && part != 0 {
			return strings.ToUpper(name)
		}
	case string:
		if name == "value" {
			return storedValue(part)
		}
	}
	return value
}

func storedValue(text string) any {
	var decoded []byte
	if err := json.Unmarshal([]byte(`"`+text+`"`), &decoded); err != nil {
		return text
	}
	var record map[string]any
	if err := msgpack.Unmarshal(decoded, &record); err != nil {
		return string(decoded)
	}
	if address, ok := record["Address"].([]byte); ok {
		record["Address"] = fmt.Sprintf("%d bytes", len(address))
	}
	if loads := fmt.Sprint(record["RecentLoads"]); loads != "0" {
		record["RecentLoads"] = "COUNT"
	}
	return record
}

func encode(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}

// describe writes the entry of an endpoint.
func (r *running) describe(id, service, state string) {
	r.describing.Lock()
	defer r.describing.Unlock()
	models := []map[string]any{}
	if strings.HasPrefix(id, "e-model") || strings.HasPrefix(id, "e-resume") || strings.HasPrefix(id, "e-dear") {
		r.mutex.Lock()
		models = append(models, map[string]any{"name": "base", "version": 1, "adapters": append([]string{}, r.loaded[id]...)})
		r.mutex.Unlock()
	}
	r.store.Put("servers/"+id, map[string]any{
		"service": service, "address": r.endpoints.Listener.Addr().String(), "zone": "hall-1", "slots": 8, "state": state, "models": models,
		"version": "v1", "cold_remaining_ms": 0, "sequence": 0, "remaining_ms": 0, "available": map[string]any{"resident": []string{"base"}, "disk_cached": []string{}},
	})
}

// note keeps the first request of each kind.
func (r *running) note(kind, text string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, ok := r.seen[kind]; !ok {
		r.seen[kind] = text
	}
}

// serveEndpoint plays all endpoints; the instance that is expected tells which.
func (r *running) serveEndpoint(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Expect-Instance")
	body, _ := io.ReadAll(request.Body)
	text := requestText(request, body)
	switch request.URL.Path {
	case "/-/order":
		r.serveOrder(writer, id, body, text)
		return
	case "/-/report":
		if id != "e-model" {
			// Whether that one is asked for a report depends on how fast it answers.
			r.note("report of "+id, text)
		}
		r.mutex.Lock()
		defer r.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(map[string]any{
			"models":   []map[string]any{{"name": "base", "version": 1, "adapters": append([]string{}, r.loaded[id]...)}},
			"sequence": 7, "pending": pendingOf(id),
		})
		return
	}
	r.note(request.Method+" "+request.URL.Path, text)
	writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	writer.Header().Set("X-Server-Seal", "seal")
	switch {
	case request.URL.Path == "/shed/moved":
		writer.WriteHeader(http.StatusMisdirectedRequest)
	case request.URL.Path == "/unsealed/other":
		writer.Header().Set("X-Attempt-Id", "id-of-another")
		_, _ = writer.Write([]byte("for another"))
	case strings.HasPrefix(request.URL.Path, "/shed/"):
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	case strings.HasPrefix(request.URL.Path, "/reset/"):
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(request.URL.Path, "/hang/"), request.URL.Path == "/chat/hold":
		<-request.Context().Done()
	case strings.HasPrefix(request.URL.Path, "/unsealed/"):
		writer.Header().Del("X-Server-Seal")
		_, _ = writer.Write([]byte("unsealed"))
	case strings.HasPrefix(request.URL.Path, "/error/"):
		http.Error(writer, "trouble", http.StatusInternalServerError)
	case request.URL.Path == "/repeat/x" && r.repeats.Add(1) == 1:
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(request.URL.Path, "/chat/"), request.URL.Path == "/digest/warm":
		r.stream(writer, 1, 3)
	case strings.HasPrefix(request.URL.Path, "/digest/"):
		r.serveResumed(writer, request, text)
	default:
		_, _ = fmt.Fprintf(writer, "%s answers", service(id))
	}
}

// pendingOf gives the loads that an endpoint says are under way.
func pendingOf(id string) []string {
	if id == "e-dear" {
		return []string{"base/a7@1"}
	}
	return []string{}
}

// serveResumed breaks the first stream off after its second event.
func (r *running) serveResumed(writer http.ResponseWriter, request *http.Request, text string) {
	if r.resumed.Add(1) == 1 {
		r.stream(writer, 1, 2)
		panic(http.ErrAbortHandler)
	}
	r.note("resumed "+request.Method+" "+request.URL.Path, text)
	r.stream(writer, 3, 4)
}

func (r *running) stream(writer http.ResponseWriter, first, last int) {
	writer.Header().Set("Content-Type", "text/event-stream")
	for event := first; event <= last; event++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: event %d\n\n", event, event)
		_ = http.NewResponseController(writer).Flush()
	}
}

func (r *running) serveOrder(writer http.ResponseWriter, id string, body []byte, text string) {
	var order struct {
		Operation string `json:"operation"`
		Adapter   string `json:"adapter"`
	}
	_ = json.Unmarshal(body, &order)
	r.note("order "+order.Operation+" of "+id, text)
	if id == "e-dear" {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	writer.WriteHeader(r.carryOut(id, order.Operation, order.Adapter+"@1"))
	go r.describe(id, "s-"+strings.TrimPrefix(service(id), "e-"), "ready")
}

// carryOut does an order and gives its status.
func (r *running) carryOut(id, operation, held string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	place := slices.Index(r.loaded[id], held)
	switch {
	case operation == "unload" && place >= 0:
		r.loaded[id] = slices.Delete(r.loaded[id], place, place+1)
		return http.StatusOK
	case operation == "unload" || place >= 0:
		return http.StatusOK
	}
	r.loaded[id] = append(r.loaded[id], held)
	return http.StatusAccepted
}

// service leaves out the number of an endpoint, since any of a service may be chosen.
func service(id string) string {
	return strings.TrimSuffix(strings.TrimSuffix(id, "-1"), "-2")
}

// requestText gives a request as it arrived, but for addresses and times left.
func requestText(request *http.Request, body []byte) string {
	lines := make([]string, 0, len(request.Header)+1)
	for name, values := range request.Header {
		value := strings.Join(values, ", ")
		if name == "X-Expect-Instance" {
			value = service(value)
		}
		if name == "X-Deadline-Ms" {
			value = "MILLISECONDS"
		}
		lines = append(lines, name+": "+value)
	}
	host := request.Host
	if strings.HasPrefix(host, "127.0.0.1:") {
		host = "ADDRESS"
	}
	if text := string(body); strings.Contains(text, `"expected_count"`) {
		return fmt.Sprintf("%s %s\nHost: %s\n%s\n%s\n", request.Method, request.RequestURI, host, sortedLines(lines), text)
	}
	return fmt.Sprintf("%s %s\nHost: %s\n%s\n%s\n", request.Method, request.RequestURI, host, sortedLines(lines), body)
}
