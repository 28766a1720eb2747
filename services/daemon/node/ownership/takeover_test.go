// Copyright 2026 The shelfledge Authors. All rights reserved.
// SPDX-License-Identifier: MIT

package ownership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/shelfledge/shelfledge/models/daemon/fleet"
	"github.com/shelfledge/shelfledge/services/daemon/node/ownership"
)

const (
	retry   = time.Second
	inspect = 500 * time.Millisecond
)

var begin = time.Unix(1000, 0)

func after(d time.Duration) time.Time {
	return begin.Add(d)
}

func newTakeover() *ownership.Takeover {
	return ownership.NewTakeover(begin, []fleet.Endpoint{{Name: "e1"}, {Name: "e2"}}, retry, inspect)
}

func names(endpoints []fleet.Endpoint) []string {
	var out []string
	for _, e := range endpoints {
		out = append(out, e.Name)
	}
	return out
}

func TestUnansweredTakeoverOrderIsRepeatedAfterRetryTime(t *testing.T) {
	o := newTakeover()
	require.Equal(t, []string{"e1", "e2"}, names(o.OrdersDue(begin)))
	require.Empty(t, o.OrdersDue(after(retry-1)))
	o.MarkTakenOver(after(retry-1), "e1")
	require.Equal(t, []string{"e2"}, names(o.OrdersDue(after(retry))))
	require.Empty(t, o.OrdersDue(after(retry)))
	require.Equal(t, []string{"e2"}, names(o.OrdersDue(after(2*retry))))
}

func TestRequestsAreHeldUntilAllEndpointsAnswerOrTimeout(t *testing.T) {
	for _, row := range []struct {
		at       time.Duration
		answered []string
		holds    bool
	}{
		{0, nil, true},
		{0, []string{"e1"}, true},
		{0, []string{"e1", "e1"}, true},
		{0, []string{"e1", "e2"}, false},
		{ownership.MaxRequestHold, []string{"e1"}, true},
		{ownership.MaxRequestHold + 1, []string{"e1"}, false},
		{ownership.MaxRequestHold + 1, nil, false},
	} {
		o := newTakeover()
		for _, e := range row.answered {
			o.MarkTakenOver(begin, e)
		}
		require.Equal(t, row.holds, o.HoldsRequests(after(row.at)), "%+v", row)
	}
}

func TestRestartedEndpointIsTakenOverAgainWithoutHoldingRequests(t *testing.T) {
	o := newTakeover()
	o.OrdersDue(begin)
	o.MarkTakenOver(begin, "e1")
	o.MarkTakenOver(begin, "e2")
	o.RepeatOrder("e1")
	require.False(t, o.IsTakenOver("e1"))
	require.False(t, o.HoldsRequests(after(time.Millisecond)), "all endpoints have answered once; requests go to the other endpoint meanwhile")
	require.Equal(t, []string{"e1"}, names(o.OrdersDue(after(time.Millisecond))))
	require.Empty(t, o.OrdersDue(after(2*time.Millisecond)))
}

func TestPauseAfterFenceLossDoublesUpToLimit(t *testing.T) {
	o := newTakeover()
	o.OrdersDue(begin)
	now := begin
	for losses, pause := range []time.Duration{retry, 3 * retry, 7 * retry, 15 * retry, 31 * retry, 31 * retry} {
		o.MarkTakenOver(now, "e1")
		o.MarkTakenOver(now, "e2")
		o.RecordFenceLoss(now, "e1")
		require.Empty(t, o.OrdersDue(now.Add(pause-1)), "loss %d", losses+1)
		now = now.Add(pause)
		require.Equal(t, []string{"e1"}, names(o.OrdersDue(now)), "loss %d", losses+1)
	}
}

func TestFenceLossesAreResetAfterMinute(t *testing.T) {
	for _, row := range []struct{ quiet, pause time.Duration }{{time.Minute, 3 * retry}, {time.Minute + 1, retry}} {
		o := newTakeover()
		o.RecordFenceLoss(begin, "e1")
		at := after(row.quiet)
		o.OrdersDue(at)
		o.RecordFenceLoss(at, "e1")
		require.NotContains(t, names(o.OrdersDue(at.Add(row.pause-1))), "e1", "%+v", row)
		require.Contains(t, names(o.OrdersDue(at.Add(row.pause))), "e1", "%+v", row)
	}
}

func TestOnlyTakenOverEndpointsAreInspectedEachInterval(t *testing.T) {
	o := newTakeover()
	o.OrdersDue(begin)
	o.MarkTakenOver(begin, "e1")
	require.Empty(t, o.InspectionsDue(after(inspect-1)), "the answer to the takeover contained an inspection")
	require.Equal(t, []string{"e1"}, names(o.InspectionsDue(after(inspect))))
	require.Empty(t, o.InspectionsDue(after(inspect)), "the next inspection makes up for a lost one")
	require.Equal(t, []string{"e1"}, names(o.InspectionsDue(after(2*inspect))))
	o.MarkInspected(after(2*inspect+inspect/2), "e1")
	require.Empty(t, o.InspectionsDue(after(3*inspect)), "an additional inspection postpones the next one")
	o.RecordFenceLoss(after(3*inspect), "e1")
	require.Empty(t, o.InspectionsDue(after(time.Hour)))
}
