// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package proxy_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/entry/deployment"
	"github.com/shelfledge/shelfledge/modules/entry/upstream"
	"github.com/shelfledge/shelfledge/services/entry/proxy"
)

// maxLogLine is the maximum size in bytes of the log line of a refusal, whatever the caller sends.
const maxLogLine = 2 << 10

// TestEarlyRefusalWritesOneLogLine checks that a request which is refused before it is served writes a single short log line with the
// same fields as other refusals.
func TestEarlyRefusalWritesOneLogLine(t *testing.T) {
	testConfiguration := deployment.NewConfiguration(1, []*deployment.Route{{Name: "safe", Host: "h", PathPrefix: "/safe", Timeout: time.Second}}, nil,
		deployment.Limits{MaxHeaderBytes: 10 << 10, MaxBodyBytes: 100})
	for name, test := range map[string]struct {
		configuration *deployment.Configuration
		stopping      bool
		path          string
		body          string
		id            string
		status        int
		route         string
	}{
		"no configuration yet": {nil, false, "/safe", "", "id-1", 503, ""},
		"no such route":        {testConfiguration, false, "/other", "", "id-1", 404, ""},
		"header too large":     {testConfiguration, false, "/safe/" + strings.Repeat("x", 10<<10), "", "id-1", 431, "safe"},
		"stopping":             {testConfiguration, true, "/safe", "", "id-1", 503, "safe"},
		"body too large":       {testConfiguration, false, "/safe", strings.Repeat("x", 101), "id-1", 413, "safe"},
	} {
		for _, id := range []string{test.id, strings.Repeat("i", 9<<10)} {
			t.Run(name, func(t *testing.T) {
				var logged bytes.Buffer
				logger := logrus.New()
				logger.SetOutput(&logged)
				logger.SetFormatter(&logrus.JSONFormatter{})
				service := proxy.New(proxy.Options{
					Now: time.Now, Random: func() float64 { return 0 }, Log: logrus.NewEntry(logger),
					ShouldRefuse: func(deployment.RouteKind) bool { return test.stopping }, Leaving: func() bool { return false },
					Observe: func(proxy.Observation) { assert.Fail(t, "refused request was observed") },
				}, proxy.Control{
					Configuration: func() *deployment.Configuration { return test.configuration },
				}, upstream.NewClient(upstream.Options{}), testDialect())
				request := httptest.NewRequest(http.MethodPost, "http://h"+test.path, strings.NewReader(test.body))
				request.Header.Set("Id", id)
				recorder := httptest.NewRecorder()
				service.ServeHTTP(recorder, request)
				assert.Equal(t, test.status, recorder.Code)

				assert.Equal(t, 1, strings.Count(logged.String(), "\n"), "number of log lines")
				assert.Less(t, logged.Len(), maxLogLine)
				var line struct {
					Level, Msg, Request, Route, Reason string
					Status                             int
					Attempts                           []proxy.AttemptRecord
				}
				require.NoError(t, json.Unmarshal(logged.Bytes(), &line))
				assert.Equal(t, "warning", line.Level)
				assert.Equal(t, "request", line.Msg)
				assert.Equal(t, name, line.Reason)
				assert.Equal(t, test.status, line.Status)
				assert.Equal(t, test.route, line.Route)
				assert.Empty(t, line.Attempts, "the request was sent to no endpoint")
				assert.NotEmpty(t, line.Request)
				assert.True(t, strings.HasPrefix(id, line.Request), "the logged identifier must be a prefix of the caller's")
			})
		}
	}
}
