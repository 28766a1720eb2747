// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/services/entry/admission"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/recall"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// scriptUnreachable is the script of an endpoint that refuses connections.
const scriptUnreachable = "dead port"

// scriptQueued is the prefix of the script of an endpoint that keeps a request in its queue until the connection closes. The text
// after the prefix is written first; then the request is recalled.
const scriptQueued = "queues"

// pauseMark is where the script of an endpoint pauses for scriptPause; nextConnection separates the scripts of an endpoint's
// consecutive connections, of which the last one is repeated for all further connections.
const (
	pauseMark      = "\x00"
	nextConnection = "\x01"
	// closeHeader announces that the endpoint closes the connection after its response. Without the header, the connection may be
	// closed while the next request is written, which then may have run.
	closeHeader = "Connection: close\r\n"
	scriptPause = 100 * time.Millisecond
)

// refusalRetryAfter is the time after which the coordinator of a test asks refused callers to retry.
const refusalRetryAfter = 1500 * time.Millisecond

// testSoftware is the software of all endpoints, unless a test sets another one.
const testSoftware = "v1"

// testProxy is a proxy in front of endpoints that respond with scripts.
type testProxy struct {
	configuration *deployment.Configuration
	endpoints     []deployment.Endpoint
	// retryBudget is the number of retries that are granted.
	retryBudget int
	stopping    bool
	// acquireHook replaces the selection of an endpoint; nil for none.
	acquireHook func(ctx context.Context, request *deployment.Request, tried []deployment.EndpointID) (coordinator.Assignment, error)
	// onHead is called for each response head; nil for none.
	onHead func()

	mutex sync.Mutex
	// recalls holds the recall of the assignments to each endpoint that queues; connectionClosed receives a value when such an
	// endpoint sees its connection close.
	recalls          map[deployment.EndpointID]*recall.Recall
	connectionClosed chan struct{}
	outcomes         []directory.Outcome
	missing          []bool
	resumeIDs        []string
	observations     chan proxy.Observation
}

// newTestProxy starts endpoints, each with the script that it writes for a request before it closes the connection, and a proxy with
// a route of each kind.
func newTestProxy(t *testing.T, scripts ...string) (*testProxy, *httptest.Server) {
	t.Helper()
	return newTestProxyWithOrigins(t, proxy.Origins{}, scripts...)
}

// newTestProxyWithOrigins is newTestProxy with functions that know where streams began.
func newTestProxyWithOrigins(t *testing.T, origins proxy.Origins, scripts ...string) (*testProxy, *httptest.Server) {
	t.Helper()
	p := &testProxy{
		observations: make(chan proxy.Observation, 1), recalls: make(map[deployment.EndpointID]*recall.Recall),
		connectionClosed: make(chan struct{}, len(scripts)),
	}
	route := func(name string, kind deployment.RouteKind, resumable bool) *deployment.Route {
		return &deployment.Route{
			Name: name, Host: "h", PathPrefix: "/" + name, Kind: kind, Resumable: resumable, MaxAttempts: 2, Timeout: 10 * time.Second,
			TargetLatency: time.Second, TargetPause: time.Second, Backends: []deployment.Backend{{Service: "s", Weight: 1}},
		}
	}
	p.configuration = deployment.NewConfiguration(1, []*deployment.Route{
		route("safe", deployment.Safe, false), route("unsafe", deployment.Unsafe, false),
		route("stream", deployment.Streaming, false), route("resumable", deployment.Streaming, true),
	}, nil, deployment.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 100})
	for i, script := range scripts {
		id := deployment.EndpointID(fmt.Sprint(i))
		if strings.HasPrefix(script, scriptQueued) {
			p.addRecall(id)
		}
		p.endpoints = append(p.endpoints, deployment.Endpoint{ID: id, Address: p.listen(t, script, p.recalls[id]), Software: testSoftware})
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	service := proxy.New(proxy.Options{
		Now: time.Now, Random: func() float64 { return 0 }, Log: logrus.NewEntry(logger),
		ShouldRefuse: func(deployment.RouteKind) bool { return p.stopping }, Leaving: func() bool { return false },
		Observe: func(o proxy.Observation) { p.observations <- o },
	}, proxy.Control{
		Configuration: func() *deployment.Configuration { return p.configuration }, Acquire: p.acquire, Finish: p.finish,
		RecordCrash: func(*deployment.Request, coordinator.Assignment) {}, RecordUnanswered: func(*deployment.Request, coordinator.Assignment) {},
		RecordAnswered: func(*deployment.Request) {},
		ApplyNotice:    func(coordinator.Assignment, time.Time, deployment.Notice) {},
		CountRequest:   func(string) {}, TakeRetry: p.takeRetry, Origins: origins,
	}, upstream.NewClient(upstream.Options{MaxIdle: time.Minute, DialTimeout: dialTimeout, Now: time.Now}), p.testDialect())
	return p, startServer(t, service)
}

