// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package daemon_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/catalog"
	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/modules/daemon/metric"
	"github.com/shelfledge/shelfledge/routers/daemon/caller"
	"github.com/shelfledge/shelfledge/services/daemon/control"
	"github.com/shelfledge/shelfledge/services/daemon/once"
	"github.com/shelfledge/shelfledge/services/daemon/relay"
)

// callerCase is one request of a caller and the results of the fake placer, claim store and endpoint for it.
type callerCase struct {
	line   string
	header map[string]string
	body   string
	// refusal, if set, is the reason with which the placer refuses the request.
	refusal fleet.Reason
	claim   once.Result
	// start, if set, is the error of the call to the endpoint.
	start error
	// answer is the body of the endpoint's response.
	answer string
	// overloaded makes the instance report itself as neither ready nor alive, with no room for requests.
	overloaded bool
	// unconfigured makes the instance one that has not read its configuration.
	unconfigured bool
}

// callerResponse is the response that a caller receives, with the call to the endpoint and the request to the placer.
type callerResponse struct {
	Status   int                 `json:"status"`
	Header   map[string][]string `json:"header"`
	Body     string              `json:"body"`
	Endpoint *endpointCall       `json:"endpoint,omitempty"`
	Request  []any               `json:"request,omitempty"`
}

type endpointCall struct {
	Line    string              `json:"line"`
	Header  map[string][]string `json:"header"`
	Body    string              `json:"body"`
	Attempt int                 `json:"attempt"`
	Fence   uint64              `json:"fence"`
	Life    string              `json:"life"`
	Resume  int                 `json:"resume"`
}

