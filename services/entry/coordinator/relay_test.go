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
	// slowMembers is how many members read nothing, largeValue the size of a large configuration, in bytes, and queueBound
	// how much may wait for all members together.
	slowMembers = 24
	largeValue  = 256 << 10
	queueBound  = 4 << 20
	// watchTime is for how long a test looks: several heartbeats.
	watchTime = 2 * time.Second
)

// TestWhatWaitsForSlowMembersIsBounded is the incident of large configurations: members that have not read one yet got it anew with
// each view, until the planner was out of memory.
func TestWhatWaitsForSlowMembersIsBounded(t *testing.T) {
	s := newSite()
	s.start(t)
	s.waitForStatus(t, "plans", func(status coordinator.Status) bool { return status.Planning && status.Endpoints == 1 })
	for i := range slowMembers {
		s.joinAs(t, fmt.Sprintf("slow-%d", i))
	}
	s.waitForStatus(t, "members", func(status coordinator.Status) bool { return status.Members == slowMembers+1 })
	s.store.put(configurationKey, strings.Repeat("x", largeValue))
	var most int64
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(lookPace) {
		most = max(most, s.control.Status().PeerQueueBytes)
	}
	assert.LessOrEqual(t, most, int64(queueBound))
}

// TestKeysAreSentOnlyToAPlannerThatAsks is the same incident the other way round: all instances together sent a large
// configuration to a planner that had just started, with each report.
func TestKeysAreSentOnlyToAPlannerThatAsks(t *testing.T) {
	s := newSite()
	s.planElsewhere(t)
	s.start(t)
	planner := s.link(t)
	receive(t, planner, func(m wireMessage) bool { return m.Report != nil })
	lacking := func(keysFrom string) wireMessage {
		v := fullView(4, "a1")
		v.ConfigurationAt, v.AsksForKeys, v.KeysFrom = 0, true, keysFrom
		return wireMessage{View: v}
	}
	for end := time.Now().Add(watchTime / 2); time.Now().Before(end); {
		require.NoError(t, planner.Send(lacking("")))
		told := receive(t, planner, func(m wireMessage) bool { return m.Report != nil })
		require.Empty(t, told.Report.Items, "another instance may be asked, or none")
	}
	require.NoError(t, planner.Send(lacking(selfName)))
	told := receive(t, planner, func(m wireMessage) bool { return m.Report != nil && len(m.Report.Items) > 0 })
	assert.Equal(t, configurationKey, told.Report.Items[0].Key)
}
