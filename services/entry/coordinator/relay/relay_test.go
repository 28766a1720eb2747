// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package relay_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/shelfledge/shelfledge/services/entry/coordinator/member"
	"github.com/shelfledge/shelfledge/services/entry/coordinator/relay"
)

const (
	step        = time.Millisecond
	resendAfter = 2 * time.Second
	relayDelay  = 120 * time.Millisecond
	kib         = 1 << 10
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func TestKeysAreNotResentUntilReportedOrExpired(t *testing.T) {
	window := relay.NewWindow[string](relay.DefaultWindow)
	assert.True(t, window.Send(start, "a", 5, kib))
	assert.False(t, window.Send(start.Add(step), "a", 5, kib))
	assert.False(t, window.Send(start.Add(resendAfter-step), "a", 5, kib))
	assert.False(t, window.Send(start.Add(resendAfter-step), "a", 6, kib), "newer keys wait until the older ones are reported")
	assert.True(t, window.Send(start.Add(resendAfter), "a", 6, kib), "the last keys have expired")
	window.RecordReported("a", 5)
	assert.False(t, window.Send(start.Add(resendAfter+step), "a", 7, kib), "an older revision was reported")
	window.RecordReported("a", 6)
	assert.True(t, window.Send(start.Add(resendAfter+step), "a", 7, kib))
	window.RemoveLink("a")
	assert.True(t, window.Send(start.Add(resendAfter+step), "a", 7, kib), "the link and the keys in transmission were lost")
}

func TestWindowLimitsBytesInTransmission(t *testing.T) {
	window := relay.NewWindow[string](relay.DefaultWindow)
	sent := 0
	for i := range 100 {
		if window.Send(start, fmt.Sprint(i), 5, 256*kib) {
			sent++
		}
	}
	assert.Equal(t, 4, sent)
	window.RecordReported("0", 5)
	assert.True(t, window.Send(start.Add(step), "50", 5, 256*kib))
	assert.False(t, window.Send(start.Add(step), "51", 5, 256*kib))
	assert.True(t, window.Send(start.Add(resendAfter), "51", 5, 256*kib), "keys that were not reported count as lost")
}

func TestKeysLargerThanWindowAreSentToOneMember(t *testing.T) {
	window := relay.NewWindow[string](relay.DefaultWindow)
	assert.True(t, window.Send(start, "a", 5, 4096*kib))
	assert.False(t, window.Send(start, "b", 5, kib))
	window.RecordReported("a", 5)
	assert.True(t, window.Send(start, "b", 5, kib))
}

func TestWindowDependsOnLinkRate(t *testing.T) {
	assert.Equal(t, relay.DefaultWindow, relay.WindowFor(0))
	assert.Equal(t, 256*kib, relay.WindowFor(1))
	assert.Equal(t, 437_500, relay.WindowFor(1_250_000))
	assert.Equal(t, 8192*kib, relay.WindowFor(25_000_000))
	assert.Equal(t, 8192*kib, relay.WindowFor(125_000_000))
}

func TestDelayGrowsWithReadTime(t *testing.T) {
	assert.Equal(t, relayDelay, relay.DelayFor(0))
	assert.Equal(t, relayDelay+time.Second, relay.DelayFor(900_000))
}

func TestRequestAsksOneMemberAtATime(t *testing.T) {
	sources := []member.Source{{Instance: "c", Revision: 4}, {Instance: "b", Revision: 9}, {Instance: "a", Revision: 9}}
	var request relay.Request
	_, ok := request.Next(start, 4, sources)
	assert.False(t, ok, "the planner may still read the keys itself")
	asked, ok := request.Next(start.Add(relayDelay), 4, sources)
	assert.True(t, ok)
	assert.Equal(t, "a", asked)
	_, ok = request.Next(start.Add(relayDelay+resendAfter-step), 4, sources)
	assert.False(t, ok, "one member has been asked")
	asked, ok = request.Next(start.Add(relayDelay+resendAfter), 4, sources)
	assert.True(t, ok)
	assert.Equal(t, "b", asked, "the other member, since the first did not answer")
	asked, ok = request.Next(start.Add(relayDelay+2*resendAfter), 4, sources)
	assert.True(t, ok)
	assert.Equal(t, "a", asked)
	_, ok = request.Next(start.Add(time.Hour), 9, sources)
	assert.False(t, ok, "nothing is missing")
	_, ok = request.Next(start.Add(time.Hour), 4, sources)
	assert.False(t, ok, "the delay starts again")
}

func TestRequestRepeatsForOnlySource(t *testing.T) {
	sources := []member.Source{{Instance: "a", Revision: 9}}
	var request relay.Request
	_, ok := request.Next(start, 4, sources)
	assert.False(t, ok)
	for i := range 3 {
		asked, ok := request.Next(start.Add(relayDelay+time.Duration(i)*resendAfter), 4, sources)
		assert.True(t, ok)
		assert.Equal(t, "a", asked)
	}
}
