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

// client sends each request on a new connection, so that net/http never retries a request.
var client = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: 10 * time.Second,
}

// ready returns the HTTP status of the load balancer's readiness check, or 0 without a response.
func (r *programRun) ready() int {
	response, err := client.Get("http://" + r.ports.ip + ":" + r.ports.ready + "/-/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// sendRequest sends a request and returns the formatted response.
func (r *programRun) sendRequest(name, method, path, body string, headers map[string]string) string {
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
	return fmt.Sprintf("=== %s: %s %d %s\n%s\n%s\n", name, response.Proto, response.StatusCode, ending, sortedUniqueLines(lines), content)
}

// sendRaw sends bytes on a new connection and returns the status line and the sorted headers of the response, with its
// date masked.
func (r *programRun) sendRaw(name, port, request string) string {
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

const readyRequest = "GET /-/readyz HTTP/1.1\r\nHost: balancer\r\n\r\n"

// testEndpoints are the endpoints that accept requests. The program may choose any endpoint of a service.
var testEndpoints = []struct{ id, service string }{
	{"e-ok", "s-ok"}, {"e-split", "s-split"}, {"e-shed", "s-shed"}, {"e-reset", "s-reset"}, {"e-hang", "s-hang"}, {"e-unsealed", "s-unsealed"},
	{"e-error", "s-error"}, {"e-repeat-1", "s-repeat"}, {"e-repeat-2", "s-repeat"}, {"e-model", "s-model"}, {"e-resume-1", "s-resume"},
	{"e-resume-2", "s-resume"}, {"e-dear", "s-dear"},
}

// startWithStoreDown starts the program while the store is down, makes the store available and waits until the program has begun
// planning. It returns the responses from the time before.
func (r *programRun) startWithStoreDown() string {
	r.store.SetFaults(standin.StoreFaults{Down: true})
	r.store.Put("op/config", json.RawMessage(readTestdata(r.t, "configuration.json")))
	r.store.Put("op/version/base.a1", json.RawMessage(readTestdata(r.t, "named_version.json")))
	for _, endpoint := range testEndpoints {
		r.putEndpoint(endpoint.id, endpoint.service, "ready")
	}
	r.putEndpoint("e-drain", "s-drain", "draining")
	r.store.Put("servers/e-broken", map[string]any{
		"service": "s-ok", "address": "nowhere", "zone": "hall-1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 0,
	})
	r.start()
	r.waitFor("the program listens", func() bool { return r.ready() == http.StatusServiceUnavailable })
	answers := r.sendRaw("not ready yet", r.ports.ready, readyRequest)
	answers += r.sendRequest("no configuration yet", http.MethodGet, "/ok/x", "", nil)
	r.waitFor("the program logs that the store does not answer", func() bool { return r.hasLogged("a call to the store failed") })
	r.store.SetFaults(standin.StoreFaults{})
	r.waitFor("the program is ready", func() bool { return r.ready() == http.StatusOK })
	r.waitFor("the program begins planning", func() bool { return r.hasLogged("planning begins") })
	r.waitFor("the program requests an endpoint's report", func() bool { return r.hasReceived("report of e-resume-1") })
	return answers
}

func (r *programRun) hasReceived(kind string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.received[kind] != ""
}

// sendAllRequests sends one request of each kind and returns the formatted responses.
func (r *programRun) sendAllRequests() string {
	model := map[string]string{"X-Model": "base/a1", "X-Token-Usage": "100,20", "X-Prompt-Prefix": "part:3", "X-Deadline-Ms": "5000"}
	var answers strings.Builder
	add := func(answer string) { answers.WriteString(answer) }
	add(r.sendRequest("whole", http.MethodPost, "/ok/seat?row=%2F7&x=1", "hello", map[string]string{
		"Connection": "X-Hop", "X-Hop": "1", "Te": "trailers", "User-Agent": "caller", "X-Own": "kept", "Accept": "text/plain", "X-Deadline-Ms": "4000",
	}))
	add(r.sendRequest("split", http.MethodGet, "/ok/split/x", "", nil))
	add(r.sendRequest("no route", http.MethodGet, "/nowhere", "", nil))
	add(r.sendRequest("header too large", http.MethodGet, "/ok/x", "", map[string]string{"X-Large": strings.Repeat("x", 3000)}))
	add(r.sendRequest("body too large", http.MethodPost, "/ok/x", strings.Repeat("x", 100001), nil))
	add(r.sendRequest("refused by the endpoint", http.MethodPost, "/shed/x", "", nil))
	add(r.sendRequest("misdirected", http.MethodPost, "/shed/moved", "", nil))
	add(r.sendRequest("answer to another request", http.MethodPost, "/unsealed/other", "", map[string]string{"X-Deadline-Ms": "300"}))
	add(r.sendRaw("bad request", r.ports.callers, "GET /ok/x HTTP/1.1\r\nno header\r\n\r\n"))
	add(r.sendRaw("no host", r.ports.callers, "GET /ok/x HTTP/1.1\r\n\r\n"))
	add(r.sendRaw("ready", r.ports.ready, readyRequest))
	add(r.sendRequest("no answer", http.MethodPost, "/reset/x", "", nil))
	add(r.sendRequest("timed out", http.MethodPost, "/hang/x", "", nil))
	add(r.sendRequest("unsealed", http.MethodPost, "/unsealed/x", "", nil))
	add(r.sendRequest("error", http.MethodPost, "/error/x", "", nil))
	for range 10 {
		// These requests fill the retry budget, which is a share of a service's requests.
		r.sendRequest("warm", http.MethodGet, "/repeat/warm", "", nil)
		r.sendRequest("warm", http.MethodPost, "/digest/warm", "", map[string]string{"X-Model": "base"})
	}
	add(r.sendRequest("repeated", http.MethodGet, "/repeat/x", "", nil))
	add(r.sendRequest("no endpoint", http.MethodPost, "/none/x", "", nil))
	add(r.sendRequest("draining", http.MethodPost, "/drain/x", "", nil))
	add(r.sendRequest("stream", http.MethodPost, "/chat/x", "prompt", model))
	add(r.sendRequest("resumed", http.MethodPost, "/digest/x", "prompt", map[string]string{"X-Model": "base", "Last-Event-Id": "0"}))
	add(r.sendRequest("adapter not loaded", http.MethodPost, "/dear/x", "prompt", model))
	return answers.String()
}

// stop stops the program and returns its last responses and its exit code.
func (r *programRun) stop() (string, int) {
	require.NoError(r.t, r.command.Process.Signal(syscall.SIGHUP))
	r.waitFor("the program logs the SIGHUP", func() bool { return r.hasLogged("hang-up") })
	require.NoError(r.t, r.command.Process.Signal(syscall.SIGTERM))
	r.waitFor("the program reports that it is not ready", func() bool { return r.ready() == http.StatusServiceUnavailable })
	answers := r.sendRaw("leaving and not ready", r.ports.ready, readyRequest)
	answers += r.sendRaw("leaving", r.ports.callers, "GET /ok/leaving HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: id-leaving\r\n\r\n")
	select {
	case err := <-r.exited:
		return answers, exitCode(r.t, err)
	case <-time.After(10 * time.Second):
		require.FailNow(r.t, "the program did not exit within 10 s after SIGTERM")
		return "", -1
	}
}

// TestProgramRunMatchesGolden compares what the store, endpoints and callers receive from one run of the program, and its log and metrics,
// with the golden files.
func TestProgramRunMatchesGolden(t *testing.T) {
	t.Parallel()
	r := newProgramRun(t)
	answers := r.startWithStoreDown()
	answers += r.sendAllRequests()
	r.waitFor("the planner's record permits orders", func() bool { return strings.Contains(strings.Join(r.storeRequestLines(), "\n"), `"Ordering":true`) })
	r.waitFor("the endpoints received orders of each kind", func() bool {
		return r.hasReceived("report of e-dear") && r.hasReceived("order unload of e-resume-1") && r.hasLogged(`"pending":[{`)
	})
	r.waitFor("the program writes its sign of life again after its lease expired", func() bool {
		return strings.Contains(strings.Join(r.storeRequestLines(), "\n"), `{"expected_count":[],"put":[{"lease":"LEASE","private_key":"shelfledge/planner-alive"`)
	})
	metrics := r.metrics()
	views := r.queryViews()
	last, code := r.stop()
	assert.Zero(t, code)
	answers += last

	checkGolden(t, "answers.txt", answers)
	checkGolden(t, "peer_views.txt", views)
	checkGolden(t, "store_calls.txt", sortedUniqueLines(r.storeRequestLines()))
	checkGolden(t, "endpoint_requests.txt", r.formatReceived())
	checkGolden(t, "metrics.txt", metrics)
	checkGolden(t, "log_lines.txt", r.logLineKinds())
	checkGolden(t, "log_examples.txt", r.logExamples())
}

func (r *programRun) storeRequestLines() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Clone(r.storeRequests)
}

// formatReceived formats the first request of each kind that an endpoint received.
func (r *programRun) formatReceived() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	kinds := make([]string, 0, len(r.received))
	for kind := range r.received {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	var text strings.Builder
	for _, kind := range kinds {
		fmt.Fprintf(&text, "=== %s\n%s", kind, r.received[kind])
	}
	return text.String()
}

// logLineKinds returns level, message and field names of the log lines, including the names of nested fields.
func (r *programRun) logLineKinds() string {
	var kinds []string
	for _, line := range r.lines() {
		var fields map[string]any
		require.NoError(r.t, json.Unmarshal([]byte(line), &fields), line)
		names := make([]string, 0, len(fields))
		for name, value := range fields {
			names = append(names, name)
			list, _ := value.([]any)
			for _, element := range list {
				inner, _ := element.(map[string]any)
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
		kinds = append(kinds, fmt.Sprintf("%v | %s | %s", fields["level"], message, strings.Join(strings.Fields(sortedUniqueLines(names)), " ")))
	}
	return sortedUniqueLines(kinds)
}

// logExamples returns complete log lines whose values follow from the test's requests. Times and revisions are masked.
func (r *programRun) logExamples() string {
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
			for _, element := range list {
				attempt := element.(map[string]any)
				attempt["took_ms"], attempt["waited_ms"] = "VARIES", "VARIES"
				if ended, ok := attempt["ended"].(map[string]any); ok {
					ended["silent_ms"] = "VARIES"
				}
			}
		}
		lines = append(lines, encodeJSON(fields))
	}
	return sortedUniqueLines(lines)
}

// sampleLabel matches a label of a sample with its value.
var sampleLabel = regexp.MustCompile(`([a-z_]+)="([^"]*)"`)

// connectionEndMetrics matches metrics whose reason labels depend on which connections have ended before the scrape.
var connectionEndMetrics = regexp.MustCompile(`^shelfledge_(connections_ended|requests_unanswered)_total`)

// metrics returns name, help, type and labels of each metric. Of the labels' values it keeps only reasons of failures
// and bounds of buckets.
func (r *programRun) metrics() string {
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
		lines = append(lines, sampleLabel.ReplaceAllStringFunc(sample, func(matched string) string {
			name, _, _ := strings.Cut(matched, "=")
			if name == "le" || (name == "reason" && !connectionEndMetrics.MatchString(sample)) {
				return matched
			}
			return name
		}))
	}
	lines = slices.Compact(slices.Sorted(slices.Values(lines)))
	return response.Header.Get("Content-Type") + "\n" + sortedUniqueLines(lines)
}
