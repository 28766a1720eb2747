// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

// TestCallersOfManyAdaptersAreServedWithOneLimitedEndpoint uses more adapters than the endpoints without a limit have free places for.
func TestCallersOfManyAdaptersAreServedWithOneLimitedEndpoint(t *testing.T) {
	const (
		adapters     = 20
		addedWorkers = 2
	)
	s := newSite(t, 3)
	for i := range addedWorkers {
		worker := standin.NewWorker(s.store, standin.WorkerOptions{
			ID: fmt.Sprintf("i-more-%d", i), Service: standin.ModelService, Zone: "h1", Slots: 8, Model: standin.Model,
			Capacity: 8, LoadTime: 30 * time.Millisecond, Events: 5, Pause: 5 * time.Millisecond,
		})
		t.Cleanup(worker.Close)
	}
	var calls []call
	for i := range adapters {
		calls = append(calls, call{entry: i % len(s.entries), path: standin.StreamPrefix + "x", adapter: fmt.Sprint("a", i)})
	}
	c := s.startCallers(100*time.Millisecond, calls...)
	time.Sleep(propagationLimit)
	before := c.count(http.StatusServiceUnavailable)
	s.models[0].SetFaults(standin.WorkerFaults{Says: standin.Notice{Limit: "0.5"}})
	time.Sleep(propagationLimit)
	rejected, served := c.count(http.StatusServiceUnavailable), c.count(http.StatusOK)
	time.Sleep(2 * propagationLimit)
	c.end()
	t.Logf("rejected before the limit: %d, right after it: %d, later: %d; served later: %d", before, rejected-before, c.count(http.StatusServiceUnavailable)-rejected, c.count(http.StatusOK)-served)
	assert.LessOrEqual(t, c.count(http.StatusServiceUnavailable)-rejected, (c.count(http.StatusOK)-served)/100)
}
