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

// TestProblemsComeInTheSameOrderEachTime has many faulty times of one topic.
func TestProblemsComeInTheSameOrderEachTime(t *testing.T) {
	var times []string
	for _, name := range []string{
		"heartbeat", "lost_after", "settle", "digest", "hall_silence", "inspect", "grant_age", "start_within", "lease_ttl", "lease_margin", "lease_renew",
	} {
		times = append(times, fmt.Sprintf("%q: \"0s\"", name))
	}
	text := []byte(fmt.Sprintf(`{"instance": {"id": "i1"}, "timing": {%s}}`, strings.Join(times, ",\n")))
	_, first := setting.Parse("file", text)
	require.Error(t, first)
	// With eleven faulty times, equal by chance in all of these tries is out of the question.
	for range 100 {
		_, err := setting.Parse("file", text)
		require.EqualError(t, err, first.Error())
	}
}
