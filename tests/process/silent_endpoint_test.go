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

// routeTimeout is the timeout of the routes of TestAnswersOutlastSilentEndpoints. It is longer than any answer of the test takes.
const routeTimeout = 15 * time.Second

// TestAnswersOutlastSilentEndpoints has callers wait at a real process for answers whose endpoint is silent for more than 3.2 s, the time for
// which callers of the route are expected to wait, while the configuration changes repeatedly.
//
// It guards against streams that may not be resumed and that an instance closes before their end. An endpoint was silent for 3.2 s, and a timer
// of the instance ended the answer. The cause was that the instance ended answers after an estimate of how long their callers would wait; see
// TestSilentEndpointDoesNotEndStream of services/entry/proxy. It was reported for streams during a change of the configuration.
//
// At six real processes, 80 of 80 such streams were interrupted, with and without changes of the configuration.
func TestAnswersOutlastSilentEndpoints(t *testing.T) {
	t.Parallel()
	i := newInstance(t, time.Minute)
	i.store.Put(platformstandin.ConfigurationKey, longTimeoutConfiguration(2))
	i.start(processes.Command{Name: "instance", Program: program(t), Folder: i.folder, Settings: i.settings()})
	i.waitReady()
	i.waitUntilAdapterLoaded()
	stop := make(chan struct{})
	var changing, running sync.WaitGroup
	changing.Go(func() { i.writeConfigurationsUntil(stop) })
	for name, path := range map[string]string{
		"stream":    platformstandin.StreamPrefix + "x?events=2&pause_ms=3800",
		"resumable": platformstandin.ResumePrefix + "x?events=2&pause_ms=3800",
		"safe":      platformstandin.SafePrefix + "x?work_ms=7700",
		"unsafe":    unsafePath + "?work_ms=7700",
	} {
		for number := range 4 {
			running.Go(func() {
				c := i.dial()
				id := fmt.Sprintf("%s-%d", name, number)
				assert.Equal(t, http.StatusOK, c.exchange(requestHead(path, id, adapterHeader, noBody)), "%s gets its complete answer", id)
			})
		}
	}
	running.Wait()
	close(stop)
	changing.Wait()
}

// adapterHeader requests adapter a1. Plain services ignore it.
const adapterHeader = "X-Model: " + platformstandin.Model + "/a1"

// waitUntilAdapterLoaded waits until a request for adapter a1 is served.
func (i *instance) waitUntilAdapterLoaded() {
	i.t.Helper()
	c := i.dial()
	require.True(i.t, processes.Poll(waitTimeout, func() bool {
		return c.exchange(requestHead(platformstandin.StreamPrefix+"x?events=1&pause_ms=1", "first", adapterHeader, noBody)) == http.StatusOK
	}))
}

// writeConfigurationsUntil writes newer configurations, which must not affect requests in flight, until stop is closed.
func (i *instance) writeConfigurationsUntil(stop <-chan struct{}) {
	for version := 3; ; version++ {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
			i.store.Put(platformstandin.ConfigurationKey, longTimeoutConfiguration(version))
		}
	}
}

// longTimeoutConfiguration returns a version of the example configuration with long timeouts, which differ between versions.
func longTimeoutConfiguration(version int) map[string]any {
	configuration := platformstandin.Configuration(version, nil)
	for _, route := range configuration["routes"].([]map[string]any) {
		timeout := routeTimeout - time.Duration(version%3)*time.Second
		route["timeout_ms"] = timeout.Milliseconds()
	}
	configuration["limits"].(map[string]any)["idle_timeout_ms"] = (time.Duration(10+version%5) * time.Second).Milliseconds()
	return configuration
}
