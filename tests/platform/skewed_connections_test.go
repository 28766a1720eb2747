// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	// skewedCallers is the number of callers of each kind, skewedShare the part of them that goes to one instance.
	skewedCallers = 20
	skewedShare   = 0.9
	// manyInstances is the size of a site where each instance's part of an endpoint's connections is small, and fewInstances the number of
	// instances that skewedShare of the connections go to.
	manyInstances, fewInstances = 30, 3
	// endpointConnections is how many connections an endpoint accepts.
	endpointConnections = 60
	// busyCallers is how many callers keep the endpoints of a service busy, with some nine tenths of their slots in use.
	busyCallers = 100
	// minSkewedShare is how often requests must be served at the first attempt, compared with before.
	minSkewedShare = 0.75
)

// TestInstanceWithMostConnectionsServesItsCallers guards against an instance that refuses callers while the other instances have few: it takes
// more than its part of the endpoints then.
func TestInstanceWithMostConnectionsServesItsCallers(t *testing.T) {
	brittle := standin.Room{Slots: 8, Brittle: brittleRejections, Falls: true}
	for name, test := range map[string]struct {
		entries int
		room    standin.Room
	}{
		"endpoints with room":                        {6, standin.Room{}},
		"endpoints with few slots":                   {6, standin.Room{Slots: 8, Queue: 2}},
		"brittle endpoints":                          {6, brittle},
		"thirty instances, brittle endpoints":        {30, brittle},
		"thirty instances, endpoints with few slots": {30, standin.Room{Slots: 8, Queue: 2}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCrashSite(t, test.entries, 12)
			c.waitForInitialWorkersGone()
			for _, worker := range c.restarting {
				worker.setRoom(test.room)
			}
			for adapter := range adaptersBeforeCut {
				request := call{path: standin.StreamPrefix + "x", adapter: fmt.Sprintf("a%d", adapter)}
				require.Equal(t, http.StatusOK, c.sendWithRetry(request).Status)
			}
			var isSkewed atomic.Bool
			var requests soundRequests
			for caller := range skewedCallers {
				for _, class := range tryClasses(caller) {
					c.repeatRandomly(2*class.pause, func() {
						request := class.call
						request.entry = rand.IntN(len(c.entries))
						if isSkewed.Load() && rand.Float64() < skewedShare {
							request.entry = 0
						}
						status := c.try(request).Status
						requests.sent.Add(1)
						if status == http.StatusOK {
							requests.served.Add(1)
						}
					})
				}
			}
			before := requests.during(measuredTime)
			isSkewed.Store(true)
			time.Sleep(contactTime)
			during := requests.during(measuredTime)
			c.end()
			t.Logf("served at the first attempt: %.3f before, %.3f while most go to one instance; %d workers fell over", before, during, fallenWorkers(c.restarting))
			assert.GreaterOrEqual(t, during, minSkewedShare*before)
		})
	}
}

// TestFewInstancesWithMostConnectionsServeTheirCallers guards against an instance that refuses callers for want of its part of an endpoint's
// connections while the other instances use none of theirs.
func TestFewInstancesWithMostConnectionsServeTheirCallers(t *testing.T) {
	t.Parallel()
	c := newCrashSite(t, manyInstances, 12)
	c.store.Put(standin.ConfigurationKey, standin.WithMaxConnections(standin.Configuration(2, nil), endpointConnections))
	c.waitForInitialWorkersGone()
	for _, worker := range c.restarting {
		worker.setRoom(standin.Room{MaxConnections: endpointConnections})
	}
	var isSkewed atomic.Bool
	var requests soundRequests
	for range busyCallers {
		c.repeatRandomly(80*time.Millisecond, func() {
			request := call{path: standin.StreamPrefix + "x?events=5&pause_ms=40", header: map[string]string{"X-Model": standin.Model}}
			request.entry = rand.IntN(len(c.entries))
			if isSkewed.Load() && rand.Float64() < skewedShare {
				request.entry = rand.IntN(fewInstances)
			}
			status := c.try(request).Status
			requests.sent.Add(1)
			if status == http.StatusOK {
				requests.served.Add(1)
			}
		})
	}
	time.Sleep(contactTime)
	before := requests.during(measuredTime)
	isSkewed.Store(true)
	time.Sleep(contactTime)
	during := requests.during(measuredTime)
	c.end()
	resets := 0
	for _, worker := range c.restarting {
		resets += worker.current().ResetConnections()
	}
	t.Logf("served at the first attempt: %.3f before, %.3f while most go to few instances; %d connections reset by endpoints", before, during, resets)
	assert.GreaterOrEqual(t, during, minSkewedShare*before)
	assert.Zero(t, resets, "connections beyond those that an endpoint accepts")
}
