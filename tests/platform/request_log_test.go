// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// metricsPage returns the metrics page of an entry.
func (s *site) metricsPage(entry int) string {
	s.t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", s.ips[entry], s.ports.Metrics))
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	page, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return string(page)
}

// requestsByStatus returns the request counter of an entry's metrics page by status, summed over all classes.
func (s *site) requestsByStatus(entry int) map[string]int {
	s.t.Helper()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(s.metricsPage(entry)))
	require.NoError(s.t, err)
	counts := make(map[string]int)
	for _, metric := range families["shelfledge_requests_total"].GetMetric() {
		for _, label := range metric.GetLabel() {
			if label.GetName() == "status" {
				counts[label.GetValue()] += int(metric.GetCounter().GetValue())
			}
		}
	}
	return counts
}

func TestRequestMetricsMatchAnswersOfCallers(t *testing.T) {
	s := newSite(t, 2)
	s.setPlainFaults(standin.WorkerFaults{Resets: 3, Errors: 2, Sheds: 2})
	received := make(map[string]int)
	for i := range 40 {
		requests := []call{{path: "/hold/x"}, {path: "/status/x", method: http.MethodGet}, {path: "/chat/x", adapter: "a1"}}
		request := requests[i%len(requests)]
		request.entry = i % 2
		received[strconv.Itoa(s.do(request).Status)]++
	}
	s.waitFor("the metrics match the answers", func() bool {
		counts := s.requestsByStatus(0)
		for status, count := range s.requestsByStatus(1) {
			counts[status] += count
		}
		return assert.ObjectsAreEqual(received, counts)
	})
}

// requestLog holds the fields of a request's log line that docs/OPERATIONS.md uses.
type requestLog struct {
	Message  string `json:"msg"`
	Request  string `json:"request"`
	Reason   string `json:"reason"`
	Status   int    `json:"status"`
	Attempts []struct {
		Endpoint string `json:"endpoint"`
		Result   string `json:"result"`
		WaitedMS int64  `json:"waited_ms"`
		TookMS   int64  `json:"took_ms"`
		Status   int    `json:"status"`
		Via      string `json:"via"`

		VersionDemanded int64 `json:"version_demanded"`
		VersionHeld     int64 `json:"version_held"`
		FormerLeftMS    int64 `json:"former_left_ms"`
	} `json:"attempts"`
}

// requestLogOf waits for the log line of a request and returns it.
func (s *site) requestLogOf(entry int, id string) requestLog {
	s.t.Helper()
	var found requestLog
	s.waitFor("the request is logged", func() bool {
		for _, text := range strings.Split(s.entries[entry].log.String(), "\n") {
			var line requestLog
			if json.Unmarshal([]byte(text), &line) == nil && line.Message == "request" && line.Request == id {
				found = line
				return true
			}
		}
		return false
	})
	return found
}

// TestRequestLogExplainsFailuresOfOperationsPage causes the three failures of docs/OPERATIONS.md and checks their log lines.
func TestRequestLogExplainsFailuresOfOperationsPage(t *testing.T) {
	s := newSite(t, 1)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)

	for _, worker := range s.models {
		worker.Drain()
	}
	s.waitFor("no endpoint accepts requests", func() bool {
		return s.do(call{path: "/chat/x", adapter: "a1"}).Status == http.StatusServiceUnavailable
	})
	rejected := s.do(call{path: "/chat/x", adapter: "a1"})
	logged := s.requestLogOf(0, rejected.ID)
	assert.Equal(t, "no endpoint", logged.Reason)
	assert.Empty(t, logged.Attempts, "the request was sent to no endpoint")
	assert.Contains(t, string(page), "\"reason\":\"no endpoint\"")

	s = newSite(t, 1)
	require.Equal(t, http.StatusOK, s.do(call{path: "/chat/x", adapter: "a1"}).Status)
	s.setModelFaults(standin.WorkerFaults{Breaks: 1, BreakAfter: 2})
	broken := s.do(call{path: "/chat/x", adapter: "a1"})
	logged = s.requestLogOf(0, broken.ID)
	assert.Equal(t, "stream broke off", logged.Reason)
	require.Len(t, logged.Attempts, 1)
	assert.Equal(t, "broken off", logged.Attempts[0].Result)
	assert.Contains(t, string(page), "\"reason\":\"stream broke off\"")

	s.setPlainFaults(standin.WorkerFaults{Hangs: 1})
	timedOut := s.do(call{path: "/hold/x", header: map[string]string{"X-Deadline-Ms": "300"}})
	logged = s.requestLogOf(0, timedOut.ID)
	assert.Equal(t, "timed out", logged.Reason)
	require.Len(t, logged.Attempts, 1)
	assert.Equal(t, "uncertain", logged.Attempts[0].Result)
	assert.GreaterOrEqual(t, logged.Attempts[0].TookMS, int64(200))
	assert.Contains(t, string(page), "\"reason\":\"timed out\"")
}

// TestOperationsPageNamesOnlyExistingMetricsAndMessages checks that the code has each metric, message, reason and result that
// docs/OPERATIONS.md names.
func TestOperationsPageNamesOnlyExistingMetricsAndMessages(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	sources := ""
	for _, path := range []string{
		"../../modules/entry/metric/metrics.go", "../../services/entry/proxy/service.go", "../../services/entry/proxy/attempt/ending.go",
		"../../services/entry/proxy/attempt/situation.go", "../../services/entry/admission/decide.go",
		"../../services/entry/coordinator/planner.go", "../../services/entry/coordinator/lease.go", "../../services/entry/coordinator/status.go",
		"../../services/entry/coordinator/configuration.go", "../../services/entry/coordinator/endpoints.go", "../../services/entry/process/process.go",
		"../../services/entry/coordinator/coordinator.go", "../../services/entry/coordinator/handover.go", "../../services/entry/loading/order.go",
		"../../services/entry/coordinator/seeds.go", "../../services/entry/coordinator/reporting.go", "../../services/entry/coordinator/era.go",
		"../../services/entry/coordinator/views.go", "../../services/entry/coordinator/viewround.go", "../../services/entry/coordinator/gathering.go",
		"../../services/entry/coordinator/begin.go", "../../services/entry/coordinator/crashes.go", "../../services/entry/coordinator/limits.go",
		"../../services/entry/coordinator/draining.go", "../../services/entry/coordinator/resting.go", "../../services/entry/coordinator/brittle.go",
		"../../services/entry/coordinator/peers.go",
		"../../services/entry/proxy/exchange.go", "../../routers/entry/gateway/server.go", "../../services/entry/connect/connector.go",
		"../../modules/entry/tunnel/acceptor.go", "../../services/entry/origin/exchange/receive.go",
		"../../services/entry/origin/exchange/archive_reader.go", "../../services/entry/origin/exchange/archive_writer.go",
	} {
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		sources += string(content)
	}
	metrics := regexp.MustCompile("shelfledge_([a-z_]+)").FindAllStringSubmatch(string(page), -1)
	assert.NotEmpty(t, metrics)
	for _, metric := range metrics {
		assert.True(t, strings.Contains(sources, "\""+metric[1]+"\""), "metric %s", metric[0])
	}
	quoted := regexp.MustCompile("\"(?:msg|reason|result)\":\"([^\"]+)\"").FindAllStringSubmatch(string(page), -1)
	assert.NotEmpty(t, quoted)
	for _, text := range quoted {
		assert.True(t, strings.Contains(sources, "\""+text[1]+"\""), "message, reason or result %s", text[0])
	}
}
