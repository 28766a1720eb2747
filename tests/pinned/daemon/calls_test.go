// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/modules/daemon/instancelist"
	"github.com/shelfledge/shelfledge/modules/daemon/kv"
)

// recordedRequest is an HTTP request as the server receives it.
type recordedRequest struct {
	Line   string              `json:"line"`
	Header map[string][]string `json:"header"`
	Body   string              `json:"body"`
}

// requestRecorder records each request and responds with its handler.
type requestRecorder struct {
	mutex    sync.Mutex
	requests []recordedRequest
	handler  http.HandlerFunc
}

func (r *requestRecorder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	header := q.Header.Clone()
	// Headers that the HTTP client adds on its own are not part of the program's interface.
	for _, name := range []string{"Accept-Encoding", "Content-Length", "User-Agent", "Traceparent"} {
		header.Del(name)
	}
	r.mutex.Lock()
	r.requests = append(r.requests, recordedRequest{Line: q.Method + " " + q.URL.RequestURI(), Header: header, Body: string(body)})
	r.mutex.Unlock()
	r.handler(w, q)
}

// takeRequests returns the requests received since the last call.
func (r *requestRecorder) takeRequests() []recordedRequest {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	out := r.requests
	r.requests = nil
	return out
}

func startRecorder(t *testing.T, handler http.HandlerFunc) (*requestRecorder, netip.AddrPort) {
	t.Helper()
	r := &requestRecorder{handler: handler}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return r, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// exchange has the requests that a call sent and the result that it returned.
type exchange struct {
	Sent   []recordedRequest `json:"sent"`
	Result any               `json:"result"`
}

// fixedResponse returns a handler that answers each request with the same response.
func fixedResponse(status int, header map[string]string, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for name, value := range header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// orderOutcome describes the outcome of an order by names that this test defines, independent of the program's Go names.
func orderOutcome(err error) any {
	var unknown engine.ErrOutcomeUnknown
	var fenced engine.ErrFenced
	var notRun engine.ErrNotRun
	switch {
	case errors.As(err, &fenced):
		return map[string]any{"end": "fenced", "fence": fenced.Fence, "error": err.Error()}
	case errors.As(err, &notRun):
		return map[string]any{"end": "not run", "status": notRun.Status, "retry_after": notRun.RetryAfter.String(), "error": err.Error()}
	case errors.As(err, &unknown):
		return map[string]any{"end": "unknown", "error": err.Error()}
	}
	return map[string]any{"end": "done"}
}

func TestEndpointOrders(t *testing.T) {
	r, at := startRecorder(t, fixedResponse(http.StatusOK, nil, ""))
	d := engine.NewVLLM(engine.VLLMOptions{Transport: &http.Transport{}, Timeout: waitTimeout, LoadTimeout: waitTimeout})
	e := fleet.Endpoint{Name: "h1-e1", Hall: "h1", Kind: fleet.KindEngine, Address: at}
	ref, err := fleet.ParseAdapterRef("fare-1@2")
	require.NoError(t, err)
	o := engine.Order{Endpoint: e, Incarnation: "life-3", Fence: 41, Holder: "h1-i1", Adapter: ref, Source: "weights/fare-1/2"}
	ctx := context.Background()
	out := map[string]exchange{}
	for name, order := range map[string]func(context.Context, engine.Order) error{"take": d.ClaimFence, "load": d.Load, "unload": d.Unload} {
		err := order(ctx, o)
		out[name] = exchange{Sent: r.takeRequests(), Result: orderOutcome(err)}
	}
	out["cancel"] = exchange{Result: orderOutcome(d.Cancel(ctx, e, "kiosk-1~x")), Sent: r.takeRequests()}
	for name, handler := range map[string]http.HandlerFunc{
		"load, fenced":      fixedResponse(http.StatusPreconditionFailed, map[string]string{"X-Fence": "99"}, "fence"),
		"load, refused":     fixedResponse(http.StatusBadRequest, nil, "no such weights"),
		"load, not run":     fixedResponse(http.StatusInternalServerError, map[string]string{"X-Not-Run": "true"}, "not run"),
		"load, out of room": fixedResponse(http.StatusInternalServerError, nil, "failed"),
	} {
		r.handler = handler
		out[name] = exchange{Result: orderOutcome(d.Load(ctx, o)), Sent: r.takeRequests()}
	}
	checkGolden(t, "endpoint_orders.json", out)
}

func TestEndpointRequests(t *testing.T) {
	r, at := startRecorder(t, nil)
	d := engine.NewVLLM(engine.VLLMOptions{Transport: &http.Transport{}, Timeout: waitTimeout, LoadTimeout: waitTimeout})
	out := map[string]exchange{}
	for name, c := range map[string]struct {
		kind    fleet.EndpointKind
		handler http.HandlerFunc
	}{
		"engine, answered":      {"engine", fixedResponse(http.StatusOK, nil, "ok")},
		"engine, not run":       {"engine", fixedResponse(http.StatusServiceUnavailable, map[string]string{"X-Not-Run": "true", "Retry-After": "3"}, "full")},
		"engine, fenced":        {"engine", fixedResponse(http.StatusPreconditionFailed, nil, "fence")},
		"engine, no such model": {"engine", fixedResponse(http.StatusNotFound, nil, "no model")},
		"engine, queue full":    {"engine", fixedResponse(http.StatusTooManyRequests, nil, "queue")},
		"engine, failed":        {"engine", fixedResponse(http.StatusInternalServerError, nil, "failed")},
		"plain, not found":      {"plain", fixedResponse(http.StatusNotFound, nil, "not here")},
	} {
		r.handler = c.handler
		resp, err := d.Start(context.Background(), engine.Call{
			Endpoint: fleet.Endpoint{Name: "h1-e1", Hall: "h1", Kind: c.kind, Address: at}, Method: http.MethodPost, Path: "/v1/completions",
			Header: http.Header{"Accept-Language": {"fr"}}, Body: []byte(`{"model":"fare-1@2"}`), RequestID: "kiosk-1~x", Fence: 41,
			Incarnation: "life-3", Attempt: 2, ResumeFrom: 7,
		})
		result := orderOutcome(err)
		if err == nil {
			body, failed := io.ReadAll(resp.Body)
			require.NoError(t, failed)
			require.NoError(t, resp.Body.Close())
			result = fmt.Sprintf("%d %s", resp.StatusCode, body)
		}
		out[name] = exchange{Sent: r.takeRequests(), Result: result}
	}
	checkGolden(t, "endpoint_calls.json", out)
}

func TestEndpointStatus(t *testing.T) {
	r, at := startRecorder(t, func(w http.ResponseWriter, q *http.Request) {
		for name, value := range map[string]string{"X-Incarnation": "life-3", "X-Fence": "41", "X-Fence-Holder": "h1-i1", "X-Leaving": "true"} {
			w.Header().Set(name, value)
		}
		switch q.URL.Path {
		case "/v1/models":
			_, _ = io.WriteString(w, `{"data":[{"id":"base-a"},{"id":"fare-1@2","parent":"base-a"}]}`)
		case "/metrics":
			_, _ = io.WriteString(w, "vllm:lora_requests_info{running_lora_adapters=\"fare-1@2\",waiting_lora_adapters=\"fare-2@1\"} 1\n")
		}
	})
	d := engine.NewVLLM(engine.VLLMOptions{Transport: &http.Transport{}, Timeout: waitTimeout, LoadTimeout: waitTimeout})
	out := map[string]exchange{}
	for _, kind := range []string{"engine", "plain"} {
		s, err := d.Status(context.Background(), fleet.Endpoint{Kind: fleet.EndpointKind(kind), Address: at})
		require.NoError(t, err)
		out[kind] = exchange{Sent: r.takeRequests(), Result: []any{s.Incarnation, s.Fence, s.Holder, s.Leaving, fmt.Sprint(s.Resident), fmt.Sprint(s.Running)}}
	}
	checkGolden(t, "endpoint_status.json", out)
}

func TestInstanceListRequests(t *testing.T) {
	list := compactJSON(t, readGolden(t, "instance_list.json"))
	r, at := startRecorder(t, fixedResponse(http.StatusOK, nil, string(list)))
	l, err := instancelist.Reader{Address: at, Timeout: waitTimeout, Client: &http.Client{}}.Read(context.Background())
	require.NoError(t, err)
	checkGolden(t, "instance_list.json", l)
	example := `{"entries":[{"name":"h1-i1","kind":"instance","hall":"h1","address":"10.0.0.1:7400","operator":"10.0.0.1:7401","state":"live"},` +
		`{"name":"h1-e1","kind":"endpoint","hall":"h1","address":"10.0.0.2:8000","state":"leaving"},` +
		`{"name":"h1-e2","kind":"endpoint","hall":"h1","address":"10.0.0.3:8000","state":"live"}]}`
	r.handler = fixedResponse(http.StatusOK, nil, example)
	l, err = instancelist.Reader{Address: at, Timeout: waitTimeout, Client: &http.Client{}}.Read(context.Background())
	require.NoError(t, err)
	var instances [][]any
	for _, i := range l.Instances() {
		instances = append(instances, []any{i.ID, i.Hall, i.Address, i.Operator})
	}
	checkGolden(t, "instance_list_calls.json", map[string]any{"sent": r.takeRequests(), "instances": instances, "leaving": l.Leaving()})
}

func TestKeyValueServiceRequests(t *testing.T) {
	r, at := startRecorder(t, func(w http.ResponseWriter, q *http.Request) {
		file := map[string]string{
			"/v3/kv/range": "kv_range_response.json", "/v3/kv/txn": "kv_txn_response.json", "/v3/lease/grant": "kv_lease_response.json",
			"/v3/lease/keepalive": "kv_keepalive_response.json", "/v3/lease/revoke": "kv_lease_response.json", "/v3/watch": "kv_watch_event.json",
		}[q.URL.Path]
		_, _ = w.Write(readGolden(t, file))
	})
	c := kv.New(kv.Options{Addresses: []netip.AddrPort{at}, Timeout: waitTimeout})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	out := map[string]exchange{}
	note := func(name string, result any, err error) {
		require.NoError(t, err, name)
		out[name] = exchange{Sent: r.takeRequests(), Result: result}
	}
	pair, found, err := c.Get(ctx, "/shelfledge/config/head")
	require.True(t, found)
	note("get", pair, err)
	txn, err := c.Txn(ctx, kv.TxnRequest{
		Compare: []kv.Compare{
			{Key: []byte("a"), Target: kv.TargetMod, Result: kv.ResultEqual, ModRevision: 3}, {Key: []byte("b"), Target: kv.TargetCreate, Result: kv.ResultEqual},
			{Key: []byte("c"), Target: kv.TargetValue, Result: kv.ResultEqual, Value: []byte("v")},
		},
		Success: []kv.Op{{Put: &kv.PutRequest{Key: []byte("a"), Value: []byte("v"), Lease: 5}}, {Delete: &kv.DeleteRequest{Key: []byte("b"), RangeEnd: []byte("c")}}},
		Failure: []kv.Op{{Range: &kv.RangeRequest{Key: []byte("a")}}},
	})
	note("txn", txn, err)
	id, err := c.Grant(ctx, 30*time.Second)
	note("grant", id, err)
	note("keepalive", nil, c.KeepAlive(ctx, 5))
	note("revoke", nil, c.Revoke(ctx, 5))
	var events []kv.WatchEvent
	note("watch", &events, c.Watch(ctx, "/shelfledge/config/head", 7, func(e kv.WatchEvent) bool {
		events = append(events, e)
		return false
	}))
	for name, handler := range map[string]http.HandlerFunc{
		"lease gone":  fixedResponse(http.StatusNotFound, nil, `{"message":"requested lease not found"}`),
		"overloaded":  fixedResponse(http.StatusTooManyRequests, nil, "slow down"),
		"unavailable": fixedResponse(http.StatusServiceUnavailable, nil, "no leader"),
		"failed":      fixedResponse(http.StatusInternalServerError, nil, "failed"),
	} {
		r.handler = handler
		_, err := c.Txn(ctx, kv.TxnRequest{})
		require.Error(t, err)
		out[name] = exchange{Sent: r.takeRequests(), Result: []any{err.Error(), kv.IsErrLeaseNotFound(err), kv.IsErrNotDone(err), kv.IsErrOutcomeUnknown(err)}}
	}
	checkGolden(t, "kv_calls.json", out)
	require.NotContains(t, strings.ToLower(string(readGolden(t, "kv_calls.json"))), "127.0.0.1", "a golden request contains an address of this run")
}
