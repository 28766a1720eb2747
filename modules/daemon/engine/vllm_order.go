// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

func (v *vllm) claimFence(ctx context.Context, o Order) error {
	return v.order(ctx, o, "take", "/v1/fence", nil, v.timeout)
}

// loadBody is the request body of vLLM's calls that load and unload an adapter.
type loadBody struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

func (v *vllm) load(ctx context.Context, o Order) error {
	return v.order(ctx, o, "load", "/v1/load_lora_adapter", &loadBody{Name: o.Adapter.String(), Path: o.Source}, v.loadTimeout)
}

func (v *vllm) unload(ctx context.Context, o Order) error {
	return v.order(ctx, o, "unload", "/v1/unload_lora_adapter", &loadBody{Name: o.Adapter.String()}, v.timeout)
}

func (v *vllm) order(ctx context.Context, o Order, what, path string, body *loadBody, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw := []byte("{}")
	if body != nil {
		// Encoding a struct of strings never fails.
		raw, _ = json.Marshal(body)
	}
	probe := &writeProbe{}
	req, err := newPost(probe.trace(ctx, o.StartBefore), endpointURL(o.Endpoint, path), raw)
	if err != nil {
		return ErrNotRun{Operation: what, Reason: err.Error()}
	}
	setFence(req.Header, o.Fence, o.Incarnation)
	req.Header.Set(HeaderHolder, o.Holder)
	resp, err := v.httpClient.Do(req)
	if err != nil {
		return transportError(what, probe, err)
	}
	// The result of the order is known from status and headers, so that an error of Close is ignored.
	defer func() { _ = resp.Body.Close() }()
	return orderError(what, resp)
}

// orderError returns the error that an endpoint's response to an order stands for, or nil if the order was run.
func orderError(what string, resp *http.Response) error {
	// The body only explains the status, so that a read error is ignored.
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxReasonBytes))
	switch {
	case resp.StatusCode == http.StatusOK:
		return nil
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrFenced{Operation: what, Fence: statusFromHeader(resp.Header).Fence}
	case resp.StatusCode < http.StatusInternalServerError || resp.Header.Get(HeaderNotRun) != "":
		return ErrNotRun{Operation: what, Reason: fmt.Sprintf("%s: %s", resp.Status, bytes.TrimSpace(text)), Status: resp.StatusCode}
	}
	return ErrOutcomeUnknown{Operation: what, Reason: fmt.Sprintf("%s: %s", resp.Status, bytes.TrimSpace(text))}
}
