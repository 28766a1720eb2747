// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package follow_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/follow"
)

// TestCompleteAtIsLastProvenTime checks the last time at which no key was missing, after various answers of the store. A store that
// loses its history omits changes from several watches in a row, so that an empty answer is no proof by itself.
func TestCompleteAtIsLastProvenTime(t *testing.T) {
	const wait = 20 * time.Second
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	watched := func(sent, received float64, empty bool) func(*follow.Completeness) {
		return func(c *follow.Completeness) {
			c.RecordWatch(follow.WatchAnswer{Sent: at(sent), Received: at(received), Wait: wait, Empty: empty})
		}
	}
	read := func(sent float64) func(*follow.Completeness) {
		return func(c *follow.Completeness) { c.RecordRead(at(sent)) }
	}
	for name, test := range map[string]struct {
		answers []func(*follow.Completeness)
		want    time.Time
	}{
		"no answer":                                      {nil, time.Time{}},
		"a read counts from when it was sent":            {[]func(*follow.Completeness){read(1)}, at(1)},
		"an empty answer":                                {[]func(*follow.Completeness){read(0), watched(1, 21, true)}, at(0)},
		"two empty answers":                              {[]func(*follow.Completeness){read(0), watched(1, 21, true), watched(21, 41, true)}, at(0)},
		"two empty answers, early and late":              {[]func(*follow.Completeness){read(0), watched(1, 5, true), watched(5, 25.9, true)}, at(0)},
		"three empty answers":                            {[]func(*follow.Completeness){watched(1, 21, true), watched(21, 41, true), watched(41, 61, true)}, at(1)},
		"an empty answer after a change at once":         {[]func(*follow.Completeness){watched(1, 21, true), watched(21, 22, false), watched(22, 42, true)}, at(21)},
		"an empty answer after a change":                 {[]func(*follow.Completeness){watched(1, 21, true), watched(21, 23, false), watched(23, 43, true)}, at(23)},
		"a change":                                       {[]func(*follow.Completeness){read(0), watched(1, 16, false)}, at(16)},
		"a change at once":                               {[]func(*follow.Completeness){read(0), watched(1, 1.25, false)}, at(1)},
		"a change after the whole wait":                  {[]func(*follow.Completeness){read(0), watched(1, 21.25, false)}, at(21.25)},
		"a change after the whole wait, very late":       {[]func(*follow.Completeness){read(0), watched(1, 21.5, false)}, at(1)},
		"an earlier read does not replace a later proof": {[]func(*follow.Completeness){watched(1, 21, false), read(3)}, at(21)},
		"a read after a gap is the next proof":           {[]func(*follow.Completeness){watched(1, 21, true), read(40)}, at(40)},
	} {
		t.Run(name, func(t *testing.T) {
			var complete follow.Completeness
			for _, answer := range test.answers {
				answer(&complete)
			}
			assert.Equal(t, test.want, complete.Origin(follow.FromRead, 0).CompleteAt)
		})
	}
}

func TestTimeSinceProof(t *testing.T) {
	_, known := follow.Origin{Source: follow.FromRead}.TimeSinceProof(start)
	assert.False(t, known, "the first keys of a process may be of any age")
	silence, known := follow.Origin{Source: follow.FromWatch, CompleteAt: start}.TimeSinceProof(start.Add(700 * time.Millisecond))
	assert.True(t, known)
	assert.Equal(t, 700*time.Millisecond, silence)
}

