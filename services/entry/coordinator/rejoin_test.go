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

// joinWithoutKeys joins a member that has none of the operators' keys and reports after each message. The returned channel
// receives the time at which keys arrive.
func (f *fixture) joinWithoutKeys(t *testing.T, instance string) (*rawPeer, <-chan time.Time) {
	t.Helper()
	link := f.connectPeer(t)
	keysReceived := make(chan time.Time, 1)
	require.NoError(t, link.Send(wireMessage{Report: &wireReport{Instance: instance}}))
	go func() {
		for {
			received, err := link.Receive(waitLimit, time.Now)
			if err != nil {
				return
			}
			if received.View != nil && len(received.View.Items) > 0 {
				keysReceived <- time.Now()
				return
			}
			_ = link.Send(wireMessage{Report: &wireReport{Instance: instance}})
		}
	}()
	return link, keysReceived
}

// TestKeysAreSentAgainAfterReconnect covers a member that restarts or dials again while keys are being sent to it. What
// was sent over the former link is lost.
func TestKeysAreSentAgainAfterReconnect(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	link, keysReceived := f.joinWithoutKeys(t, "peer")
	select {
	case <-keysReceived:
	case <-time.After(waitLimit):
		require.FailNow(t, "no keys received")
	}
	// The process ends before it reports the keys, and the next one joins at once.
	link.Close()
	rejoined := time.Now()
	_, keysReceived = f.joinWithoutKeys(t, "peer")
	select {
	case at := <-keysReceived:
		assert.Less(t, at.Sub(rejoined), time.Second)
	case <-time.After(waitLimit):
		require.FailNow(t, "no keys received over the second link")
	}
}

// TestLargeConfigurationReachesAllMembersWithoutHeartbeatDelay covers the window of keys in flight while nothing else
// changes. A report frees room in the window, which the next member must get at once and not with the next heartbeat. One
// member that lacks no keys counts the heartbeats meanwhile.
func TestLargeConfigurationReachesAllMembersWithoutHeartbeatDelay(t *testing.T) {
	const (
		members = 12
		// mostHeartbeats is the maximum number of heartbeats until all members have the keys. The delay of 0.8 s before
		// keys are sent takes two or three of them. If room were given only with each heartbeat, fifteen would pass.
		mostHeartbeats = 8
	)
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	f.store.put(configurationKey, string(make([]byte, 600<<10)))
	done := make(chan struct{}, members)
	for i := range members {
		go f.receiveKeysOnce(t, string(rune('a'+i)), done)
	}
	item, err := f.store.get(t.Context(), configurationKey)
	require.NoError(t, err)
	observer := f.connectPeer(t)
	report := wireMessage{Report: &wireReport{Instance: "observer", ConfigurationAt: item.Revision}}
	require.NoError(t, observer.Send(report))
	heartbeats := 0
	for len(done) < members {
		message := receiveUntil(t, observer, func(m wireMessage) bool { return m.View != nil })
		if message.View.Heartbeat {
			heartbeats++
			_ = observer.Send(report)
		}
		require.LessOrEqual(t, heartbeats, mostHeartbeats, "%d of %d members have the keys", len(done), members)
	}
}

// receiveKeysOnce joins a member that lacks the operators' keys, reports the keys when they arrive, and signals done.
func (f *fixture) receiveKeysOnce(t *testing.T, instance string, done chan<- struct{}) {
	link := f.connectPeer(t)
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
