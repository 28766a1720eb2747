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
	"github.com/shelfledge/shelfledge/services/entry/coordinator/unbegun"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy"
	"github.com/shelfledge/shelfledge/services/entry/proxy/attempt"
)

// deadPort is the script of an endpoint that nobody can connect to.
const deadPort = "dead port"

// queues is the script of an endpoint that holds a request in its queue until the connection closes. The request is taken back
// while it waits there; a text that follows is written first.
const queues = "queues"

// pausing is where an endpoint's script pauses for scriptPause; again parts the scripts of an endpoint's connections, of which the last
// one holds for all further ones.
const (
	pausing = "\x00"
	again   = "\x01"
	// closes says that the endpoint ends the connection after its answer. One that ends it without a word may do so as the next request is
	// written, which then may have run.
	closes      = "Connection: close\r\n"
	scriptPause = 100 * time.Millisecond
)

// refusedAfter is when the site of a test asks refused callers to come back.
const refusedAfter = 1500 * time.Millisecond

// site is a proxy in front of endpoints that answer by scripts.
type site struct {
	configuration *deployment.Configuration
	endpoints     []deployment.Endpoint
	// budget is how many retries are granted.
	budget   int
	stopping bool
	// acquires takes the place of the choice of an endpoint; nil for none.
	acquires func(ctx context.Context, request *deployment.Request, tried []deployment.EndpointID) (coordinator.Assignment, error)
	// onHead is called with each head of an answer; nil for none.
	onHead func()

	mutex sync.Mutex
	// recall is that of each assignment to an endpoint that queues; dropped tells that such an endpoint saw the connection close.
	recalls  map[deployment.EndpointID]*unbegun.Recall
	dropped  chan struct{}
	outcomes []directory.Outcome
	missing  []bool
	resumes  []string
	observed chan proxy.Observation
}

// newSite starts endpoints, each with what it writes for a request before it closes the connection, and a proxy with a route of
// each kind.
func newSite(t *testing.T, scripts ...string) (*site, *httptest.Server) {
	t.Helper()
	s := &site{
		observed: make(chan proxy.Observation, 1), recalls: make(map[deployment.EndpointID]*unbegun.Recall),
		dropped: make(chan struct{}, len(scripts)),
	}
	route := func(name string, kind deployment.RouteKind, resumable bool) *deployment.Route {
		return &deployment.Route{
			Name: name, Host: "h", PathPrefix: "/" + name, Kind: kind, Resumable: resumable, MaxAttempts: 2, Timeout: 10 * time.Second,
			TargetLatency: time.Second, TargetPause: time.Second, Backends: []deployment.Backend{{Service: "s", Weight: 1}},
		}
	}
	s.configuration = deployment.NewConfiguration(1, []*deployment.Route{
		route("safe", deployment.Safe, false), route("unsafe", deployment.Unsafe, false),
		route("stream", deployment.Streaming, false), route("resumable", deployment.Streaming, true),
	}, nil, deployment.Limits{MaxHeaderBytes: 1000, MaxBodyBytes: 100})
	for i, script := range scripts {
		id := deployment.EndpointID(fmt.Sprint(i))
		if strings.HasPrefix(script, queues) {
			s.track(id)
		}
		s.endpoints = append(s.endpoints, deployment.Endpoint{ID: id, Address: s.listen(t, script, s.recalls[id])})
	}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	service := proxy.New(proxy.Options{
		Now: time.Now, Random: func() float64 { return 0 }, Log: logrus.NewEntry(logger),
		Refusing: func(deployment.RouteKind) bool { return s.stopping }, Leaving: func() bool { return false },
		Observe: func(o proxy.Observation) { s.observed <- o },
	}, proxy.Control{
		Configuration: func() *deployment.Configuration { return s.configuration }, Acquire: s.acquire, Finish: s.finish,
		Crashed: func(*deployment.Request, coordinator.Assignment) {}, Unanswered: func(*deployment.Request, coordinator.Assignment) {},
		Answered:     func(*deployment.Request) {},
		Heard:        func(coordinator.Assignment, time.Time, deployment.Notice) {},
		CountRequest: func(string) {}, TakeRetry: s.takeRetry,
	}, upstream.NewClient(upstream.Options{MaxIdle: time.Minute, DialTimeout: dialLimit, Now: time.Now}), s.dialect())
	server := httptest.NewServer(service)
	t.Cleanup(server.Close)
	return s, server
}

