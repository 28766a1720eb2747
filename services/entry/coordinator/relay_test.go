// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package coordinator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/services/entry/coordinator"
)

const (
	// slowMembers is the number of members that read nothing, largeValue the size of a large configuration in bytes, and
	// maxQueuedBytes the bound on the bytes that are queued for all members together.
	slowMembers    = 24
	largeValue     = 256 << 10
	maxQueuedBytes = 4 << 20
	// observationTime is how long a test observes the instance: several heartbeats.
	observationTime = 2 * time.Second
)

// TestQueueForSlowMembersIsBounded guards against a failure with large configurations: members that had not read the
// configuration yet were sent it again with each view, until the planner ran out of memory.
func TestQueueForSlowMembersIsBounded(t *testing.T) {
	f := newFixture()
	f.start(t)
	f.waitForStatus(t, "becomes planner", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	for i := range slowMembers {
		f.joinMember(t, fmt.Sprintf("slow-%d", i))
	}
	f.waitForStatus(t, "has all members", func(status coordinator.Status) bool { return status.Members == slowMembers+1 })
	f.store.put(configurationKey, strings.Repeat("x", largeValue))
	var most int64
	for end := time.Now().Add(observationTime); time.Now().Before(end); time.Sleep(pollInterval) {
		most = max(most, f.instance.Status().PeerQueueBytes)
	}
	assert.LessOrEqual(t, most, int64(maxQueuedBytes))
}

// TestKeysAreReportedOnlyOnRequest covers the same failure in the other direction: all instances sent a large
// configuration with each report to a planner that had just started.
func TestKeysAreReportedOnlyOnRequest(t *testing.T) {
	f := newFixture()
	f.setOtherPlanner(t)
	f.start(t)
	planner := f.acceptDial(t)
	receiveUntil(t, planner, func(m wireMessage) bool { return m.Report != nil })
	lacking := func(keysFrom string) wireMessage {
		v := fullView(4, "a1")
		v.ConfigurationAt, v.AsksForKeys, v.KeysFrom = 0, true, keysFrom
		return wireMessage{View: v}
	}
	for end := time.Now().Add(observationTime / 2); time.Now().Before(end); {
		require.NoError(t, planner.Send(lacking("")))
		message := receiveUntil(t, planner, func(m wireMessage) bool { return m.Report != nil })
		require.Empty(t, message.Report.Items, "the planner requested no keys from this instance")
	}
	require.NoError(t, planner.Send(lacking(selfName)))
	message := receiveUntil(t, planner, func(m wireMessage) bool { return m.Report != nil && len(m.Report.Items) > 0 })
	assert.Equal(t, configurationKey, message.Report.Items[0].Key)
}
