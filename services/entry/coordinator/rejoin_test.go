// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/coordinator"
)

// joinLacking joins as a member that has read none of the operators' keys, reports at a pace, and gives when keys come.
func (s *site) joinLacking(t *testing.T, instance string) (*peer, <-chan time.Time) {
	t.Helper()
	link := s.join(t)
	came := make(chan time.Time, 1)
	require.NoError(t, link.Send(wireMessage{Report: &wireReport{Instance: instance}}))
	go func() {
		for {
			received, err := link.Receive(waitLimit, time.Now)
			if err != nil {
				return
			}
			if received.View != nil && len(received.View.Items) > 0 {
				came <- time.Now()
				return
			}
			_ = link.Send(wireMessage{Report: &wireReport{Instance: instance}})
		}
	}()
	return link, came
}

// TestKeysLostWithALinkAreSentOverTheNextOne is a member that restarts, or dials again, while keys are under way to it: what was on the
// former link is lost.
func TestKeysLostWithALinkAreSentOverTheNextOne(t *testing.T) {
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	link, came := s.joinLacking(t, "peer")
	select {
	case <-came:
	case <-time.After(waitLimit):
		require.FailNow(t, "no keys come")
	}
	// The process ends before it reports them, and the next one joins at once.
	link.Close()
	rejoined := time.Now()
	_, came = s.joinLacking(t, "peer")
	select {
	case at := <-came:
		assert.Less(t, at.Sub(rejoined), time.Second)
	case <-time.After(waitLimit):
		require.FailNow(t, "no keys come over the second link")
	}
}

// TestQuietMembersGetALargeConfigurationSoon is the window while nothing else changes: a report frees a place in it, which the next
// member has to get at once and not with the next heartbeat. One member that lacks nothing counts the heartbeats meanwhile.
func TestQuietMembersGetALargeConfigurationSoon(t *testing.T) {
	const (
		members = 12
		// mostHeartbeats pass until all have the keys: patience of 0.8 s is two or three of them, a place a heartbeat would be
		// fifteen.
		mostHeartbeats = 8
	)
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	s.store.put(configurationKey, string(make([]byte, 600<<10)))
	done := make(chan struct{}, members)
	for i := range members {
		go s.readKeysOnce(t, string(rune('a'+i)), done)
	}
	known, err := s.store.get(t.Context(), configurationKey)
	require.NoError(t, err)
	observer := s.join(t)
	report := wireMessage{Report: &wireReport{Instance: "observer", ConfigurationAt: known.Revision}}
	require.NoError(t, observer.Send(report))
	heartbeats := 0
	for len(done) < members {
		told := receive(t, observer, func(m wireMessage) bool { return m.View != nil })
		if told.View.Heartbeat {
			heartbeats++
			_ = observer.Send(report)
		}
		require.LessOrEqual(t, heartbeats, mostHeartbeats, "%d of %d members have the keys", len(done), members)
	}
}

// readKeysOnce joins as a member that lacks the operators' keys, reports them when they come, and tells so.
func (s *site) readKeysOnce(t *testing.T, instance string, done chan<- struct{}) {
	link := s.join(t)
	report := &wireReport{Instance: instance}
	_ = link.Send(wireMessage{Report: report})
	for {
		received, err := link.Receive(waitLimit, time.Now)
		if err != nil {
			return
		}
		if received.View != nil && len(received.View.Items) > 0 && report.ConfigurationAt == 0 {
			report.ConfigurationAt = received.View.ConfigurationAt
			done <- struct{}{}
		}
		_ = link.Send(wireMessage{Report: report})
	}
}