// dialect is that of all sites, and tells of each head of an answer.
func (s *site) dialect() proxy.Dialect {
	d := dialect()
	d.AnswersRequest = func(string, http.Header) bool {
		if s.onHead != nil {
			s.onHead()
		}
		return true
	}
	return d
}

// TestAFaultOfTheProgramIsAnswered: the connection was closed without a word, and without a line in the program's log.
func TestAFaultOfTheProgramIsAnswered(t *testing.T) {
	s, server := newSite(t, whole(200, mark, "yes"))
	s.acquires = func(context.Context, *deployment.Request, []deployment.EndpointID) (coordinator.Assignment, error) {
		panic("a fault")
	}
	assert.Equal(t, answered{500, "fault of the program\n", "", true}, ask(t, server, "/safe", "question"))
	assert.Zero(t, (<-s.observed).Status)
	s.acquires = nil
	assert.Equal(t, answered{200, "yes", "", true}, ask(t, server, "/safe", "question"))
}

// dialect has a header for each thing that endpoints say.
func dialect() proxy.Dialect {
	return proxy.Dialect{
		ReadRequest: func(header http.Header) proxy.CallerHeader { return proxy.CallerHeader{ID: header.Get("Id")} },
		WriteForward: func(header http.Header, forward proxy.ForwardHeader) {
			header.Set("Resume", forward.ResumeAfter)
		},
		AnswersRequest: func(string, http.Header) bool { return true },
		NotRun:         func(_ int, header http.Header) bool { return header.Get("Not-Run") != "" },
		FromEndpoint:   func(header http.Header) bool { return header.Get("Mark") != "" },
		ReadNotice:     func(int, http.Header) (deployment.Notice, error) { return deployment.Notice{}, nil },
	}
}

func (s *site) acquire(ctx context.Context, request *deployment.Request, tried []deployment.EndpointID) (coordinator.Assignment, error) {
	if s.acquires != nil {
		return s.acquires(ctx, request, tried)
	}
	for _, endpoint := range s.endpoints {
		if endpoint.ID == request.OnlyEndpoint || (request.OnlyEndpoint == "" && !slices.Contains(tried, endpoint.ID)) {
			return coordinator.Assignment{Endpoint: endpoint, Recall: s.recalls[endpoint.ID]}, nil
		}
	}
	return coordinator.Assignment{}, &coordinator.Refusal{Reason: admission.NoEndpoint, RetryAfter: refusedAfter}
}

func (s *site) takeRetry(string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.budget--
	return s.budget >= 0
}

func (s *site) finish(_ *deployment.Request, _ coordinator.Assignment, outcome directory.Outcome, missing bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outcomes = append(s.outcomes, outcome)
	s.missing = append(s.missing, missing)
}

// track gives the assignments to an endpoint a recall.
func (s *site) track(id deployment.EndpointID) *unbegun.Recall {
	s.recalls[id] = &unbegun.Recall{}
	return s.recalls[id]
}

func (s *site) listen(t *testing.T, script string, recall *unbegun.Recall) netip.AddrPort {
	t.Helper()
	if script == deadPort {
		// No system hands out port 1, so that no other test listens there.
		return netip.MustParseAddrPort("127.0.0.1:1")
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	scripts := strings.Split(script, again)
	go func() {
		for count := 0; ; count++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.answer(conn, scripts[min(count, len(scripts)-1)], recall)
		}
	}()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// answer reads one request and writes the script.
func (s *site) answer(conn net.Conn, script string, recall *unbegun.Recall) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.mutex.Lock()
	s.resumes = append(s.resumes, request.Header.Get("Resume"))
	s.mutex.Unlock()
	if begun, ok := strings.CutPrefix(script, queues); ok {
		s.hold(conn, begun, recall)
		return
	}
	for number, part := range strings.Split(script, pausing) {
		if number > 0 {
			time.Sleep(scriptPause)
		}
		_, _ = io.WriteString(conn, part)
	}
}

// hold keeps a request waiting that is taken back meanwhile, until its connection closes.
func (s *site) hold(conn net.Conn, begun string, recall *unbegun.Recall) {
	_, _ = io.WriteString(conn, begun)
	recall.Fire()
	_, _ = io.Copy(io.Discard, conn)
	s.dropped <- struct{}{}
}

