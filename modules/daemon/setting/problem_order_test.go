// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package setting_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/modules/daemon/setting"
)

// TestProblemOrderIsDeterministic parses settings with many invalid durations of one topic, which are checked from a map.
func TestProblemOrderIsDeterministic(t *testing.T) {
	var durations []string
	for _, name := range []string{
		"heartbeat", "lost_after", "settle", "digest", "hall_silence", "inspect", "grant_age", "start_within", "lease_ttl", "lease_margin", "lease_renew",
	} {
		durations = append(durations, fmt.Sprintf("%q: \"0s\"", name))
	}
	text := []byte(fmt.Sprintf(`{"instance": {"id": "i1"}, "timing": {%s}}`, strings.Join(durations, ",\n")))
	_, first := setting.Parse("file", text)
	require.Error(t, first)
	// With eleven invalid durations in random order, the same order in all 100 attempts is practically impossible.
	for range 100 {
		_, err := setting.Parse("file", text)
		require.EqualError(t, err, first.Error())
	}
}
