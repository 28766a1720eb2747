// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// overdueLog is the log line of a request that began on a former version after versionLimit.
type overdueLog struct {
	Message  string `json:"msg"`
	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	Adapter  string `json:"adapter"`
	Version  int64  `json:"version"`
	Newer    int64  `json:"newer"`
	AgeMS    int64  `json:"age_ms"`
	LimitMS  int64  `json:"limit_ms"`
}

// overdueLogs returns the log lines of requests that began on a former version after versionLimit.
func (s *site) overdueLogs(entry int) []overdueLog {
	var found []overdueLog
	for text := range strings.SplitSeq(s.entries[entry].log.String(), "\n") {
		var line overdueLog
		if json.Unmarshal([]byte(text), &line) == nil && line.Message == "a request began on a former version after the version limit" {
			found = append(found, line)
		}
	}
	return found
}

// metricValue returns the value of a metric without labels from an instance's metrics page.
func (s *site) metricValue(entry int, name string) int {
	s.t.Helper()
	_, after, found := strings.Cut(s.metricsPage(entry), "\n"+name+" ")
	require.True(s.t, found, name)
	text, _, _ := strings.Cut(after, "\n")
	value, err := strconv.Atoi(text)
	require.NoError(s.t, err)
	return value
}

// formerVersionMetrics returns how many requests began on a former version, and how many of these began after versionLimit, by an instance's
// metrics.
func (s *site) formerVersionMetrics(entry int) (runs, overdue int) {
	s.t.Helper()
	return s.metricValue(entry, "shelfledge_former_version_age_seconds_count"), s.metricValue(entry, "shelfledge_former_version_overdue_total")
}

// TestFormerVersionMetricsAndLogsMatchRuns sends two requests to endpoints that hold only the former version. The second request waits for
// longer than was expected when its endpoint was chosen, and is taken back. The log lines and metrics must match the runs at the endpoints.
func TestFormerVersionMetricsAndLogsMatchRuns(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	for _, worker := range s.models {
		worker.SetLoadTime(time.Minute)
	}
	s.nameSecondVersion()
	s.waitFor("the version is named", func() bool { return s.hasLogged(0, "version named") })
	receivedAt := time.Now()
	answer := s.do(call{path: "/chat/x", adapter: "a1"})
	require.Equal(t, http.StatusOK, answer.Status)
	logged := s.requestLogOf(0, answer.ID)
	require.Len(t, logged.Attempts, 1)
	assert.EqualValues(t, 1, logged.Attempts[0].VersionHeld)
	assert.Zero(t, logged.Attempts[0].VersionDemanded)
	assert.Greater(t, logged.Attempts[0].FormerLeftMS, int64(0))
	assert.LessOrEqual(t, logged.Attempts[0].FormerLeftMS, (versionLimit / 2).Milliseconds())
	runs, overdue := s.formerVersionMetrics(0)
	assert.Equal(t, 1, runs)
	assert.Zero(t, overdue)

	time.Sleep(time.Until(receivedAt.Add(2200 * time.Millisecond)))
	for _, worker := range s.models {
		worker.SetQueueWait(3100 * time.Millisecond)
	}
	s.do(call{path: "/chat/x", adapter: "a1"})
	var began, late int
	for _, worker := range s.models {
		for _, run := range worker.Runs() {
			switch after := run.Began.Sub(receivedAt); {
			case after > versionLimit:
				late++
				began++
			case after > 0:
				began++
			}
		}
	}
	assert.Zero(t, late)
	s.waitFor("metrics and log lines match the runs at the endpoints", func() bool {
		runs, overdue = s.formerVersionMetrics(0)
		return runs == began && overdue == late && len(s.overdueLogs(0)) == late
	})
	for _, line := range s.overdueLogs(0) {
		assert.Greater(t, line.AgeMS, versionLimit.Milliseconds())
		line.AgeMS, line.Request, line.Endpoint = 0, "", ""
		assert.Equal(t, overdueLog{Message: line.Message, Adapter: standin.Model + "/a1", Version: 1, Newer: 2, LimitMS: versionLimit.Milliseconds()}, line)
	}
}

// TestRequestLogHasDemandedVersion checks that a request to an endpoint with the named version demands that version.
func TestRequestLogHasDemandedVersion(t *testing.T) {
	s := newSite(t, 1)
	for _, worker := range s.models {
		worker.SetAdapterVersion("a1", 2)
	}
	s.nameSecondVersion()
	s.waitFor("the version is named", func() bool { return s.hasLogged(0, "version named") })
	s.waitFor("the adapter is served", func() bool { return s.serves(0, "a1") })
	answer := s.do(call{path: "/chat/x", adapter: "a1"})
	require.Equal(t, http.StatusOK, answer.Status)
	attempt := s.requestLogOf(0, answer.ID).Attempts[0]
	assert.EqualValues(t, 2, attempt.VersionDemanded)
	assert.EqualValues(t, 2, attempt.VersionHeld)
	assert.Zero(t, attempt.FormerLeftMS)
	runs, _ := s.formerVersionMetrics(0)
	assert.Zero(t, runs)
}
