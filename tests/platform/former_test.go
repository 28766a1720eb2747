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

// overdueLine is the log line of a request that began on a former version after the version limit.
type overdueLine struct {
	Message  string `json:"msg"`
	Request  string `json:"request"`
	Endpoint string `json:"endpoint"`
	Adapter  string `json:"adapter"`
	Version  int64  `json:"version"`
	Newer    int64  `json:"newer"`
	AgeMS    int64  `json:"age_ms"`
	LimitMS  int64  `json:"limit_ms"`
}

// overdueLines gives the lines of requests that began too late on an older version.
func (s *site) overdueLines(entry int) []overdueLine {
	var found []overdueLine
	for text := range strings.SplitSeq(s.entries[entry].log.String(), "\n") {
		var one overdueLine
		if json.Unmarshal([]byte(text), &one) == nil && one.Message == "a request began on a former version after the version limit" {
			found = append(found, one)
		}
	}
	return found
}

// figure reads a sample without labels from an entry's metrics page.
func (s *site) figure(entry int, name string) int {
	s.t.Helper()
	_, after, found := strings.Cut(s.metrics(entry), "\n"+name+" ")
	require.True(s.t, found, name)
	text, _, _ := strings.Cut(after, "\n")
	value, err := strconv.Atoi(text)
	require.NoError(s.t, err)
	return value
}

// formerRuns gives how many requests began on a former version, and how many of them too late, by the metrics.
func (s *site) formerRuns(entry int) (runs, overdue int) {
	s.t.Helper()
	return s.figure(entry, "shelfledge_former_version_age_seconds_count"), s.figure(entry, "shelfledge_former_version_overdue_total")
}

// TestRunsOnAFormerVersionAreSeen sends two requests to endpoints that hold only the former version; the second one waits for longer than
// was expected when its endpoint was chosen, and is taken back. What lines and figures tell is what the endpoints saw.
func TestRunsOnAFormerVersionAreSeen(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	for _, worker := range s.models {
		worker.SetLoadTime(time.Minute)
	}
	s.nameSecondVersion()
	s.waitFor("the version is named", func() bool { return s.logged(0, "version named") })
	learned := time.Now()
	got := s.do(call{path: "/chat/x", adapter: "a1"})
	require.Equal(t, http.StatusOK, got.Status)
	told := s.lineOf(0, got.ID)
	require.Len(t, told.Attempts, 1)
	assert.EqualValues(t, 1, told.Attempts[0].VersionHeld)
	assert.Zero(t, told.Attempts[0].VersionDemanded)
	assert.Greater(t, told.Attempts[0].FormerLeftMS, int64(0))
	assert.LessOrEqual(t, told.Attempts[0].FormerLeftMS, (versionLimit / 2).Milliseconds())
	runs, overdue := s.formerRuns(0)
	assert.Equal(t, 1, runs)
	assert.Zero(t, overdue)

	time.Sleep(time.Until(learned.Add(2200 * time.Millisecond)))
	for _, worker := range s.models {
		worker.SetQueueWait(3100 * time.Millisecond)
	}
	s.do(call{path: "/chat/x", adapter: "a1"})
	var began, late int
	for _, worker := range s.models {
		for _, run := range worker.Runs() {
			switch after := run.Began.Sub(learned); {
			case after > versionLimit:
				late++
				began++
			case after > 0:
				began++
			}
		}
	}
	assert.Zero(t, late)
	s.waitFor("figures and lines agree with the endpoints", func() bool {
		runs, overdue = s.formerRuns(0)
		return runs == began && overdue == late && len(s.overdueLines(0)) == late
	})
	for _, one := range s.overdueLines(0) {
		assert.Greater(t, one.AgeMS, versionLimit.Milliseconds())
		one.AgeMS, one.Request, one.Endpoint = 0, "", ""
		assert.Equal(t, overdueLine{Message: one.Message, Adapter: standin.Model + "/a1", Version: 1, Newer: 2, LimitMS: versionLimit.Milliseconds()}, one)
	}
}

// TestTheLineTellsTheVersionThatWasDemanded: of an endpoint that holds the named version, nothing else is accepted.
func TestTheLineTellsTheVersionThatWasDemanded(t *testing.T) {
	s := newSite(t, 1)
	for _, worker := range s.models {
		worker.Name("a1", 2)
	}
	s.nameSecondVersion()
	s.waitFor("the version is named", func() bool { return s.logged(0, "version named") })
	s.waitFor("the adapter is served", func() bool { return s.serves(0, "a1") })
	got := s.do(call{path: "/chat/x", adapter: "a1"})
	require.Equal(t, http.StatusOK, got.Status)
	attempt := s.lineOf(0, got.ID).Attempts[0]
	assert.EqualValues(t, 2, attempt.VersionDemanded)
	assert.EqualValues(t, 2, attempt.VersionHeld)
	assert.Zero(t, attempt.FormerLeftMS)
	runs, _ := s.formerRuns(0)
	assert.Zero(t, runs)
}
