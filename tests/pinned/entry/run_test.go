// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package entry_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// client is a caller that never repeats and uses a new connection for each request.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 10 * time.Second,
}

// ready gives the status of the balancer's question.
func (r *running) ready() int {
	response, err := client.Get("http://" + r.ports.ip + ":" + r.ports.ready + "/-/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// ask sends a request and gives the answer as text.
func (r *running) ask(name, method, path, body string, headers map[string]string) string {
	r.t.Helper()
	request, err := http.NewRequest(method, "http://"+r.ports.ip+":"+r.ports.callers+path, strings.NewReader(body))
	require.NoError(r.t, err)
	request.Host = "site.example"
	request.Header.Set("X-Attempt-Id", "id-"+name)
	for header, value := range headers {
		request.Header.Set(header, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Sprintf("=== %s: no answer\n", name)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	ending := "whole"
	if err != nil {
		ending = "broken off"
	}
	lines := []string{fmt.Sprintf("Content-Length: %d", response.ContentLength)}
	for header, values := range response.Header {
		value := strings.Join(values, ", ")
		if header == "Date" {
			value = "DATE"
		}
		if header == "Retry-After" && name == "adapter not loaded" {
			value = regexp.MustCompile(`\d+\.\d\d`).ReplaceAllString(value, "SECONDS")
		}
		if header != "Content-Length" {
			lines = append(lines, header+": "+value)
		}
	}
	return fmt.Sprintf("=== %s: %s %d %s\n%s\n%s\n", name, response.Proto, response.StatusCode, ending, sortedLines(lines), content)
}

// raw sends bytes on a connection of its own and gives the answer as it was sent, but for its date.
func (r *running) raw(name, port, request string) string {
	r.t.Helper()
	conn, err := net.Dial("tcp4", r.ports.ip+":"+port)
	require.NoError(r.t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, request)
	require.NoError(r.t, err)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	var lines []string
	for {
		line, err := reader.ReadString('\n')
		require.NoError(r.t, err)
		if line = strings.TrimSpace(line); line == "" {
			break
		}
		if strings.HasPrefix(line, "Date: ") {
			line = "Date: DATE"
		}
		lines = append(lines, line)
	}
	slices.Sort(lines[1:])
	return fmt.Sprintf("=== %s\n%s\n", name, strings.Join(lines, "\n"))
}

const readyQuestion = "GET /-/readyz HTTP/1.1\r\nHost: balancer\r\n\r\n"

// siteEndpoints are the endpoints that take requests; any of a service may be chosen.
var siteEndpoints = []struct{ id, service string }{
	{"e-ok", "s-ok"}, {"e-split", "s-split"}, {"e-shed", "s-shed"}, {"e-reset", "s-reset"}, {"e-hang", "s-hang"}, {"e-unsealed", "s-unsealed"},
	{"e-error", "s-error"}, {"e-repeat-1", "s-repeat"}, {"e-repeat-2", "s-repeat"}, {"e-model", "s-model"}, {"e-resume-1", "s-resume"},
	{"e-resume-2", "s-resume"}, {"e-dear", "s-dear"},
}

// begin starts the program while the store is down, then lets it plan.
func (r *running) begin() string {
	r.store.SetFaults(standin.StoreFaults{Down: true})
	r.store.Put("op/config", json.RawMessage(input(r.t, "configuration.json")))
	r.store.Put("op/version/base.a1", json.RawMessage(input(r.t, "named_version.json")))
	for _, endpoint := range siteEndpoints {
		r.describe(endpoint.id, endpoint.service, "ready")
	}
	r.describe("e-drain", "s-drain", "draining")
	r.store.Put("servers/e-broken", map[string]any{
		"service": "s-ok", "address": "nowhere", "zone": "hall-1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 0,
	})
	r.start()
	r.waitFor("the program listens", func() bool { return r.ready() == http.StatusServiceUnavailable })
	answers := r.raw("not ready yet", r.ports.ready, readyQuestion)
	answers += r.ask("no configuration yet", http.MethodGet, "/ok/x", "", nil)
	r.waitFor("it misses the store", func() bool { return r.logged("a call to the store failed") })
	r.store.SetFaults(standin.StoreFaults{})
	r.waitFor("the program is ready", func() bool { return r.ready() == http.StatusOK })
	r.waitFor("it plans", func() bool { return r.logged("planning begins") })
	r.waitFor("it reads a report", func() bool { return r.saw("report of e-resume-1") })
	return answers
}

func (r *running) saw(kind string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.seen[kind] != ""
}

// askAll makes one request of each kind.
func (r *running) askAll() string {
	model := map[string]string{"X-Model": "base/a1", "X-Token-Usage": "100,20", "X-Prompt-Prefix": "part:3", "X-Deadline-Ms": "5000"}
	var answers strings.Builder
	add := func(answer string) { answers.WriteString(answer) }
	add(r.ask("whole", http.MethodPost, "/ok/seat?row=%2F7&x=1", "hello", map[string]string{
		"Connection": "X-Hop", "X-Hop": "1", "Te": "trailers", "User-Agent": "caller", "X-Own": "kept", "Accept": "text/plain", "X-Deadline-Ms": "4000",
	}))
	add(r.ask("split", http.MethodGet, "/ok/split/x", "", nil))
	add(r.ask("no route", http.MethodGet, "/nowhere", "", nil))
	add(r.ask("header too large", http.MethodGet, "/ok/x", "", map[string]string{"X-Large": strings.Repeat("x", 3000)}))
	add(r.ask("body too large", http.MethodPost, "/ok/x", strings.Repeat("x", 100001), nil))
	add(r.ask("refused by the endpoint", http.MethodPost, "/shed/x", "", nil))
	add(r.ask("misdirected", http.MethodPost, "/shed/moved", "", nil))
	add(r.ask("answer to another request", http.MethodPost, "/unsealed/other", "", map[string]string{"X-Deadline-Ms": "300"}))
	add(r.raw("bad request", r.ports.callers, "GET /ok/x HTTP/1.1\r\nno header\r\n\r\n"))
	add(r.raw("no host", r.ports.callers, "GET /ok/x HTTP/1.1\r\n\r\n"))
	add(r.raw("ready", r.ports.ready, readyQuestion))
	add(r.ask("no answer", http.MethodPost, "/reset/x", "", nil))
	add(r.ask("timed out", http.MethodPost, "/hang/x", "", nil))
	add(r.ask("unsealed", http.MethodPost, "/unsealed/x", "", nil))
	add(r.ask("error", http.MethodPost, "/error/x", "", nil))
	for range 10 {
		// The budget of repeats is a share of a service's requests.
		r.ask("warm", http.MethodGet, "/repeat/warm", "", nil)
		r.ask("warm", http.MethodPost, "/digest/warm", "", map[string]string{"X-Model": "base"})
	}
	add(r.ask("repeated", http.MethodGet, "/repeat/x", "", nil))
	add(r.ask("no endpoint", http.MethodPost, "/none/x", "", nil))
	add(r.ask("draining", http.MethodPost, "/drain/x", "", nil))
	add(r.ask("stream", http.MethodPost, "/chat/x", "prompt", model))
	add(r.ask("resumed", http.MethodPost, "/digest/x", "prompt", map[string]string{"X-Model": "base", "Last-Event-Id": "0"}))
	add(r.ask("adapter not loaded", http.MethodPost, "/dear/x", "prompt", model))
	return answers.String()
}

// end stops the program and gives its last answers and its exit code.
func (r *running) end() (string, int) {
	require.NoError(r.t, r.command.Process.Signal(syscall.SIGHUP))
	r.waitFor("the hang-up is noted", func() bool { return r.logged("hang-up") })
	require.NoError(r.t, r.command.Process.Signal(syscall.SIGTERM))
	r.waitFor("it is not ready", func() bool { return r.ready() == http.StatusServiceUnavailable })
	answers := r.raw("leaving and not ready", r.ports.ready, readyQuestion)
	answers += r.raw("leaving", r.ports.callers, "GET /ok/leaving HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: id-leaving\r\n\r\n")
	select {
	case err := <-r.ended:
		return answers, exitCode(r.t, err)
	case <-time.After(10 * time.Second):
		require.FailNow(r.t, "the program does not end")
		return "", -1
	}
}

// TestARun pins what a store, endpoints, callers, the reader of the log and the reader of the metrics see.
func TestARun(t *testing.T) {
	t.Parallel()
	r := newRunning(t)
	answers := r.begin()
	answers += r.askAll()
	r.waitFor("orders may follow", func() bool { return strings.Contains(strings.Join(r.storeCalls(), "\n"), `"Ordering":true`) })
	r.waitFor("orders of each kind arrived", func() bool {
		return r.saw("report of e-dear") && r.saw("order unload of e-resume-1") && r.logged(`"pending":[{`)
	})
	r.waitFor("a lost sign of life is written anew", func() bool {
		return strings.Contains(strings.Join(r.storeCalls(), "\n"), `{"expected_count":[],"put":[{"lease":"LEASE"`)
	})
	metrics := r.metrics()
	views := r.peerViews()
	last, code := r.end()
	assert.Zero(t, code)
	answers += last

	pin(t, "answers.txt", answers)
	pin(t, "peer_views.txt", views)
	pin(t, "store_calls.txt", sortedLines(r.storeCalls()))
	pin(t, "endpoint_requests.txt", r.requests())
	pin(t, "metrics.txt", metrics)
	pin(t, "log_lines.txt", r.logKinds())
	pin(t, "log_examples.txt", r.logExamples())
}

func (r *running) storeCalls() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.calls)
}

// requests gives the first request of each kind at an endpoint.
func (r *running) requests() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kinds := make([]string, 0, len(r.seen))
	for kind := range r.seen {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	var all strings.Builder
	for _, kind := range kinds {
		fmt.Fprintf(&all, "=== %s\n%s", kind, r.seen[kind])
	}
	return all.String()
}

// logKinds gives level, message and field names of the lines of the log, nested names included.
func (r *running) logKinds() string {
	var kinds []string
	for _, line := range r.lines() {
		var fields map[string]any
		require.NoError(r.t, json.Unmarshal([]byte(line), &fields), line)
		names := make([]string, 0, len(fields))
		for name, value := range fields {
			names = append(names, name)
			list, _ := value.([]any)
			for _, one := range list {
				inner, _ := one.(map[string]any)
				for key := range inner {
					names = append(names, name+"."+key)
				}
			}
		}
		message := fmt.Sprint(fields["msg"])
		kind := fmt.Sprint(fields["kind"])
		poll := fields["level"] == "debug" && fields["reported_sequence"] == nil
		if message == "order answered" && (poll || kind != "load" && kind != "inspect") {
			continue
		}
		kinds = append(kinds, fmt.Sprintf("%v | %s | %s", fields["level"], message, strings.Join(strings.Fields(sortedLines(names)), " ")))
	}
	return sortedLines(kinds)
}

// logExamples gives whole lines whose values follow from what was sent, but for times and revisions.
func (r *running) logExamples() string {
	varying := []string{"time", "revision", "took_ms", "first_ms", "whole_ms", "wait", "expected_sequence"}
	var lines []string
	for _, line := range r.lines() {
		var fields map[string]any
		require.NoError(r.t, json.Unmarshal([]byte(line), &fields), line)
		request, endpoint := fmt.Sprint(fields["request"]), fmt.Sprint(fields["endpoint"])
		report := endpoint == "e-dear" && fields["reported_sequence"] != nil
		whole := slices.Contains([]string{"configuration in force", "planning begins", "version named", "an endpoint's entry cannot be read"}, fmt.Sprint(fields["msg"]))
		if !whole && !report && request != "id-split" && request != "id-error" && request != "id-timed out" {
			continue
		}
		for _, name := range varying {
			if _, ok := fields[name]; ok {
				fields[name] = "VARIES"
			}
		}
		if list, ok := fields["attempts"].([]any); ok {
			for _, one := range list {
				attempt := one.(map[string]any)
				attempt["took_ms"], attempt["waited_ms"] = "VARIES", "VARIES"
				if ended, ok := attempt["ended"].(map[string]any); ok {
					ended["silent_ms"] = "VARIES"
				}
			}
		}
		lines = append(lines, encode(fields))
	}
	return sortedLines(lines)
}

// label is a label of a sample; its value is left out.
var label = regexp.MustCompile(`([a-z_]+)="([^"]*)"`)

// endsOfConnections are the metrics whose reasons depend on which connections have ended by the time of the reading.
var endsOfConnections = regexp.MustCompile(`^shelfledge_(connections_ended|requests_unanswered)_total`)

// metrics gives name, help, type and labels of each metric; the reasons of failures and bounds of buckets with
// their values.
func (r *running) metrics() string {
	response, err := client.Get("http://" + r.ports.ip + ":" + r.ports.metrics + "/")
	require.NoError(r.t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(r.t, err)
	var lines []string
	for _, line := range strings.Split(strings.TrimSpace(string(content)), "\n") {
		if strings.HasPrefix(line, "#") {
			lines = append(lines, line)
			continue
		}
		sample := line[:strings.LastIndexByte(line, ' ')]
		lines = append(lines, label.ReplaceAllStringFunc(sample, func(one string) string {
			name, _, _ := strings.Cut(one, "=")
			if name == "le" || (name == "reason" && !endsOfConnections.MatchString(sample)) {
				return one
			}
			return name
		}))
	}
	lines = slices.Compact(slices.Sorted(slices.Values(lines)))
	return response.Header.Get("Content-Type") + "\n" + sortedLines(lines)
}
