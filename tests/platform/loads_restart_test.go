// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	// loadWindow and allowedLoads bound the loads of base models at loadRate a second, as the users' platform does. standin.Settings sets the window
	// and the tolerance.
	loadWindow   = 5 * time.Second
	loadRate     = 1
	allowedLoads = 8
	// coldWorkers is the number of workers that hold no base model at first.
	coldWorkers = 24
	// loadRounds is how often all instances are lost repeatedly right after loads of base models began.
	loadRounds = 2
)

// TestPlacesAreKeptAlthoughAllInstancesRestartDuringLoads guards against endpoints that are ordered beyond their places, and against two holders of
// one fencing token, since every instance that knew of a load was lost.
func TestPlacesAreKeptAlthoughAllInstancesRestartDuringLoads(t *testing.T) {
	t.Parallel()
	const adapters = 40
	s := newSite(t, 3)
	for _, worker := range s.models {
		worker.SetLoadTime(400 * time.Millisecond)
	}
	var calls []call
	for i := range adapters {
		calls = append(calls, call{entry: i % len(s.entries), path: standin.StreamPrefix + "x", adapter: fmt.Sprint("a", i)})
	}
	c := s.startCallers(20*time.Millisecond, calls...)
	for range restarts {
		s.waitFor("loads are under way", func() bool {
			return slices.ContainsFunc(s.models, func(worker *standin.Worker) bool { return worker.Loading() > 0 })
		})
		s.restartAll()
		time.Sleep(restartPause)
	}
	served := c.count(http.StatusOK)
	s.waitFor("requests are served again", func() bool { return c.count(http.StatusOK) > served+adapters })
	c.end()
	s.assertOrdersConsistent()
}

// TestLoadsOfBaseModelsStayWithinRateAlthoughAllInstancesRestart guards against more loads from the weight store than it allows, since every instance
// that had counted them was lost.
func TestLoadsOfBaseModelsStayWithinRateAlthoughAllInstancesRestart(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	s.store.Put("op/config", standin.WithLoadRate(standin.WithLongDeadlineRoute(standin.Configuration(2, nil)), loadRate))
	s.addColdWorkers()
	var calls []call
	for i := range 8 * coldWorkers {
		calls = append(calls, call{entry: i % len(s.entries), path: standin.StreamPrefix + "x", adapter: fmt.Sprint("a", i)})
	}
	c := s.startCallers(20*time.Millisecond, calls...)
	for range loadRounds {
		began := len(s.modelLoads())
		s.waitFor("loads of base models begin", func() bool { return len(s.modelLoads()) > began })
		for range restarts {
			s.restartAll()
			time.Sleep(restartPause)
		}
	}
	time.Sleep(loadWindow)
	c.end()
	loads := s.modelLoads()
	t.Logf("loads of base models: %d, most in %s: %d", len(loads), loadWindow, maxWithin(loads, time.Time{}, loadWindow))
	assert.LessOrEqual(t, maxWithin(loads, time.Time{}, loadWindow), allowedLoads)
	s.assertOrdersConsistent()
}

// addColdWorkers adds workers that hold no base model.
func (s *site) addColdWorkers() {
	for i := range coldWorkers {
		s.models = append(s.models, standin.NewWorker(s.store, standin.WorkerOptions{
			ID: fmt.Sprintf("i-cold-%d", i), Service: standin.ModelService, Zone: "h1", Slots: 8, Model: standin.Model, Unloaded: true,
			Capacity: 8, LoadTime: 300 * time.Millisecond, Events: 5, Pause: 5 * time.Millisecond,
		}))
	}
	require.Len(s.t, s.models, fewWorkers+coldWorkers)
}

// modelLoads returns when loads of base models began, in order.
func (s *site) modelLoads() []time.Time {
	var loads []time.Time
	for _, worker := range s.models {
		loads = append(loads, worker.ModelLoads()...)
	}
	slices.SortFunc(loads, time.Time.Compare)
	return loads
}