// answered is an answer as its caller sees it.
type answered struct {
	status     int
	body       string
	retryAfter string
	// whole is false for an answer that broke off.
	whole bool
}

func ask(t *testing.T, server *httptest.Server, path, body string) answered {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Host = "h"
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return answered{status: response.StatusCode, body: string(content), retryAfter: response.Header.Get("Retry-After"), whole: err == nil}
}

func whole(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// events gives the head of a stream and some of it, each in a chunk.
func events(parts ...string) string {
	text := "HTTP/1.1 200 OK\r\nMark: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, part := range parts {
		text += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return text
}

const (
	// dialLimit is long enough for a connection on a busy machine; a port without listener refuses at once.
	dialLimit = 10 * time.Second

	mark   = "Mark: 1\r\n"
	notRun = "Not-Run: 1\r\n"
	// last ends a stream.
	last = "0\r\n\r\n"

	first  = "id: 1\ndata: a\n\n"
	second = "id: 2\ndata: b\n\n"
	third  = "id: 3\ndata: c\n\n"
)

func TestTheWayOfARequest(t *testing.T) {
	ok := whole(200, mark, "yes")
	refused := whole(503, notRun, "busy")
	for name, test := range map[string]struct {
		path     string
		scripts  []string
		budget   int
		answer   answered
		reason   string
		results  []attempt.Result
		outcomes []directory.Outcome
	}{
		"answered": {
			"/unsafe", []string{ok}, 0, answered{200, "yes", "", true}, "",
			[]attempt.Result{attempt.Finished}, []directory.Outcome{directory.Succeeded},
		},
		"not run, answered by another": {
			"/unsafe", []string{refused, ok}, 1, answered{200, "yes", "", true}, "",
			[]attempt.Result{attempt.NotRun, attempt.Finished}, []directory.Outcome{directory.Refused, directory.Succeeded},
		},
		"not run, no retry granted": {
			"/unsafe", []string{refused, ok}, 0, answered{503, "refused by the endpoint\n", "0.25", true}, "refused by the endpoint",
			[]attempt.Result{attempt.NotRun}, []directory.Outcome{directory.Refused},
		},
		"not run, no attempt left": {
			"/unsafe", []string{refused, refused, ok}, 5, answered{503, "refused by the endpoint\n", "0.25", true}, "refused by the endpoint",
			[]attempt.Result{attempt.NotRun, attempt.NotRun}, []directory.Outcome{directory.Refused, directory.Refused},
		},
		"not run, no other endpoint": {
			"/unsafe", []string{refused}, 1, answered{503, "no endpoint\n", "1.50", true}, "no endpoint",
			[]attempt.Result{attempt.NotRun}, []directory.Outcome{directory.Refused},
		},
		"no answer to an unsafe request": {
			"/unsafe", []string{"", ok}, 1, answered{502, "no answer from the endpoint\n", "", true}, "no answer from the endpoint",
			[]attempt.Result{attempt.Uncertain}, []directory.Outcome{directory.Broken},
		},
		"no answer to a safe request, answered by another": {
			"/safe", []string{"", ok}, 1, answered{200, "yes", "", true}, "",
			[]attempt.Result{attempt.Uncertain, attempt.Finished}, []directory.Outcome{directory.Broken, directory.Succeeded},
		},
		"no answer to a safe request, no other endpoint": {
			"/safe", []string{""}, 1, answered{502, "no endpoint for a repeat\n", "", true}, "no endpoint for a repeat",
			[]attempt.Result{attempt.Uncertain}, []directory.Outcome{directory.Broken},
		},
		"an answer that breaks off": {
			"/unsafe", []string{whole(200, mark, "yes")[:40]}, 0, answered{502, "no answer from the endpoint\n", "", true}, "no answer from the endpoint",
			[]attempt.Result{attempt.Uncertain}, []directory.Outcome{directory.Broken},
		},
		"a success without the endpoint's mark": {
			"/unsafe", []string{whole(200, "", "yes")}, 0, answered{502, "no answer from the endpoint\n", "", true}, "no answer from the endpoint",
			[]attempt.Result{attempt.Uncertain}, []directory.Outcome{directory.Broken},
		},
		"an endpoint that cannot be reached costs no retry": {
			"/unsafe", []string{deadPort, ok}, 0, answered{200, "yes", "", true}, "",
			[]attempt.Result{attempt.NotSent, attempt.Finished}, []directory.Outcome{directory.Unreached, directory.Succeeded},
		},
		"an endpoint that cannot be reached is no attempt": {
			"/unsafe", []string{deadPort, refused, ok}, 1, answered{200, "yes", "", true}, "",
			[]attempt.Result{attempt.NotSent, attempt.NotRun, attempt.Finished},
			[]directory.Outcome{directory.Unreached, directory.Refused, directory.Succeeded},
		},
		"three endpoints that cannot be reached": {
			"/unsafe", []string{deadPort, deadPort, deadPort, ok}, 5, answered{503, "refused by the endpoint\n", "0.25", true}, "refused by the endpoint",
			[]attempt.Result{attempt.NotSent, attempt.NotSent, attempt.NotSent}, []directory.Outcome{directory.Unreached, directory.Unreached, directory.Unreached},
		},
		"an error of the endpoint": {
			"/unsafe", []string{whole(500, "", "no"), ok}, 1, answered{500, "no", "", true}, "error of the endpoint",
			[]attempt.Result{attempt.ServerError}, []directory.Outcome{directory.Errored},
		},
		"an error of the endpoint, answered by another": {
			"/safe", []string{whole(500, "", "no"), ok}, 1, answered{200, "yes", "", true}, "",
			[]attempt.Result{attempt.ServerError, attempt.Finished}, []directory.Outcome{directory.Errored, directory.Succeeded},
		},
		"a stream": {
			"/stream", []string{events(first, second) + last}, 0, answered{200, first + second, "", true}, "",
			[]attempt.Result{attempt.Finished}, []directory.Outcome{directory.Succeeded},
		},
		"a stream that breaks off": {
			"/stream", []string{events(first), events(second) + last}, 1, answered{200, first, "", false}, "stream broke off",
			[]attempt.Result{attempt.BrokenOff}, []directory.Outcome{directory.Broken},
		},
		"a resumable stream goes on elsewhere after its last whole event": {
			"/resumable", []string{events(first, "id: 2\nda"), events(second) + last}, 1, answered{200, first + second, "", true}, "",
			[]attempt.Result{attempt.BrokenOff, attempt.Finished}, []directory.Outcome{directory.Broken, directory.Succeeded},
		},
		"a resumable stream whose event has no id": {
			"/resumable", []string{events("data: a\n\n"), events(second) + last}, 1, answered{200, "data: a\n\n", "", false}, "stream broke off",
			[]attempt.Result{attempt.BrokenOff}, []directory.Outcome{directory.Broken},
		},
		"a resumable stream with a length that its next endpoint does not keep": {
			"/resumable", []string{strings.TrimSuffix(whole(200, mark, first+second), second), whole(200, mark, second+third)}, 1,
			answered{200, first + second + third, "", true}, "",
			[]attempt.Result{attempt.BrokenOff, attempt.Finished}, []directory.Outcome{directory.Broken, directory.Succeeded},
		},
		"a resumable stream that no endpoint takes, its own included": {
			"/resumable", []string{events(first) + again + refused}, 3, answered{200, first, "", false}, "stream not resumed",
			[]attempt.Result{attempt.BrokenOff, attempt.NotRun, attempt.NotRun}, []directory.Outcome{directory.Broken, directory.Refused, directory.Refused},
		},
		"a resumable stream that no endpoint has, its own included": {
			"/resumable", []string{events(first) + again + whole(404, "", "gone"), whole(404, "", "gone")}, 3, answered{200, first, "", false}, "stream broke off",
			[]attempt.Result{attempt.BrokenOff, attempt.BrokenOff, attempt.BrokenOff, attempt.BrokenOff},
			[]directory.Outcome{directory.Broken, directory.Errored, directory.Errored, directory.Errored},
		},
		"a resumable stream that another endpoint has not, and its own has": {
			"/resumable", []string{events(first) + again + events(second) + last, whole(404, "", "gone")}, 2, answered{200, first + second, "", true}, "",
			[]attempt.Result{attempt.BrokenOff, attempt.BrokenOff, attempt.Finished},
			[]directory.Outcome{directory.Broken, directory.Errored, directory.Succeeded},
		},
		"a resumable stream that breaks off before its first event": {
			"/resumable", []string{events("id: 1\nda"), events(first) + last}, 1, answered{200, first, "", true}, "",
			[]attempt.Result{attempt.Uncertain, attempt.Finished}, []directory.Outcome{directory.Broken, directory.Succeeded},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, server := newSite(t, test.scripts...)
			s.budget = test.budget
			assert.Equal(t, test.answer, ask(t, server, test.path, "question"))
			observation := <-s.observed
			assert.Equal(t, test.reason, observation.Reason)
			assert.Equal(t, test.answer.status, observation.Status)
			var results []attempt.Result
			for _, record := range observation.Attempts {
				results = append(results, record.Result)
			}
			assert.Equal(t, test.results, results)
			assert.Equal(t, test.outcomes, s.outcomes)
		})
	}
}

