// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package timeline_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/tools/timeline"
)

func TestEventsOfOneTimeHappenInTheOrderOfTheirAddition(t *testing.T) {
	start := time.Unix(0, 0)
	var line timeline.Timeline
	var happened []string
	note := func(name string) func(time.Time) { return func(time.Time) { happened = append(happened, name) } }
	line.Add(start.Add(2*time.Second), note("late"))
	line.Add(start.Add(time.Second), note("first"))
	line.Add(start.Add(time.Second), note("second"))
	now := start
	line.Until(&now, start.Add(time.Second))
	require.Equal(t, []string{"first", "second"}, happened)
	require.Equal(t, start.Add(time.Second), now)
	require.True(t, line.Step(&now))
	require.Equal(t, start.Add(2*time.Second), now)
	require.False(t, line.Step(&now))
}
