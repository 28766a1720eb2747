// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/modules/daemon/engine"
	"github.com/shelfledge/shelfledge/modules/daemon/metric"
	"github.com/shelfledge/shelfledge/services/daemon/relay"
)

// slowCaller takes each part of an answer only after a while.
type slowCaller struct {
	header http.Header
	pause  time.Duration
	body   strings.Builder
}

func (c *slowCaller) Header() http.Header { return c.header }

func (c *slowCaller) WriteHeader(int) {}

func (c *slowCaller) Flush() {}

func (c *slowCaller) Write(p []byte) (int, error) {
	time.Sleep(c.pause)
	return c.body.Write(p)
}

// endedBody fails once its exchange has ended, as one that comes from a connection.
type endedBody struct {
	io.Reader
	ctx context.Context
}

func (b endedBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

// TestACallerThatReadsSlowlyIsNoSilentEndpoint: while a write to the caller blocked, the time for which the endpoint may be silent went on,
// so that a stream was cut in its middle although all of it was there to be read, and its caller read it.
func TestACallerThatReadsSlowlyIsNoSilentEndpoint(t *testing.T) {
	const silent = 100 * time.Millisecond
	var events strings.Builder
	for range 100 {
		fmt.Fprintf(&events, "data: {\"model\":\"a@1\",\"text\":%q}\n\n", strings.Repeat("x", 1000))
	}
	events.WriteString("data: [DONE]\n\n")
	b := newBench()
	service := relay.New(relay.Options{
		Control: relay.Control{Submit: b.submit, Abandon: func(string) {}, Finish: func(string) {}, Note: func(fleet.Event) {}},
		Dialect: engine.Dialect{
			Start: func(ctx context.Context, c engine.Call) (*http.Response, error) {
				header := http.Header{engine.HeaderRequestID: {c.RequestID}}
				return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(endedBody{strings.NewReader(events.String()), ctx})}, nil
			},
			Cancel: func(context.Context, fleet.Endpoint, string) error { return nil },
		},
		Metrics: metric.New(metric.Options{MaxCallers: 5, MaxClasses: 5}), MaxAttempts: 1, RetryShare: 0.1, SlowReader: time.Minute,
		EndpointSilent: silent, CancelLife: time.Second, Now: time.Now,
	})
	caller := &slowCaller{header: http.Header{}, pause: 2 * silent}
	err := service.Serve(context.Background(), caller, relay.Job{
		Request: fleet.Request{ID: "q", Adapter: fleet.AdapterRef{Name: "a", Version: 1}}, Stream: true, Method: http.MethodPost, Path: "/v1/completions",
	})
	service.Wait()
	require.NoError(t, err)
	require.Equal(t, events.String(), caller.body.String())
}
