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

func TestInstanceIsGoneSinceFirstReadThatOmitsIt(t *testing.T) {
	l := listing.New()
	for _, read := range []struct {
		name    string
		at      time.Duration
		listed  []fleet.Instance
		awaited []string
		gone    time.Time
	}{
		{"never listed, not awaited", 0, instances("i1"), nil, time.Time{}},
		{"listed", time.Second, instances("i1", "i2"), nil, time.Time{}},
		{"omitted", 2 * time.Second, instances("i1"), nil, after(2 * time.Second)},
		{"still omitted", 3 * time.Second, instances("i1"), []string{"i2"}, after(2 * time.Second)},
		{"an older state of the list", 4 * time.Second, instances("i1", "i2"), nil, time.Time{}},
		{"omitted again", 5 * time.Second, nil, nil, after(5 * time.Second)},
	} {
		l.SetInstances(after(read.at), read.listed, read.awaited)
		require.Equal(t, read.gone, l.GoneSince("i2"), read.name)
	}
	require.Equal(t, after(5*time.Second), l.GoneSince("i1"))
}

func TestAwaitedInstanceThatWasNeverListedIsGone(t *testing.T) {
	l := listing.New()
	l.SetInstances(begin, instances("i1"), []string{"i1", "i9"})
	require.Equal(t, begin, l.GoneSince("i9"))
	require.Zero(t, l.GoneSince("i1"))
}

func TestInstanceIsKeptAfterListOmitsIt(t *testing.T) {
	l := listing.New()
	l.SetInstances(begin, instances("i1", "i2"), nil)
	l.SetInstances(after(time.Second), instances("i1"), nil)
	require.True(t, l.Listed("i1"))
	require.False(t, l.Listed("i2"))
	i, ok := l.Instance("i2")
	require.True(t, ok, "a message to the instance may still be due")
	require.Equal(t, "i2", i.ID)
	require.Len(t, l.Instances(), 2)
	_, ok = l.Instance("i3")
	require.False(t, ok)
}

func TestLeavingEndpointIsKeptForRetentionTime(t *testing.T) {
	const retention = 4 * time.Second
	for _, row := range []struct {
		at      time.Duration
		listed  []string
		leaving bool
	}{
		{time.Millisecond, nil, true},
		{retention, nil, true},
		{retention + 1, nil, false},
		{retention + 1, []string{"e1"}, true},
		{retention + 1, []string{"e2"}, false},
	} {
		l := listing.New()
		l.SetLeaving(begin, []string{"e1"})
		l.SetLeaving(after(row.at), row.listed)
		require.Equal(t, row.leaving, l.Leaving("e1"), "%+v", row)
	}
}

func TestEndpointReportsThatItIsLeaving(t *testing.T) {
	l := listing.New()
	require.False(t, l.Leaving("e1"))
	l.EndpointLeaving(begin, "e1")
	l.EndpointLeaving(after(time.Second), "e1")
	l.SetLeaving(after(2*time.Second), nil)
	require.True(t, l.Leaving("e1"), "the endpoint's report precedes the list")
	l.SetLeaving(after(5*time.Second+1), nil)
	require.False(t, l.Leaving("e1"))
}
