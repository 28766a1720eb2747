// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// The headers that extend vLLM's published API; docs/protocols.md describes them.
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

// maxReasonBytes bounds the part of an error response's body that is copied into an error, in bytes.
const maxReasonBytes = 1 << 10

// refusalTextTimeout bounds the time for the part of a refusal's body that explains it. A higher value shows more of the reason of a slow
// endpoint, a lower one lets the request be sent elsewhere sooner.
const refusalTextTimeout = 100 * time.Millisecond

// vllm holds the state shared by the functions of the dialect.
type vllm struct {
	service     httpc.Service
	httpClient  *http.Client
	timeout     time.Duration
	loadTimeout time.Duration
}

// VLLMOptions are the settings of the vLLM dialect.
type VLLMOptions struct {
	Transport http.RoundTripper
	// Timeout bounds status calls and all orders except loads, LoadTimeout the loads.
	Timeout     time.Duration
	LoadTimeout time.Duration
}

// NewVLLM returns the dialect for vLLM's published HTTP API: its calls for loading LoRA adapters, its model list and its metrics page.
func NewVLLM(o VLLMOptions) Dialect {
	client := &http.Client{Transport: o.Transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	// A circuit breaker shared by all endpoints would block the others because of one failing endpoint.
	breaker.NoBreakerFor(serviceName)
	v := &vllm{service: httpc.NewServiceWithClient(serviceName, client), httpClient: client, timeout: o.Timeout, loadTimeout: o.LoadTimeout}
	return Dialect{Name: "vllm", Status: v.status, ClaimFence: v.claimFence, Load: v.load, Unload: v.unload, Start: v.start, Cancel: v.cancel}
}

func endpointURL(e fleet.Endpoint, path string) string {
	return "http://" + e.Address.String() + path
}

// transportError converts an error of the HTTP client to an ErrNotRun if no byte of the request was written, else to an ErrOutcomeUnknown.
func transportError(what string, probe *writeProbe, err error) error {
	if !probe.mayHaveWritten() {
		return ErrNotRun{Operation: what, Reason: err.Error()}
	}
	return ErrOutcomeUnknown{Operation: what, Reason: err.Error()}
}

// newPost returns a POST request whose body the transport cannot resend.
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
