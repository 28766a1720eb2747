// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package process_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tests/platformstandin"
	"github.com/shelfledge/shelfledge/tools/processes"
)

// silentRouteTimeout is the time-out of the routes of TestAnswersOutlastTheSilenceOfTheirEndpoints, longer than what comes there.
const silentRouteTimeout = 15 * time.Second

// TestAnswersOutlastTheSilenceOfTheirEndpoints has real callers wait at a real process for answers whose endpoint is silent for longer
// than callers of the route are expected to listen, 3.2 s, while versions of the configuration follow each other.
//
// What users saw: streams that may not be resumed were closed in their middle beside a new version of the configuration, by real
// processes. The order of events: an endpoint is silent for 3.2 s; a timer of the instance ends the answer. The cause: the instance gave
// up what it held on a guess of how long its caller would listen; see TestNoStreamEndsForTheSilenceOfItsEndpoint of services/entry/proxy.
//
// The evidence: 80 of 80 such streams of six real processes were cut, with and without changes.
func TestAnswersOutlastTheSilenceOfTheirEndpoints(t *testing.T) {
	t.Parallel()
	i := newInstance(t, time.Minute)
	i.store.Put(platformstandin.ConfigurationKey, patientConfiguration(2))
	i.start(processes.Command{Name: "instance", Program: program(t), Folder: i.folder, Settings: i.settings()})
	i.waitReady()
	i.waitLoaded()
	stop := make(chan struct{})
	var changing, running sync.WaitGroup
	changing.Go(func() { i.changeUntil(stop) })
	for name, path := range map[string]string{
		"stream":    platformstandin.StreamPrefix + "x?events=2&pause_ms=3800",
		"resumable": platformstandin.ResumePrefix + "x?events=2&pause_ms=3800",
		"safe":      platformstandin.SafePrefix + "x?work_ms=7700",
		"unsafe":    unsafe + "?work_ms=7700",
	} {
		for number := range 4 {
			running.Go(func() {
				c := i.dial()
				id := fmt.Sprintf("%s-%d", name, number)
				assert.Equal(t, http.StatusOK, c.ask(head(path, id, adapterOne, noBody)), "%s has its whole answer", id)
			})
		}
	}
	running.Wait()
	close(stop)
	changing.Wait()
}

// adapterOne asks for an adapter; plain services pass over it.
const adapterOne = "X-Model: " + platformstandin.Model + "/a1"

// waitLoaded waits until the adapter is there.
func (i *instance) waitLoaded() {
	i.t.Helper()
	c := i.dial()
	require.True(i.t, processes.Poll(patience, func() bool {
		return c.ask(head(platformstandin.StreamPrefix+"x?events=1&pause_ms=1", "first", adapterOne, noBody)) == http.StatusOK
	}))
}

// changeUntil writes newer configurations that change nothing for requests under way.
func (i *instance) changeUntil(stop <-chan struct{}) {
	for version := 3; ; version++ {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
			i.store.Put(platformstandin.ConfigurationKey, patientConfiguration(version))
		}
	}
}

// patientConfiguration gives a version of the example configuration with long time-outs, which differ between versions.
func patientConfiguration(version int) map[string]any {
	configuration := platformstandin.Configuration(version, nil)
	for _, route := range configuration["routes"].([]map[string]any) {
		timeout := silentRouteTimeout - time.Duration(version%3)*time.Second
		route["timeout_ms"] = timeout.Milliseconds()
	}
	configuration["limits"].(map[string]any)["idle_timeout_ms"] = (time.Duration(10+version%5) * time.Second).Milliseconds()
	return configuration
}
