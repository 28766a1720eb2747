// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/origin"
	"github.com/shelfledge/shelfledge/services/entry/proxy"
)

// takeUp is a request that goes on with a stream, and where it began as other instances know it.
type takeUp struct {
	path   string
	header map[string]string
	found  origin.Result
}

// originCalls records the calls of a proxy to its origins, and the requests for which it acquired an endpoint.
type originCalls struct {
	begun    []origin.Origin
	expected []origin.Origin
	prepared []origin.Origin
	wentOn   map[origin.Key]origin.Origin
	keys     []origin.Key
	asked    []origin.Key
	services [][]string
	windows  []time.Duration
	acquired []deployment.Request
}

// serve sends a request through a proxy whose endpoints run a software.
func (u takeUp) serve(t *testing.T, software string) (callerResponse, *originCalls) {
	t.Helper()
	calls := &originCalls{wentOn: make(map[origin.Key]origin.Origin)}
	p, server := newTestProxyWithOrigins(t, proxy.Origins{
		Prepare: func(_ context.Context, at origin.Origin) {
			calls.prepared = append(calls.prepared, at)
		},
		Expect: func(_ time.Time, _ origin.Key, expected origin.Origin, _ time.Time) {
			assert.Contains(t, calls.prepared, expected, "where the stream may begin is stated first")
			calls.expected = append(calls.expected, expected)
		},
		GoOn: func(_ time.Time, key origin.Key, at origin.Origin, _ time.Time) { calls.wentOn[key] = at },
		Begin: func(_ time.Time, key origin.Key, began origin.Origin, _ time.Time) {
			calls.keys, calls.begun = append(calls.keys, key), append(calls.begun, began)
		},
		Find: func(_ context.Context, _ time.Time, key origin.Key, services []string, window time.Duration) origin.Result {
			calls.asked, calls.services, calls.windows = append(calls.asked, key), append(calls.services, services), append(calls.windows, window)
			return u.found
		},
	}, chunkedResponse(firstEvent)+lastChunk)
	p.acquireHook = func(_ context.Context, request *deployment.Request, _ []deployment.EndpointID) (coordinator.Assignment, error) {
		calls.acquired = append(calls.acquired, *request)
		endpoint := p.endpoints[0]
		endpoint.Software = software
		return coordinator.Assignment{Endpoint: endpoint}, nil
	}
	request, err := http.NewRequest(http.MethodPost, server.URL+u.path, strings.NewReader(""))
	require.NoError(t, err)
	request.Host = "h"
	for name, value := range u.header {
		request.Header.Set(name, value)
	}
	response, err := server.Client().Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return callerResponse{status: response.StatusCode, body: string(content), retryAfter: response.Header.Get("Retry-After"), complete: true}, calls
}

// TestStreamThatNamesNoAttemptIsNotDecidedByExclusion guards against a stream that goes on at another software, since no instance began an attempt that
// its caller does not name.
func TestStreamThatNamesNoAttemptIsNotDecidedByExclusion(t *testing.T) {
	found := origin.Result{Verdict: origin.OnlyPossible, Origin: origin.Origin{Service: "s", Software: "v1"}}
	response, calls := takeUp{path: "/resumable", header: map[string]string{"Id": "second", "Last": "1"}, found: found}.serve(t, "v1")
	assert.Equal(t, callerResponse{503, "beginning of the stream unknown\n", "0.25", true}, response)
	assert.Empty(t, calls.acquired)
}