func TestAResumedStreamNamesItsLastEvent(t *testing.T) {
	s, server := newSite(t, events(first, "id: 2\nda"), events(second)+last)
	s.budget = 1
	ask(t, server, "/resumable", "")
	<-s.observed
	assert.Equal(t, []string{"", "1"}, s.resumes)
}

// TestABodyThatIsNotHeldIsSentOnce: what is over 256 KiB goes through to the first endpoint and is gone then.
func TestABodyThatIsNotHeldIsSentOnce(t *testing.T) {
	for size, results := range map[int][]attempt.Result{
		256<<10 - 1: {attempt.NotRun, attempt.Finished}, 256 << 10: {attempt.NotRun}, 256<<10 + 1: {attempt.NotRun},
	} {
		s, server := newSite(t, whole(503, notRun, ""), whole(200, mark, ""))
		s.configuration.Limits.MaxBodyBytes = 1 << 20
		s.budget = 1
		ask(t, server, "/safe", strings.Repeat("x", size))
		observation := <-s.observed
		require.Len(t, observation.Attempts, len(results), "%d bytes", size)
		for i, result := range results {
			assert.Equal(t, result, observation.Attempts[i].Result, "%d bytes", size)
		}
	}
}

// TestTheHeadOfAStreamIsPassedOnOnce sends more than one read holds; net/http logs a head that is written twice.
func TestTheHeadOfAStreamIsPassedOnOnce(t *testing.T) {
	event := "data: " + strings.Repeat("x", 10<<10) + "\n\n"
	s, server := newSite(t, events(event, event)+last)
	var logged bytes.Buffer
	server.Config.ErrorLog = log.New(&logged, "", 0)
	assert.Equal(t, answered{200, event + event, "", true}, ask(t, server, "/stream", ""))
	<-s.observed
	server.Close()
	assert.Empty(t, logged.String())
}

