// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package caller_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
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

func isConfigured() bool { return true }

// newRouter returns a router whose placer refuses every request with ReasonQueueFull.
func newRouter(t testing.TB) *caller.Router {
	return newRouterOf(t, isConfigured)
}

func newRouterOf(t testing.TB, configured func() bool) *caller.Router {
	c, _, err := catalog.New().Apply(1, []catalog.Change{
		{Kind: catalog.CreateAdapter, Name: "a", Base: "base", Version: 1}, {Kind: catalog.CreateVersion, Name: "a", Version: 2},
		{Kind: catalog.SetService, Name: "s", Shares: []catalog.Share{{Adapter: "a", Version: 2, Percent: 100}}},
	})
	require.NoError(t, err)
	submit := func(r fleet.Request) <-chan control.Answer {
		answers := make(chan control.Answer, 1)
		answers <- control.Answer{Refusal: fleet.Refusal{RequestID: r.ID, Reason: fleet.ReasonQueueFull, RetryAfter: 1500 * time.Millisecond}}
		return answers
	}
	r := relay.New(relay.Options{
		Control: relay.Control{Submit: submit, Withdraw: func(string) {}, ReturnTicket: func(string) {}, RecordEvent: func(fleet.Event) {}},
		Claims: relay.Claims{
			Claim:   func(context.Context, string, string) once.Result { return once.Claimed },
			Release: func(context.Context, string, string) error { return nil },
		},
		Dialect: engine.Dialect{}, Metrics: metric.New(metric.Options{MaxCallers: 5, MaxClasses: 5}), MaxAttempts: 1, Now: time.Now,
	})
	return caller.New(caller.Options{
		Relay: r, Catalog: func() *catalog.Catalog { return c }, Configured: configured, Now: time.Now, MaxBodyBytes: 1 << 12, MaxRequests: 10, BytesPerToken: 4,
		OutputTokens: 16, DefaultWait: time.Minute,
	})
}

type errorResponse struct {
	Error struct {
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
		Message string `json:"message"`
	} `json:"error"`
}

func post(t testing.TB, r *caller.Router, body string, headers map[string]string) (*httptest.ResponseRecorder, errorResponse) {
	q := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	for name, value := range headers {
		q.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	r.Routes()[1].Handler(w, q)
	var f errorResponse
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &f), w.Body.String())
	return w, f
}

func TestRejectedRequestHasCodeAndOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		body    string
		headers map[string]string
		status  int
		code    string
	}{
		"not JSON":            {`{"model":`, nil, 400, "malformed_json"},
		"an array":            {`[]`, nil, 400, "malformed_json"},
		"model of wrong type": {`{"model":7}`, nil, 400, "malformed_field"},
		"no model":            {`{}`, nil, 400, "missing_model"},
		"unknown adapter":     {`{"model":"x"}`, nil, 404, "model_not_found"},
		"unknown version":     {`{"model":"a@9"}`, nil, 404, "model_not_found"},
		"too large":           {`{"model":"a","prompt":"` + strings.Repeat("x", 1<<13) + `"}`, nil, 413, "body_too_large"},
		"bad deadline":        {`{"model":"a"}`, map[string]string{"X-Deadline-Ms": "soon"}, 400, "bad_deadline"},
		"bad once":            {`{"model":"a"}`, map[string]string{"X-Once": "maybe"}, 400, "bad_once"},
		"once without id":     {`{"model":"a"}`, map[string]string{"X-Once": "true"}, 400, "missing_request_id"},
		"bad identifier":      {`{"model":"a","metadata":{"request_id":"a b"}}`, nil, 400, "bad_identifier"},
		"queue full":          {`{"model":"s"}`, nil, 429, "queue_full"},
	} {
		t.Run(name, func(t *testing.T) {
			w, f := post(t, newRouter(t), c.body, c.headers)
			require.Equal(t, c.status, w.Code)
			require.Equal(t, c.code, f.Error.Code)
			require.Equal(t, "not_run", f.Error.Outcome)
			if c.code == "queue_full" {
				require.Equal(t, "2", w.Header().Get("Retry-After"), "rounded up to whole seconds")
			}
		})
	}
}

func TestRouterWithoutConfigurationRefusesRequests(t *testing.T) {
	configured := false
	r := newRouterOf(t, func() bool { return configured })
	for _, body := range []string{`{"model":"x"}`, `{"model":"a"}`, `{"model":"s"}`} {
		w, f := post(t, r, body, nil)
		require.Equal(t, http.StatusServiceUnavailable, w.Code, body)
		require.Equal(t, "no_configuration", f.Error.Code)
		require.Equal(t, "not_run", f.Error.Outcome)
		require.Equal(t, "2", w.Header().Get("Retry-After"))
	}
	configured = true
	w, _ := post(t, r, `{"model":"x"}`, nil)
	require.Equal(t, http.StatusNotFound, w.Code)
}

func FuzzBody(f *testing.F) {
	f.Add(`{"model":"a","stream":true,"metadata":{"once":true,"request_id":"1"}}`)
	f.Add(`{"model":"a@1","messages":[{"role":"user","content":"x"}],"max_tokens":-5}`)
	r := newRouter(f)
	f.Fuzz(func(t *testing.T, body string) {
		w, failed := post(t, r, body, nil)
		require.GreaterOrEqual(t, w.Code, 400)
		require.NotEmpty(t, failed.Error.Outcome)
	})
}
