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

// request is an HTTP request as the other side reads it.
type request struct {
	Line   string              `json:"line"`
	Header map[string][]string `json:"header"`
	Body   string              `json:"body"`
}

// recorder keeps each request and answers by path.
type recorder struct {
	mutex  sync.Mutex
	seen   []request
	answer http.HandlerFunc
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	header := q.Header.Clone()
	// What the HTTP client adds by itself is no part of the form.
	for _, name := range []string{"Accept-Encoding", "Content-Length", "User-Agent", "Traceparent"} {
		header.Del(name)
	}
	r.mutex.Lock()
	r.seen = append(r.seen, request{Line: q.Method + " " + q.URL.RequestURI(), Header: header, Body: string(body)})
	r.mutex.Unlock()
	r.answer(w, q)
}

// take gives the requests since the last call.
func (r *recorder) take() []request {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	out := r.seen
	r.seen = nil
	return out
}

func record(t *testing.T, answer http.HandlerFunc) (*recorder, netip.AddrPort) {
	t.Helper()
	r := &recorder{answer: answer}
	server := httptest.NewServer(r)
	t.Cleanup(server.Close)
	return r, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// exchange is what a call sent and what it made of the answer.
type exchange struct {
	Sent   []request `json:"sent"`
	Result any       `json:"result"`
}

// endpointAnswer is how the endpoint answers the calls of one exchange.
func endpointAnswer(status int, header map[string]string, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for name, value := range header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// orderEnd names the end of an order in words of this test, not of the program.
func orderEnd(err error) any {
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

func TestOrdersToEndpoints(t *testing.T) {
	r, at := record(t, endpointAnswer(http.StatusOK, nil, ""))
	d := engine.NewVLLM(engine.VLLMOptions{Transport: &http.Transport{}, Timeout: patience, LoadTimeout: patience})
	e := fleet.Endpoint{Name: "h1-e1", Hall: "h1", Kind: fleet.KindEngine, Address: at}
	ref, err := fleet.ParseAdapterRef("fare-1@2")
	require.NoError(t, err)
	o := engine.Order{Endpoint: e, Incarnation: "life-3", Fence: 41, Holder: "h1-i1", Adapter: ref, Source: "weights/fare-1/2"}
	ctx := context.Background()
	out := map[string]exchange{}
	for name, order := range map[string]func(context.Context, engine.Order) error{"take": d.ClaimFence, "load": d.Load, "unload": d.Unload} {
		err := order(ctx, o)
		out[name] = exchange{Sent: r.take(), Result: orderEnd(err)}
	}
	out["cancel"] = exchange{Result: orderEnd(d.Cancel(ctx, e, "kiosk-1~x")), Sent: r.take()}
	for name, answer := range map[string]http.HandlerFunc{
		"load, fenced":      endpointAnswer(http.StatusPreconditionFailed, map[string]string{"X-Fence": "99"}, "fence"),
		"load, refused":     endpointAnswer(http.StatusBadRequest, nil, "no such weights"),
		"load, not run":     endpointAnswer(http.StatusInternalServerError, map[string]string{"X-Not-Run": "true"}, "not run"),
		"load, out of room": endpointAnswer(http.StatusInternalServerError, nil, "failed"),
	} {
		r.answer = answer
		out[name] = exchange{Result: orderEnd(d.Load(ctx, o)), Sent: r.take()}
	}
	pin(t, "endpoint_orders.json", out)
}

func TestCallsToEndpoints(t *testing.T) {
	r, at := record(t, nil)
	d := engine.NewVLLM(engine.VLLMOptions{Transport: &http.Transport{}, Timeout: patience, LoadTimeout: patience})
	out := map[string]exchange{}
	for name, c := range map[string]struct {
		kind   fleet.EndpointKind
		answer http.HandlerFunc
	}{
		"engine, answered":      {"engine", endpointAnswer(http.StatusOK, nil, "ok")},
		"engine, not run":       {"engine", endpointAnswer(http.StatusServiceUnavailable, map[string]string{"X-Not-Run": "true", "Retry-After": "3"}, "full")},
		"engine, fenced":        {"engine", endpointAnswer(http.StatusPreconditionFailed, nil, "fence")},
		"engine, no such model": {"engine", endpointAnswer(http.StatusNotFound, nil, "no model")},
		"engine, queue full":    {"engine", endpointAnswer(http.StatusTooManyRequests, nil, "queue")},
		"engine, failed":        {"engine", endpointAnswer(http.StatusInternalServerError, nil, "failed")},
		"plain, not found":      {"plain", endpointAnswer(http.StatusNotFound, nil, "not here")},
	} {
		r.answer = c.answer
		resp, err := d.Start(context.Background(), engine.Call{
			Endpoint: fleet.Endpoint{Name: "h1-e1", Hall: "h1", Kind: c.kind, Address: at}, Method: http.MethodPost, Path: "/v1/completions",
			Header: http.Header{"Accept-Language": {"fr"}}, Body: []byte(`{"model":"fare-1@2"}`), RequestID: "kiosk-1~x", Fence: 41,
			Incarnation: "life-3", Attempt: 2, ResumeFrom: 7,
		})
		result := orderEnd(err)
		if err == nil {
			body, failed := io.ReadAll(resp.Body)
			require.NoError(t, failed)
			require.NoError(t, resp.Body.Close())
			result = fmt.Sprintf("%d %s", resp.StatusCode, body)
		}
		out[name] = exchange{Sent: r.take(), Result: result}
	}
	pin(t, "endpoint_calls.json", out)
}

func TestStatusOfEndpoints(t *testing.T) {
	r, at := record(t, func(w http.ResponseWriter, q *http.Request) {
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
	d := engine.NewVLLM(engine.VLLMOptions{Transport: &http.Transport{}, Timeout: patience, LoadTimeout: patience})
	out := map[string]exchange{}
	for _, kind := range []string{"engine", "plain"} {
		s, err := d.Status(context.Background(), fleet.Endpoint{Kind: fleet.EndpointKind(kind), Address: at})
		require.NoError(t, err)
		out[kind] = exchange{Sent: r.take(), Result: []any{s.Incarnation, s.Fence, s.Holder, s.Leaving, fmt.Sprint(s.Resident), fmt.Sprint(s.Running)}}
	}
	pin(t, "endpoint_status.json", out)
}

func TestCallsToTheInstanceList(t *testing.T) {
	list := compact(t, pinned(t, "instance_list.json"))
	r, at := record(t, endpointAnswer(http.StatusOK, nil, string(list)))
	l, err := instancelist.Reader{Address: at, Timeout: patience, Client: &http.Client{}}.Read(context.Background())
	require.NoError(t, err)
	pin(t, "instance_list.json", l)
	example := `{"entries":[{"name":"h1-i1","kind":"instance","hall":"h1","address":"10.0.0.1:7400","operator":"10.0.0.1:7401","state":"live"},` +
		`{"name":"h1-e1","kind":"endpoint","hall":"h1","address":"10.0.0.2:8000","state":"leaving"},` +
		`{"name":"h1-e2","kind":"endpoint","hall":"h1","address":"10.0.0.3:8000","state":"live"}]}`
	r.answer = endpointAnswer(http.StatusOK, nil, example)
	l, err = instancelist.Reader{Address: at, Timeout: patience, Client: &http.Client{}}.Read(context.Background())
	require.NoError(t, err)
	var instances [][]any
	for _, i := range l.Instances() {
		instances = append(instances, []any{i.ID, i.Hall, i.Address, i.Operator})
	}
	pin(t, "instance_list_calls.json", map[string]any{"sent": r.take(), "instances": instances, "leaving": l.Leaving()})
}

func TestCallsToTheKeyValueService(t *testing.T) {
	r, at := record(t, func(w http.ResponseWriter, q *http.Request) {
		file := map[string]string{
			"/v3/kv/range": "kv_range_response.json", "/v3/kv/txn": "kv_txn_response.json", "/v3/lease/grant": "kv_lease_response.json",
			"/v3/lease/keepalive": "kv_keepalive_response.json", "/v3/lease/revoke": "kv_lease_response.json", "/v3/watch": "kv_watch_event.json",
		}[q.URL.Path]
		_, _ = w.Write(pinned(t, file))
	})
	c := kv.New(kv.Options{Addresses: []netip.AddrPort{at}, Timeout: patience})
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	out := map[string]exchange{}
	note := func(name string, result any, err error) {
		require.NoError(t, err, name)
		out[name] = exchange{Sent: r.take(), Result: result}
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
	for name, answer := range map[string]http.HandlerFunc{
		"lease gone":  endpointAnswer(http.StatusNotFound, nil, `{"message":"requested lease not found"}`),
		"overloaded":  endpointAnswer(http.StatusTooManyRequests, nil, "slow down"),
		"unavailable": endpointAnswer(http.StatusServiceUnavailable, nil, "no leader"),
		"failed":      endpointAnswer(http.StatusInternalServerError, nil, "failed"),
	} {
		r.answer = answer
		_, err := c.Txn(ctx, kv.TxnRequest{})
		require.Error(t, err)
		out[name] = exchange{Sent: r.take(), Result: []any{err.Error(), kv.IsErrLeaseNotFound(err), kv.IsErrNotDone(err), kv.IsErrOutcomeUnknown(err)}}
	}
	pin(t, "kv_calls.json", out)
	require.NotContains(t, strings.ToLower(string(pinned(t, "kv_calls.json"))), "127.0.0.1", "a pinned call names a port of one run")
}
