// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package platform_test

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	standin "github.com/shelfledge/shelfledge/tests/platformstandin"
)

const (
	// settledAge is the age from which on a stream has to go on after the loss of all instances.
	settledAge = 500 * time.Millisecond
	// restarts is how often all instances are lost in a row.
	restarts = 3
)

// restartAll kills all instances at once and starts them again.
func (s *site) restartAll() {
	s.t.Helper()
	s.killAll()
	s.startAll()
}

// killAll kills all instances at once.
func (s *site) killAll() {
	for entry := range s.entries {
		s.kill(entry)
	}
}

// startAll starts all instances again and waits until they are ready.
func (s *site) startAll() {
	s.t.Helper()
	for entry := range s.entries {
		s.entries[entry] = s.startEntry(entry)
	}
	s.waitFor("all instances are ready", func() bool {
		for entry := range s.entries {
			if !s.isReady(entry) {
				return false
			}
		}
		return true
	})
}

// TestTakenUpStreamGoesOnAfterAllInstancesRestarted guards against streams that are refused since every instance that knew where they began was
// lost at once.
func TestTakenUpStreamGoesOnAfterAllInstancesRestarted(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	s.addOtherSoftware()
	for range restarts {
		streams := s.beginStreams(0)
		require.False(t, t.Failed())
		time.Sleep(settledAge)
		s.restartAll()
		continued := s.takeUp(streams, []int{0, 1, 2}, takenUpEvents-eventsPerTry, namingFirst)
		s.assertOneSoftware(streams)
		assert.Equal(t, takenUpStreams, continued, "streams that went on")
	}
}

// TestTakenUpStreamOfOnlySoftwareGoesOnAfterAllInstancesRestarted guards against streams that are refused although only one software version ever
// served.
func TestTakenUpStreamOfOnlySoftwareGoesOnAfterAllInstancesRestarted(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	streams := s.beginStreams(0)
	s.restartAll()
	continued := s.takeUp(streams, []int{0, 1, 2}, takenUpEvents-eventsPerTry, namingFirst)
	s.assertOneSoftware(streams)
	assert.Equal(t, takenUpStreams, continued, "streams that went on")
}

// TestStreamIsSentOnToItsFirstSoftwareOnly guards against streams that begin at another software version than the one where others were told to
// expect them.
func TestStreamIsSentOnToItsFirstSoftwareOnly(t *testing.T) {
	t.Parallel()
	const streams = 24
	s := newSite(t, 2)
	s.addOtherSoftware()
	s.models[0].SetFaults(standin.WorkerFaults{Sheds: streams})
	s.models[2].SetFaults(standin.WorkerFaults{Resets: streams})
	var callers sync.WaitGroup
	ids := make([]string, streams)
	for i := range ids {
		callers.Go(func() { ids[i] = s.do(signedStream(i%2, eventsPerTry, takenUpPause, "")).ID })
	}
	callers.Wait()
	s.waitFor("all requests are logged", func() bool { return len(s.requestsOf(0, ids))+len(s.requestsOf(1, ids)) == streams })
	software := make(map[string]map[string]bool)
	sentOn := 0
	for entry := range s.entries {
		for _, request := range s.requestsOf(entry, ids) {
			software[request.Request] = make(map[string]bool)
			for _, made := range request.Attempts {
				software[request.Request][strings.TrimRight(made.Endpoint, "0123456789")] = true
			}
			if len(request.Attempts) > 1 {
				sentOn++
			}
		}
	}
	assert.Len(t, software, streams)
	assert.GreaterOrEqual(t, sentOn, streams/4, "streams that were sent on")
	for id, versions := range software {
		assert.Len(t, versions, 1, "%s was sent to %v", id, versions)
	}
}

// loggedRequest is a request as its instance logged it.
type loggedRequest struct {
	Request  string `json:"request"`
	Attempts []struct {
		Endpoint string `json:"endpoint"`
	} `json:"attempts"`
}

// requestsOf returns those of some requests that an instance logged.
func (s *site) requestsOf(entry int, ids []string) []loggedRequest {
	var found []loggedRequest
	for line := range strings.Lines(s.entries[entry].log.String()) {
		var logged loggedRequest
		if json.Unmarshal([]byte(line), &logged) == nil && slices.Contains(ids, logged.Request) {
			found = append(found, logged)
		}
	}
	return found
}
