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
// member has to get at once and not with the next heartbeat.
func TestQuietMembersGetALargeConfigurationSoon(t *testing.T) {
	const members = 8
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	s.store.put(configurationKey, string(make([]byte, 600<<10)))
	begun := time.Now()
	done := make(chan time.Time, members)
	for i := range members {
		go func() {
			link := s.join(t)
			report := &wireReport{Instance: string(rune('a' + i))}
			_ = link.Send(wireMessage{Report: report})
			for {
				received, err := link.Receive(waitLimit, time.Now)
				if err != nil {
					return
				}
				if received.View != nil && len(received.View.Items) > 0 && report.ConfigurationAt == 0 {
					report.ConfigurationAt = received.View.ConfigurationAt
					done <- time.Now()
				}
				_ = link.Send(wireMessage{Report: report})
			}
		}()
	}
	var last time.Time
	for range members {
		select {
		case last = <-done:
		case <-time.After(10 * time.Second):
			require.FailNow(t, "not all get the keys")
		}
	}
	assert.Less(t, last.Sub(begun), 1500*time.Millisecond, "the links are those of a machine itself; patience is 0.8 s")
}
