// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// The headers beyond vLLM's published form; docs/protocols.md describes them.
const (
	HeaderFence       = "X-Fence"
	HeaderHolder      = "X-Fence-Holder"
	HeaderIncarnation = "X-Incarnation"
	HeaderRequestID   = "X-Request-Id"
	HeaderAttempt     = "X-Attempt"
	HeaderResumeFrom  = "X-Resume-From"
	HeaderModel       = "X-Model"
	HeaderNotRun      = "X-Not-Run"
	HeaderLeaving     = "X-Leaving"
)

const serviceName = "shelfledge-endpoints"

// vllm holds what the functions of the dialect share.
type vllm struct {
	service httpc.Service
	control *http.Client
	timeout time.Duration
	loads   time.Duration
}

// VLLMOptions are the settings of the vLLM dialect.
type VLLMOptions struct {
	Transport http.RoundTripper
	// Timeout bounds lists and short orders, LoadTimeout the loads.
	Timeout     time.Duration
	LoadTimeout time.Duration
}

// NewVLLM gives vLLM's published HTTP form: its LoRA loading calls, model list and metrics page.
func NewVLLM(o VLLMOptions) Dialect {
	client := &http.Client{Transport: o.Transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	// One breaker for all endpoints would let one failing endpoint close the others.
	breaker.NoBreakerFor(serviceName)
	v := &vllm{service: httpc.NewServiceWithClient(serviceName, client), control: client, timeout: o.Timeout, loads: o.LoadTimeout}
	return Dialect{Name: "vllm", Status: v.status, Take: v.take, Load: v.load, Unload: v.unload, Start: v.start, Cancel: v.cancel}
}

func url(e fleet.Endpoint, path string) string {
	return "http://" + e.Address.String() + path
}

// modelList is the answer of /v1/models.
type modelList struct {
	Data []struct {
		ID     string `json:"id"`
		Parent string `json:"parent"`
	} `json:"data"`
}

func (v *vllm) status(ctx context.Context, e fleet.Endpoint) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, v.timeout)
	defer cancel()
	if e.Kind == fleet.KindPlain {
		return v.plainStatus(ctx, e)
	}
	resp, err := v.get(ctx, url(e, "/v1/models"))
	if err != nil {
		return Status{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var list modelList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return Status{}, ErrUnknown{What: "list", Reason: err.Error()}
	}
	s := headerStatus(resp.Header)
	for _, m := range list.Data {
		if ref, err := fleet.ParseAdapterRef(m.ID); err == nil && m.Parent != "" {
			s.Resident = append(s.Resident, ref)
		}
	}
	s.Running, err = v.running(ctx, e)
	return s, err
}

func (v *vllm) plainStatus(ctx context.Context, e fleet.Endpoint) (Status, error) {
	resp, err := v.get(ctx, url(e, "/health"))
	if err != nil {
		return Status{}, err
	}
	_ = resp.Body.Close()
	return headerStatus(resp.Header), nil
}

func headerStatus(h http.Header) Status {
	fence, _ := strconv.ParseUint(h.Get(HeaderFence), 10, 64)
	return Status{
		Incarnation: h.Get(HeaderIncarnation), Fence: fence, Holder: h.Get(HeaderHolder), Leaving: h.Get(HeaderLeaving) != "",
	}
}

func (v *vllm) get(ctx context.Context, address string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, ErrNotRun{What: "list", Reason: err.Error()}
	}
	resp, err := v.control.Do(req)
	if err != nil {
		return nil, ErrUnknown{What: "list", Reason: err.Error()}
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, ErrUnknown{What: "list", Reason: resp.Status}
	}
	return resp, nil
}

const loraInfo = "vllm:lora_requests_info{"

// running reads the adapters of running and waiting requests from the metrics page.
func (v *vllm) running(ctx context.Context, e fleet.Endpoint) ([]fleet.AdapterRef, error) {
	resp, err := v.get(ctx, url(e, "/metrics"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	var out []fleet.AdapterRef
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), loraInfo) {
			continue
		}
		out = append(out, refsInLabel(lines.Text(), "running_lora_adapters")...)
		out = append(out, refsInLabel(lines.Text(), "waiting_lora_adapters")...)
	}
	if err := lines.Err(); err != nil {
		return nil, ErrUnknown{What: "metrics", Reason: err.Error()}
	}
	return out, nil
}

func refsInLabel(line, label string) []fleet.AdapterRef {
	_, rest, found := strings.Cut(line, label+`="`)
	if !found {
		return nil
	}
	value, _, _ := strings.Cut(rest, `"`)
	var out []fleet.AdapterRef
	for name := range strings.SplitSeq(value, ",") {
		if ref, err := fleet.ParseAdapterRef(name); err == nil {
			out = append(out, ref)
		}
	}
	return out
}

