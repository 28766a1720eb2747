// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/services/entry/coordinator"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/recall"
	"github.com/shelfledge/shelfledge/services/entry/directory"
	"github.com/shelfledge/shelfledge/services/entry/proxy"
)

// TestRunningIsReportedOnceForSuccessfulResponse also checks that a refusal or an error response is not reported as running: it does
// not show how long the endpoint's queue is.
func TestRunningIsReportedOnceForSuccessfulResponse(t *testing.T) {
	assigned := time.Now()
	for name, test := range map[string]struct {
		path, script string
		model        string
		reports      []string
	}{
		"a stream":                {"/stream", chunkedResponse(firstEvent, secondEvent) + lastChunk, "base", []string{"running", "finished"}},
		"an interrupted stream":   {"/stream", chunkedResponse(firstEvent), "base", []string{"running", "finished"}},
		"a stream with no event":  {"/stream", chunkedResponse(), "base", []string{"finished"}},
		"a complete response":     {"/unsafe", fixedResponse(200, endpointMarkHeader, "yes"), "base", []string{"running", "finished"}},
		"an error":                {"/unsafe", fixedResponse(500, endpointMarkHeader, "no"), "base", []string{"finished"}},
		"a refusal":               {"/unsafe", fixedResponse(503, notRunHeader, "busy"), "base", []string{"finished"}},
		"no response":             {"/unsafe", "", "base", []string{"finished"}},
		"a request without model": {"/unsafe", fixedResponse(200, endpointMarkHeader, "yes"), "", []string{"finished"}},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := newTestProxy(t, test.script)
			var reports []string
			assignment := coordinator.Assignment{
				Endpoint: p.endpoints[0], Assigned: assigned, Version: 5, HeldVersion: 6,
				FormerVersion: coordinator.FormerUse{Remaining: time.Second, Expected: 20 * time.Millisecond}, Recall: &recall.Recall{},
			}
			observed := p.serveWithAssignment(test.path, test.model, time.Now, assignment, func(report string, reported coordinator.Assignment) {
				assert.Equal(t, assignment, reported)
				if report == "running" {
					assert.False(t, reported.Recall.Fire(), "a running request must not be recalled")
				}
				reports = append(reports, report)
			})
			assert.Equal(t, test.reports, reports)
			require.Len(t, observed.Attempts, 1)
			record := observed.Attempts[0]
			assert.Equal(t, []int64{5, 6}, []int64{record.VersionDemanded, record.VersionHeld})
			assert.Equal(t, []int64{1000, 20}, []int64{record.FormerLeftMS, record.FormerExpectedMS})
		})
	}
}

// serveWithAssignment serves one request for a model with an assignment, and returns its observation. onReport is called when the
// request is reported as running and as finished.
func (p *testProxy) serveWithAssignment(
	path, model string, now func() time.Time, assignment coordinator.Assignment, onReport func(report string, of coordinator.Assignment),
) proxy.Observation {
	engine := &deployment.Service{Name: "s", Engine: &deployment.Engine{}}
	p.configuration.Services = map[string]*deployment.Service{"s": engine}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	dialect := testDialect()
	dialect.ReadRequest = func(http.Header) proxy.CallerHeader {
		return proxy.CallerHeader{Adapter: deployment.Adapter{Model: model}}
	}
	service := proxy.New(proxy.Options{
		Now: now, Random: func() float64 { return 0 }, Log: logrus.NewEntry(logger),
		ShouldRefuse: func(deployment.RouteKind) bool { return false }, Leaving: func() bool { return false },
		Observe: func(o proxy.Observation) { p.observations <- o },
	}, proxy.Control{
		Configuration: func() *deployment.Configuration { return p.configuration },
		Acquire: func(context.Context, *deployment.Request, []deployment.EndpointID) (coordinator.Assignment, error) {
			return assignment, nil
		},
		RecordCrash: func(*deployment.Request, coordinator.Assignment) {}, RecordUnanswered: func(*deployment.Request, coordinator.Assignment) {},
		RecordAnswered: func(*deployment.Request) {},
		ApplyNotice:    func(coordinator.Assignment, time.Time, deployment.Notice) {},
		MarkRunning:    func(_ *deployment.Request, of coordinator.Assignment) { onReport("running", of) },
		Finish: func(_ *deployment.Request, of coordinator.Assignment, _ directory.Outcome, _ bool) {
			onReport("finished", of)
		},
		CountRequest: func(string) {}, TakeRetry: func(string) bool { return false },
	}, upstream.NewClient(upstream.Options{MaxIdle: time.Minute, DialTimeout: dialTimeout, Now: now}), dialect)
	request := httptest.NewRequest(http.MethodPost, "http://h"+path, nil)
	func() {
		// An interrupted response ends with a panic, on which net/http closes the connection.
		defer func() { _ = recover() }()
		service.ServeHTTP(httptest.NewRecorder(), request)
	}()
	return <-p.observations
}

// TestStartRatioComparesWithExpectedTime includes requests that run in less than a millisecond.
func TestStartRatioComparesWithExpectedTime(t *testing.T) {
	stream := chunkedResponse(firstEvent, secondEvent) + lastChunk
	for name, test := range map[string]struct {
		path, script, model string
		expected, timeToRun time.Duration
		ratios              []float64
	}{
		"as expected":               {"/stream", stream, "base", 40 * time.Millisecond, 40 * time.Millisecond, []float64{1}},
		"actual time below 1 ms":    {"/stream", stream, "base", 10 * time.Millisecond, 250 * time.Microsecond, []float64{0.025}},
		"both times below 1 ms":     {"/stream", stream, "base", 500 * time.Microsecond, 250 * time.Microsecond, []float64{0.5}},
		"fraction of a millisecond": {"/unsafe", fixedResponse(200, endpointMarkHeader, "yes"), "base", 2 * time.Millisecond, 2500 * time.Microsecond, []float64{1.25}},
		"no expected time":          {"/stream", stream, "base", 0, 40 * time.Millisecond, nil},
		"refused":                   {"/unsafe", fixedResponse(503, notRunHeader, "busy"), "base", 40 * time.Millisecond, 40 * time.Millisecond, nil},
		"a stream with no event":    {"/stream", chunkedResponse(), "base", 40 * time.Millisecond, 40 * time.Millisecond, nil},
		"a request without model":   {"/unsafe", fixedResponse(200, endpointMarkHeader, "yes"), "", 40 * time.Millisecond, 40 * time.Millisecond, nil},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := newTestProxy(t, test.script)
			start := time.Now()
			assignment := coordinator.Assignment{Endpoint: p.endpoints[0], Assigned: start.Add(-test.timeToRun), Expected: test.expected}
			observation := p.serveWithAssignment(test.path, test.model, func() time.Time { return start }, assignment, func(string, coordinator.Assignment) {})
			assert.Equal(t, test.ratios, observation.StartRatios())
		})
	}
}
