// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/relay"
)

// TestChangeReachesAllMembersInTime simulates for how long members lack a configuration that only the planner has read. Each member
// has a link of 10 Mbit/s and reports as soon as it has the keys; the planner has a link of 200 Mbit/s.
func TestChangeReachesAllMembersInTime(t *testing.T) {
	const (
		slowLink = 1_250_000
		fastLink = 25_000_000
		round    = 20 * time.Millisecond
		// bound is the time within which a change has to be in force when the store rejects the calls of instances: 3 s plus 6 s.
		bound = 9 * time.Second
	)
	cases := []struct{ members, bytes int }{{33, 264_641}, {33, 519_622}, {33, 1_000_000}, {65, 519_622}, {65, 1_000_000}, {195, 264_641}}
	for _, test := range cases {
		t.Run(fmt.Sprintf("%d members, %d bytes", test.members, test.bytes), func(t *testing.T) {
			window := relay.NewWindow[string](relay.WindowFor(fastLink))
			due := make(map[string]time.Time)
			left := make(map[string]bool)
			for i := range test.members {
				left[fmt.Sprint(i)] = true
			}
			delay := relay.DelayFor(test.bytes)
			transfer := time.Duration(test.bytes) * time.Second / slowLink
			free := start
			now := start.Add(delay)
			for ; len(left) > 0 && now.Sub(start) < time.Minute; now = now.Add(round) {
				for name := range left {
					if at, sent := due[name]; sent && !now.Before(at) {
						window.RecordReported(name, 5)
						delete(left, name)
						continue
					}
					if window.Send(now, name, 5, test.bytes) {
						if free.Before(now) {
							free = now
						}
						free = free.Add(time.Duration(test.bytes) * time.Second / fastLink)
						due[name] = free.Add(transfer)
					}
				}
			}
			assert.Empty(t, left)
			assert.LessOrEqual(t, now.Sub(start), bound)
		})
	}
}
