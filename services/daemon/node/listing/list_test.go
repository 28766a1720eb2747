// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package listing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/listing"
)

var begin = time.Unix(1000, 0)

func after(d time.Duration) time.Time {
	return begin.Add(d)
}

func instances(ids ...string) []fleet.Instance {
	var out []fleet.Instance
	for _, id := range ids {
		out = append(out, fleet.Instance{ID: id, Hall: "h1"})
	}
	return out
}

func TestInstanceIsGoneFromTheFirstLookThatLeavesItOut(t *testing.T) {
	l := listing.New()
	for _, look := range []struct {
		name    string
		at      time.Duration
		shown   []fleet.Instance
		awaited []string
		gone    time.Time
	}{
		{"never shown, nobody waits", 0, instances("i1"), nil, time.Time{}},
		{"shown", time.Second, instances("i1", "i2"), nil, time.Time{}},
		{"left out", 2 * time.Second, instances("i1"), nil, after(2 * time.Second)},
		{"still left out", 3 * time.Second, instances("i1"), []string{"i2"}, after(2 * time.Second)},
		{"an older state of the list", 4 * time.Second, instances("i1", "i2"), nil, time.Time{}},
		{"left out again", 5 * time.Second, nil, nil, after(5 * time.Second)},
	} {
		l.SetInstances(after(look.at), look.shown, look.awaited)
		require.Equal(t, look.gone, l.GoneSince("i2"), look.name)
	}
	require.Equal(t, after(5*time.Second), l.GoneSince("i1"))
}

func TestAwaitedInstanceThatWasNeverShownIsGone(t *testing.T) {
	l := listing.New()
	l.SetInstances(begin, instances("i1"), []string{"i1", "i9"})
	require.Equal(t, begin, l.GoneSince("i9"))
	require.Zero(t, l.GoneSince("i1"))
}

func TestInstanceIsKnownAfterTheListHasLeftItOut(t *testing.T) {
	l := listing.New()
	l.SetInstances(begin, instances("i1", "i2"), nil)
	l.SetInstances(after(time.Second), instances("i1"), nil)
	require.True(t, l.Listed("i1"))
	require.False(t, l.Listed("i2"))
	i, ok := l.Instance("i2")
	require.True(t, ok, "a message to it may still be due")
	require.Equal(t, "i2", i.ID)
	require.Len(t, l.Instances(), 2)
	_, ok = l.Instance("i3")
	require.False(t, ok)
}

func TestLeavingEndpointIsRememberedBeyondAnOlderLook(t *testing.T) {
	const memory = 4 * time.Second
	for _, row := range []struct {
		at      time.Duration
		shown   []string
		leaving bool
	}{
		{time.Millisecond, nil, true},
		{memory, nil, true},
		{memory + 1, nil, false},
		{memory + 1, []string{"e1"}, true},
		{memory + 1, []string{"e2"}, false},
	} {
		l := listing.New()
		l.SetLeaving(begin, []string{"e1"})
		l.SetLeaving(after(row.at), row.shown)
		require.Equal(t, row.leaving, l.Leaving("e1"), "%+v", row)
	}
}

func TestEndpointSaysItselfThatItLeaves(t *testing.T) {
	l := listing.New()
	require.False(t, l.Leaving("e1"))
	l.EndpointLeaving(begin, "e1")
	l.EndpointLeaving(after(time.Second), "e1")
	l.SetLeaving(after(2*time.Second), nil)
	require.True(t, l.Leaving("e1"), "ahead of the list")
	l.SetLeaving(after(5*time.Second+1), nil)
	require.False(t, l.Leaving("e1"))
}
