// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

// start sends a request. It returns an ErrNotRun only if no byte was written or the endpoint responded that the request was not run. All
// other responses are returned to the caller.
func (v *vllm) start(ctx context.Context, c Call) (*http.Response, error) {
	probe := &writeProbe{}
	req, err := newRequest(probe.trace(ctx, c.StartBefore), c.Method, endpointURL(c.Endpoint, c.Path), c.Body)
	if err != nil {
		return nil, ErrNotRun{Operation: "request", Reason: err.Error()}
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
		return nil, transportError("request", probe, err)
	}
	if refusedBeforeRun(c.Endpoint, resp) {
		return nil, ErrNotRun{
			Operation: "request", Reason: fmt.Sprintf("%s: %s", resp.Status, refusalText(resp.Body)), Status: resp.StatusCode,
			RetryAfter: retryAfter(resp.Header),
		}
	}
	return resp, nil
}

// refusalText returns what arrives of the body of a refusal within refusalTextTimeout, and closes it. The body only explains the refusal,
// which is certain from status and headers, so that errors are ignored.
func refusalText(body io.ReadCloser) []byte {
	timer := time.AfterFunc(refusalTextTimeout, func() { _ = body.Close() })
	text, _ := io.ReadAll(io.LimitReader(body, maxReasonBytes))
	if timer.Stop() {
		_ = body.Close()
	}
	return bytes.TrimSpace(text)
}

// refusedBeforeRun reports whether the response states that the request was not run.
func refusedBeforeRun(e fleet.Endpoint, resp *http.Response) bool {
	if resp.Header.Get(HeaderNotRun) != "" || resp.StatusCode == http.StatusPreconditionFailed {
		return true
	}
	if e.Kind == fleet.KindPlain {
		return false
	}
	// These are an engine's documented responses for a model that is not loaded and for a full queue.
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
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, endpointURL(e, "/v1/requests/"+requestID), nil)
	if err != nil {
		return ErrNotRun{Operation: "cancel", Reason: err.Error()}
	}
	resp, err := v.httpClient.Do(req)
	if err != nil {
		return ErrOutcomeUnknown{Operation: "cancel", Reason: err.Error()}
	}
	return resp.Body.Close()
}