var uniqueIDPattern = regexp.MustCompile(`~[0-9a-f]{8}|[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

// goFieldPattern matches the Go type name that encoding/json puts into its errors.
var goFieldPattern = regexp.MustCompile(`struct field [A-Za-z]+\.`)

// sendRequest sends one request to a callers' router with a fake placer, claim store and endpoint.
func (c callerCase) sendRequest(t *testing.T) callerResponse {
	t.Helper()
	var out callerResponse
	began := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	now := func() time.Time { return began }
	configuration, err := catalog.DecodeSnapshot(compressZstd(t, readGolden(t, "snapshot.json")))
	require.NoError(t, err)
	plain := fleet.Endpoint{Name: "h1-tickets", Hall: "h1", Kind: fleet.KindPlain, Prefix: "/tickets/"}
	submit := func(r fleet.Request) <-chan control.Answer {
		out.Request = []any{
			uniqueIDPattern.ReplaceAllString(r.ID, "~ID"), r.Caller, r.Class, r.Base, r.Adapter.String(), r.PromptTokens, r.OutputTokens, r.Once,
			r.Deadline.Sub(r.Arrived).String(), r.Prefix, r.Attempt,
		}
		answers := make(chan control.Answer, 1)
		if c.refusal != "" {
			answers <- control.Answer{Refusal: fleet.Refusal{RequestID: r.ID, Reason: c.refusal, RetryAfter: 1500 * time.Millisecond}}
			return answers
		}
		answers <- control.Answer{Granted: true, NotAfter: began.Add(time.Hour), Ticket: fleet.Ticket{
			ID: "ticket-1", RequestID: r.ID, Endpoint: plain.Name, Incarnation: "life-3", Adapter: r.Adapter, Fence: 41, StartWithin: time.Hour,
			Queued: 30 * time.Millisecond, Stalled: 20 * time.Millisecond,
		}}
		return answers
	}
	start := func(_ context.Context, x engine.Call) (*http.Response, error) {
		if c.start != nil {
			return nil, c.start
		}
		out.Endpoint = &endpointCall{
			Line: x.Method + " " + x.Path, Header: x.Header, Body: string(x.Body), Attempt: x.Attempt, Fence: x.Fence, Life: x.Incarnation, Resume: x.ResumeFrom,
		}
		header := http.Header{"Content-Type": {"application/json"}, "X-Model": {"fare-1@2"}}
		if strings.HasPrefix(c.answer, "data:") {
			header.Set("Content-Type", "text/event-stream")
		}
		answer := c.answer
		if x.ResumeFrom > 0 {
			answer = ""
		}
		return &http.Response{StatusCode: http.StatusOK, Header: header, ContentLength: int64(len(answer)), Body: io.NopCloser(strings.NewReader(answer))}, nil
	}
	claim := c.claim
	if claim == "" {
		claim = once.Claimed
	}
	most := int64(10)
	if c.overloaded {
		most = 0
	}
	r := caller.New(caller.Options{
		Relay: relay.New(relay.Options{
			Control: relay.Control{Submit: submit, Withdraw: func(string) {}, ReturnTicket: func(string) {}, RecordEvent: func(fleet.Event) {}},
			Claims: relay.Claims{
				Claim:   func(context.Context, string, string) once.Result { return claim },
				Release: func(context.Context, string, string) error { return nil },
			},
			Dialect:   engine.Dialect{Start: start, Cancel: func(context.Context, fleet.Endpoint, string) error { return nil }},
			Endpoints: []fleet.Endpoint{plain}, Metrics: metric.New(metric.Options{MaxCallers: 5, MaxClasses: 5}), MaxAttempts: 1, RetryShare: 0.1,
			SlowReader: time.Minute, EndpointSilent: time.Minute, CancelLife: time.Millisecond, Now: now,
		}),
		Catalog: func() *catalog.Catalog { return configuration }, Configured: func() bool { return !c.unconfigured },
		Ready: func() bool { return !c.overloaded }, Alive: func() bool { return !c.overloaded },
		Classes: []fleet.Class{{Name: "kiosk", Priority: 10}}, Endpoints: []fleet.Endpoint{plain}, Now: now, MaxBodyBytes: 400, MaxRequests: most,
		BytesPerToken: 4, OutputTokens: 256, DefaultWait: time.Minute, DefaultClass: "traveller",
	})
	method, path, _ := strings.Cut(c.line, " ")
	q := httptest.NewRequest(method, path, strings.NewReader(c.body))
	for name, value := range c.header {
		q.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	handler := r.NotFound().ServeHTTP
	for _, route := range r.Routes() {
		if route.Method == method && route.Path == path {
			handler = route.Handler
		}
	}
	handler(w, q)
	out.Status, out.Header = w.Code, w.Header()
	out.Body = goFieldPattern.ReplaceAllString(uniqueIDPattern.ReplaceAllString(w.Body.String(), "~ID"), "struct field TYPE.")
	for _, values := range out.Header {
		for i := range values {
			values[i] = uniqueIDPattern.ReplaceAllString(values[i], "~ID")
		}
	}
	return out
}

const (
	chatRequest       = "POST /v1/chat/completions"
	completionRequest = "POST /v1/completions"
	completionAnswer  = `{"model":"fare-1@2","choices":[]}`
	plainBody         = `{"model":"fare-1@2","prompt":"where is the train"}`
	streamAnswer      = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"one\"}}],\"model\":\"fare-1@2\"}\n\ndata: [DONE]\n\n"
)

func callerCases() map[string]callerCase {
	out := map[string]callerCase{
		"answered": {line: completionRequest, body: plainBody, answer: completionAnswer},
		"all headers": {line: chatRequest, answer: streamAnswer, header: map[string]string{
			"X-Request-Id": "kiosk-1", "X-Caller": "hall-desk", "X-Class": "kiosk", "X-Deadline-Ms": "2500", "X-Once": "true",
		}, body: `{"model":"fare-1@2","stream":true,"max_tokens":7,"messages":[{"role":"user","content":"hello"}],"temperature":0.5}`},
		"all metadata": {line: chatRequest, answer: completionAnswer, body: `{"model":"fare-1","max_tokens":9,"max_completion_tokens":8,"messages":[],` +
			`"metadata":{"request_id":"kiosk-2","caller":"desk-2","class":"overnight","deadline_ms":900,"once":true}}`},
		"user":                  {line: completionRequest, answer: completionAnswer, body: `{"model":"desk","user":"u-1","metadata":{"request_id":"kiosk-3"}}`},
		"plain read":            {line: "GET /tickets/cabin?day=2", answer: "yes", header: map[string]string{"Accept": "text/plain", "X-Fence": "1", "Cookie": "c=1"}},
		"plain change":          {line: "POST /tickets/cabin", answer: "yes", body: "book"},
		"plain change, claimed": {line: "POST /tickets/cabin", body: "book", header: map[string]string{"X-Request-Id": "pay-2"}, claim: once.AlreadyClaimed},
		"models":                {line: "GET /v1/models"},
		"healthz":               {line: "GET /healthz"},
		"readyz":                {line: "GET /readyz"},
		"healthz, not alive":    {line: "GET /healthz", overloaded: true},
		"readyz, not ready":     {line: "GET /readyz", overloaded: true},
		"no such path":          {line: "GET /v2/models"},
		"no configuration":      {line: completionRequest, body: plainBody, unconfigured: true},
		"models, unconfigured":  {line: "GET /v1/models", unconfigured: true},
		"instance full":         {line: completionRequest, body: plainBody, overloaded: true},
		"malformed json":        {line: completionRequest, body: `[`},
		"malformed field":       {line: completionRequest, body: `{"model":7}`},
		"missing model":         {line: completionRequest, body: `{}`},
		"model not found":       {line: completionRequest, body: `{"model":"none"}`, header: map[string]string{"X-Request-Id": "kiosk-4"}},
		"version not found":     {line: completionRequest, body: `{"model":"fare-1@1"}`},
		"bad identifier":        {line: completionRequest, body: plainBody, header: map[string]string{"X-Request-Id": "a b"}},
		"bad deadline":          {line: completionRequest, body: plainBody, header: map[string]string{"X-Deadline-Ms": "soon"}},
		"bad once":              {line: completionRequest, body: plainBody, header: map[string]string{"X-Once": "yes"}},
		"missing request id":    {line: completionRequest, body: plainBody, header: map[string]string{"X-Once": "true"}},
		"body too large":        {line: completionRequest, body: strings.Repeat(" ", 500)},
		"already claimed":       {line: completionRequest, body: plainBody, header: map[string]string{"X-Once": "true", "X-Request-Id": "pay-1"}, claim: once.AlreadyClaimed},
		"claim impossible":      {line: completionRequest, body: plainBody, header: map[string]string{"X-Once": "true", "X-Request-Id": "pay-1"}, claim: once.Impossible},
		"endpoint did not run":  {line: completionRequest, body: plainBody, start: engine.ErrNotRun{Operation: "request", Reason: "503: full", RetryAfter: 3 * time.Second}},
		"endpoint broke off":    {line: completionRequest, body: plainBody, start: engine.ErrOutcomeUnknown{Operation: "request", Reason: "reset"}},
		"stream broke off":      {line: completionRequest, body: `{"model":"fare-1@2","stream":true}`, answer: "data: {\"model\":\"fare-1@2\",\"choices\":[]}\n\n"},
		"answer of no model":    {line: completionRequest, body: plainBody, answer: `{"choices":[]}`},
	}
	for _, reason := range refusalReasons() {
		out["refused: "+string(reason)] = callerCase{line: completionRequest, body: plainBody, refusal: reason, header: map[string]string{"X-Request-Id": "kiosk-5"}}
	}
	return out
}

// refusalReasons returns all reasons for refusing a request.
func refusalReasons() []fleet.Reason {
	return []fleet.Reason{
		fleet.ReasonQueueFull, fleet.ReasonCustomerLimit, fleet.ReasonDeadline, fleet.ReasonExpired, fleet.ReasonNoEndpoint, fleet.ReasonLoadFailing,
		fleet.ReasonStopping, fleet.ReasonNoPlacer, fleet.ReasonCancelled, fleet.ReasonClaimed, fleet.ReasonClaimImpossible, fleet.ReasonRule,
	}
}

func TestCallerResponses(t *testing.T) {
	out := make(map[string]callerResponse)
	for name, c := range callerCases() {
		out[name] = c.sendRequest(t)
	}
	checkGolden(t, "caller_answers.json", out)
}
