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

// otherSoftware is the software version of the workers that addOtherSoftware adds.
const otherSoftware = "v1.2"

// signedStream returns a call for a resumable stream whose events name their worker. An empty adapter requests the base model.
func signedStream(entry, events int, pause time.Duration, adapter string) call {
	path := fmt.Sprintf("%sx?%s&events=%d&pause_ms=%d", standin.ResumePrefix, standin.SignedParameter, events, pause.Milliseconds())
	c := call{entry: entry, path: path, adapter: adapter, header: map[string]string{}}
	if adapter == "" {
		c.header["X-Model"] = standin.Model
	}
	return c
}

// addOtherSoftware adds two workers of the model service with another software version, and waits until all instances use all workers.
func (s *site) addOtherSoftware() {
	s.t.Helper()
	for i := range 2 {
		s.models = append(s.models, standin.NewWorker(s.store, standin.WorkerOptions{
			ID: fmt.Sprintf("i-other-%d", i), Service: standin.ModelService, Zone: "h1", Slots: 8, Model: standin.Model, Software: otherSoftware,
			Capacity: 8, LoadTime: 30 * time.Millisecond, Events: 5, Pause: 5 * time.Millisecond,
		}))
	}
	for entry, e := range s.entries {
		if !e.ended {
			s.waitUntilUsed(entry, s.models[len(s.models)-2:])
		}
	}
}

// waitUntilUsed waits until streams that begin at an instance ran at each of the workers.
func (s *site) waitUntilUsed(entry int, workers []*standin.Worker) {
	s.t.Helper()
	used := make(map[string]bool)
	s.waitFor("the instance uses the workers", func() bool {
		var callers sync.WaitGroup
		var mutex sync.Mutex
		for range 2 * len(s.models) {
			callers.Go(func() {
				answer := s.do(signedStream(entry, 2, 20*time.Millisecond, ""))
				mutex.Lock()
				defer mutex.Unlock()
				for _, maker := range standin.Makers(answer.Body) {
					used[maker.Worker] = true
				}
			})
		}
		callers.Wait()
		for _, worker := range workers {
			if !used[worker.ID()] {
				return false
			}
		}
		return true
	})
}

// softwareOf returns the software versions that made the events of a stream.
func softwareOf(makers []standin.Maker) map[string]bool {
	versions := make(map[string]bool)
	for _, maker := range makers {
		versions[maker.Software] = true
	}
	return versions
}

// hasEachEventOnce reports whether a stream has the events from 1 to count, each once and in order.
func hasEachEventOnce(makers []standin.Maker, count int) bool {
	if len(makers) != count {
		return false
	}
	for i, maker := range makers {
		if maker.Event != i+1 {
			return false
		}
	}
	return true
}

// brokenStreams counts the streams that an endpoint broke off.
type brokenStreams struct {
	count, continued, mixed int
}

// add counts an answer if more than one endpoint, or one endpoint more than once, ran it.
func (b *brokenStreams) add(t *testing.T, answer standin.Answer, runs, events int) {
	t.Helper()
	if runs < 2 && answer.Err == nil {
		return
	}
	b.count++
	makers := standin.Makers(answer.Body)
	if len(softwareOf(makers)) > 1 {
		b.mixed++
		t.Logf("%s: %v", answer.ID, makers)
	}
	if answer.Err == nil && hasEachEventOnce(makers, events) {
		b.continued++
	}
}

// TestBrokenStreamGoesOnAtSoftwareThatBeganIt guards against an answer that holds the events of two software versions.
func TestBrokenStreamGoesOnAtSoftwareThatBeganIt(t *testing.T) {
	t.Parallel()
	const events, perTurn, turns = 8, 8, 8
	s := newSite(t, 1)
	s.addOtherSoftware()
	var streams brokenStreams
	for range turns {
		s.setModelFaults(standin.WorkerFaults{Breaks: 1, BreakAfter: 2})
		answers := make([]standin.Answer, perTurn)
		var callers sync.WaitGroup
		for i := range answers {
			callers.Go(func() { answers[i] = s.do(signedStream(0, events, 10*time.Millisecond, "")) })
		}
		callers.Wait()
		for _, answer := range answers {
			streams.add(t, answer, s.runCount(answer.ID), events)
		}
	}
	t.Logf("%d streams broken off, %d went on, %d with two software versions", streams.count, streams.continued, streams.mixed)
	require.GreaterOrEqual(t, streams.count, turns)
	assert.Zero(t, streams.mixed)
	assert.GreaterOrEqual(t, 10*streams.continued, 9*streams.count)
}

