// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package listing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/listing"
)

// TestOldGoneInstancesAreDropped replaces the only instance each day for a year. The list must not keep them all.
func TestOldGoneInstancesAreDropped(t *testing.T) {
	const day, days = 24 * time.Hour, 365
	first := time.Unix(1000, 0)
	l := listing.New()
	for i := range days {
		l.SetInstances(first.Add(time.Duration(i)*day), []fleet.Instance{{ID: fmt.Sprint("i", i), Hall: "h1"}}, nil)
	}
	require.Less(t, len(l.Instances()), days/2, "one instance is replaced each day for a year")
	require.Zero(t, l.GoneSince("i0"))
}

// TestGoneInstanceIsKeptForRetentionTime checks an instance that the list omits from begin on.
func TestGoneInstanceIsKeptForRetentionTime(t *testing.T) {
	const retention = time.Hour
	for _, row := range []struct {
		at      time.Duration
		awaited []string
		gone    time.Time
		known   bool
	}{
		{retention, nil, begin, true},
		{retention + 1, nil, time.Time{}, false},
		{retention + 1, []string{"i2"}, begin, true},
	} {
		l := listing.New()
		l.SetInstances(after(-time.Second), instances("i1", "i2"), nil)
		l.SetInstances(begin, instances("i1"), nil)
		l.SetInstances(after(row.at), instances("i1"), row.awaited)
		require.Equal(t, row.gone, l.GoneSince("i2"), "%+v", row)
		_, known := l.Instance("i2")
		require.Equal(t, row.known, known, "%+v", row)
		_, known = l.Instance("i1")
		require.True(t, known, "the instance is listed")
	}
}

// TestAwaitedInstanceIsDroppedOnceNoLongerAwaited checks an awaited instance that was never listed.
func TestAwaitedInstanceIsDroppedOnceNoLongerAwaited(t *testing.T) {
	l := listing.New()
	l.SetInstances(begin, instances("i1"), []string{"i9"})
	l.SetInstances(after(2*time.Hour), instances("i1"), []string{"i9"})
	require.Equal(t, begin, l.GoneSince("i9"), "the instance is still awaited")
	l.SetInstances(after(2*time.Hour+time.Second), instances("i1"), nil)
	require.Zero(t, l.GoneSince("i9"))
}

// TestRelistedInstanceStartsNewRetentionTime returns a dropped instance again and then omits it again.
func TestRelistedInstanceStartsNewRetentionTime(t *testing.T) {
	l := listing.New()
	l.SetInstances(begin, instances("i1", "i2"), nil)
	l.SetInstances(after(time.Second), instances("i1"), nil)
	l.SetInstances(after(2*time.Hour), instances("i1"), nil)
	require.Len(t, l.Instances(), 1)
	l.SetInstances(after(3*time.Hour), instances("i1", "i2"), nil)
	l.SetInstances(after(4*time.Hour), instances("i1"), nil)
	require.Len(t, l.Instances(), 2)
	require.Equal(t, after(4*time.Hour), l.GoneSince("i2"))
}