func (v *vllm) take(ctx context.Context, o Order) error {
	return v.order(ctx, o, "take", "/v1/fence", nil, v.timeout)
}

// loadBody is the body of vLLM's loading calls.
type loadBody struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

func (v *vllm) load(ctx context.Context, o Order) error {
	return v.order(ctx, o, "load", "/v1/load_lora_adapter", &loadBody{Name: o.Adapter.String(), Path: o.Source}, v.loads)
}

func (v *vllm) unload(ctx context.Context, o Order) error {
	return v.order(ctx, o, "unload", "/v1/unload_lora_adapter", &loadBody{Name: o.Adapter.String()}, v.timeout)
}

func (v *vllm) order(ctx context.Context, o Order, what, path string, body *loadBody, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw := []byte("{}")
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	probe := &writeProbe{}
	req, err := newPost(probe.trace(ctx), url(o.Endpoint, path), raw)
	if err != nil {
		return ErrNotRun{What: what, Reason: err.Error()}
	}
	setFence(req.Header, o.Fence, o.Incarnation)
	req.Header.Set(HeaderHolder, o.Holder)
	resp, err := v.control.Do(req)
	if err != nil {
		return brokenOff(what, probe, err)
	}
	defer func() { _ = resp.Body.Close() }()
	return orderAnswer(what, resp)
}

func brokenOff(what string, probe *writeProbe, err error) error {
	if !probe.wrote() {
		return ErrNotRun{What: what, Reason: err.Error()}
	}
	return ErrUnknown{What: what, Reason: err.Error()}
}

// orderAnswer reads an endpoint's answer to an order.
func orderAnswer(what string, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrFenced{What: what, Fence: headerStatus(resp.Header).Fence}
	case resp.StatusCode < http.StatusInternalServerError || resp.Header.Get(HeaderNotRun) != "":
		return ErrNotRun{What: what, Reason: fmt.Sprintf("%s: %s", resp.Status, bytes.TrimSpace(text)), Status: resp.StatusCode}
	}
	return ErrUnknown{What: what, Reason: fmt.Sprintf("%s: %s", resp.Status, bytes.TrimSpace(text))}
}

// newPost makes a request whose body the transport cannot replay.
func newPost(ctx context.Context, address string, body []byte) (*http.Request, error) {
	return newRequest(ctx, http.MethodPost, address, body)
}

func newRequest(ctx context.Context, method, address string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if len(body) > 0 {
		reader = io.NopCloser(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, address, reader)
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func setFence(h http.Header, fence uint64, incarnation string) {
	if fence != 0 {
		h.Set(HeaderFence, strconv.FormatUint(fence, 10))
	}
	if incarnation != "" {
		h.Set(HeaderIncarnation, incarnation)
	}
}

// start sends a request. An error is ErrNotRun only where no byte was written or
// the endpoint said so; other answers are for the caller to judge.
func (v *vllm) start(ctx context.Context, c Call) (*http.Response, error) {
	probe := &writeProbe{}
	req, err := newRequest(probe.trace(ctx), c.Method, url(c.Endpoint, c.Path), c.Body)
	if err != nil {
		return nil, ErrNotRun{What: "request", Reason: err.Error()}
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	setFence(req.Header, c.Fence, c.Incarnation)
	req.Header.Set(HeaderRequestID, c.RequestID)
	if c.Attempt > 0 {
		req.Header.Set(HeaderAttempt, strconv.Itoa(c.Attempt))
	}
	if c.ResumeFrom > 0 {
		req.Header.Set(HeaderResumeFrom, strconv.Itoa(c.ResumeFrom))
	}
	resp, err := v.service.DoRequest(req)
	if err != nil {
		return nil, brokenOff("request", probe, err)
	}
	if refusedUnrun(c.Endpoint, resp) {
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return nil, ErrNotRun{
			What: "request", Reason: fmt.Sprintf("%s: %s", resp.Status, bytes.TrimSpace(text)), Status: resp.StatusCode,
			RetryAfter: retryAfter(resp.Header),
		}
	}
	return resp, nil
}

// refusedUnrun tells whether the endpoint itself says that the request was not run.
func refusedUnrun(e fleet.Endpoint, resp *http.Response) bool {
	if resp.Header.Get(HeaderNotRun) != "" || resp.StatusCode == http.StatusPreconditionFailed {
		return true
	}
	if e.Kind == fleet.KindPlain {
		return false
	}
	// An engine's published answers to a model that it does not hold, and to a full queue.
	return resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusTooManyRequests
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (v *vllm) cancel(ctx context.Context, e fleet.Endpoint, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, v.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, url(e, "/v1/requests/"+requestID), nil)
	if err != nil {
		return ErrNotRun{What: "cancel", Reason: err.Error()}
	}
	resp, err := v.control.Do(req)
	if err != nil {
		return ErrUnknown{What: "cancel", Reason: err.Error()}
	}
	return resp.Body.Close()
}
