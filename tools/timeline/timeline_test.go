// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tools/timeline"
)

func TestEventsAtSameTimeRunInOrderOfAddition(t *testing.T) {
	start := time.Unix(0, 0)
	var queue timeline.Timeline
	var ran []string
	record := func(name string) func(time.Time) { return func(time.Time) { ran = append(ran, name) } }
	queue.Add(start.Add(2*time.Second), record("late"))
	queue.Add(start.Add(time.Second), record("first"))
	queue.Add(start.Add(time.Second), record("second"))
	now := start
	queue.RunUntil(&now, start.Add(time.Second))
	require.Equal(t, []string{"first", "second"}, ran)
	require.Equal(t, start.Add(time.Second), now)
	require.True(t, queue.Step(&now))
	require.Equal(t, start.Add(2*time.Second), now)
	require.False(t, queue.Step(&now))
}
