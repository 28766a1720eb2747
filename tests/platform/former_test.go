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

// overdueLine is the line of a request that began on an older version after its time.
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
		if json.Unmarshal([]byte(text), &one) == nil && one.Message == "a request began on an older version after its time" {
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

// TestARunOnAFormerVersionIsSeen: where a request runs on another version than its endpoint was taken to hold, its line tells both, and
// the figures tell how old the newer one was; one that begins after its time has a line of its own.
func TestARunOnAFormerVersionIsSeen(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	for _, worker := range s.models {
		worker.SetLoadTime(300 * time.Millisecond)
		worker.Name("a1", 2)
	}
	ask := func() line {
		got := s.do(call{path: "/chat/x", adapter: "a1"})
		require.Equal(t, http.StatusOK, got.Status)
		told := s.lineOf(0, got.ID)
		require.Len(t, told.Attempts, 1)
		return told
	}
	s.store.Put("op/version/base.a1", map[string]any{"model": standin.Model, "adapter": "a1", "version": 2})
	named := time.Now()
	s.waitFor("the version is named", func() bool { return s.logged(0, "version named") })
	former := ask().Attempts[0]
	require.EqualValues(t, 1, former.VersionRan)
	assert.EqualValues(t, 1, former.VersionHeld)
	assert.Zero(t, former.VersionDemanded)
	assert.Greater(t, former.FormerLeftMS, int64(0))
	assert.LessOrEqual(t, former.FormerLeftMS, (versionLimit / 2).Milliseconds())
	s.waitFor("the former version's run is counted", func() bool {
		runs, overdue := s.formerRuns(0)
		return runs > 0 && overdue == 0
	})

	s.waitFor("the new version is there", func() bool { return ask().Attempts[0].VersionRan == 2 })
	present := ask().Attempts[0]
	assert.EqualValues(t, 2, present.VersionDemanded)
	assert.EqualValues(t, 2, present.VersionHeld)
	assert.Zero(t, present.FormerLeftMS)
	runs, overdue := s.formerRuns(0)
	assert.Zero(t, overdue)
	assert.Empty(t, s.overdueLines(0))

	time.Sleep(time.Until(named.Add(versionLimit + 500*time.Millisecond)))
	s.eachModel(standin.WorkerFaults{Outdated: 1})
	late := ask()
	assert.EqualValues(t, 2, late.Attempts[0].VersionHeld)
	assert.EqualValues(t, 1, late.Attempts[0].VersionRan)
	s.waitFor("it is told", func() bool { return len(s.overdueLines(0)) == 1 })
	told := s.overdueLines(0)[0]
	assert.Greater(t, told.AgeMS, versionLimit.Milliseconds())
	told.AgeMS = 0
	assert.Equal(t, overdueLine{
		Message: told.Message, Request: late.Request, Endpoint: late.Attempts[0].Endpoint, Adapter: standin.Model + "/a1", Version: 1, Newer: 2,
		LimitMS: versionLimit.Milliseconds(),
	}, told)
	s.waitFor("it is counted", func() bool {
		allRuns, allOverdue := s.formerRuns(0)
		return allRuns == runs+1 && allOverdue == 1
	})
}
