// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/quarantine"
)

func TestProvenRequestsAreHeldByTableThatIsToldThem(t *testing.T) {
	s := newPartFixture("a")
	for crash := range 2 {
		s.crash(fmt.Sprint("e", crash), 1, 2)
		s.now = s.now.Add(time.Second)
	}
	assert.Empty(t, s.Proven(s.now), "two ends prove nothing")
	before := s.Changes()
	s.crash("e2", 1)
	assert.NotEqual(t, before, s.Changes())
	s.now = s.now.Add(quarantine.SettleTime)
	proven := s.Proven(s.now)
	assert.Len(t, proven, 3, "the other part has fewer ends")
	told := newPartFixture("b")
	told.Merge(told.now, proven, false)
	assert.False(t, told.admits(1))
	assert.True(t, told.admits(2))
	before = s.Changes()
	s.RecordAnswered(s.now, request(1))
	assert.NotEqual(t, before, s.Changes())
	assert.Empty(t, s.Proven(s.now))
}

func TestProvenRecordsAreBounded(t *testing.T) {
	s := newPartFixture("a")
	const each = 4
	for number := range byte(100) {
		for crash := range each {
			s.crash(fmt.Sprint("e", number, "-", crash), number+1)
			s.now = s.now.Add(time.Second)
		}
	}
	s.now = s.now.Add(quarantine.SettleTime)
	proven := s.Proven(s.now)
	assert.Len(t, proven, 256)
	assert.Equal(t, request(100), proven[0].Request, "the latest first")
}
