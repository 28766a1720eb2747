// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
)

// TestSinceWhenAllKeysWereKnown gives a set of keys answers of the store and asks for the last moment at which nothing was missing.
func TestSinceWhenAllKeysWereKnown(t *testing.T) {
	const wait = 20 * time.Second
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	watched := func(sent, received float64, empty bool) func(*follow.Completeness) {
		return func(c *follow.Completeness) {
			c.Watched(follow.WatchAnswer{Sent: at(sent), Received: at(received), Wait: wait, Empty: empty})
		}
	}
	read := func(sent float64) func(*follow.Completeness) {
		return func(c *follow.Completeness) { c.Read(at(sent)) }
	}
	for name, test := range map[string]struct {
		answers []func(*follow.Completeness)
		want    time.Time
	}{
		"no answer":                               {nil, time.Time{}},
		"a reading counts from its sending":       {[]func(*follow.Completeness){read(1)}, at(1)},
		"a watch that waited in vain":             {[]func(*follow.Completeness){read(0), watched(1, 21, true)}, at(21)},
		"the same, and its answer is late":        {[]func(*follow.Completeness){read(0), watched(1, 21.9, true)}, at(21)},
		"a watch with news":                       {[]func(*follow.Completeness){read(0), watched(1, 16, false)}, at(1)},
		"a watch that was cut":                    {[]func(*follow.Completeness){read(0), watched(1, 5, true)}, at(1)},
		"news after a whole wait, very late":      {[]func(*follow.Completeness){read(0), watched(1, 21.5, false)}, at(1)},
		"a later proof is not taken back":         {[]func(*follow.Completeness){watched(1, 21, true), read(3)}, at(21)},
		"a reading after a gap is the next proof": {[]func(*follow.Completeness){watched(1, 21, true), read(40)}, at(40)},
	} {
		t.Run(name, func(t *testing.T) {
			var complete follow.Completeness
			for _, answer := range test.answers {
				answer(&complete)
			}
			assert.Equal(t, test.want, complete.At())
		})
	}
}

func TestTheSilenceBeforeNews(t *testing.T) {
	_, known := follow.Origin{Source: follow.FromReading}.Silence(start)
	assert.False(t, known, "the first keys of a process may be of any age")
	silence, known := follow.Origin{Source: follow.FromWatch, CompleteAt: start}.Silence(start.Add(700 * time.Millisecond))
	assert.True(t, known)
	assert.Equal(t, 700*time.Millisecond, silence)
}
