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
	"regexp"
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

// programRun is one run of the program against a fake store and fake endpoints that record the requests they receive.
type programRun struct {
	t       *testing.T
	ports   ports
	store   *standin.Store
	proxy   *httptest.Server
	command *exec.Cmd
	exited  chan error
	stderr  standin.Output
	mutex   sync.Mutex
	// endpointMutex is held while putEndpoint writes an entry, so that an older entry cannot overwrite a newer one.
	endpointMutex sync.Mutex
	logOutput     []string
	storeRequests []string
	// received has the first request or order of each kind that an endpoint received, with varying values masked.
	received map[string]string
	// loadedAdapters has the adapters that are loaded on each endpoint.
	loadedAdapters    map[string][]string
	endpoints         *httptest.Server
	keepAlives        atomic.Int64
	repeatAttempts    atomic.Int64
	resumableRequests atomic.Int64
}

func newProgramRun(t *testing.T) *programRun {
	t.Helper()
	r := &programRun{
		t: t, ports: freePorts(t), store: standin.NewStore(), received: make(map[string]string),
		loadedAdapters: map[string][]string{"e-resume-1": {"a0@1"}},
	}
	target := &url.URL{Scheme: "http", Host: r.store.Address()}
	forward := httputil.NewSingleHostReverseProxy(target)
	forward.ErrorHandler = func(writer http.ResponseWriter, _ *http.Request, _ error) { writer.WriteHeader(http.StatusBadGateway) }
	r.proxy = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		r.recordStoreCall(request)
		if strings.HasPrefix(request.URL.Path, "/-/kv-keep/") && r.keepAlives.Add(1) == 1 {
			// Simulates an expired lease, as after a long pause of the program, which must then write its sign of life again.
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

// start starts the program and collects its log lines.
func (r *programRun) start() {
	r.t.Helper()
	settings := writeSettings(r.t, r.ports, r.proxy.Listener.Addr().String())
	r.command = exec.Command(buildProgram(r.t), "--settings="+settings, "--log-level=debug", "--metrics-port="+r.ports.metrics)
	output, err := r.command.StdoutPipe()
	require.NoError(r.t, err)
	r.command.Stderr = &r.stderr
	require.NoError(r.t, r.command.Start())
	r.exited = make(chan error, 1)
	go func() {
		scanner := bufio.NewScanner(output)
		for scanner.Scan() {
			r.mutex.Lock()
			r.logOutput = append(r.logOutput, scanner.Text())
			r.mutex.Unlock()
		}
		r.exited <- r.command.Wait()
	}()
	r.t.Cleanup(func() { _ = r.command.Process.Kill() })
}

// lines returns the log lines written so far.
func (r *programRun) lines() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.logOutput)
}