func TestAMissingAdapterIsNoted(t *testing.T) {
	s, server := newSite(t, whole(http.StatusMisdirectedRequest, notRun, ""), whole(200, mark, ""))
	s.budget = 1
	assert.Equal(t, http.StatusOK, ask(t, server, "/unsafe", "").status)
	<-s.observed
	assert.Equal(t, []bool{true, false}, s.missing)
}

// TestRefusalsWithoutAnEndpoint: what the proxy refuses by itself is answered and not observed.
func TestRefusalsWithoutAnEndpoint(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*site)
		path   string
		body   string
		answer answered
	}{
		"no configuration":   {func(s *site) { s.configuration = nil }, "/safe", "", answered{503, "no configuration yet\n", "0.50", true}},
		"no route":           {func(*site) {}, "/other", "", answered{404, "no such route\n", "", true}},
		"the process stops":  {func(s *site) { s.stopping = true }, "/safe", "", answered{503, "stopping\n", "0.10", true}},
		"a body too large":   {func(*site) {}, "/safe", strings.Repeat("x", 101), answered{413, "body too large\n", "", true}},
		"a head too large":   {func(*site) {}, "/safe/" + strings.Repeat("x", 1000), "", answered{431, "header too large\n", "", true}},
		"the largest body":   {func(*site) {}, "/safe", strings.Repeat("x", 100), answered{503, "no endpoint\n", "1.50", true}},
		"no endpoint at all": {func(*site) {}, "/safe", "", answered{503, "no endpoint\n", "1.50", true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, server := newSite(t)
			test.change(s)
			assert.Equal(t, test.answer, ask(t, server, test.path, test.body))
			if test.answer.body == "no endpoint\n" {
				assert.Equal(t, "no endpoint", (<-s.observed).Reason)
			}
			assert.Empty(t, s.observed)
		})
	}
}