// TestOriginSinceOfWatchAnswers checks Origin.Since of new keys. It guards against requests that begin on a former
// version more than 5 s after a newer one was acknowledged. That happened when the limit of the former version started
// only when the instance received the newer one, however late that was. The instance has its last proof that no key was
// missing at 10 s, and then an empty answer to a watch that was sent at 10 s.
func TestOriginSinceOfWatchAnswers(t *testing.T) {
	const wait = 20 * time.Second
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	for name, test := range map[string]struct {
		// emptyAt is when the empty answer before the one with a change was received.
		emptyAt        float64
		failed         bool
		sent, received float64
		bytes          int
		want           time.Time
	}{
		"answer held back by the store": {30, false, 30, 35, 0, at(35)},
		"just longer than at once":      {30, false, 30, 31.001, 0, at(31.001)},
		// The empty answer before may have omitted the change, if the store lost its history while the watch waited.
		"just at once":                               {30, false, 30, 31, 0, at(10)},
		"at once, previous answer late":              {30.9, false, 30.9, 31, 0, at(10)},
		"at once, previous answer early":             {15, false, 15, 15.1, 0, at(10)},
		"at once, after a failed watch":              {30, true, 32, 32.1, 0, at(10)},
		"held back, after a failed watch":            {30, true, 32, 33.001, 0, at(33.001)},
		"just at once, after a failed watch":         {30, true, 32, 33, 0, at(10)},
		"at the end of its wait":                     {30, false, 30, 50.25, 0, at(50.25)},
		"after its wait":                             {30, false, 30, 50.26, 0, at(10)},
		"after its wait, after a failed watch":       {30, true, 30, 50.26, 0, at(10)},
		"large answer":                               {30, false, 30, 35, 900_000, at(34)},
		"large answer at once":                       {30, false, 30, 31.25, 900_000, at(10)},
		"large answer at once, after a failed watch": {30, true, 32, 33.25, 900_000, at(10)},
	} {
		t.Run(name, func(t *testing.T) {
			var complete follow.Completeness
			complete.RecordRead(at(10))
			complete.RecordWatch(follow.WatchAnswer{Sent: at(10), Received: at(test.emptyAt), Wait: wait, Empty: true})
			if test.failed {
				complete.RecordFailure()
			}
			origin := complete.OriginOf(follow.WatchAnswer{Sent: at(test.sent), Received: at(test.received), Wait: wait, Bytes: test.bytes}, 0)
			assert.Equal(t, test.want, origin.Since)
			assert.Equal(t, at(10), origin.CompleteAt)
		})
	}
	t.Run("a read of the versions", func(t *testing.T) {
		var complete follow.Completeness
		complete.RecordRead(at(10))
		complete.RecordWatch(follow.WatchAnswer{Sent: at(10), Received: at(30), Wait: wait, Empty: true})
		complete.RecordVersionsRead(at(29))
		origin := complete.OriginOf(follow.WatchAnswer{Sent: at(30), Received: at(30.5), Wait: wait}, 0)
		assert.Equal(t, at(29), origin.Since)
		assert.Equal(t, at(10), origin.CompleteAt, "other keys may be missing")
	})
	t.Run("a read", func(t *testing.T) {
		var complete follow.Completeness
		assert.True(t, complete.Origin(follow.FromRead, 0).Since.IsZero(), "the first read")
		complete.RecordRead(at(10))
		complete.RecordWatch(follow.WatchAnswer{Sent: at(10), Received: at(30), Wait: wait, Empty: true})
		assert.Equal(t, at(10), complete.Origin(follow.FromRead, 0).Since, "a change that a watch omitted may be as old as the sending of the watch")
	})
	t.Run("a change during the transmission of a large answer", func(t *testing.T) {
		var complete follow.Completeness
		complete.RecordRead(at(10))
		complete.RecordWatch(follow.WatchAnswer{Sent: at(10), Received: at(15), Wait: wait, Bytes: 900_000})
		origin := complete.OriginOf(follow.WatchAnswer{Sent: at(15), Received: at(15.01), Wait: wait}, 0)
		assert.Equal(t, at(14), origin.Since)
	})
	t.Run("changes in quick succession", func(t *testing.T) {
		var complete follow.Completeness
		complete.RecordRead(at(0))
		complete.RecordWatch(follow.WatchAnswer{Sent: at(0), Received: at(15), Wait: wait})
		for number := range 40 {
			sent := 15 + float64(number)/100
			answer := follow.WatchAnswer{Sent: at(sent), Received: at(sent + 0.01), Wait: wait}
			assert.False(t, complete.OriginOf(answer, 0).Since.Before(at(sent-0.01)), "the changes are newer than the previous answer")
			complete.RecordWatch(answer)
		}
	})
	t.Run("other evidence", func(t *testing.T) {
		origin := follow.Origin{Since: at(10)}
		assert.Equal(t, at(12), origin.NotBefore(at(12)).Since)
		assert.Equal(t, at(10), origin.NotBefore(at(8)).Since)
		assert.Equal(t, at(8), follow.Origin{}.NotBefore(at(8)).Since)
	})
}