// TestAdapterIsLoadedAtSoftwareThatBeganStream guards against a stream that goes on at another software version, or not at all, since only
// endpoints of another version have its adapter.
func TestAdapterIsLoadedAtSoftwareThatBeganStream(t *testing.T) {
	t.Parallel()
	const events, adapters = 12, 6
	s := newSite(t, 1)
	s.addOtherSoftware()
	first, second := s.models[0], s.models[1]
	answers := make([]standin.Answer, adapters)
	var callers sync.WaitGroup
	for i := range adapters {
		require.Equal(t, http.StatusAccepted, orderVersion(t, first, fmt.Sprintf("rare%d", i), 1))
	}
	time.Sleep(2 * standin.HeartbeatInterval)
	for i := range adapters {
		callers.Go(func() { answers[i] = s.do(signedStream(0, events, 200*time.Millisecond, fmt.Sprintf("rare%d", i))) })
	}
	s.waitFor("the streams run", func() bool { return len(adaptersRunBy(first)) == adapters })
	for i := range adapters {
		orderVersion(t, s.models[2+i%2], fmt.Sprintf("rare%d", i), 1)
	}
	time.Sleep(2 * standin.HeartbeatInterval)
	require.False(t, hasLoadOrder(second, "rare0"), "the adapter is only at the other software version")
	first.Crash()
	callers.Wait()
	continued := 0
	for _, answer := range answers {
		makers := standin.Makers(answer.Body)
		assert.Len(t, softwareOf(makers), 1, "%v", makers)
		if answer.Err == nil && hasEachEventOnce(makers, events) {
			continued++
		}
	}
	assert.GreaterOrEqual(t, continued, adapters-1, "streams that went on")
	assert.True(t, hasLoadOrder(second, "rare0"), "the adapter is loaded at the software version of the stream")
}

// adaptersRunBy returns the adapters whose requests a worker began to run.
func adaptersRunBy(worker *standin.Worker) map[string]bool {
	adapters := make(map[string]bool)
	for _, run := range worker.Runs() {
		if run.Adapter != "" {
			adapters[run.Adapter] = true
		}
	}
	return adapters
}

// hasLoadOrder reports whether a worker was ordered to load an adapter.
func hasLoadOrder(worker *standin.Worker, adapter string) bool {
	for _, order := range worker.Orders() {
		if order.Operation == "load" && order.Adapter == adapter {
			return true
		}
	}
	return false
}

// TestBrokenStreamEndsIfItsSoftwareHasGone guards against a stream that goes on at the only software version that is left.
func TestBrokenStreamEndsIfItsSoftwareHasGone(t *testing.T) {
	t.Parallel()
	const events, streams = 12, 8
	s := newSite(t, 1)
	answers := make([]standin.Answer, streams)
	var callers sync.WaitGroup
	for i := range streams {
		callers.Go(func() { answers[i] = s.do(signedStream(0, events, 300*time.Millisecond, "")) })
	}
	s.waitFor("the streams run", func() bool { return len(standin.RunCounts(s.models...)) == streams })
	s.addOtherSoftware()
	for _, worker := range s.models[:2] {
		worker.Deregister()
	}
	time.Sleep(2 * standin.HeartbeatInterval)
	for _, worker := range s.models[:2] {
		worker.Crash()
	}
	callers.Wait()
	for _, answer := range answers {
		makers := standin.Makers(answer.Body)
		assert.Error(t, answer.Err)
		assert.Len(t, softwareOf(makers), 1, "%v", makers)
	}
}
