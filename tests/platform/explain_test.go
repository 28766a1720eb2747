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

// metrics reads an entry's metrics page.
func (s *site) metrics(entry int) string {
	s.t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", s.ips[entry], s.ports.Metrics))
	require.NoError(s.t, err)
	defer func() { _ = response.Body.Close() }()
	page, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return string(page)
}

// counted reads one counter of all classes by status from the metrics page.
func (s *site) counted(entry int) map[string]int {
	s.t.Helper()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(s.metrics(entry)))
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

func TestMetricsAgreeWithWhatCallersSaw(t *testing.T) {
	s := newSite(t, 2)
	s.eachPlain(standin.WorkerFaults{Resets: 3, Errors: 2, Sheds: 2})
	seen := make(map[string]int)
	for i := range 40 {
		paths := []call{{path: "/hold/x"}, {path: "/status/x", method: http.MethodGet}, {path: "/chat/x", adapter: "a1"}}
		one := paths[i%len(paths)]
		one.entry = i % 2
		seen[strconv.Itoa(s.do(one).Status)]++
	}
	s.waitFor("the metrics agree", func() bool {
		counts := s.counted(0)
		for status, count := range s.counted(1) {
			counts[status] += count
		}
		return assert.ObjectsAreEqual(seen, counts)
	})
}

// line is what the operators' page reads of a request's log line.
type line struct {
	Message  string `json:"msg"`
	Request  string `json:"request"`
	Reason   string `json:"reason"`
	Status   int    `json:"status"`
	Attempts []struct {
		Endpoint string `json:"endpoint"`
		Result   string `json:"result"`
		WaitedMS int64  `json:"waited_ms"`
		TookMS   int64  `json:"took_ms"`

		VersionDemanded int64 `json:"version_demanded"`
		VersionHeld     int64 `json:"version_held"`
		FormerLeftMS    int64 `json:"former_left_ms"`
	} `json:"attempts"`
}

// lineOf gives the log line of a request.
func (s *site) lineOf(entry int, id string) line {
	s.t.Helper()
	var found line
	s.waitFor("the request is logged", func() bool {
		for _, text := range strings.Split(s.entries[entry].log.String(), "\n") {
			var one line
			if json.Unmarshal([]byte(text), &one) == nil && one.Message == "request" && one.Request == id {
				found = one
				return true
			}
		}
		return false
	})
	return found
}

// TestEachKindOfFailureIsExplainedByItsLine makes the three failures of docs/OPERATIONS.md.
func TestEachKindOfFailureIsExplainedByItsLine(t *testing.T) {
	s := newSite(t, 1)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)

	for _, worker := range s.models {
		worker.Drain()
	}
	s.waitFor("no endpoint takes work", func() bool {
		return s.do(call{path: "/chat/x", adapter: "a1"}).Status == http.StatusServiceUnavailable
	})
	refused := s.do(call{path: "/chat/x", adapter: "a1"})
	got := s.lineOf(0, refused.ID)
	assert.Equal(t, "no endpoint", got.Reason)
	assert.Empty(t, got.Attempts, "it was sent nowhere")
	assert.Contains(t, string(page), "\"reason\":\"no endpoint\"")

	s = newSite(t, 1)
	require.Equal(t, http.StatusOK, s.do(call{path: "/chat/x", adapter: "a1"}).Status)
	s.eachModel(standin.WorkerFaults{Breaks: 1, BreakAfter: 2})
	cut := s.do(call{path: "/chat/x", adapter: "a1"})
	got = s.lineOf(0, cut.ID)
	assert.Equal(t, "stream broke off", got.Reason)
	require.Len(t, got.Attempts, 1)
	assert.Equal(t, "broken off", got.Attempts[0].Result)
	assert.Contains(t, string(page), "\"reason\":\"stream broke off\"")

	s.eachPlain(standin.WorkerFaults{Hangs: 1})
	late := s.do(call{path: "/hold/x", header: map[string]string{"X-Deadline-Ms": "300"}})
	got = s.lineOf(0, late.ID)
	assert.Equal(t, "timed out", got.Reason)
	require.Len(t, got.Attempts, 1)
	assert.Equal(t, "uncertain", got.Attempts[0].Result)
	assert.GreaterOrEqual(t, got.Attempts[0].TookMS, int64(200))
	assert.Contains(t, string(page), "\"reason\":\"timed out\"")
}

// TestThePageNamesOnlyFieldsAndFiguresThatExist keeps docs/OPERATIONS.md true to the code.
func TestThePageNamesOnlyFieldsAndFiguresThatExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	sources := ""
	for _, path := range []string{
		"../../modules/entry/metric/metrics.go", "../../services/entry/proxy/service.go", "../../services/entry/proxy/attempt/ending.go",
		"../../services/entry/proxy/attempt/situation.go", "../../services/entry/admission/decide.go",
		"../../services/entry/coordinator/planning.go", "../../services/entry/coordinator/lease.go", "../../services/entry/coordinator/status.go",
		"../../services/entry/coordinator/configuration.go", "../../services/entry/coordinator/endpoints.go", "../../services/entry/process/process.go",
		"../../services/entry/coordinator/coordinator.go", "../../services/entry/coordinator/handover.go", "../../services/entry/loading/order.go",
		"../../services/entry/coordinator/seeds.go", "../../services/entry/coordinator/reporting.go",
		"../../services/entry/coordinator/viewing.go", "../../services/entry/coordinator/sendingviews.go", "../../services/entry/coordinator/gathering.go",
		"../../services/entry/coordinator/running.go", "../../services/entry/coordinator/crashes.go", "../../services/entry/coordinator/limits.go",
		"../../services/entry/coordinator/leaving.go", "../../services/entry/coordinator/resting.go",
		"../../services/entry/proxy/exchange.go", "../../routers/entry/gateway/server.go",
	} {
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		sources += string(content)
	}
	figures := regexp.MustCompile("shelfledge_([a-z_]+)").FindAllStringSubmatch(string(page), -1)
	assert.NotEmpty(t, figures)
	for _, figure := range figures {
		assert.Contains(t, sources, "\""+figure[1]+"\"", "figure %s", figure[0])
	}
	quoted := regexp.MustCompile("\"(?:msg|reason|result)\":\"([^\"]+)\"").FindAllStringSubmatch(string(page), -1)
	assert.NotEmpty(t, quoted)
	for _, text := range quoted {
		assert.Contains(t, sources, "\""+text[1]+"\"", "quoted %s", text[0])
	}
}
