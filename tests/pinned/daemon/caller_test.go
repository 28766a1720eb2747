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

// callerCase is one request of a caller and what the parts behind the listener say to it.
type callerCase struct {
	line   string
	header map[string]string
	body   string
	// refusal, if set, is the reason for which the request is refused.
	refusal fleet.Reason
	claim   once.Result
	// start, if set, is the endpoint's failure.
	start error
	// answer is the endpoint's answer.
	answer string
	full   bool
}

// callerAnswer is what a caller and an endpoint read.
type callerAnswer struct {
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

var uniquePart = regexp.MustCompile(`~[0-9a-f]{8}|[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`)

// goField is the name of a type of the program, which encoding/json puts into its errors.
var goField = regexp.MustCompile(`struct field [A-Za-z]+\.`)

// ask sends one request to a callers' router whose placer and endpoint are the test's.
func (c callerCase) ask(t *testing.T) callerAnswer {
	t.Helper()
	var out callerAnswer
	began := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
	now := func() time.Time { return began }
	configuration, err := catalog.DecodeSnapshot(compressed(t, pinned(t, "snapshot.json")))
	require.NoError(t, err)
	plain := fleet.Endpoint{Name: "h1-tickets", Hall: "h1", Kind: fleet.KindPlain, Prefix: "/tickets/"}
	submit := func(r fleet.Request) <-chan control.Answer {
		out.Request = []any{
			uniquePart.ReplaceAllString(r.ID, "~ID"), r.Caller, r.Class, r.Base, r.Adapter.String(), r.PromptTokens, r.OutputTokens, r.Once,
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
		return &http.Response{StatusCode: http.StatusOK, Header: header, ContentLength: -1, Body: io.NopCloser(strings.NewReader(answer))}, nil
	}
	claim := c.claim
	if claim == "" {
		claim = once.Claimed
	}
	most := int64(10)
	if c.full {
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
		Catalog: func() *catalog.Catalog { return configuration }, Ready: func() bool { return !c.full }, Alive: func() bool { return !c.full },
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
	out.Body = goField.ReplaceAllString(uniquePart.ReplaceAllString(w.Body.String(), "~ID"), "struct field TYPE.")
	for _, values := range out.Header {
		for i := range values {
			values[i] = uniquePart.ReplaceAllString(values[i], "~ID")
		}
	}
	return out
}

const (
	chat       = "POST /v1/chat/completions"
	completion = "POST /v1/completions"
	whole      = `{"model":"fare-1@2","choices":[]}`
	plainBody  = `{"model":"fare-1@2","prompt":"where is the train"}`
	stream     = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"one\"}}],\"model\":\"fare-1@2\"}\n\ndata: [DONE]\n\n"
)

func callerCases() map[string]callerCase {
	out := map[string]callerCase{
		"answered": {line: completion, body: plainBody, answer: whole},
		"all headers": {line: chat, answer: stream, header: map[string]string{
			"X-Request-Id": "kiosk-1", "X-Caller": "hall-desk", "X-Class": "kiosk", "X-Deadline-Ms": "2500", "X-Once": "true",
		}, body: `{"model":"fare-1@2","stream":true,"max_tokens":7,"messages":[{"role":"user","content":"hello"}],"temperature":0.5}`},
		"all metadata": {line: chat, answer: whole, body: `{"model":"fare-1","max_tokens":9,"max_completion_tokens":8,"messages":[],` +
			`"metadata":{"request_id":"kiosk-2","caller":"desk-2","class":"overnight","deadline_ms":900,"once":true}}`},
		"user":                  {line: completion, answer: whole, body: `{"model":"desk","user":"u-1","metadata":{"request_id":"kiosk-3"}}`},
		"plain read":            {line: "GET /tickets/cabin?day=2", answer: "yes", header: map[string]string{"Accept": "text/plain", "X-Fence": "1", "Cookie": "c=1"}},
		"plain change":          {line: "POST /tickets/cabin", answer: "yes", body: "book"},
		"plain change, claimed": {line: "POST /tickets/cabin", body: "book", header: map[string]string{"X-Request-Id": "pay-2"}, claim: once.AlreadyClaimed},
		"models":                {line: "GET /v1/models"},
		"healthz":               {line: "GET /healthz"},
		"readyz":                {line: "GET /readyz"},
		"healthz, not alive":    {line: "GET /healthz", full: true},
		"readyz, not ready":     {line: "GET /readyz", full: true},
		"no such path":          {line: "GET /v2/models"},
		"instance full":         {line: completion, body: plainBody, full: true},
		"malformed json":        {line: completion, body: `[`},
		"malformed field":       {line: completion, body: `{"model":7}`},
		"missing model":         {line: completion, body: `{}`},
		"model not found":       {line: completion, body: `{"model":"none"}`, header: map[string]string{"X-Request-Id": "kiosk-4"}},
		"version not found":     {line: completion, body: `{"model":"fare-1@1"}`},
		"bad identifier":        {line: completion, body: plainBody, header: map[string]string{"X-Request-Id": "a b"}},
		"bad deadline":          {line: completion, body: plainBody, header: map[string]string{"X-Deadline-Ms": "soon"}},
		"bad once":              {line: completion, body: plainBody, header: map[string]string{"X-Once": "yes"}},
		"missing request id":    {line: completion, body: plainBody, header: map[string]string{"X-Once": "true"}},
		"body too large":        {line: completion, body: strings.Repeat(" ", 500)},
		"already claimed":       {line: completion, body: plainBody, header: map[string]string{"X-Once": "true", "X-Request-Id": "pay-1"}, claim: once.AlreadyClaimed},
		"claim impossible":      {line: completion, body: plainBody, header: map[string]string{"X-Once": "true", "X-Request-Id": "pay-1"}, claim: once.Impossible},
		"endpoint did not run":  {line: completion, body: plainBody, start: engine.ErrNotRun{Operation: "request", Reason: "503: full", RetryAfter: 3 * time.Second}},
		"endpoint broke off":    {line: completion, body: plainBody, start: engine.ErrOutcomeUnknown{Operation: "request", Reason: "reset"}},
		"stream broke off":      {line: completion, body: `{"model":"fare-1@2","stream":true}`, answer: "data: {\"model\":\"fare-1@2\",\"choices\":[]}\n\n"},
		"answer of no model":    {line: completion, body: plainBody, answer: `{"choices":[]}`},
	}
	for _, reason := range reasons() {
		out["refused: "+string(reason)] = callerCase{line: completion, body: plainBody, refusal: reason, header: map[string]string{"X-Request-Id": "kiosk-5"}}
	}
	return out
}

// reasons lists the reasons of a refusal.
func reasons() []fleet.Reason {
	return []fleet.Reason{
		fleet.ReasonQueueFull, fleet.ReasonCustomerLimit, fleet.ReasonDeadline, fleet.ReasonExpired, fleet.ReasonNoEndpoint, fleet.ReasonLoadFailing,
		fleet.ReasonStopping, fleet.ReasonNoPlacer, fleet.ReasonCancelled, fleet.ReasonClaimed, fleet.ReasonClaimImpossible, fleet.ReasonRule,
	}
}

func TestAnswersToCallers(t *testing.T) {
	out := make(map[string]callerAnswer)
	for name, c := range callerCases() {
		out[name] = c.ask(t)
	}
	pin(t, "caller_answers.json", out)
}
