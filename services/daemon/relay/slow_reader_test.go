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

// slowCaller pauses before it accepts each part of an answer.
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

// contextBody fails once the context of its exchange has ended, like the body of a real connection.
type contextBody struct {
	io.Reader
	ctx context.Context
}

func (b contextBody) Read(p []byte) (int, error) {
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	return b.Reader.Read(p)
}

// Guards against a stream that is aborted because its caller reads slowly: while a write to the caller blocked, the silence timer of the
// endpoint kept running, although the rest of the stream could be read and the caller was still reading.
func TestSlowCallerDoesNotCountAsSilentEndpoint(t *testing.T) {
	const silent = 100 * time.Millisecond
	var events strings.Builder
	for range 100 {
		fmt.Fprintf(&events, "data: {\"model\":\"a@1\",\"text\":%q}\n\n", strings.Repeat("x", 1000))
	}
	events.WriteString("data: [DONE]\n\n")
	b := newTestRelay()
	service := relay.New(relay.Options{
		Control: relay.Control{Submit: b.submit, Withdraw: func(string) {}, ReturnTicket: func(string) {}, RecordEvent: func(fleet.Event) {}},
		Dialect: engine.Dialect{
			Start: func(ctx context.Context, c engine.Call) (*http.Response, error) {
				header := http.Header{engine.HeaderRequestID: {c.RequestID}}
				return &http.Response{StatusCode: http.StatusOK, Header: header, Body: io.NopCloser(contextBody{strings.NewReader(events.String()), ctx})}, nil
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
