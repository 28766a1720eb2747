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
		// A struct of strings always has a JSON form.
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
	// The order's end is known from status and headers.
	defer func() { _ = resp.Body.Close() }()
	return orderAnswer(what, resp)
}

// orderAnswer reads an endpoint's answer to an order.
func orderAnswer(what string, resp *http.Response) error {
	// The text only explains a status that decides by itself; what could be read of it is enough.
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxReason))
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