func (r *programRun) waitFor(what string, condition func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			require.FailNow(r.t, "condition not met within 15 s", "%s; stderr:\n%s\nlog:\n%s", what, r.stderr.String(), strings.Join(r.lines(), "\n"))
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (r *programRun) hasLogged(text string) bool {
	return strings.Contains(strings.Join(r.lines(), "\n"), text)
}

// recordStoreCall records a request to the store. Values that differ from run to run are masked.
func (r *programRun) recordStoreCall(request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	request.Body = io.NopCloser(bytes.NewReader(body))
	query := request.URL.Query()
	if query.Get("after") != "" && strings.Contains(request.URL.Path, "watch") {
		query.Set("after", "REVISION")
	}
	path := request.URL.Path
	if lastSlash := strings.LastIndexByte(path, '/'); strings.Count(path, "/") > 2 {
		path = path[:lastSlash] + "/LEASE"
	}
	decodedQuery, _ := url.QueryUnescape(query.Encode())
	line := strings.Join([]string{request.Method, path, decodedQuery, request.Header.Get("Content-Type"), decodeStoreBody(body)}, " | ")
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.storeRequests = append(r.storeRequests, line)
}

// decodeStoreBody returns the body of a store request with its stored values decoded.
func decodeStoreBody(body []byte) string {
	if len(body) == 0 {
		return ""
	}
	var generic any
	if err := json.Unmarshal(body, &generic); err != nil {
		return string(body)
	}
	return encodeJSON(normalizeStoreValue("", generic))
}

// normalizeStoreValue replaces revisions and leases by placeholders, and encoded values by their decoded content.
func normalizeStoreValue(name string, value any) any {
	switch typed := value.(type) {
	case map[string]any:
		for key, element := range typed {
			typed[key] = normalizeStoreValue(key, element)
		}
		return typed
	case []any:
		for i, element := range typed {
			typed[i] = normalizeStoreValue(name, element)
		}
		return typed
	case float64:
		if (name == "revision" || name == "lease") && typed != 0 {
			return strings.ToUpper(name)
		}
		if name == "ttl_ms" && typed != fixedLease && typed != longestLease {
			return "AS LONG AS STREAMS"
		}
	case string:
		if name == "value" {
			return decodeStoredValue(typed)
		}
		return archiveKey.ReplaceAllString(typed, "$1/WRITER-NUMBER")
	}
	return value
}

const (
	// fixedLease and longestLease are leases, in milliseconds, that do not depend on streams.
	fixedLease   = 1200
	longestLease = 600000
	// archiveVersion is the first byte of the values of the archive, whose form TestArchivedValues pins.
	archiveVersion = 1
)

// archiveKey matches keys of the archive.
var archiveKey = regexp.MustCompile(`^(shelfledge/streams/[a-z]+)/[0-9a-f]{16}-[0-9a-f]{8}$`)

func decodeStoredValue(text string) any {
	var decoded []byte
	if err := json.Unmarshal([]byte(`"`+text+`"`), &decoded); err != nil {
		return text
	}
	if len(decoded) > 0 && decoded[0] == archiveVersion {
		return "ARCHIVED"
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

func encodeJSON(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}

// putEndpoint writes an endpoint's entry to the store.
func (r *programRun) putEndpoint(id, service, state string) {
	r.endpointMutex.Lock()
	defer r.endpointMutex.Unlock()
	models := []map[string]any{}
	if strings.HasPrefix(id, "e-model") || strings.HasPrefix(id, "e-resume") || strings.HasPrefix(id, "e-dear") {
		r.mutex.Lock()
		models = append(models, map[string]any{"name": "base", "version": 1, "adapters": append([]string{}, r.loadedAdapters[id]...)})
		r.mutex.Unlock()
	}
	r.store.Put("servers/"+id, map[string]any{
		"service": service, "address": r.endpoints.Listener.Addr().String(), "zone": "hall-1", "slots": 8, "state": state, "models": models,
		"version": "v1", "cold_remaining_ms": 0, "sequence": 0, "remaining_ms": 0, "available": map[string]any{"resident": []string{"base"}, "disk_cached": []string{}},
	})
}

// recordFirst records the first request of each kind.
func (r *programRun) recordFirst(kind, text string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if _, ok := r.received[kind]; !ok {
		r.received[kind] = text
	}
}

// serveEndpoint answers for all fake endpoints. The X-Expect-Instance header selects the endpoint.
func (r *programRun) serveEndpoint(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Expect-Instance")
	body, _ := io.ReadAll(request.Body)
	text := formatRequest(request, body)
	switch request.URL.Path {
	case "/-/order":
		r.serveOrder(writer, id, body, text)
		return
	case "/-/report":
		if id != "e-model" {
			// Requests for a report to e-model are not recorded: whether they are sent depends on how fast e-model responds.
			r.recordFirst("report of "+id, text)
		}
		r.mutex.Lock()
		defer r.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(map[string]any{
			"models":   []map[string]any{{"name": "base", "version": 1, "adapters": append([]string{}, r.loadedAdapters[id]...)}},
			"sequence": 7, "pending": pendingLoads(id),
		})
		return
	}
	r.recordFirst(request.Method+" "+request.URL.Path, text)
	writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	writer.Header().Set("X-Server-Seal", "seal")
	switch {
	case request.URL.Path == "/shed/moved":
		// Another endpoint has the address: it names itself, and seals nothing.
		writer.Header().Del("X-Server-Seal")
		writer.Header().Set("X-Instance-Id", "e-other")
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
	case request.URL.Path == "/repeat/x" && r.repeatAttempts.Add(1) == 1:
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(request.URL.Path, "/chat/"), request.URL.Path == "/digest/warm":
		r.writeEvents(writer, 1, 3)
	case strings.HasPrefix(request.URL.Path, "/digest/"):
		r.serveResumableStream(writer, request, text)
	default:
		_, _ = fmt.Fprintf(writer, "%s answers", serviceOf(id))
	}
}

// pendingLoads returns the loads in progress that an endpoint reports.
func pendingLoads(id string) []string {
	if id == "e-dear" {
		return []string{"base/a7@1"}
	}
	return []string{}
}

// serveResumableStream aborts the first stream after its second event and sends the remaining events to later requests.
func (r *programRun) serveResumableStream(writer http.ResponseWriter, request *http.Request, text string) {
	if r.resumableRequests.Add(1) == 1 {
		r.writeEvents(writer, 1, 2)
		panic(http.ErrAbortHandler)
	}
	r.recordFirst("resumed "+request.Method+" "+request.URL.Path, text)
	r.writeEvents(writer, 3, 4)
}

func (r *programRun) writeEvents(writer http.ResponseWriter, first, last int) {
	writer.Header().Set("Content-Type", "text/event-stream")
	for event := first; event <= last; event++ {
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: event %d\n\n", event, event)
		_ = http.NewResponseController(writer).Flush()
	}
}

func (r *programRun) serveOrder(writer http.ResponseWriter, id string, body []byte, text string) {
	var order struct {
		Operation string `json:"operation"`
		Adapter   string `json:"adapter"`
	}
	_ = json.Unmarshal(body, &order)
	r.recordFirst("order "+order.Operation+" of "+id, text)
	if id == "e-dear" {
		writer.WriteHeader(http.StatusForbidden)
		return
	}
	writer.WriteHeader(r.applyOrder(id, order.Operation, order.Adapter+"@1"))
	go r.putEndpoint(id, "s-"+strings.TrimPrefix(serviceOf(id), "e-"), "ready")
}

// applyOrder applies an order to the loaded adapters and returns the HTTP status for it.
func (r *programRun) applyOrder(id, operation, adapter string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	index := slices.Index(r.loadedAdapters[id], adapter)
	switch {
	case operation == "unload" && index >= 0:
		r.loadedAdapters[id] = slices.Delete(r.loadedAdapters[id], index, index+1)
		return http.StatusOK
	case operation == "unload" || index >= 0:
		return http.StatusOK
	}
	r.loadedAdapters[id] = append(r.loadedAdapters[id], adapter)
	return http.StatusAccepted
}

// serviceOf returns an endpoint's id without its number, since the program may choose any endpoint of a service.
func serviceOf(id string) string {
	return strings.TrimSuffix(strings.TrimSuffix(id, "-1"), "-2")
}

// formatRequest formats a received request. Addresses and remaining times are masked.
func formatRequest(request *http.Request, body []byte) string {
	lines := make([]string, 0, len(request.Header)+1)
	for name, values := range request.Header {
		value := strings.Join(values, ", ")
		if name == "X-Expect-Instance" {
			value = serviceOf(value)
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
		return fmt.Sprintf("%s %s\nHost: %s\n%s\n%s\n", request.Method, request.RequestURI, host, sortedUniqueLines(lines), text)
	}
	return fmt.Sprintf("%s %s\nHost: %s\n%s\n%s\n", request.Method, request.RequestURI, host, sortedUniqueLines(lines), body)
}