// TestTakenUpStreamIsRestrictedToItsOrigin guards against streams that go on at another service or software than the one that began them.
func TestTakenUpStreamIsRestrictedToItsOrigin(t *testing.T) {
	header := map[string]string{"Id": "second", "Last": "1", "Begun-As": "first"}
	began := func(service, software string) origin.Origin {
		return origin.Origin{Service: service, Software: software}
	}
	for name, test := range map[string]struct {
		found    origin.Result
		software string
		refused  bool
	}{
		"known":                            {found: origin.Result{Verdict: origin.Known, Origin: began("s", "v1")}, software: "v1"},
		"only software":                    {found: origin.Result{Verdict: origin.SoleSoftware, Origin: began("s", "v1")}, software: "v1"},
		"only software, not stated":        {found: origin.Result{Verdict: origin.SoleSoftware, Origin: began("s", "")}},
		"only software for all that time":  {found: origin.Result{Verdict: origin.Unrestricted, Origin: began("s", "v1")}, software: "v1"},
		"only possible one":                {found: origin.Result{Verdict: origin.OnlyPossible, Origin: began("s", "v1")}, software: "v1"},
		"only possible one, not stated":    {found: origin.Result{Verdict: origin.OnlyPossible, Origin: began("s", "")}, refused: true},
		"unknown":                          {found: origin.Result{Verdict: origin.Unknown}, refused: true},
		"ambiguous":                        {found: origin.Result{Verdict: origin.Ambiguous}, refused: true},
		"known, endpoint told no software": {found: origin.Result{Verdict: origin.Known, Origin: began("s", "")}, refused: true},
		"known, service not of the route":  {found: origin.Result{Verdict: origin.Known, Origin: began("former", "v1")}, refused: true},
	} {
		t.Run(name, func(t *testing.T) {
			response, calls := takeUp{path: "/resumable", header: header, found: test.found}.serve(t, "v1")
			assert.Equal(t, []origin.Key{origin.KeyOf("resumable", "first")}, calls.asked)
			assert.Equal(t, [][]string{{"s"}}, calls.services)
			assert.Equal(t, []time.Duration{20 * time.Second}, calls.windows, "twice the time-out of the route")
			assert.Empty(t, calls.begun, "the stream began before")
			assert.Empty(t, calls.expected, "the stream began before")
			assert.Empty(t, calls.prepared, "the stream began before")
			if verdict := test.found.Verdict; test.software != "" && verdict != origin.Known {
				assert.Equal(t, map[origin.Key]origin.Origin{origin.KeyOf("resumable", "first"): test.found.Origin}, calls.wentOn)
			} else {
				assert.Empty(t, calls.wentOn)
			}
			if test.refused {
				assert.Equal(t, callerResponse{503, "beginning of the stream unknown\n", "0.25", true}, response)
				assert.Empty(t, calls.acquired)
				return
			}
			assert.Equal(t, 200, response.status)
			require.Len(t, calls.acquired, 1)
			assert.Equal(t, test.software, calls.acquired[0].Software)
			assert.Equal(t, "s", calls.acquired[0].Service)
		})
	}
}

func TestOriginIsRecordedAtFirstEvent(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		header map[string]string
		begun  []origin.Origin
	}{
		"resumable stream":               {"/resumable", map[string]string{"Id": "first"}, []origin.Origin{{Service: "s", Software: "v1"}}},
		"resumable stream without id":    {"/resumable", nil, nil},
		"stream that may not be resumed": {"/stream", map[string]string{"Id": "first"}, nil},
		"last event on another route":    {"/stream", map[string]string{"Id": "first", "Last": "1"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			response, calls := takeUp{path: test.path, header: test.header}.serve(t, "v1")
			assert.Equal(t, 200, response.status)
			assert.Equal(t, test.begun, calls.begun)
			assert.Equal(t, test.begun, calls.expected, "as soon as it is sent")
			assert.Equal(t, test.begun, calls.prepared)
			assert.Empty(t, calls.asked, "nothing is taken up")
			require.Len(t, calls.acquired, 1)
			assert.Empty(t, calls.acquired[0].Software)
			if len(test.begun) > 0 {
				assert.Equal(t, []origin.Key{origin.KeyOf("resumable", "first")}, calls.keys)
			}
		})
	}
}

func TestStreamTakenUpWithoutItsFirstAttemptIsNotRecorded(t *testing.T) {
	found := origin.Result{Verdict: origin.SoleSoftware, Origin: origin.Origin{Service: "s", Software: "v1"}}
	response, calls := takeUp{path: "/resumable", header: map[string]string{"Id": "second", "Last": "1"}, found: found}.serve(t, "v1")
	assert.Equal(t, 200, response.status)
	assert.Empty(t, calls.wentOn, "all streams without a name would have the same key")
}

// TestStreamOfEndpointWithoutSoftwareIsPrepared guards against streams that are taken for those of another software, since nothing tells that they
// can have begun at an endpoint without one.
func TestStreamOfEndpointWithoutSoftwareIsPrepared(t *testing.T) {
	response, calls := takeUp{path: "/resumable", header: map[string]string{"Id": "first"}}.serve(t, "")
	assert.Equal(t, 200, response.status)
	assert.Equal(t, []origin.Origin{{Service: "s"}}, calls.prepared)
	assert.Equal(t, []origin.Origin{{Service: "s"}}, calls.begun)
}
