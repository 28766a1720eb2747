// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// versionLimit is how long a request may begin on the former version, as the stand-in's settings say.
const versionLimit = 5 * time.Second

// TestAQueuedRequestBeginsOnNoFormerVersionAfterItsTime plays one request of lpis-ledge, day trouble-3: it was sent to an
// endpoint while the former version was allowed, and began there after its time, since it waited in the endpoint's own queue.
func TestAQueuedRequestBeginsOnNoFormerVersionAfterItsTime(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	for _, worker := range s.models {
		worker.SetLoadTime(time.Minute)
		worker.SetQueueWait(3 * time.Second)
	}
	var callers sync.WaitGroup
	defer callers.Wait()
	ask := func() { callers.Go(func() { s.do(call{path: "/chat/x", adapter: "a1"}) }) }
	ask()
	// The new version comes too late for both requests; the store's answer is its acknowledgement.
	s.store.Put("op/version/base.a1", map[string]any{"model": standin.Model, "adapter": "a1", "version": 2})
	acknowledged := time.Now()
	s.waitFor("the version is named", func() bool { return s.logged(0, "version named") })
	time.Sleep(time.Until(acknowledged.Add(2200 * time.Millisecond)))
	ask()
	time.Sleep(time.Until(acknowledged.Add(versionLimit + time.Second)))
	for _, worker := range s.models {
		for _, run := range worker.Runs() {
			assert.Less(t, run.Began.Sub(acknowledged), versionLimit, "%s began on version %d", run.ID, run.Version)
		}
	}
}

// TestTheFormerVersionServesWhereNobodyWaits: until its time is over, the former version goes on serving.
func TestTheFormerVersionServesWhereNobodyWaits(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	for _, worker := range s.models {
		worker.SetLoadTime(time.Minute)
	}
	s.store.Put("op/version/base.a1", map[string]any{"model": standin.Model, "adapter": "a1", "version": 2})
	s.waitFor("the version is named", func() bool { return s.logged(0, "version named") })
	for range 10 {
		assert.Equal(t, http.StatusOK, s.do(call{path: "/chat/x", adapter: "a1"}).Status)
	}
}

// TestANewerNameBringsNoVersionBackWhoseTimeIsOver: version 1 had its time when version 2 was named, and gets none with version 3.
func TestANewerNameBringsNoVersionBackWhoseTimeIsOver(t *testing.T) {
	s := newSite(t, 1)
	require.True(t, s.serves(0, "a1"))
	for _, worker := range s.models {
		worker.SetLoadTime(time.Minute)
	}
	name := func(version int) {
		s.store.Put("op/version/base.a1", map[string]any{"model": standin.Model, "adapter": "a1", "version": version})
		s.waitFor("the version is named", func() bool { return s.logged(0, fmt.Sprintf(`"version":%d}`, version)) })
	}
	name(2)
	time.Sleep(versionLimit / 2)
	name(3)
	got := s.do(call{path: "/chat/x", adapter: "a1"})
	assert.Equal(t, http.StatusServiceUnavailable, got.Status)
	assert.Zero(t, s.runsOf(got.ID))
}