// testDialect returns the dialect of the tests, with a call of onHead for each response head.
func (p *testProxy) testDialect() proxy.Dialect {
	d := testDialect()
	d.AnswersRequest = func(string, http.Header) bool {
		if p.onHead != nil {
			p.onHead()
		}
		return true
	}
	return d
}

// TestPanicIsAnsweredWithServerError guards against a panic that closes the connection without a response and without a log entry.
func TestPanicIsAnsweredWithServerError(t *testing.T) {
	p, server := newTestProxy(t, fixedResponse(200, endpointMarkHeader, "yes"))
	p.acquireHook = func(context.Context, *deployment.Request, []deployment.EndpointID) (coordinator.Assignment, error) {
		panic("a fault")
	}
	assert.Equal(t, callerResponse{500, "fault of the program\n", "", true}, sendRequest(t, server, "/safe", "question"))
	assert.Zero(t, (<-p.observations).Status)
	p.acquireHook = nil
	assert.Equal(t, callerResponse{200, "yes", "", true}, sendRequest(t, server, "/safe", "question"))
}

func (p *testProxy) acquire(ctx context.Context, request *deployment.Request, tried []deployment.EndpointID) (coordinator.Assignment, error) {
	if p.acquireHook != nil {
		return p.acquireHook(ctx, request, tried)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, endpoint := range p.endpoints {
		if request.Software != "" && endpoint.Software != request.Software {
			continue
		}
		if endpoint.ID == request.OnlyEndpoint || (request.OnlyEndpoint == "" && !slices.Contains(tried, endpoint.ID)) {
			return coordinator.Assignment{Endpoint: endpoint, Recall: p.recalls[endpoint.ID]}, nil
		}
	}
	return coordinator.Assignment{}, &coordinator.Refusal{Reason: admission.NoEndpoint, RetryAfter: refusalRetryAfter}
}

func (p *testProxy) takeRetry(string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.retryBudget--
	return p.retryBudget >= 0
}

func (p *testProxy) finish(_ *deployment.Request, _ coordinator.Assignment, outcome directory.Outcome, missing bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.outcomes = append(p.outcomes, outcome)
	p.missing = append(p.missing, missing)
}

// addRecall adds a recall to the assignments to an endpoint.
func (p *testProxy) addRecall(id deployment.EndpointID) *recall.Recall {
	p.recalls[id] = &recall.Recall{}
	return p.recalls[id]
}

func (p *testProxy) listen(t *testing.T, script string, requestRecall *recall.Recall) netip.AddrPort {
	t.Helper()
	if script == scriptUnreachable {
		// Port 1 is never assigned as an ephemeral port, so no other test listens there.
		return netip.MustParseAddrPort("127.0.0.1:1")
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	scripts := strings.Split(script, nextConnection)
	go func() {
		for count := 0; ; count++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.serveScript(conn, scripts[min(count, len(scripts)-1)], requestRecall)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// serveScript reads one request and writes the script.
func (p *testProxy) serveScript(conn net.Conn, script string, requestRecall *recall.Recall) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	p.mutex.Lock()
	p.resumeIDs = append(p.resumeIDs, request.Header.Get("Resume"))
	p.mutex.Unlock()
	if beginning, ok := strings.CutPrefix(script, scriptQueued); ok {
		p.holdUntilClosed(conn, beginning, requestRecall)
		return
	}
	for number, part := range strings.Split(script, pauseMark) {
		if number > 0 {
			time.Sleep(scriptPause)
		}
		_, _ = io.WriteString(conn, part)
	}
}

// holdUntilClosed recalls the request, and keeps the connection open until the other side closes it.
func (p *testProxy) holdUntilClosed(conn net.Conn, beginning string, requestRecall *recall.Recall) {
	_, _ = io.WriteString(conn, beginning)
	requestRecall.Fire()
	_, _ = io.Copy(io.Discard, conn)
	p.connectionClosed <- struct{}{}
}

// callerResponse is a response as its caller sees it.
type callerResponse struct {
	status     int
	body       string
	retryAfter string
	// complete is false for a response that was interrupted.
	complete bool
}

func sendRequest(t *testing.T, server *httptest.Server, path, body string) callerResponse {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Host = "h"
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, body: string(content), retryAfter: response.Header.Get("Retry-After"), complete: err == nil}
}

func fixedResponse(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// chunkedResponse returns the head of a streamed response and the given parts, each in a chunk.
func chunkedResponse(parts ...string) string {
	text := "HTTP/1.1 200 OK\r\nMark: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, part := range parts {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return text
}

const (
	// dialTimeout is long enough for a connection on a busy host; a port without listener refuses immediately.
	dialTimeout = 10 * time.Second

	endpointMarkHeader = "Mark: 1\r\n"
	notRunHeader       = "Not-Run: 1\r\n"
	// lastChunk ends a stream.
	lastChunk = "0\r\n\r\n"

	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
	thirdEvent  = "id: 3\ndata: c\n\n"
)

func TestProxyRetriesAndForwardsRequest(t *testing.T) {
	success := fixedResponse(200, endpointMarkHeader, "yes")
	refusal := fixedResponse(503, notRunHeader, "busy")
	for name, test := range map[string]struct {
		path        string
		scripts     []string
		retryBudget int
		response    callerResponse
		reason      string
		results     []attempt.Result
		outcomes    []directory.Outcome
	}{
		"success": {
			"/unsafe", []string{success}, 0, callerResponse{200, "yes", "", true}, "",
			[]attempt.Result{attempt.Finished}, []directory.Outcome{directory.Succeeded},
		},
		"not run, retried": {
			"/unsafe", []string{refusal, success}, 1, callerResponse{200, "yes", "", true}, "",
			[]attempt.Result{attempt.NotRun, attempt.Finished}, []directory.Outcome{directory.Refused, directory.Succeeded},
		},
		"not run, retry not granted": {
			"/unsafe", []string{refusal, success}, 0, callerResponse{503, "refused by the endpoint\n", "0.25", true}, "refused by the endpoint",
			[]attempt.Result{attempt.NotRun}, []directory.Outcome{directory.Refused},
		},
		"not run, no attempt left": {
			"/unsafe", []string{refusal, refusal, success}, 5, callerResponse{503, "refused by the endpoint\n", "0.25", true}, "refused by the endpoint",
			[]attempt.Result{attempt.NotRun, attempt.NotRun}, []directory.Outcome{directory.Refused, directory.Refused},
		},
		"not run, no other endpoint": {
			"/unsafe", []string{refusal}, 1, callerResponse{503, "no endpoint\n", "1.50", true}, "no endpoint",
			[]attempt.Result{attempt.NotRun}, []directory.Outcome{directory.Refused},
		},
		"no response to an unsafe request": {
			"/unsafe", []string{"", success}, 1, callerResponse{502, "no answer from the endpoint\n", "", true}, "no answer from the endpoint",
			[]attempt.Result{attempt.Uncertain}, []directory.Outcome{directory.Broken},
		},
		"no response to a safe request, retried": {
			"/safe", []string{"", success}, 1, callerResponse{200, "yes", "", true}, "",
			[]attempt.Result{attempt.Uncertain, attempt.Finished}, []directory.Outcome{directory.Broken, directory.Succeeded},
		},
		"no response to a safe request, no other endpoint": {
			"/safe", []string{""}, 1, callerResponse{502, "no endpoint for a repeat\n", "", true}, "no endpoint for a repeat",
			[]attempt.Result{attempt.Uncertain}, []directory.Outcome{directory.Broken},
		},
		"interrupted response": {
			"/unsafe", []string{fixedResponse(200, endpointMarkHeader, "yes")[:40]}, 0, callerResponse{502, "no answer from the endpoint\n", "", true}, "no answer from the endpoint",
			[]attempt.Result{attempt.Uncertain}, []directory.Outcome{directory.Broken},
		},
		"success without the endpoint's header": {
			"/unsafe", []string{fixedResponse(200, "", "yes")}, 0, callerResponse{502, "no answer from the endpoint\n", "", true}, "no answer from the endpoint",
			[]attempt.Result{attempt.Uncertain}, []directory.Outcome{directory.Broken},
		},
		"unreachable endpoint uses no retry": {
			"/unsafe", []string{scriptUnreachable, success}, 0, callerResponse{200, "yes", "", true}, "",
			[]attempt.Result{attempt.NotSent, attempt.Finished}, []directory.Outcome{directory.Unreachable, directory.Succeeded},
		},
		"unreachable endpoint does not count as attempt": {
			"/unsafe", []string{scriptUnreachable, refusal, success}, 1, callerResponse{200, "yes", "", true}, "",
			[]attempt.Result{attempt.NotSent, attempt.NotRun, attempt.Finished},
			[]directory.Outcome{directory.Unreachable, directory.Refused, directory.Succeeded},
		},
		"three unreachable endpoints": {
			"/unsafe", []string{scriptUnreachable, scriptUnreachable, scriptUnreachable, success}, 5, callerResponse{503, "refused by the endpoint\n", "0.25", true}, "refused by the endpoint",
			[]attempt.Result{attempt.NotSent, attempt.NotSent, attempt.NotSent}, []directory.Outcome{directory.Unreachable, directory.Unreachable, directory.Unreachable},
		},
		"endpoint error": {
			"/unsafe", []string{fixedResponse(500, "", "no"), success}, 1, callerResponse{500, "no", "", true}, "error of the endpoint",
			[]attempt.Result{attempt.ServerError}, []directory.Outcome{directory.Errored},
		},
		"endpoint error, retried": {
			"/safe", []string{fixedResponse(500, "", "no"), success}, 1, callerResponse{200, "yes", "", true}, "",
			[]attempt.Result{attempt.ServerError, attempt.Finished}, []directory.Outcome{directory.Errored, directory.Succeeded},
		},
		"stream": {
			"/stream", []string{chunkedResponse(firstEvent, secondEvent) + lastChunk}, 0, callerResponse{200, firstEvent + secondEvent, "", true}, "",
			[]attempt.Result{attempt.Finished}, []directory.Outcome{directory.Succeeded},
		},
		"interrupted stream": {
			"/stream", []string{chunkedResponse(firstEvent), chunkedResponse(secondEvent) + lastChunk}, 1, callerResponse{200, firstEvent, "", false}, "stream broke off",
			[]attempt.Result{attempt.Interrupted}, []directory.Outcome{directory.Broken},
		},
		"resumable stream continues at another endpoint after the last complete event": {
			"/resumable", []string{chunkedResponse(firstEvent, "id: 2\nda"), chunkedResponse(secondEvent) + lastChunk}, 1, callerResponse{200, firstEvent + secondEvent, "", true}, "",
			[]attempt.Result{attempt.Interrupted, attempt.Finished}, []directory.Outcome{directory.Broken, directory.Succeeded},
		},
		"resumable stream with an event without id": {
			"/resumable", []string{chunkedResponse("data: a\n\n"), chunkedResponse(secondEvent) + lastChunk}, 1, callerResponse{200, "data: a\n\n", "", false}, "stream broke off",
			[]attempt.Result{attempt.Interrupted}, []directory.Outcome{directory.Broken},
		},
		"resumable stream with a Content-Length that the next endpoint does not keep": {
			"/resumable", []string{strings.TrimSuffix(fixedResponse(200, endpointMarkHeader, firstEvent+secondEvent), secondEvent), fixedResponse(200, endpointMarkHeader, secondEvent+thirdEvent)}, 1,
			callerResponse{200, firstEvent + secondEvent + thirdEvent, "", true}, "",
			[]attempt.Result{attempt.Interrupted, attempt.Finished}, []directory.Outcome{directory.Broken, directory.Succeeded},
		},
		"resumable stream refused by its own endpoint, no other endpoint": {
			"/resumable", []string{chunkedResponse(firstEvent) + nextConnection + refusal}, 3, callerResponse{200, firstEvent, "", false}, "stream not resumed",
			[]attempt.Result{attempt.Interrupted, attempt.NotRun, attempt.NotRun}, []directory.Outcome{directory.Broken, directory.Refused, directory.Refused},
		},
		"resumable stream unknown at all endpoints": {
			"/resumable", []string{chunkedResponse(firstEvent) + nextConnection + fixedResponse(404, "", "gone"), fixedResponse(404, "", "gone")}, 3, callerResponse{200, firstEvent, "", false}, "stream broke off",
			[]attempt.Result{attempt.Interrupted, attempt.Interrupted, attempt.Interrupted, attempt.Interrupted},
			[]directory.Outcome{directory.Broken, directory.Errored, directory.Errored, directory.Errored},
		},
		"resumable stream unknown at another endpoint, continued at its own": {
			"/resumable", []string{chunkedResponse(firstEvent) + nextConnection + chunkedResponse(secondEvent) + lastChunk, fixedResponse(404, "", "gone")}, 2, callerResponse{200, firstEvent + secondEvent, "", true}, "",
			[]attempt.Result{attempt.Interrupted, attempt.Interrupted, attempt.Finished},
			[]directory.Outcome{directory.Broken, directory.Errored, directory.Succeeded},
		},
		"resumable stream interrupted before its first event": {
			"/resumable", []string{chunkedResponse("id: 1\nda"), chunkedResponse(firstEvent) + lastChunk}, 1, callerResponse{200, firstEvent, "", true}, "",
			[]attempt.Result{attempt.Uncertain, attempt.Finished}, []directory.Outcome{directory.Broken, directory.Succeeded},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, server := newTestProxy(t, test.scripts...)
			p.retryBudget = test.retryBudget
			assert.Equal(t, test.response, sendRequest(t, server, test.path, "question"))
			observation := <-p.observations
			assert.Equal(t, test.reason, observation.Reason)
			assert.Equal(t, test.response.status, observation.Status)
			var results []attempt.Result
			for _, record := range observation.Attempts {
				results = append(results, record.Result)
			}
			assert.Equal(t, test.results, results)
			assert.Equal(t, test.outcomes, p.outcomes)
		})
	}
}

func TestResumedStreamSendsLastEventID(t *testing.T) {
	p, server := newTestProxy(t, chunkedResponse(firstEvent, "id: 2\nda"), chunkedResponse(secondEvent)+lastChunk)
	p.retryBudget = 1
	sendRequest(t, server, "/resumable", "")
	<-p.observations
	assert.Equal(t, []string{"", "1"}, p.resumeIDs)
}

// TestUnbufferedBodyIsNotRetried checks that a body of 256 KiB or more, which is not fully buffered, is sent to one endpoint only.
func TestUnbufferedBodyIsNotRetried(t *testing.T) {
	for size, results := range map[int][]attempt.Result{
		256<<10 - 1: {attempt.NotRun, attempt.Finished}, 256 << 10: {attempt.NotRun}, 256<<10 + 1: {attempt.NotRun},
	} {
		p, server := newTestProxy(t, fixedResponse(503, notRunHeader, ""), fixedResponse(200, endpointMarkHeader, ""))
		p.configuration.Limits.MaxBodyBytes = 1 << 20
		p.retryBudget = 1
		sendRequest(t, server, "/safe", strings.Repeat("x", size))
		observation := <-p.observations
		require.Len(t, observation.Attempts, len(results), "%d bytes", size)
		for i, result := range results {
			assert.Equal(t, result, observation.Attempts[i].Result, "%d bytes", size)
		}
	}
}

// TestStreamHeadIsWrittenOnce sends a stream that takes several reads; net/http logs an error if a head is written twice.
func TestStreamHeadIsWrittenOnce(t *testing.T) {
	event := "data: " + strings.Repeat("x", 10<<10) + "\n\n"
	p, server := newTestProxy(t, chunkedResponse(event, event)+lastChunk)
	var logged bytes.Buffer
	server.Config.ErrorLog = log.New(&logged, "", 0)
	assert.Equal(t, callerResponse{200, event + event, "", true}, sendRequest(t, server, "/stream", ""))
	<-p.observations
	server.Close()
	assert.Empty(t, logged.String())
}

func TestMissingAdapterIsReported(t *testing.T) {
	p, server := newTestProxy(t, fixedResponse(http.StatusMisdirectedRequest, notRunHeader, ""), fixedResponse(200, endpointMarkHeader, ""))
	p.retryBudget = 1
	assert.Equal(t, http.StatusOK, sendRequest(t, server, "/unsafe", "").status)
	<-p.observations
	assert.Equal(t, []bool{true, false}, p.missing)
}

// TestRefusalsBeforeEndpointIsChosen checks the responses to requests that the proxy refuses itself, and that they are not observed.
func TestRefusalsBeforeEndpointIsChosen(t *testing.T) {
	for name, test := range map[string]struct {
		change   func(*testProxy)
		path     string
		body     string
		response callerResponse
	}{
		"no configuration":         {func(p *testProxy) { p.configuration = nil }, "/safe", "", callerResponse{503, "no configuration yet\n", "0.50", true}},
		"unknown route":            {func(*testProxy) {}, "/other", "", callerResponse{404, "no such route\n", "", true}},
		"shutdown":                 {func(p *testProxy) { p.stopping = true }, "/safe", "", callerResponse{503, "stopping\n", "0.10", true}},
		"body too large":           {func(*testProxy) {}, "/safe", strings.Repeat("x", 101), callerResponse{413, "body too large\n", "", true}},
		"header too large":         {func(*testProxy) {}, "/safe/" + strings.Repeat("x", 1000), "", callerResponse{431, "header too large\n", "", true}},
		"body of the maximum size": {func(*testProxy) {}, "/safe", strings.Repeat("x", 100), callerResponse{503, "no endpoint\n", "1.50", true}},
		"no endpoint":              {func(*testProxy) {}, "/safe", "", callerResponse{503, "no endpoint\n", "1.50", true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, server := newTestProxy(t)
			test.change(p)
			assert.Equal(t, test.response, sendRequest(t, server, test.path, test.body))
			if test.response.body == "no endpoint\n" {
				assert.Equal(t, "no endpoint", (<-p.observations).Reason)
			}
			assert.Empty(t, p.observations)
		})
	}
}
