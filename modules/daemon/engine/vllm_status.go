// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
)

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
	// The list is judged by its content, here as below.
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
	// The headers are all that counts.
	_ = resp.Body.Close()
	return headerStatus(resp.Header), nil
}

func headerStatus(h http.Header) Status {
	// A missing or malformed fence is taken as zero, none: an endpoint that checks fences refuses what is too low by itself.
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
		// The status is reason enough.
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
	// The page is judged by its content, as the list is.
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
	// A label without its closing quote is read to the end of the line.
	value, _, _ := strings.Cut(rest, `"`)
	var out []fleet.AdapterRef
	for name := range strings.SplitSeq(value, ",") {
		if ref, err := fleet.ParseAdapterRef(name); err == nil {
			out = append(out, ref)
		}
	}
	return out
}
