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

// maxReason bounds the text of an endpoint's refusal that goes into an error, in bytes.
const maxReason = 1 << 10

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

func brokenOff(what string, probe *writeProbe, err error) error {
	if !probe.wrote() {
		return ErrNotRun{What: what, Reason: err.Error()}
	}
	return ErrUnknown{What: what, Reason: err.Error()}
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
