// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/bounded"
)

// maxStatusBytes bounds the list of models and the metrics page of an engine. A higher value allows more adapters on an engine, a lower one bounds
// the memory.
const maxStatusBytes = 4 << 20

// modelList is the response of /v1/models.
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
	resp, err := v.get(ctx, endpointURL(e, "/v1/models"))
	if err != nil {
		return Status{}, err
	}
	// The list was read as a whole, so that an error of Close is ignored.
	defer func() { _ = resp.Body.Close() }()
	var list modelList
	content, err := bounded.ReadAll(resp.Body, maxStatusBytes)
	if err != nil {
		return Status{}, ErrOutcomeUnknown{Operation: "list", Reason: err.Error()}
	}
	if err := json.Unmarshal(content, &list); err != nil {
		return Status{}, ErrOutcomeUnknown{Operation: "list", Reason: err.Error()}
	}
	s := statusFromHeader(resp.Header)
	for _, m := range list.Data {
		if ref, err := fleet.ParseAdapterRef(m.ID); err == nil && m.Parent != "" {
			s.Resident = append(s.Resident, ref)
		}
	}
	s.Running, err = v.runningAdapters(ctx, e)
	return s, err
}

func (v *vllm) plainStatus(ctx context.Context, e fleet.Endpoint) (Status, error) {
	resp, err := v.get(ctx, endpointURL(e, "/health"))
	if err != nil {
		return Status{}, err
	}
	// Only the headers are used, so that an error of Close is ignored.
	_ = resp.Body.Close()
	return statusFromHeader(resp.Header), nil
}

func statusFromHeader(h http.Header) Status {
	// A missing or malformed fence counts as zero, which means no fence: an endpoint that checks fences refuses a fence that is too low.
	fence, _ := strconv.ParseUint(h.Get(HeaderFence), 10, 64)
	return Status{
		Incarnation: h.Get(HeaderIncarnation), Fence: fence, Holder: h.Get(HeaderHolder), Leaving: h.Get(HeaderLeaving) != "",
	}
}

func (v *vllm) get(ctx context.Context, address string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return nil, ErrNotRun{Operation: "list", Reason: err.Error()}
	}
	resp, err := v.httpClient.Do(req)
	if err != nil {
		return nil, ErrOutcomeUnknown{Operation: "list", Reason: err.Error()}
	}
	if resp.StatusCode != http.StatusOK {
		// The status is the reason of the error, so that an error of Close is ignored.
		_ = resp.Body.Close()
		return nil, ErrOutcomeUnknown{Operation: "list", Reason: resp.Status}
	}
	return resp, nil
}

const loraInfoPrefix = "vllm:lora_requests_info{"

// runningAdapters reads the adapters of running and queued requests from the metrics page.
func (v *vllm) runningAdapters(ctx context.Context, e fleet.Endpoint) ([]fleet.AdapterRef, error) {
	resp, err := v.get(ctx, endpointURL(e, "/metrics"))
	if err != nil {
		return nil, err
	}
	// A read error is reported by the scanner, so that an error of Close is ignored.
	defer func() { _ = resp.Body.Close() }()
	if EndsWithConnection(resp) {
		// An adapter that is missing from the page may be unloaded.
		return nil, ErrOutcomeUnknown{Operation: "metrics", Reason: "the page has neither a length nor chunks, so that it may be incomplete"}
	}
	content, err := bounded.ReadAll(resp.Body, maxStatusBytes)
	if err != nil {
		return nil, ErrOutcomeUnknown{Operation: "metrics", Reason: err.Error()}
	}
	lines := bufio.NewScanner(bytes.NewReader(content))
	var out []fleet.AdapterRef
	for lines.Scan() {
		if !strings.HasPrefix(lines.Text(), loraInfoPrefix) {
			continue
		}
		out = append(out, adapterRefsInLabel(lines.Text(), "running_lora_adapters")...)
		out = append(out, adapterRefsInLabel(lines.Text(), "waiting_lora_adapters")...)
	}
	if err := lines.Err(); err != nil {
		return nil, ErrOutcomeUnknown{Operation: "metrics", Reason: err.Error()}
	}
	return out, nil
}

func adapterRefsInLabel(line, label string) []fleet.AdapterRef {
	_, rest, found := strings.Cut(line, label+`="`)
	if !found {
		return nil
	}
	// A label value without closing quote extends to the end of the line.
	value, _, _ := strings.Cut(rest, `"`)
	var out []fleet.AdapterRef
	for name := range strings.SplitSeq(value, ",") {
		if ref, err := fleet.ParseAdapterRef(name); err == nil {
			out = append(out, ref)
		}
	}
	return out
}
